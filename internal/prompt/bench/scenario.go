package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// deployment is the size of a fleet and its normal load.
type deployment struct {
	name       string
	engines    int
	domains    int
	entries    int
	workspaces int
	rate       float64 // requests per second under normal load
}

var (
	guild    = deployment{name: "guild", engines: 18, domains: 3, entries: 4, workspaces: 10, rate: 10}
	loomwire = deployment{name: "loomwire", engines: 14, domains: 3, entries: 4, workspaces: 10, rate: 8}
)

const (
	shortTokens  = 4_000
	mediumTokens = 32_000
	largeTokens  = 100_000
	longestRatio = 2.4 // ratio of the longest prompt to the memory of an engine
	lossAt       = 40 * time.Second
	lossFor      = 40 * time.Second // until the engines restart
)

// fault is an event that a scenario injects.
type fault struct {
	at time.Duration
	do func(s *sim)
}

// scenario is a load on a deployment with the faults injected into it.
type scenario struct {
	name           string
	dep            deployment
	seed           uint64
	duration       time.Duration // of the arrivals
	rateFactor     float64       // multiple of the rate of the deployment
	reportLag      time.Duration // age of load reports
	greedyFactor   float64       // factor on the load of the first workspace; 0 means none
	burst          bool          // adds bursts of prompts with a shared prefix
	withinCapacity bool          // the fleet can serve the load
	allEnginesLive bool          // no engine crashes
	faults         []fault
}

const (
	normalReportLag = 250 * time.Millisecond
	longReportLag   = 3 * time.Second
)

func scenarios(d deployment) []scenario {
	base := scenario{dep: d, seed: 1, duration: 100 * time.Second, rateFactor: 1, reportLag: normalReportLag, withinCapacity: true, allEnginesLive: true}
	variant := func(name string, f func(sc *scenario)) scenario {
		sc := base
		sc.name = d.name + "_" + name
		f(&sc)
		return sc
	}
	crashQuarter := fault{lossAt, func(s *sim) {
		for i := 0; i < len(s.engines); i += 4 {
			s.engines[i].crash()
		}
	}}
	restartQuarter := fault{lossAt + lossFor, func(s *sim) {
		for i := 0; i < len(s.engines); i += 4 {
			s.engines[i].restart()
		}
	}}
	return []scenario{
		variant("ordinary", func(*scenario) {}),
		variant("month_end", func(sc *scenario) { sc.rateFactor, sc.withinCapacity, sc.duration = 10, false, 60*time.Second }),
		variant("lost_quarter", func(sc *scenario) {
			sc.rateFactor, sc.withinCapacity, sc.allEnginesLive, sc.faults = 4, false, false, []fault{crashQuarter, restartQuarter}
		}),
		variant("burst", func(sc *scenario) { sc.burst = true }),
		variant("greedy", func(sc *scenario) { sc.rateFactor, sc.greedyFactor, sc.withinCapacity = 2, 12, false }),
		variant("lagged_load", func(sc *scenario) { sc.rateFactor, sc.reportLag = 2, longReportLag }),
	}
}

// trace returns the random arrivals of a scenario.
func (sc scenario) trace() []request {
	r := rand.New(rand.NewPCG(sc.seed, 1))
	var out []request
	weights := workspaceWeights(sc)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rate := sc.dep.rate * sc.rateFactor
	if sc.greedyFactor > 0 {
		rate *= total / (total - weights[0] + weights[0]/sc.greedyFactor)
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at > sc.duration.Seconds() {
			break
		}
		out = append(out, sc.draw(r, time.Duration(at*float64(time.Second)), pickWeighted(r, weights, total)))
	}
	if sc.burst {
		out = append(out, sc.bursts(r)...)
	}
	for i := range out {
		out[i].id = i
	}
	return out
}

// workspaceWeights returns the relative loads of the workspaces. One in four has a load four
// times as large.
func workspaceWeights(sc scenario) []float64 {
	w := make([]float64, sc.dep.workspaces)
	for i := range w {
		w[i] = 1
		if i%4 == 1 {
			w[i] = 4
		}
	}
	if sc.greedyFactor > 0 {
		w[0] *= sc.greedyFactor
	}
	return w
}

func pickWeighted(r *rand.Rand, weights []float64, total float64) int {
	x := r.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (sc scenario) draw(r *rand.Rand, at time.Duration, workspace int) request {
	q := request{arrive: at, workspace: workspace, entry: r.IntN(sc.dep.entries)}
	q.prompt, q.patience = drawPrompt(r)
	q.maxTokens = 128 << r.IntN(2)
	q.output = min(16+int(r.ExpFloat64()*70), q.maxTokens)
	return q
}

// drawPrompt returns a random prompt length in tokens, 2% above largeTokens, and the
// patience of its caller.
func drawPrompt(r *rand.Rand) (int, time.Duration) {
	between := func(a, b float64) int { return int(a * math.Pow(b/a, r.Float64())) }
	switch x := r.Float64(); {
	case x < 0.80:
		return between(1_000, shortTokens), 20 * time.Second
	case x < 0.94:
		return between(shortTokens, mediumTokens), 30 * time.Second
	case x < 0.98:
		return between(mediumTokens, largeTokens), 60 * time.Second
	case x < 0.995:
		return between(largeTokens+1, 0.9*engineMemory), 120 * time.Second
	default:
		return between(1.05*engineMemory, longestRatio*engineMemory), 180 * time.Second
	}
}

const (
	burstInterval     = 10 * time.Second
	burstSize         = 60
	burstDuration     = 2 * time.Second
	burstPrefixTokens = 16_384
	maxBurstSuffix    = 400 // tokens after the shared prefix
)

// bursts returns random bursts of prompts that share a long prefix.
func (sc scenario) bursts(r *rand.Rand) []request {
	var out []request
	prefix := 0
	for at := burstInterval; at < sc.duration; at += burstInterval {
		prefix++
		for range burstSize {
			q := sc.draw(r, at+time.Duration(r.Int64N(int64(burstDuration))), prefix%sc.dep.workspaces)
			q.prompt, q.patience = burstPrefixTokens+r.IntN(maxBurstSuffix), 30*time.Second
			q.prefix, q.prefixTokens = prefix, burstPrefixTokens
			out = append(out, q)
		}
	}
	return out
}

// withoutLong returns the trace without the prompts above largeTokens.
func withoutLong(trace []request) []request {
	var out []request
	for _, q := range trace {
		if q.prompt <= largeTokens {
			out = append(out, q)
		}
	}
	return out
}
