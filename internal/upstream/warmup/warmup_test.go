package warmup

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
)

const (
	tick    = 20 * time.Millisecond
	rate    = 17.0
	overrun = 1.5
	slack   = 5.0
	bound   = 30 // rate * overrun + slack, in whole requests
)

// fleet is a number of entries before upstreams that are all cold. Entries never hear from each other.
type fleet struct {
	entries   []*Limiter
	names     []string
	upstreams []string
	sent      map[string][]time.Time
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{sent: map[string][]time.Time{}}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, fmt.Sprint("i-", i))
	}
	for i := range entries {
		f.names = append(f.names, fmt.Sprint("vm-", i))
		f.entries = append(f.entries, nil)
		f.start(i)
	}
	for _, q := range f.entries {
		q.SetEntries(f.names)
	}
	time.Sleep(2 * handoverDelay)
	f.cool()
	return f
}

// start starts an entry without a list of the entries.
func (f *fleet) start(i int) {
	f.entries[i] = New(Settings{Self: f.names[i], Overrun: overrun, Slack: slack, Now: time.Now, Log: log.New(io.Discard)})
}

// upstreamsOf returns the number of cold upstreams: a third of 54, or fewer where that takes long.
func upstreamsOf(entries int) int {
	if entries > 100 {
		return 6
	}
	return 18
}

func (f *fleet) cool() {
	for _, q := range f.entries {
		f.coolAt(q)
	}
}

func (f *fleet) coolAt(q *Limiter) {
	for _, name := range f.upstreams {
		q.Cold(name, time.Now().Add(time.Hour), rate)
	}
}

// run lets every entry send as much as it may for a time, as when all of them redirect their requests
// to the cold upstreams.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for _, q := range f.entries {
			for _, name := range f.upstreams {
				for n := 1; n > 0; {
					n = f.send(q, name)
				}
			}
		}
	}
}

// send lets an entry send one request if it may, and returns how many it sent.
func (f *fleet) send(q *Limiter, name string) int {
	if !q.Allows(name) {
		return 0
	}
	q.Take(name)
	f.sent[name] = append(f.sent[name], time.Now())
	return 1
}

// most returns the most requests that an upstream got in any second.
func (f *fleet) most() int {
	most := 0
	for _, sent := range f.sent {
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against more requests than a cold upstream takes when all entries redirect to it at once, and
// against cold upstreams that take nothing, so that the warm ones are overloaded.
func TestColdUpstreamsTakeTheirRate(t *testing.T) {
	for _, n := range []int{4, 26, 1100} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, upstreamsOf(n))
			const d = 4 * time.Second
			f.run(d)
			is.True(f.most() <= bound)
			for _, name := range f.upstreams {
				is.True(float64(len(f.sent[name])) >= 0.85*rate*d.Seconds())
			}
			t.Logf("%d entries: most %d in a second, bound %d", n, f.most(), bound)
		})
	}
}

// Guards against a sum of shares above the bound while some entries know a list with one entry more or
// one less, in either order, for as long as they are cut off from the store.
func TestEntriesWithDifferentLists(t *testing.T) {
	for _, n := range []int{4, 26, 1100} {
		for _, more := range []int{-1, 1} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n, upstreamsOf(n))
				f.run(time.Second)
				list := f.names[:n-1]
				if more > 0 {
					f.names = append(f.names, "vm-new")
					f.entries = append(f.entries, nil)
					f.start(n)
					list = f.names
				}
				for i, q := range f.entries {
					if i%2 == 0 || i == n {
						q.SetEntries(list)
					}
				}
				f.cool()
				f.run(5 * time.Second)
				is.True(f.most() <= bound)
				t.Logf("%d entries, %+d: most %d in a second, bound %d", n, more, f.most(), bound)
			})
		}
	}
}

