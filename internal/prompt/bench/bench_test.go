package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Bounds for scenarios whose load is within capacity. maxSlowdown also holds at the tenfold
// rate.
const (
	maxShortFirst = 1900 * time.Millisecond
	maxTokenGap   = 78 * time.Millisecond
	maxSlowdown   = 1.2
)

// TestBenchPolicies prints a line for each scenario and policy, checks the bounds and compares
// the scheduler with the baselines. BENCH_FULL=1 adds the second deployment.
func TestBenchPolicies(t *testing.T) {
	deps := []deployment{guild}
	if os.Getenv("BENCH_FULL") != "" {
		deps = append(deps, loomwire)
	}
	for _, d := range deps {
		for _, sc := range scenarios(d) {
			t.Run(sc.name, func(t *testing.T) {
				p := runPair(sc, newSchedulerPolicy)
				fmt.Println(p.line("dogwoodmill"))
				checkOutcomes(t, sc, p.with)
				checkTarget(t, sc, p)
				checkBaselines(t, sc, p)
			})
		}
	}
}

// checkTarget checks the bounds that do not depend on the baselines.
func checkTarget(t *testing.T, sc scenario, p pair) {
	t.Helper()
	if sc.allEnginesLive && p.with.late > 0 {
		t.Errorf("%d admitted requests were not answered in time", p.with.late)
	}
	if !sc.withinCapacity {
		return
	}
	if d := p.with.firstToken(0, 0.95); d > maxShortFirst {
		t.Errorf("first token of short prompts: p95 %v, want at most %v", d, maxShortFirst)
	}
	if d := p.with.tokenGapQuantile(0.95); d > maxTokenGap {
		t.Errorf("between tokens: p95 %v, want at most %v", d, maxTokenGap)
	}
	if x := p.with.slowdown(p.without); x > maxSlowdown {
		t.Errorf("short slowdown %.2f, want at most %.2f", x, maxSlowdown)
	}
}

// checkBaselines runs the baselines and checks that none has better results than
// the scheduler.
func checkBaselines(t *testing.T, sc scenario, sched pair) {
	t.Helper()
	for _, m := range baselines {
		p := runPair(sc, newBaseline(m))
		fmt.Println(p.line(m.name))
		checkOutcomes(t, sc, p.with)
		if p.with.goodput() > sched.with.goodput() {
			t.Errorf("goodput %.4f, with %s %.4f", sched.with.goodput(), m.name, p.with.goodput())
		}
		if sc.rateFactor == 10 {
			checkSlowdown(t, m.name, sched, p)
		}
		if sc.rateFactor == 10 && p.with.firstToken(0, 0.95) < sched.with.firstToken(0, 0.95) {
			t.Errorf("%s has the faster first token of short prompts", m.name)
		}
	}
}

// checkSlowdown compares how much long prompts slow down short ones. A baseline whose short
// prompts exceed maxShortFirst even without long ones is saturated: with and without long
// prompts its waits are near the patience of the callers, so their ratio does not show the
// effect of long prompts. Then the scheduler with long prompts has to be faster than the
// baseline without them.
func checkSlowdown(t *testing.T, name string, sched, base pair) {
	t.Helper()
	if x := sched.with.slowdown(sched.without); x > maxSlowdown {
		t.Errorf("short slowdown %.4f, want at most %.2f", x, maxSlowdown)
	}
	if alone := base.without.firstToken(0, 0.95); alone > maxShortFirst {
		if d := sched.with.firstToken(0, 0.95); d >= alone {
			t.Errorf("first token of short prompts beside long ones: p95 %v, with %s without long ones %v", d, name, alone)
		}
		return
	}
	if x, y := sched.with.slowdown(sched.without), base.with.slowdown(base.without); y < x {
		t.Errorf("short slowdown %.4f, with %s %.4f", x, name, y)
	}
}

// pair holds the results of a run with the long prompts and one without.
type pair struct{ with, without *result }

func (p pair) line(name string) string { return p.with.line(name, p.without) }

func runPair(sc scenario, f func(s *sim, entry int) policy) pair {
	trace := sc.trace()
	without := withoutLong(trace)
	return pair{run(sc, trace, f), run(sc, without, f)}
}

// checkOutcomes checks that each request has exactly one outcome.
func checkOutcomes(t *testing.T, sc scenario, res *result) {
	t.Helper()
	asked, ended := 0, res.late+res.lost+res.refusals
	for i := range res.asked {
		asked, ended = asked+res.asked[i], ended+res.answered[i]
	}
	if asked != ended {
		t.Errorf("%s: %d requests, %d outcomes", sc.name, asked, ended)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	sc := scenarios(guild)[2]
	m := baselines[1]
	a, b := runPair(sc, newBaseline(m)).line(m.name), runPair(sc, newBaseline(m)).line(m.name)
	if a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}
