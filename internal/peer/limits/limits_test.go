package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	space1    = "guild"
	limitRate = 100.0
	// churnBound is by how much the shares may exceed a limit while entries learn of
	// a change of the membership at different times.
	churnBound = 0.25
	// noticeTime is the longest time until an entry knows of a change.
	noticeTime = 3 * time.Second
)

var spec = resource.Limits{RequestsPerSecond: limitRate, TokensPerSecond: 1e6, ConcurrentTokens: 1e6}

// entry is a limiter and its view of the others, each with a delay of its own.
type entry struct {
	l      *Limiter
	part   int // of a partition
	dead   bool
	listed bool // nobody knows that it ended
	since  time.Time
	told   []told
	rate   float64 // of requests
}

type told struct {
	at time.Time
	r  *memberwire.Report
}

// fleet is entries that tell each other their reports within the settle time.
type fleet struct {
	rand    *rand.Rand
	entries []*entry
	views   map[[2]int]view // what i knows of j
	worst   float64         // largest sum of the shares
}

type view struct {
	reach, known bool
	next         *view
	at           time.Time
}

func newFleet(seed uint64) *fleet {
	return &fleet{rand: rand.New(rand.NewPCG(seed, seed)), views: map[[2]int]view{}}
}

func (f *fleet) add() *entry {
	i := len(f.entries)
	e := &entry{listed: true, since: time.Now()}
	e.l = New(Seams{
		Shares:  func() (int, int) { return f.shares(i) },
		Reports: func() []*memberwire.Report { return f.reports(i) },
		Turn:    func(string) bool { return i == 0 },
	})
	f.entries = append(f.entries, e)
	f.changed()
	return e
}

// changed lets each entry know the truth after a delay of its own.
func (f *fleet) changed() {
	for i, a := range f.entries {
		for j, b := range f.entries {
			truth := view{reach: !b.dead && a.part == b.part, known: b.listed}
			k := [2]int{i, j}
			v := f.views[k]
			if i == j {
				v = truth
			} else {
				v = v.now()
				if v.next == nil { // else it learns of both changes at once
					v.at = time.Now().Add(time.Duration(f.rand.Int64N(int64(noticeTime))))
				}
				v.next = &truth
			}
			f.views[k] = v
		}
	}
}

// now is what is known at this time.
func (v view) now() view {
	if v.next != nil && !time.Now().Before(v.at) {
		return *v.next
	}
	return v
}

func (f *fleet) shares(i int) (reach, known int) {
	for j := range f.entries {
		v := f.views[[2]int{i, j}].now()
		if v.reach {
			reach++
		}
		if v.reach || v.known {
			known++
		}
	}
	return reach, max(known, min(2, len(f.entries))) // its seeds name another one
}

func (f *fleet) reports(i int) (out []*memberwire.Report) {
	lag := SettleTime(len(f.entries)) / 2
	for j, e := range f.entries {
		if j == i || !f.views[[2]int{i, j}].now().reach {
			continue
		}
		for n := len(e.told) - 1; n >= 0; n-- {
			if time.Since(e.told[n].at) >= lag {
				out = append(out, e.told[n].r)
				break
			}
		}
	}
	return out
}

// step runs a second: requests and a report at each entry.
func (f *fleet) step() (admitted int) {
	for tick := range 10 {
		time.Sleep(100 * time.Millisecond)
		for i, e := range f.entries {
			if e.dead {
				continue
			}
			for range int(e.rate/10 + f.rand.Float64()) {
				if release, _, ok := e.l.Limit(space1, spec, 10); ok {
					release()
					admitted++
				}
			}
			if tick == i%10 {
				r := &memberwire.Report{Vm: fmt.Sprint(i)}
				e.l.Report(r)
				e.told = append(e.told[max(0, len(e.told)-20):], told{time.Now(), r})
			}
		}
	}
	return admitted
}

// sum returns the sum of the shares of the entries that run.
func (f *fleet) sum() (sum float64) {
	for _, e := range f.entries {
		if !e.dead {
			sum += e.share()
		}
	}
	return sum
}

