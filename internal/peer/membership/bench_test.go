package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// The target of a node and a failure domain.
const (
	targetEntries   = 79
	targetUpstreams = 280
	targetBytes     = 4096 // bytes a second
	targetDeath     = 3 * time.Second
	targetLeave     = 3 * time.Second
	// targetFalse is how many false suspicions there may be in falseHours node-hours.
	targetFalse = 1.0
	falseHours  = 10_000
	benchLoss   = 0.01
	configEvery = 4 * time.Second // 21,000 changes a day
)

// busyReport reports loads and demands that change all the time.
func busyReport(upstreams int, r *rand.Rand) func(*memberwire.Report, int) {
	return func(rep *memberwire.Report, left int) {
		for range 3 {
			rep.Demands = append(rep.Demands, &memberwire.Demand{
				Workspace: r.Uint32(), Requests: r.Float32() * 10, Tokens: r.Float32() * 1e4, Used: uint64(r.IntN(1e6)),
			})
		}
		for range upstreams {
			if left <= 0 {
				return
			}
			rep.Loads = append(rep.Loads, &memberwire.Load{
				Upstream: r.Uint32(), Queued: uint32(r.IntN(100)), Running: uint32(r.IntN(50)),
				PrefillK: uint32(r.IntN(2000)), UsedK: uint32(r.IntN(400)), TotalK: 480,
			})
		}
	}
}

func spent(nodes []*Node) (out []int64) {
	for _, n := range nodes {
		c := n.cfg.Link.Counters()
		out = append(out, c.Sent()+c.Received())
	}
	return out
}

// bytesPerSecond returns what a node spends at rest, on average and at most.
func bytesPerSecond(t *testing.T, entries, upstreams int) (mean, most int64) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stopAll()
		m.report = busyReport(max(1, upstreams/entries), rand.New(rand.NewPCG(1, 1)))
		nodes := m.fleet(entries)
		time.Sleep(20 * time.Second)
		before := spent(nodes)
		const seconds = 40
		for i := range seconds {
			if i%int(configEvery/time.Second) == 0 {
				m.setOffset(uint64(i + 1))
			}
			time.Sleep(time.Second)
		}
		for i, after := range spent(nodes) {
			rate := (after - before[i]) / seconds
			mean, most = mean+rate, max(most, rate)
		}
		mean /= int64(entries)
	})
	return mean, most
}

func TestBenchControlBytes(t *testing.T) {
	for _, size := range [][2]int{{4, 14}, {16, 57}, {targetEntries, targetUpstreams}} {
		mean, most := bytesPerSecond(t, size[0], size[1])
		fmt.Printf("control entries=%d upstreams=%d bytes_per_s=%d most_bytes_per_s=%d\n", size[0], size[1], mean, most)
		if most > targetBytes {
			t.Errorf("%d entries: %d bytes a second at one of them, more than %d", size[0], most, targetBytes)
		}
	}
}

// noticed returns when each node first sees the VM in another state than live.
func noticed(nodes []*Node, vms []string, limit time.Duration) []time.Duration {
	begun := time.Now()
	var out []time.Duration
	seen := map[string]bool{}
	for time.Since(begun) < limit && len(seen) < len(nodes)*len(vms) {
		for _, n := range nodes {
			for _, vm := range vms {
				n.mu.Lock()
				p, _ := n.table.feed.get(vm)
				news := p.GetState() != memberwire.State_LIVE
				n.mu.Unlock()
				if k := n.cfg.VM + " " + vm; news && !seen[k] {
					seen[k] = true
					out = append(out, time.Since(begun))
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for len(out) < len(nodes)*len(vms) {
		out = append(out, limit)
	}
	return out
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(50 * time.Millisecond)
}

// noticeTimes measures an event several times in a failure domain of the target's size.
func noticeTimes(t *testing.T, times int, event func(m *mesh, nodes []*Node, i int) (seers []*Node, vms []string)) []time.Duration {
	var all []time.Duration
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 2)
		defer m.stopAll()
		m.loss = benchLoss
		nodes := m.fleet(targetEntries)
		time.Sleep(15 * time.Second)
		for i := range times {
			seers, vms := event(m, nodes, i)
			all = append(all, noticed(seers, vms, time.Minute)...)
			time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
		}
	})
	return all
}

func TestBenchNotice(t *testing.T) {
	without := func(nodes []*Node, gone int) []*Node { return slices.Concat(nodes[:1], nodes[gone+1:]) }
	death := noticeTimes(t, 6, func(m *mesh, nodes []*Node, i int) ([]*Node, []string) {
		m.kill(nodes[i+1])
		return without(nodes, i+1), []string{name(i + 1)}
	})
	leave := noticeTimes(t, 6, func(_ *mesh, nodes []*Node, i int) ([]*Node, []string) {
		nodes[i+1].Leave()
		return without(nodes, i+1), []string{name(i + 1)}
	})
	half := targetEntries / 2
	partition := noticeTimes(t, 1, func(m *mesh, nodes []*Node, _ int) ([]*Node, []string) {
		m.split(nodes[:half], nodes[half:], true)
		var vms []string
		for _, n := range nodes[half:] {
			vms = append(vms, n.cfg.VM)
		}
		return nodes[:half], vms
	})
	for _, f := range []struct {
		name  string
		d     []time.Duration
		limit time.Duration
	}{{"death", death, targetDeath}, {"leave", leave, targetLeave}, {"partition", partition, 0}} {
		p99 := quantile(f.d, 0.99)
		fmt.Printf("notice event=%s entries=%d loss=%g p50_ms=%d p99_ms=%d most_ms=%d\n", f.name, targetEntries, benchLoss,
			quantile(f.d, 0.5).Milliseconds(), p99.Milliseconds(), quantile(f.d, 1).Milliseconds())
		if f.limit > 0 && p99 > f.limit {
			t.Errorf("%s: noticed after %s, more than %s", f.name, p99, f.limit)
		}
	}
}
