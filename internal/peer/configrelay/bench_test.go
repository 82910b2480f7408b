package configrelay_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

const (
	benchDomains   = 4
	benchPerDomain = 3
	// changesPerDay is the required number of configuration changes a day.
	changesPerDay = 21000
	benchChanges  = 120
	burstChanges  = 300
	benchNames    = 20
)

// scenario is a fault under which changes are submitted.
type scenario struct {
	name         string
	bound        time.Duration
	changes      int
	names        int           // number of distinct objects that are changed
	every        time.Duration // between changes
	injectFaults func(f *fleet)
}

var changeInterval = 24 * time.Hour / changesPerDay

var scenarios = []scenario{
	{"healthy", boundHealthy, benchChanges, benchNames, changeInterval, func(*fleet) {}},
	{"burst", boundHealthy, burstChanges, burstChanges, time.Millisecond, func(*fleet) {}},
	{"domain_refused", boundFault, 4 * benchChanges, benchNames, changeInterval, func(f *fleet) { f.cutLog["d0"] = cutRefuse }},
	{"domain_silent", boundFault, 4 * benchChanges, benchNames, changeInterval, func(f *fleet) { f.cutLog["d0"] = cutSilent }},
	{"log_slow", boundFault, benchChanges, benchNames, changeInterval, func(f *fleet) { f.log.SetDelay(time.Second) }},
	{"log_rate_limited", boundFault, benchChanges, benchNames, changeInterval, func(f *fleet) { f.log.SetRate(2) }},
	{"answers_lost", boundFault, benchChanges, benchNames, changeInterval, func(f *fleet) { f.loseLog = benchChanges / 4 }},
}

// rounded returns d in milliseconds, rounded up to 10 ms, or to whole seconds above
// 100 ms: such delays include jitter, and runs must print the same figures.
func rounded(d time.Duration) int64 {
	unit := 10 * time.Millisecond
	if d > 100*time.Millisecond {
		unit = time.Second
	}
	return ((d + unit - 1) / unit * unit).Milliseconds()
}

// run injects the fault, submits the changes, the first one as the fault begins, and
// returns the sorted times from each submission to the change being in force at every
// entry.
func (s scenario) run(f *fleet) []time.Duration {
	f.set(func() { s.injectFaults(f) })
	var mu sync.Mutex
	var wg sync.WaitGroup
	var times []time.Duration
	live := f.live()
	for i := range s.changes {
		e := live[(i*7)%len(live)]
		wg.Go(func() {
			name, version := fmt.Sprint("d", i%s.names), uint64(0)
			if o, ok := e.store.View().Object(resource.TypeDeployment, name); ok {
				version = o.Metadata.Version
			}
			start := time.Now()
			out, err := e.store.Submit(ctx, put(fmt.Sprint("change-", i), name, version, fmt.Sprint("m", i)))
			if err != nil {
				f.failed(fmt.Errorf("%s after %s: %w", e.vm, time.Since(start), err))
				return
			}
			f.awaitOffset(out.Offset(), time.Minute)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(start))
		})
		time.Sleep(s.every)
	}
	wg.Wait()
	slices.Sort(times)
	return times
}

func TestBenchConfigInForce(t *testing.T) {
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			defer f.close()
			for i := range benchDomains * benchPerDomain {
				f.add(fmt.Sprint("d", i%benchDomains))
			}
			time.Sleep(10 * time.Second)
			before := f.log.Appends()
			times := s.run(f)
			if len(times) < s.changes {
				t.Errorf("%s: %d of %d changes were not accepted: %v", s.name, s.changes-len(times), s.changes, f.failures)
			}
			worst := times[len(times)-1]
			at := func(share float64) time.Duration { return times[int(share*float64(len(times)-1))] }
			fmt.Printf("config scenario=%s entries=%d changes=%d in_force_p50_ms=%d p99_ms=%d max_ms=%d appends_a_change=%.1f\n",
				s.name, len(f.live()), s.changes, rounded(at(0.5)), rounded(at(0.99)), rounded(worst),
				float64(f.log.Appends()-before)/float64(s.changes))
			if worst > s.bound {
				t.Errorf("%s: in force after %s, over the bound of %s", s.name, worst, s.bound)
			}
			if err := f.agree(); err != nil {
				t.Error(err)
			}
		})
	}
}