func (e *entry) share() float64 {
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	e.l.index()
	if s := e.l.spaces[space1]; s != nil {
		return e.l.share(s, requests)
	}
	return e.l.group.share(limitRate, 0, e.l.of(uint32(xxh3.HashString(space1))).wanted[requests])
}

func inBubble(t *testing.T, f func(is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(is.New(t)) })
}

func TestSharesFollowDemand(t *testing.T) {
	inBubble(t, func(is *is.I) {
		f := newFleet(1)
		for range 4 {
			f.add().rate = 1
		}
		f.entries[0].rate = 200
		for range 30 {
			f.step()
		}
		is.True(f.entries[0].share() > 0.8*limitRate)
		admitted := 0
		for range 20 {
			admitted += f.step()
		}
		is.True(float64(admitted) <= 20*limitRate*1.02) // never more than the limit
		is.True(float64(admitted) >= 20*limitRate*0.8)  // and nearly all of it

		f.entries[0].rate, f.entries[3].rate = 1, 200 // the demand moves
		for range 40 {
			f.step()
		}
		is.True(f.entries[3].share() > 0.8*limitRate)
		is.True(f.sum() <= limitRate*1.01)
	})
}

func TestPartsOfAPartitionKeepTheirShares(t *testing.T) {
	inBubble(t, func(is *is.I) {
		f := newFleet(2)
		for range 5 {
			f.add().rate = 100
		}
		for range 20 {
			f.step()
		}
		f.entries[0].part, f.entries[1].part = 1, 1
		f.changed()
		for range 30 {
			f.step()
		}
		small := f.entries[0].share() + f.entries[1].share()
		is.True(small > 0.39*limitRate && small < 0.41*limitRate)
		is.True(f.sum() <= limitRate*1.01)
	})
}

func TestShareOfADeadVMComesBack(t *testing.T) {
	inBubble(t, func(is *is.I) {
		f := newFleet(3)
		for range 4 {
			f.add().rate = 100
		}
		for range 20 {
			f.step()
		}
		f.entries[1].dead = true
		f.changed()
		for range 10 {
			f.step()
		}
		is.True(f.sum() < 0.76*limitRate) // it may be cut off and serving
		f.entries[1].listed = false       // the platform says that it ended
		f.changed()
		for range 10 {
			f.step()
		}
		is.True(f.sum() > 0.99*limitRate)
	})
}

func TestStartIsNeitherFreeNorStuck(t *testing.T) {
	inBubble(t, func(is *is.I) {
		alone := New(Seams{
			Shares:  func() (int, int) { return 1, 1 },
			Reports: func() []*memberwire.Report { return nil },
			Turn:    func(string) bool { return true },
		})
		admitted := 0
		for range 1000 {
			if _, after, ok := alone.Limit(space1, spec, 1); ok {
				admitted++
			} else {
				is.True(after > 0)
			}
		}
		is.Equal(admitted, int(limitRate*burstTime.Seconds()))

		seeded := New(Seams{
			Shares:  func() (int, int) { return 1, 4 }, // by its seeds there are three others
			Reports: func() []*memberwire.Report { return nil },
			Turn:    func(string) bool { return false },
		})
		_, _, ok := seeded.Limit(space1, spec, 1)
		is.True(ok)
		_, _, ok = seeded.Limit(space1, spec, 1)
		is.True(!ok)
		for range 10 {
			time.Sleep(time.Second)
			seeded.Report(&memberwire.Report{})
		}
		_, _, ok = seeded.Limit(space1, spec, 1)
		is.True(ok)
	})
}

func TestConcurrentTokens(t *testing.T) {
	inBubble(t, func(is *is.I) {
		f := newFleet(4)
		e := f.add()
		f.add()
		limits := resource.Limits{ConcurrentTokens: 1000}
		for range 10 {
			f.step()
		}
		release, _, ok := e.l.Limit(space1, limits, 500)
		is.True(ok)
		_, after, ok := f.entries[1].l.Limit(space1, limits, 700) // more than its half
		is.True(!ok && after > 0)
		_, after, ok = e.l.Limit(space1, limits, 2000)
		is.True(!ok)
		is.Equal(after, retryMost)
		release()
		release()                                 // a second call does nothing
		_, _, ok = e.l.Limit(space1, limits, 900) // its turn, and all is free
		is.True(ok)
	})
}

