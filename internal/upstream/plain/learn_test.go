package plain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
)

// serve runs n requests at a server, one after the other, and moves the time on.
func serve(p *Pool, now *time.Time, name string, n int, took time.Duration, out Outcome) {
	for range n {
		k := p.Choose(map[string]bool{"i-1": name != "i-1", "i-2": name != "i-2"})
		*now = now.Add(took)
		p.Done(k, out)
	}
}

// share returns the part of 400 requests, one after the other, that goes to a server.
func share(p *Pool, now *time.Time, name string) float64 {
	n := 0
	for range 400 {
		k := p.Choose(nil)
		if k.Name() == name {
			n++
		}
		*now = now.Add(time.Millisecond)
		p.Done(k, CallerLeft)
	}
	return float64(n) / 400
}

func newSpread(list ...Server) (*Pool, *time.Time) {
	p, now := newPool(nil)
	rng := rand.New(rand.NewPCG(1, 2))
	p.cfg.Rand = rng.Float64
	p.SetServers(list)
	return p, now
}

// A server that answers errors at once must not look like the fastest one.
func TestFastErrorsAreNotSpeed(t *testing.T) {
	is := is.New(t)
	for _, out := range []Outcome{Failed, Untimed} {
		p, now := newSpread(Server{Name: "i-1", Slots: 6}, Server{Name: "i-2", Slots: 6})
		serve(p, now, "i-2", 20, 80*time.Millisecond, Answered)
		serve(p, now, "i-1", 20, time.Millisecond, out)
		is.True(share(p, now, "i-1") < 0.6)
		is.Equal(p.States()[0].Samples, 0.0)
		is.Equal(p.States()[1].Slow, false)
	}
}

// What is known of a server must not be applied to another one with its name: to its next
// incarnation, or at another address. Reports on the former must not count either.
func TestNewIncarnationAndReusedAddressStartAnew(t *testing.T) {
	is := is.New(t)
	old := Server{Name: "i-1", Address: "one", Slots: 6, Born: 1}
	for _, next := range []Server{{Name: "i-1", Address: "one", Slots: 6, Born: 2}, {Name: "i-1", Address: "two", Slots: 6, Born: 1}} {
		p, now := newSpread(old, Server{Name: "i-2", Slots: 6})
		serve(p, now, "i-2", 20, 20*time.Millisecond, Answered)
		serve(p, now, "i-1", 20, 80*time.Millisecond, Answered)
		is.True(p.States()[0].Slow)
		report := p.Loads(1)
		is.Equal(report[0].Server, "i-1")

		p.SetServers([]Server{next, {Name: "i-2", Slots: 6}})
		p.Merge("other", report)
		is.Equal(p.States()[0].Samples, 0.0)
		is.Equal(p.States()[0].Others, 0.0)
		late := p.Choose(map[string]bool{"i-2": true})
		p.SetServers([]Server{old, {Name: "i-2", Slots: 6}})
		*now = now.Add(time.Second)
		p.Done(late, Answered) // of the incarnation before
		is.Equal(p.States()[0].Samples, 0.0)
	}
}

// An entry that falls silent must not keep its requests at a server for ever.
func TestLoadOfSilentEntryExpires(t *testing.T) {
	is := is.New(t)
	p, now := newSpread(Server{Name: "i-1", Slots: 6}, Server{Name: "i-2", Slots: 6})
	p.Merge("other", []capacity.Load{{Server: "i-1", Tag: p.servers["i-1"].speed.tag, Busy: 5}})
	is.Equal(p.States()[0].Others, 5.0)
	p.Merge("other", []capacity.Load{{Server: "i-2", Tag: p.servers["i-2"].speed.tag, Busy: 1}})
	*now = now.Add(time.Second)
	is.Equal(p.States()[0].Others, 0.0)
	*now = now.Add(peerTimeout)
	is.Equal(p.States()[1].Others, 0.0)
	is.Equal(len(p.peers), 0)
}

// A server that answers nothing at all any more gives no measurements. Others must learn of it.
func TestSilentServerIsReportedBeforeItAnswers(t *testing.T) {
	is := is.New(t)
	p, now := newSpread(Server{Name: "i-1", Slots: 6}, Server{Name: "i-2", Slots: 6})
	serve(p, now, "i-2", 20, 20*time.Millisecond, Answered)
	serve(p, now, "i-1", 20, 20*time.Millisecond, Answered)
	for range 6 {
		p.Choose(map[string]bool{"i-2": true})
	}
	*now = now.Add(400 * time.Millisecond)
	other, _ := newSpread(Server{Name: "i-1", Slots: 6}, Server{Name: "i-2", Slots: 6})
	other.cfg.Now = p.cfg.Now
	other.Merge("one", p.Loads(2))
	is.True(other.States()[0].Slow)
	is.True(share(p, now, "i-1") < 0.1)
}

// Measures a decision with its result, in a pool that has learned and that other entries report to.
func BenchmarkChoose(b *testing.B) {
	for _, size := range [][2]int{{3, 25}, {3, 1099}, {45, 64}, {3900, 10}} {
		b.Run(fmt.Sprintf("servers=%d/entries=%d", size[0], size[1]+1), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			p := benchPool(size[0], size[1], &now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				k := p.Choose(nil)
				p.Done(k, Answered)
			}
		})
	}
}

// Measures a decision of the policy before capacities were learned.
func BenchmarkChooseBaseline(b *testing.B) {
	for _, servers := range []int{3, 45, 3900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			p := leastBusy{benchPool(servers, 0, &now)}
			b.ReportAllocs()
			for b.Loop() {
				p.Done(p.Choose(nil), Answered)
			}
		})
	}
}

// Measures taking in the report of an entry on 3 and on 64 servers.
func BenchmarkMerge(b *testing.B) {
	for _, servers := range []int{3, 64} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			p := benchPool(servers, 1099, &now)
			list := p.Loads(servers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Merge(fmt.Sprint(i%1099), list)
			}
		})
	}
}

func benchPool(servers, others int, now *time.Time) *Pool {
	rng := rand.New(rand.NewPCG(1, 2))
	p := New(Settings{Now: func() time.Time { return *now }, Rand: rng.Float64})
	var list []Server
	for i := range servers {
		list = append(list, Server{Name: fmt.Sprint("s-", i), Slots: 6})
	}
	p.SetServers(list)
	for range 12 * servers {
		k := p.Choose(nil)
		*now = now.Add(time.Duration(20+rng.IntN(40)) * time.Millisecond / time.Duration(servers))
		p.Done(k, Answered)
	}
	report := p.Loads(64)
	for i := range others {
		p.Merge(fmt.Sprint(i), report)
	}
	return p
}
