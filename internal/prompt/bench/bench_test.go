package bench

import (
	"fmt"
	"os"
	"testing"
)

// TestBenchPolicies prints a line for each scenario and policy. BENCH_FULL=1 adds
// the second deployment.
func TestBenchPolicies(t *testing.T) {
	deps := []deployment{guild}
	if os.Getenv("BENCH_FULL") != "" {
		deps = append(deps, loomwire)
	}
	for _, d := range deps {
		for _, sc := range scenarios(d) {
			for _, m := range baselines {
				p := both(sc, newBaseline(m))
				fmt.Println(p.line(m.name))
				checkEnds(t, sc, p.with)
			}
		}
	}
}

// pair is a run with the long prompts and one without.
type pair struct{ with, without *result }

func (p pair) line(name string) string { return p.with.line(name, p.without) }

func both(sc scenario, f func(s *sim, entry int) policy) pair {
	trace := sc.trace()
	without := withoutLong(trace)
	return pair{run(sc, trace, f), run(sc, without, f)}
}

// checkEnds checks that each request had exactly one end.
func checkEnds(t *testing.T, sc scenario, res *result) {
	t.Helper()
	asked, ended := 0, res.late+res.lost+res.refusals
	for i := range res.asked {
		asked, ended = asked+res.asked[i], ended+res.answered[i]
	}
	if asked != ended {
		t.Errorf("%s: %d requests, %d ends", sc.name, asked, ended)
	}
}

func TestRunsPrintTheSame(t *testing.T) {
	sc := scenarios(guild)[2]
	m := baselines[1]
	a, b := both(sc, newBaseline(m)).line(m.name), both(sc, newBaseline(m)).line(m.name)
	if a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}
