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
	testWorkspace = "guild"
	testLimit     = 100.0
	// churnTolerance is the fraction by which the shares may exceed a limit while entries
	// detect a membership change at different times.
	churnTolerance = 0.25
	// maxDetectionDelay is the longest time until an entry detects a membership change.
	maxDetectionDelay = 3 * time.Second
)

var spec = resource.Limits{RequestsPerSecond: testLimit, TokensPerSecond: 1e6, ConcurrentTokens: 1e6}

// entry is a limiter and the reports that it sent.
type entry struct {
	l         *Limiter
	partition int // network partition that the entry is in
	down      bool
	listed    bool // the platform has not reported its end
	started   time.Time
	sent      []sentReport
	rate      float64 // requests per second
}

type sentReport struct {
	at     time.Time
	report *memberwire.Report
}

// fleet is a set of entries that receive each other's reports within the settle time. Each
// detects membership changes after a random delay.
type fleet struct {
	rand    *rand.Rand
	entries []*entry
	views   map[[2]int]view // of entry i on entry j
	maxSum  float64         // largest sum of the shares
}

type view struct {
	reachable, known bool
	pending          *view
	pendingAt        time.Time
}

func newFleet(seed uint64) *fleet {
	return &fleet{rand: rand.New(rand.NewPCG(seed, seed)), views: map[[2]int]view{}}
}

func (f *fleet) add() *entry {
	i := len(f.entries)
	e := &entry{listed: true, started: time.Now()}
	e.l = New(Seams{
		EntryCounts: func() (int, int) { return f.entryCounts(i) },
		Reports:     func() []*memberwire.Report { return f.reports(i) },
		Owns:        func(string) bool { return i == 0 },
	})
	f.entries = append(f.entries, e)
	f.updateViews()
	return e
}

// updateViews lets each entry detect the actual membership after a random delay.
func (f *fleet) updateViews() {
	for i, a := range f.entries {
		for j, b := range f.entries {
			actual := view{reachable: !b.down && a.partition == b.partition, known: b.listed}
			k := [2]int{i, j}
			v := f.views[k]
			if i == j {
				v = actual
			} else {
				v = v.current()
				if v.pending == nil { // else it detects both changes at once
					v.pendingAt = time.Now().Add(time.Duration(f.rand.Int64N(int64(maxDetectionDelay))))
				}
				v.pending = &actual
			}
			f.views[k] = v
		}
	}
}

// current returns the view at the current time.
func (v view) current() view {
	if v.pending != nil && !time.Now().Before(v.pendingAt) {
		return *v.pending
	}
	return v
}

func (f *fleet) entryCounts(i int) (reach, known int) {
	for j := range f.entries {
		v := f.views[[2]int{i, j}].current()
		if v.reachable {
			reach++
		}
		if v.reachable || v.known {
			known++
		}
	}
	return reach, max(known, min(2, len(f.entries))) // the seed addresses name another entry
}

func (f *fleet) reports(i int) (out []*memberwire.Report) {
	lag := SettleTime(len(f.entries)) / 2
	for j, e := range f.entries {
		if j == i || !f.views[[2]int{i, j}].current().reachable {
			continue
		}
		for n := len(e.sent) - 1; n >= 0; n-- {
			if time.Since(e.sent[n].at) >= lag {
				out = append(out, e.sent[n].report)
				break
			}
		}
	}
	return out
}

// step simulates a second of requests, with one report of each entry.
func (f *fleet) step() (admitted int) {
	for tick := range 10 {
		time.Sleep(100 * time.Millisecond)
		for i, e := range f.entries {
			if e.down {
				continue
			}
			for range int(e.rate/10 + f.rand.Float64()) {
				if release, _, ok := e.l.Limit(testWorkspace, spec, 10); ok {
					release()
					admitted++
				}
			}
			if tick == i%10 {
				r := &memberwire.Report{Vm: fmt.Sprint(i)}
				e.l.Report(r)
				e.sent = append(e.sent[max(0, len(e.sent)-20):], sentReport{time.Now(), r})
			}
		}
	}
	return admitted
}

// sum returns the sum of the running entries' shares.
func (f *fleet) sum() (sum float64) {
	for _, e := range f.entries {
		if !e.down {
			sum += e.share()
		}
	}
	return sum
}

func (e *entry) share() float64 {
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	e.l.refresh()
	if s := e.l.workspaces[testWorkspace]; s != nil {
		return e.l.share(s, requests)
	}
	return e.l.group.share(testLimit, 0, e.l.demandOf(uint32(xxh3.HashString(testWorkspace))).wanted[requests])
}

func runSynctest(t *testing.T, f func(is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(is.New(t)) })
}

func TestSharesFollowDemand(t *testing.T) {
	runSynctest(t, func(is *is.I) {
		f := newFleet(1)
		for range 4 {
			f.add().rate = 1
		}
		f.entries[0].rate = 200
		for range 30 {
			f.step()
		}
		is.True(f.entries[0].share() > 0.8*testLimit)
		admitted := 0
		for range 20 {
			admitted += f.step()
		}
		is.True(float64(admitted) <= 20*testLimit*1.02) // at most the limit
		is.True(float64(admitted) >= 20*testLimit*0.8)  // and most of it

		f.entries[0].rate, f.entries[3].rate = 1, 200 // the demand moves
		for range 40 {
			f.step()
		}
		is.True(f.entries[3].share() > 0.8*testLimit)
		is.True(f.sum() <= testLimit*1.01)
	})
}

