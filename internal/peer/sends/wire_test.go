package sends

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

var wireNow = time.Unix(1_000_000, 0)

func drawMessage(t *rapid.T) message {
	millis := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
	}
	m := message{
		start: rapid.Uint64Min(1).Draw(t, "start"), count: rapid.Uint64().Draw(t, "count"), leaving: rapid.Bool().Draw(t, "leaving"),
		offsets: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "offsets"),
	}
	for range rapid.IntRange(0, 8).Draw(t, "sends") {
		s := passes.Send{
			Engine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "engine"),
			Read:   millis("read"), Context: rapid.IntRange(0, 1_000_000).Draw(t, "context"), Gap: millis("gap"),
			Weight: float64(rapid.IntRange(0, 1000).Draw(t, "weight")) / weightSteps,
			At:     wireNow.Add(-millis("age")), Due: wireNow.Add(millis("due")), Writing: rapid.Bool().Draw(t, "writing"),
		}
		if ends := millis("ends"); ends > 0 {
			s.Ends = wireNow.Add(ends)
		}
		m.sends = append(m.sends, s)
	}
	for range rapid.IntRange(0, 3).Draw(t, "paces") {
		m.paces = append(m.paces, passes.Pace{
			Engine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "engine"),
			Factor: float64(rapid.IntRange(0, 2000).Draw(t, "factor")) / paceSteps, At: wireNow.Add(-millis("told")),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "waits") {
		m.waits = append(m.waits, passes.Wait{
			Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
			Due:     wireNow.Add(time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "due in ms")) * time.Millisecond),
		})
	}
	slices.SortStableFunc(m.sends, func(a, b passes.Send) int { return strings.Compare(a.Engine, b.Engine) })
	return m
}

// What an entry tells is what another one reads.
func TestRapidMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		got, err := decode(m.encode(wireNow), wireNow)
		if err != nil {
			t.Fatal(err)
		}
		if got.start != m.start || got.count != m.count || got.leaving != m.leaving ||
			!slices.Equal(got.offsets, m.offsets) || !slices.Equal(got.sends, m.sends) || !slices.Equal(got.paces, m.paces) || !slices.Equal(got.waits, m.waits) {
			t.Fatalf("%+v is read as %+v", m, got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	m := message{start: 1, count: 2, sends: []passes.Send{{Engine: "i-1", Read: time.Second}}}
	f.Add(m.encode(wireNow))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b, wireNow)
		if err == nil && m.start == 0 {
			t.Error("a message without a start")
		}
	})
}

// A message that is late or repeated changes nothing; one of a new start does.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	x := quietExchange()
	fresh := func(start, count uint64) bool {
		return x.fresh("10.0.0.1:1", &message{start: start, count: count}, wireNow)
	}
	is.True(fresh(5, 1))
	is.True(!fresh(5, 1))
	is.True(fresh(5, 3))
	is.True(!fresh(5, 2))
	is.True(fresh(6, 1))
	is.True(!fresh(5, 9))
}

// An entry that is silent is forgotten, and told only now and then.
func TestSilentEntryIsForgotten(t *testing.T) {
	is := is.New(t)
	x := quietExchange()
	var gone []string
	x.seams.Tell = func(entry string, r passes.Report) {
		is.Equal(len(r.Sends), 0)
		gone = append(gone, entry)
	}
	is.True(x.fresh("10.0.0.1:1", &message{start: 5, count: 1}, wireNow))
	is.True(x.due("10.0.0.1:1", wireNow, true))
	x.silence(wireNow.Add(silentAfter))
	is.Equal(len(gone), 0)
	x.silence(wireNow.Add(silentAfter + time.Millisecond))
	is.Equal(gone, []string{"10.0.0.1:1"})
	is.True(!x.due("10.0.0.1:1", wireNow.Add(probeEvery/2), true))
	is.True(x.due("10.0.0.1:1", wireNow.Add(probeEvery), true))
}

// Of entries that all leave, the one that began first is back first.
func TestStaying(t *testing.T) {
	is := is.New(t)
	x := quietExchange()
	tell := func(entry string, count uint64, leaving bool, at time.Duration) {
		is.True(x.fresh(entry, &message{start: 5, count: count, leaving: leaving}, wireNow.Add(at)))
	}
	staying, left := x.Staying()
	is.True(!staying && left.IsZero()) // nobody is heard
	tell("10.0.0.1:1", 1, false, 0)
	staying, _ = x.Staying()
	is.True(staying)
	tell("10.0.0.1:1", 2, true, time.Second)
	tell("10.0.0.1:1", 3, true, 2*time.Second) // told again
	tell("10.0.0.2:1", 1, true, 3*time.Second)
	staying, left = x.Staying()
	is.True(!staying)
	is.Equal(left, wireNow.Add(time.Second))
	x.silence(wireNow.Add(time.Second + silentAfter + 2*time.Second)) // the first has ended
	_, left = x.Staying()
	is.Equal(left, wireNow.Add(3*time.Second))
}

// All entries agree on who is among the first.
func TestRanksDiffer(t *testing.T) {
	is := is.New(t)
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	seen := map[int]bool{}
	for _, self := range addresses {
		x := quietExchange()
		x.self = self
		for _, other := range addresses {
			if other != self {
				x.fresh(other, &message{start: 1, count: 1}, wireNow)
			}
		}
		seen[x.Rank()] = true
	}
	is.Equal(len(seen), len(addresses))
}
