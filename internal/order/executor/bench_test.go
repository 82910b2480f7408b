package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	benchTime        = 30 * time.Second
	benchServerDelay = 20 * time.Millisecond
	// maxPerOrder is the upper bound of append calls per order under load.
	maxPerOrder = 1.0
)

// benchResult holds the costs and times of orders at one rate and setup.
type benchResult struct {
	appendsPerOrder float64
	p50, p95        time.Duration
}

func measure(entries int, rate float64, gap time.Duration) (out benchResult) {
	sim := newSimulation(entries)
	sim.serverDelay = benchServerDelay
	calls := sim.groupAppends(gap)
	time.Sleep(time.Second)
	m := &machine{sim: sim}
	r := rand.New(rand.NewPCG(1, uint64(rate)))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var times []time.Duration
	for start := time.Now(); time.Since(start) < benchTime; {
		c := &call{key: m.newKey(0)}
		n := sim.nodes[r.IntN(entries)]
		wg.Go(func() {
			began := time.Now()
			n.submit(c, patience)
			mu.Lock()
			defer mu.Unlock()
			if c.err == nil {
				times = append(times, time.Since(began))
			}
		})
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
	}
	wg.Wait()
	time.Sleep(time.Second)
	out.appendsPerOrder = float64(calls()) / float64(len(times))
	slices.Sort(times)
	out.p50, out.p95 = times[len(times)/2], times[len(times)*95/100]
	for _, n := range sim.nodes {
		n.stop()
	}
	return out
}

// groupAppends makes the entries batch their appends and returns a function that
// counts the append calls.
func (sim *simulation) groupAppends(gap time.Duration) func() int {
	calls := 0
	for _, n := range sim.nodes {
		limiter := logservice.NewLimiter(logservice.DefaultEntryAppends)
		for i := range n.appenders {
			n.appenders[i] = logservice.NewAppender(logservice.AppenderConfig{
				Append: func(_ context.Context, records [][]byte) (uint64, error) {
					n.sleep(logLatency)
					defer n.sleep(logLatency)
					sim.mu.Lock()
					defer sim.mu.Unlock()
					calls++
					first := sim.streams[i].next()
					for _, rec := range records {
						sim.store(i, rec)
					}
					sim.notify()
					return first, nil
				},
				Limiter: limiter,
				Gap:     gap,
			})
		}
	}
	return func() int {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		return calls
	}
}

func TestBenchOrders(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{1, 10, 200} {
		for _, setup := range []struct {
			name    string
			entries int
			gap     time.Duration
		}{
			{"each_entry_at_once", 4, 0},
			{"each_entry", 4, executor.AppendGap},
			{"writer_a_stream", 1, executor.AppendGap / 3},
		} {
			var f benchResult
			synctest.Test(t, func(*testing.T) { f = measure(setup.entries, rate, setup.gap) })
			fmt.Printf("orders rate=%g way=%s gap_ms=%d streams=%d appends_per_order=%.2f p50_ms=%d p95_ms=%d\n", rate, setup.name,
				setup.gap.Milliseconds(), ledger.Streams, f.appendsPerOrder, f.p50.Milliseconds(), f.p95.Milliseconds())
			if rate >= 200 && setup.gap > 0 {
				is.True(f.appendsPerOrder < maxPerOrder)
			}
		}
	}
}

func TestBenchDoubleExecutions(t *testing.T) {
	is := is.New(t)
	const scripts = 200
	steps, double, wrong := 0, 0, 0
	script := rapid.SliceOfN(rapid.Custom(drawStep), rapidSteps/2, rapidSteps/2)
	for seed := range scripts {
		s := script.Example(seed)
		steps += len(s)
		synctest.Test(t, func(*testing.T) {
			for _, f := range runSteps(s) {
				wrong++
				if strings.Contains(f, "times") {
					double++
				}
			}
		})
	}
	fmt.Printf("orders fuzzed_steps=%d double_executions=%d wrong_answers=%d\n", steps, double, wrong-double)
	is.Equal(wrong, 0)
}
