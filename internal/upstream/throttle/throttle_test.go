package throttle

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
)

const (
	tick = 40 * time.Millisecond
	// window, excess and slack are the users' bound: what an upstream gets in window is at most
	// excess times what its rate allows, and slack.
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

// fleet is a number of entries before one upstream.
type fleet struct {
	entries []*Throttle
	names   []string
	up      []bool
	part    []int // of a partition: entries of other parts are not heard
	rate    float64
	sent    []time.Time
}

func newFleet(n int, rate float64) *fleet {
	f := &fleet{rate: rate, part: make([]int, n), up: slices.Repeat([]bool{true}, n)}
	for i := range n {
		f.names = append(f.names, fmt.Sprint(i))
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	q := New(Settings{Now: time.Now, Members: func() Members { return f.members(i) }, Changed: func() {}, Log: log.New(io.Discard)})
	if i < len(f.entries) {
		f.entries[i] = q
	} else {
		f.entries = append(f.entries, q)
	}
}

func (f *fleet) members(i int) Members {
	m := Members{Self: f.names[i], Live: make([]string, 0, len(f.names))}
	for j := range f.entries {
		switch {
		case !f.up[j]:
		case f.part[j] == f.part[i]:
			m.Live = append(m.Live, f.names[j])
		default:
			m.Silent++
		}
	}
	return m
}

// run lets every entry send as much as it may for a time. Reports are exchanged at each tick.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for i, q := range f.entries {
			for f.up[i] && q.Allows("i-1") && (f.rate > 0 || len(f.sent) < 1000) {
				q.Take("i-1")
				f.sent = append(f.sent, time.Now())
				q.Heard("i-1", time.Now(), f.rate)
			}
		}
		for i, from := range f.entries {
			r := from.Report()
			if len(r) == 0 {
				continue
			}
			for j, to := range f.entries {
				if i != j && f.up[i] && f.up[j] && f.part[i] == f.part[j] {
					to.Merge(r)
				}
			}
		}
	}
}

// most returns the most requests in a window since a time.
func (f *fleet) most(since time.Time) int {
	most := 0
	for i, at := range f.sent {
		n := 0
		for _, later := range f.sent[i:] {
			if later.Sub(at) < window {
				n++
			}
		}
		if !at.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

func (f *fleet) bound() int { return int(excess*f.rate*window.Seconds() + slack) }

// The rate is for all entries together, at any number of them, and it is used.
func TestRateIsSharedAndUsed(t *testing.T) {
	for n, rates := range map[int][]float64{1: {1, 40}, 4: {0.3, 1.8, 7, 40}, 1100: {1.8, 40}} {
		for _, rate := range rates {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n, rate)
				f.entries[0].Heard("i-1", time.Now(), rate)
				for _, q := range f.entries {
					q.Merge(f.entries[0].Report())
				}
				start := time.Now()
				const d = 6 * time.Second
				f.run(d)
				is.True(f.most(start) <= f.bound())
				is.True(float64(len(f.sent)) >= 0.75*rate*d.Seconds()-1)
			})
		}
	}
}

// Once an upstream names no rate any more, all entries may send. An answer to a request from before
// it named the rate says nothing.
func TestRateIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2)
		sentBefore := time.Now()
		time.Sleep(tick)
		f.entries[0].Heard("i-1", time.Now(), 2)
		f.run(time.Second)
		f.entries[3].Heard("i-1", sentBefore, 0)
		f.run(time.Second)
		for _, q := range f.entries {
			is.Equal(q.Limits(), map[string]float64{"i-1": 2})
		}
		time.Sleep(tick)
		f.entries[1].Heard("i-1", time.Now(), 0)
		f.rate = 0
		f.run(tick)
		for _, q := range f.entries {
			is.True(q.Allows("i-1"))
			is.Equal(q.Limits(), map[string]float64{})
		}
	})
}

// An entry that starts learns the rates from those that have heard them.
func TestRestartedEntryLearnsRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 1)
		f.entries[2].Heard("i-1", time.Now(), 1)
		f.run(10 * time.Second)
		for i := range f.entries {
			f.start(i)
			f.run(tick)
			is.Equal(f.entries[i].Limits(), map[string]float64{"i-1": 1})
		}
	})
}

// Upstreams that are gone take no memory, and there are bounds for those that are not.
func TestBoundOfUpstreams(t *testing.T) {
	is := is.New(t)
	q := newFleet(1, 0).entries[0]
	for i := range 2 * maxUpstreams {
		q.Heard(fmt.Sprint(i), time.Now(), 1)
	}
	is.Equal(len(q.Limits()), maxUpstreams)
	q.Forget(func(name string) bool { return name == "7" })
	is.Equal(q.Limits(), map[string]float64{"7": 1})
}

// Entries stop, start and are cut off from each other, and the rate changes. Together they stay
// within the users' bound, whatever happens in which order.
func TestRapidRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(rapid.IntRange(2, 8).Draw(rt, "entries"), rapid.Float64Range(0.2, 10).Draw(rt, "rate"))
			f.entries[0].Heard("i-1", time.Now(), f.rate)
			f.run(tick)
			start := time.Now()
			for range rapid.IntRange(1, 8).Draw(rt, "events") {
				f.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
				i := rapid.IntRange(0, len(f.entries)-1).Draw(rt, "entry")
				switch rapid.SampledFrom([]string{"stop", "start", "cut", "heal"}).Draw(rt, "event") {
				case "stop":
					f.up[i] = slices.Index(f.up, true) == i // the first one stays
				case "start":
					if !f.up[i] {
						f.up[i] = true
						f.start(i)
						f.entries[i].Merge([]Rate{{Upstream: "i-1", PerSecond: f.rate, At: time.Now()}})
					}
				case "cut":
					f.part[i] = 1
				case "heal":
					clear(f.part)
				}
			}
			f.run(window)
			if got := f.most(start); got > f.bound() {
				rt.Fatalf("%d requests in %s, bound %d at a rate of %g", got, window, f.bound(), f.rate)
			}
		})
	})
}
