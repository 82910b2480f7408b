package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// deployment is the size of a user's fleet.
type deployment struct {
	name       string
	engines    int
	domains    int
	entries    int
	workspaces int
	rate       float64 // requests a second on an ordinary day
}

var (
	guild    = deployment{name: "guild", engines: 18, domains: 3, entries: 4, workspaces: 10, rate: 10}
	loomwire = deployment{name: "loomwire", engines: 14, domains: 3, entries: 4, workspaces: 10, rate: 8}
)

const (
	shortTokens  = 4_000
	mediumTokens = 32_000
	largeTokens  = 100_000
	longestRatio = 2.4 // longest prompt over an engine's memory
	lossAt       = 40 * time.Second
	lossFor      = 40 * time.Second
)

type fault struct {
	at time.Duration
	do func(s *sim)
}

// scenario is a load and what fails under it.
type scenario struct {
	name   string
	dep    deployment
	seed   uint64
	length time.Duration // arrivals stop then
	times  float64       // of the ordinary rate
	lag    time.Duration // age of load reports
	greedy float64       // times that the first workspace sends more
	burst  bool          // bursts of prompts with one prefix
	fits   bool          // the load fits the fleet
	whole  bool          // no engine is lost
	faults []fault
}

const (
	ordinaryLag = 250 * time.Millisecond
	lateLag     = 3 * time.Second
)

func scenarios(d deployment) []scenario {
	base := scenario{dep: d, seed: 1, length: 100 * time.Second, times: 1, lag: ordinaryLag, fits: true, whole: true}
	make1 := func(name string, f func(sc *scenario)) scenario {
		sc := base
		sc.name = d.name + "_" + name
		f(&sc)
		return sc
	}
	lose := fault{lossAt, func(s *sim) {
		for i := 0; i < len(s.engines); i += 4 {
			s.engines[i].die()
		}
	}}
	back := fault{lossAt + lossFor, func(s *sim) {
		for i := 0; i < len(s.engines); i += 4 {
			s.engines[i].restart()
		}
	}}
	return []scenario{
		make1("ordinary", func(*scenario) {}),
		make1("month_end", func(sc *scenario) { sc.times, sc.fits, sc.length = 10, false, 60*time.Second }),
		make1("lost_quarter", func(sc *scenario) {
			sc.times, sc.fits, sc.whole, sc.faults = 4, false, false, []fault{lose, back}
		}),
		make1("burst", func(sc *scenario) { sc.burst = true }),
		make1("greedy", func(sc *scenario) { sc.times, sc.greedy, sc.fits = 2, 12, false }),
		make1("lagged_load", func(sc *scenario) { sc.times, sc.lag = 2, lateLag }),
	}
}

// trace draws the arrivals of a scenario.
func (sc scenario) trace() []request {
	r := rand.New(rand.NewPCG(sc.seed, 1))
	var out []request
	weights := workspaceWeights(sc)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rate := sc.dep.rate * sc.times
	if sc.greedy > 0 {
		rate *= total / (total - weights[0] + weights[0]/sc.greedy)
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at > sc.length.Seconds() {
			break
		}
		out = append(out, sc.draw(r, time.Duration(at*float64(time.Second)), pick(r, weights, total)))
	}
	if sc.burst {
		out = append(out, sc.bursts(r)...)
	}
	for i := range out {
		out[i].id = i
	}
	return out
}

// workspaceWeights makes three workspaces large.
func workspaceWeights(sc scenario) []float64 {
	w := make([]float64, sc.dep.workspaces)
	for i := range w {
		w[i] = 1
		if i%4 == 1 {
			w[i] = 4
		}
	}
	if sc.greedy > 0 {
		w[0] *= sc.greedy
	}
	return w
}

func pick(r *rand.Rand, weights []float64, total float64) int {
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

// drawPrompt draws a length, one in fifty over 100 k, and its caller's patience.
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
	burstEvery  = 10 * time.Second
	burstSize   = 60
	burstWithin = 2 * time.Second
	burstPrefix = 16_384 // tokens
	burstTail   = 400    // tokens
)

// bursts draws prompts that share a long prefix and come together.
func (sc scenario) bursts(r *rand.Rand) []request {
	var out []request
	prefix := 0
	for at := burstEvery; at < sc.length; at += burstEvery {
		prefix++
		for range burstSize {
			q := sc.draw(r, at+time.Duration(r.Int64N(int64(burstWithin))), prefix%sc.dep.workspaces)
			q.prompt, q.patience = burstPrefix+r.IntN(burstTail), 30*time.Second
			q.prefix, q.prefixTokens = prefix, burstPrefix
			out = append(out, q)
		}
	}
	return out
}

// withoutLong returns the trace without the prompts over 100 k tokens.
func withoutLong(trace []request) []request {
	var out []request
	for _, q := range trace {
		if q.prompt <= largeTokens {
			out = append(out, q)
		}
	}
	return out
}