// Guards against requests beyond the bound from an entry that restarts and has forgotten what it sent,
// and from all entries if they restart at once and know no list yet.
func TestRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(26, 3)
		for range 5 {
			f.run(300 * time.Millisecond)
			f.start(3)
			f.coolAt(f.entries[3])
			f.run(200 * time.Millisecond)
			f.entries[3].SetEntries(f.names)
		}
		is.True(f.most() <= bound)
		for i := range f.entries {
			f.start(i)
		}
		f.cool()
		f.run(5 * time.Second)
		is.True(f.most() <= bound)
	})
}

// Guards against a limit on warm upstreams and on services without a rate, and one that stays after
// the cold time.
func TestOnlyColdUpstreamsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(26, 0)
		q := f.entries[0]
		q.Cold("no-rate", time.Now().Add(time.Hour), 0)
		q.Cold("warm", time.Now(), rate)
		is.Equal(len(q.State()), 0)
		for range 1000 {
			is.True(q.Allows("no-rate") && q.Allows("warm") && q.Allows("unknown"))
			q.Take("warm")
		}
		q.Cold("i-1", time.Now().Add(time.Second), rate)
		is.True(q.IsCold("i-1") && !q.Allows("i-1"))
		time.Sleep(time.Second)
		is.True(!q.IsCold("i-1") && q.Allows("i-1"))
	})
}

// Guards against a 421 that uses up an owner's share: the upstream does not count it.
func TestReturnedRequestIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		q := f.entries[0]
		time.Sleep(time.Second)
		is.True(q.Allows("i-0"))
		q.Take("i-0")
		is.True(!q.Allows("i-0"))
		q.Return("i-0")
		is.True(q.Allows("i-0"))
		q.Return("i-0")
		q.Take("i-0")
		is.True(!q.Allows("i-0")) // no more than was saved up
	})
}

// Guards against entries that own no cold upstream and can't use any, and against grants that are sent
// beyond the bound: late ones, and many at once.
func TestGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(26, 1)
		const name = "i-0"
		served := map[int]int{}
		var mu sync.Mutex // of f and served: grants whose delays end at the same time send concurrently
		delays := []time.Duration{0, GrantTime / 2, GrantTime - time.Millisecond, GrantTime}
		for round := range 500 {
			for j := range f.entries {
				i := (round + j) % len(f.entries)
				q := f.entries[i]
				others, own := q.Owners(name)
				is.Equal(len(others), map[bool]int{true: 3, false: 4}[own])
				if own {
					continue
				}
				for k, owner := range others {
					if f.entries[slices.Index(f.names, owner)].Grant(name) {
						q.Granted(name, time.Now())
						time.AfterFunc(delays[(i+k)%len(delays)], func() {
							mu.Lock()
							defer mu.Unlock()
							served[i] += f.send(q, name)
						})
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(f.most() <= bound)
		is.True(len(f.sent[name]) >= 40) // of 85; the last of the delays is too long
		for _, q := range f.entries {
			is.True(!q.upstreams[name].hasGrant(time.Now()))
		}
		t.Logf("most %d in a second, %d sent, by %d entries", f.most(), len(f.sent[name]), len(served))
	})
}

// Guards against rates, bounds and numbers of entries for which the shares of all owners, with one
// entry that is on some lists only, are above the bound.
func TestRapidShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(0, 40).Draw(rt, "entries")
		rate := rapid.Float64Range(0.2, 500).Draw(rt, "rate")
		q := New(Settings{Overrun: rapid.Float64Range(1, 3).Draw(rt, "overrun"), Slack: rapid.Float64Range(3, 20).Draw(rt, "slack"), Log: log.New(io.Discard)})
		q.entries = slices.Repeat([]string{"vm"}, entries)
		owners, share := q.divide(rate)
		u := upstream{share: share}
		if sent, most := float64(owners+1)*(share*(1+GrantTime.Seconds())+u.capacity()), rate*q.cfg.Overrun+q.cfg.Slack; sent > most+1e-6 {
			rt.Fatalf("%d owners with %g a second each send %g in a second, bound %g", owners, share, sent, most)
		}
	})
}