func TestPartitionsKeepTheirShares(t *testing.T) {
	runSynctest(t, func(is *is.I) {
		f := newFleet(2)
		for range 5 {
			f.add().rate = 100
		}
		for range 20 {
			f.step()
		}
		f.entries[0].partition, f.entries[1].partition = 1, 1
		f.updateViews()
		for range 30 {
			f.step()
		}
		small := f.entries[0].share() + f.entries[1].share()
		is.True(small > 0.39*testLimit && small < 0.41*testLimit)
		is.True(f.sum() <= testLimit*1.01)
	})
}

func TestShareOfEndedEntryIsReassigned(t *testing.T) {
	runSynctest(t, func(is *is.I) {
		f := newFleet(3)
		for range 4 {
			f.add().rate = 100
		}
		for range 20 {
			f.step()
		}
		f.entries[1].down = true
		f.updateViews()
		for range 10 {
			f.step()
		}
		is.True(f.sum() < 0.76*testLimit) // the ended entry may be serving, as far as others know
		f.entries[1].listed = false       // the platform reports that it ended
		f.updateViews()
		for range 10 {
			f.step()
		}
		is.True(f.sum() > 0.99*testLimit)
	})
}

func TestStartupAdmissionIsBounded(t *testing.T) {
	runSynctest(t, func(is *is.I) {
		alone := New(Seams{
			EntryCounts: func() (int, int) { return 1, 1 },
			Reports:     func() []*memberwire.Report { return nil },
			Owns:        func(string) bool { return true },
		})
		admitted := 0
		for range 1000 {
			if _, after, ok := alone.Limit(testWorkspace, spec, 1); ok {
				admitted++
			} else {
				is.True(after > 0)
			}
		}
		is.Equal(admitted, int(testLimit*burstWindow.Seconds()))

		seeded := New(Seams{
			EntryCounts: func() (int, int) { return 1, 4 }, // the seed addresses name three other entries
			Reports:     func() []*memberwire.Report { return nil },
			Owns:        func(string) bool { return false },
		})
		_, _, ok := seeded.Limit(testWorkspace, spec, 1)
		is.True(ok)
		_, _, ok = seeded.Limit(testWorkspace, spec, 1)
		is.True(!ok)
		for range 10 {
			time.Sleep(time.Second)
			seeded.Report(&memberwire.Report{})
		}
		_, _, ok = seeded.Limit(testWorkspace, spec, 1)
		is.True(ok)
	})
}

func TestConcurrentTokens(t *testing.T) {
	runSynctest(t, func(is *is.I) {
		f := newFleet(4)
		e := f.add()
		f.add()
		limits := resource.Limits{ConcurrentTokens: 1000}
		for range 10 {
			f.step()
		}
		release, _, ok := e.l.Limit(testWorkspace, limits, 500)
		is.True(ok)
		_, after, ok := f.entries[1].l.Limit(testWorkspace, limits, 700) // more than its share
		is.True(!ok && after > 0)
		_, after, ok = e.l.Limit(testWorkspace, limits, 2000)
		is.True(!ok)
		is.Equal(after, maxRetryAfter)
		release()
		release()                                        // a second call does nothing
		_, _, ok = e.l.Limit(testWorkspace, limits, 900) // oversized, but this entry's turn, and all tokens are free
		is.True(ok)
	})
}

// TestRapidLimits adds, ends, partitions and reconnects entries and moves the demand. The
// shares must never add up to more than the limit plus the tolerance.
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
			f.maxSum = max(f.maxSum, sum)
			if sum > testLimit*(1+churnTolerance) {
				return fmt.Errorf("shares add up to %.1f of %.0f after act %d", sum, testLimit, act)
			}
		}
	}
	for _, e := range f.entries {
		e.partition = 0
	}
	f.updateViews()
	for range 20 {
		f.step()
	}
	if sum := f.sum(); sum > testLimit*1.01 {
		return fmt.Errorf("shares add up to %.1f of %.0f after the last change settled", sum, testLimit)
	}
	return nil
}

func (f *fleet) act(act int) {
	e := f.entries[f.rand.IntN(len(f.entries))]
	switch act {
	case 0:
		f.add()
	case 1: // crashes, which looks to others like an unreachable entry
		e.down = len(f.entries) > 1
	case 2: // ends, and the platform reports it
		e.down, e.listed = true, false
	case 3:
		e.partition = 1 - e.partition
	case 4:
		for _, e := range f.entries {
			e.partition = 0
		}
	case 5:
		e.rate = float64(f.rand.IntN(300))
	}
	f.updateViews()
}

// skewed runs a fleet with its demand at a few entries. It returns the number of admitted
// requests and the number that fixed shares would admit.
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
		fixed += min(e.rate, testLimit/float64(len(f.entries)))
	}
	return f.step(), fixed
}

// TestBenchLimits measures how much of a limit is used with skewed demand, and by how much
// the shares exceed it under membership churn.
func TestBenchLimits(t *testing.T) {
	const entries, seconds = 16, 60
	for demand, moving := range []bool{false, true} {
		admitted, fixed := skewed(t, entries, seconds, moving)
		name := []string{"skewed", "skewed_moving_every_30s"}[demand]
		fmt.Printf("limits name=dogwoodmill entries=%d demand=%s admitted_percent=%.1f\n", entries, name, float64(admitted)/seconds/testLimit*100)
		fmt.Printf("limits name=fixed_shares entries=%d demand=%s admitted_percent=%.1f\n", entries, name, fixed/seconds/testLimit*100)
		if float64(admitted) > seconds*testLimit*(1+burstWindow.Seconds()/seconds) {
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
			worst = max(worst, f.maxSum)
		})
	}
	fmt.Printf("limits event=churn runs=%d acts=12 worst_sum_percent=%.1f bound_percent=%.0f\n", runs, worst/testLimit*100, (1+churnTolerance)*100)
}
