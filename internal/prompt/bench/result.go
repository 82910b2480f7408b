package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// classes are the reported ranges of prompt length, by upper bound in tokens.
var classes = []struct {
	name string
	upTo int
}{
	{"short", shortTokens},
	{"32k", mediumTokens},
	{"100k", largeTokens},
	{"over100k", engineMemory},
	{"group", 1 << 30},
}

func classOf(tokens int) int {
	for i, c := range classes {
		if tokens <= c.upTo {
			return i
		}
	}
	return len(classes) - 1
}

const (
	gapBucket  = 250 * time.Microsecond
	gapBuckets = 8_000
)

// result collects the measurements of one run.
type result struct {
	sc        scenario
	asked     []int // requests, by workspace
	tokens    []int // prompt tokens of the requests, by workspace
	answered  []int // requests answered in time, by workspace
	byClass   []classResult
	tokenGaps [gapBuckets + 1]int // histogram of the time between tokens
	late      int                 // requests that timed out
	lost      int                 // requests lost in a crash
	refusals  int
}

type classResult struct {
	asked      int
	answered   int
	firstToken []time.Duration // times to the first token
}

func newResult(sc scenario, trace []request) *result {
	n := sc.dep.workspaces
	res := &result{sc: sc, asked: make([]int, n), tokens: make([]int, n), answered: make([]int, n), byClass: make([]classResult, len(classes))}
	for i := range trace {
		r := &trace[i]
		res.asked[r.workspace]++
		res.tokens[r.workspace] += r.prompt
		res.byClass[classOf(r.prompt)].asked++
	}
	return res
}

func (res *result) addGap(d time.Duration) { res.tokenGaps[min(int(d/gapBucket), gapBuckets)]++ }

func (res *result) ended(r *request, why reason) {
	c := &res.byClass[classOf(r.prompt)]
	if r.produced > 0 {
		c.firstToken = append(c.firstToken, r.firstTokenAt-r.arrive)
	}
	switch why {
	case reasonDone:
		c.answered++
		res.answered[r.workspace]++
	case reasonLost:
		res.lost++
	case reasonTimeout:
		res.late++
	case reasonNotStarted:
		res.refusals++
	}
}

func (res *result) refused(*request) { res.refusals++ }

// firstToken returns the q-quantile of the time to the first token of a class, or 0 without
// samples.
func (res *result) firstToken(class int, q float64) time.Duration {
	list := slices.Sorted(slices.Values(res.byClass[class].firstToken))
	if len(list) == 0 {
		return 0
	}
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

func (res *result) tokenGapQuantile(q float64) time.Duration {
	total, sum := 0, 0
	for _, n := range res.tokenGaps {
		total += n
	}
	for i, n := range res.tokenGaps {
		if sum += n; float64(sum) >= q*float64(total) {
			return time.Duration(i+1) * gapBucket
		}
	}
	return 0
}

func (res *result) goodput() float64 {
	asked, answered := 0, 0
	for i := range res.asked {
		asked, answered = asked+res.asked[i], answered+res.answered[i]
	}
	return float64(answered) / float64(asked)
}

// fairness returns the lowest ratio of requests answered in time among the workspaces whose
// prompt tokens are within an equal share of the prefill capacity of the fleet.
func (res *result) fairness() float64 {
	equal := float64(prefillRate*res.sc.dep.engines) * res.sc.duration.Seconds() / float64(res.sc.dep.workspaces)
	lowest := 1.0
	for i := range res.asked {
		if res.asked[i] > 0 && float64(res.tokens[i]) <= equal {
			lowest = min(lowest, float64(res.answered[i])/float64(res.asked[i]))
		}
	}
	return lowest
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// slowdown returns the ratio of the p95 times to the first token of short prompts in a run
// with long prompts and one without.
func (res *result) slowdown(without *result) float64 {
	base := without.firstToken(0, 0.95)
	if base == 0 {
		return 0
	}
	return float64(res.firstToken(0, 0.95)) / float64(base)
}

// line formats the measurements as one line of key=value pairs.
func (res *result) line(name string, without *result) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "policy name=%s scenario=%s", name, res.sc.name) // a strings.Builder never fails
	for i, c := range classes {
		_, _ = fmt.Fprintf(&b, " ttft_p50_%[1]s_ms=%.0[2]f ttft_p95_%[1]s_ms=%.0[3]f ttft_p99_%[1]s_ms=%.0[4]f",
			c.name, ms(res.firstToken(i, 0.5)), ms(res.firstToken(i, 0.95)), ms(res.firstToken(i, 0.99)))
	}
	_, _ = fmt.Fprintf(&b, " short_slowdown=%.2f tbt_p95_ms=%.1f goodput=%.4f refused=%d late=%d lost=%d fairness=%.3f",
		res.slowdown(without), ms(res.tokenGapQuantile(0.95)), res.goodput(), res.refusals, res.late, res.lost, res.fairness())
	for i, c := range classes {
		_, _ = fmt.Fprintf(&b, " answered_%s=%d/%d", c.name, res.byClass[i].answered, res.byClass[i].asked)
	}
	return b.String()
}