// TestRapidLimits joins, ends, cuts and heals entries and moves the demand. The
// shares never sum up to more than the limit and the bound.
func TestRapidLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		acts := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(rt, "acts")
		var err error
		synctest.Test(t, func(*testing.T) { err = newFleet(seed).churn(acts) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func (f *fleet) churn(acts []int) error {
	for range 4 {
		f.add()
	}
	for range 10 {
		f.step()
	}
	for _, act := range acts {
		f.act(act)
		for range 1 + f.rand.IntN(12) {
			f.step()
			sum := f.sum()
			f.worst = max(f.worst, sum)
			if sum > limitRate*(1+churnBound) {
				return fmt.Errorf("shares sum up to %.1f of %.0f after act %d", sum, limitRate, act)
			}
		}
	}
	for _, e := range f.entries {
		e.part = 0
	}
	f.changed()
	for range 20 {
		f.step()
	}
	if sum := f.sum(); sum > limitRate*1.01 {
		return fmt.Errorf("after quiet shares sum up to %.1f of %.0f", sum, limitRate)
	}
	return nil
}

func (f *fleet) act(act int) {
	e := f.entries[f.rand.IntN(len(f.entries))]
	switch act {
	case 0:
		f.add()
	case 1: // ends, and nobody knows whether it is cut off
		e.dead = len(f.entries) > 1
	case 2: // leaves
		e.dead, e.listed = true, false
	case 3:
		e.part = 1 - e.part
	case 4:
		for _, e := range f.entries {
			e.part = 0
		}
	case 5:
		e.rate = float64(f.rand.IntN(300))
	}
	f.changed()
}

// skewed runs a fleet whose demand is at a few entries, and returns the requests
// admitted and those that fixed shares would admit.
func skewed(t *testing.T, entries, seconds int, moving bool) (admitted int, fixed float64) {
	const hot, warm = 3, 30
	synctest.Test(t, func(*testing.T) {
		f := newFleet(5)
		for range entries {
			f.add()
		}
		for i := range warm + seconds {
			first := 0
			if moving {
				first = i / warm * hot
			}
			n, even := f.skewedStep(first, first+hot)
			if i >= warm {
				admitted, fixed = admitted+n, fixed+even
			}
		}
	})
	return admitted, fixed
}

func (f *fleet) skewedStep(first, end int) (admitted int, fixed float64) {
	for i, e := range f.entries {
		e.rate = 1
		if i >= first && i < end {
			e.rate = 60
		}
		fixed += min(e.rate, limitRate/float64(len(f.entries)))
	}
	return f.step(), fixed
}

// TestBenchLimits measures how much of a limit is used where demand is skewed, and
// by how much shares exceed it under churn.
func TestBenchLimits(t *testing.T) {
	const entries, seconds = 16, 60
	for demand, moving := range []bool{false, true} {
		admitted, fixed := skewed(t, entries, seconds, moving)
		name := []string{"skewed", "skewed_moving_every_30s"}[demand]
		fmt.Printf("limits name=dogwoodmill entries=%d demand=%s admitted_percent=%.1f\n", entries, name, float64(admitted)/seconds/limitRate*100)
		fmt.Printf("limits name=fixed_shares entries=%d demand=%s admitted_percent=%.1f\n", entries, name, fixed/seconds/limitRate*100)
		if float64(admitted) > seconds*limitRate*(1+burstTime.Seconds()/seconds) {
			t.Errorf("%d requests admitted in %d seconds", admitted, seconds)
		}
	}
	const runs = 200
	worst, r := 0.0, rand.New(rand.NewPCG(9, 9))
	for seed := range uint64(runs) {
		var acts []int
		for range 12 {
			acts = append(acts, r.IntN(6))
		}
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed)
			if err := f.churn(acts); err != nil {
				t.Error(err)
			}
			worst = max(worst, f.worst)
		})
	}
	fmt.Printf("limits event=churn runs=%d acts=12 worst_sum_percent=%.1f bound_percent=%.0f\n", runs, worst/limitRate*100, (1+churnBound)*100)
}
