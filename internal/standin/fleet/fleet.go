// Package fleet simulates engines, entries and callers in virtual time. It runs a given
// load with given faults and records the outcome of each request.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/events"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

const (
	// hopDelay is the one-way network delay between an entry and an engine.
	hopDelay = time.Millisecond
	// tickInterval is the interval at which an entry retries queued requests.
	tickInterval = 15 * time.Millisecond
	// repeatInterval is the interval at which an entry broadcasts an unchanged report.
	repeatInterval = 300 * time.Millisecond
	// drainTime is how long entries keep ticking after the load ends.
	drainTime = 20 * time.Second
	// stallDelay is the delay after which work that depends on a dead engine is cut off.
	stallDelay = 1500 * time.Millisecond
	// maxHoldTime is the longest time limit of a reservation.
	maxHoldTime = 20 * time.Second
	// reportLag is the age of engines' reports.
	reportLag = 200 * time.Millisecond
	// defaultRetryDelay is the retry delay of a refusal that names none.
	defaultRetryDelay = 100 * time.Millisecond
	// retryDelayDivisor bounds a retry delay to 1/retryDelayDivisor of the time left to the
	// caller's deadline.
	retryDelayDivisor = 3
)

// Fleet is a simulation of engines, entries and callers.
type Fleet struct {
	cfg         Settings
	clock       *events.Loop
	loadRand    *rand.Rand // draws requests; separate, so that all policies get the same ones
	policyRand  *rand.Rand // draws for the policies and retries
	engines     []*passengine.Engine
	byName      map[string]*passengine.Engine
	domains     map[*passengine.Engine]int
	entries     []*entry
	cut         map[string]bool // engines that entries can't connect to, by name
	partitioned map[int]bool    // failure domains that are partitioned
	deaf        bool            // entries get no reports from each other
	near        bool            // entries get no reports from those of other failure domains
	results     []Result        // by index in Settings.Kinds
	issued      int             // requests so far
	startedAt   time.Time
	lastEnd     time.Time // end of the last request
}

// Result sums the outcomes of the requests of a kind.
type Result struct {
	Kind      string
	Asked     int
	OnTime    int
	Late      int // answered in full, but with a late first event or a long pause
	LateFirst int // of Late, those with a late first event
	Pauses    int // of Late, those with a long pause only
	Refused   int // refused, with no retry left
	Failed    int // cut off before the last event
	Worth     float64
	Owed      float64  // worth if every request had been answered on time
	Answers   []Answer // in the order of their ends
	Resumed   []Resumption
}

// Resumption is a stream that broke off and was resumed at another engine.
type Resumption struct {
	Tokens int           // of the prompt
	Pause  time.Duration // between the events before and after; 0: none came after
}

// Answer is the outcome of one request.
type Answer struct {
	Tokens int
	OnTime bool
	Whole  bool          // answered in full, on time or late
	First  time.Duration // from the caller's first attempt to the first event; 0 without events
	Pause  time.Duration // longest time between two events
	Worth  float64
	Owed   float64 // worth of an answer on time
}

// Share returns the fraction of the requests that was answered on time.
func (r *Result) Share() float64 { return float64(r.OnTime) / float64(max(1, r.Asked)) }

// Add adds the result of the same kind of request in another run.
func (r *Result) Add(o Result) {
	r.Kind = o.Kind
	r.Asked += o.Asked
	r.OnTime += o.OnTime
	r.Late += o.Late
	r.LateFirst += o.LateFirst
	r.Pauses += o.Pauses
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Worth += o.Worth
	r.Owed += o.Owed
	r.Answers = append(r.Answers, o.Answers...)
	r.Resumed = append(r.Resumed, o.Resumed...)
}

// New returns a fleet that has not run yet.
func New(cfg Settings) *Fleet {
	f := &Fleet{
		cfg: cfg, clock: events.New(time.Unix(1_000_000, 0)), cut: map[string]bool{}, partitioned: map[int]bool{}, byName: map[string]*passengine.Engine{}, domains: map[*passengine.Engine]int{},
		loadRand: rand.New(rand.NewPCG(cfg.Seed, 1)), policyRand: rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	if f.cfg.Overrun == 0 {
		f.cfg.Overrun = 1
	}
	engineClock := passengine.Clock{Now: f.now, After: f.clock.After}
	actual := cfg.Figures // the planner keeps the declared figures; engines are slower by Overrun
	actual.ReadRate /= f.cfg.Overrun
	actual.PerPairs = time.Duration(f.cfg.Overrun * float64(actual.PerPairs))
	for i := range cfg.Engines {
		f.engines = append(f.engines, passengine.New(passengine.Settings{
			Name: fmt.Sprintf("engine-%04d", i), Figures: &actual, Queue: cfg.Queue, Lag: reportLag, Stall: stallDelay, MaxHold: maxHoldTime,
		}, engineClock))
		f.byName[f.engines[i].Name()] = f.engines[i]
		f.domains[f.engines[i]] = f.engineDomain(i)
	}
	for i := range cfg.Entries {
		f.entries = append(f.entries, newEntry(f, i))
	}
	for _, k := range cfg.Kinds {
		f.results = append(f.results, Result{Kind: k.Name})
	}
	return f
}

func (f *Fleet) now() time.Time { return f.clock.Now() }

// plannerEngines returns the engines in the form that planners take.
func (f *Fleet) plannerEngines() []passes.Engine {
	var out []passes.Engine
	for i, e := range f.engines {
		out = append(out, passes.Engine{Name: e.Name(), Address: e.Name(), Domain: fmt.Sprint(f.engineDomain(i))})
	}
	return out
}

// domain returns the failure domain of the i-th of n. Domains are contiguous ranges.
func (f *Fleet) domain(i, n int) int { return i * max(1, f.cfg.Domains) / n }

// engineDomain returns the failure domain of the i-th engine.
func (f *Fleet) engineDomain(i int) int {
	if f.cfg.Mixed {
		return i % max(1, f.cfg.Domains)
	}
	return f.domain(i, f.cfg.Engines)
}

// Run runs the load and the faults to their end and returns the results by kind.
func (f *Fleet) Run() []Result {
	f.startedAt = f.now()
	from := time.Duration(0)
	for _, ph := range f.cfg.Load {
		for i, rate := range ph.Rates {
			for at := from; rate > 0; {
				at += time.Duration(f.loadRand.ExpFloat64() / rate * float64(time.Second))
				if at >= from+ph.For {
					break
				}
				f.clock.After(at, func() { f.issue(i, ph.Skew) })
			}
		}
		from += ph.For
	}
	for _, ft := range f.cfg.Faults {
		f.clock.After(ft.At, func() { f.applyFault(ft, true) })
		if ft.For > 0 {
			f.clock.After(ft.At+ft.For, func() { f.applyFault(ft, false) })
		}
	}
	for _, e := range f.entries {
		e.tick(f.now().Add(from + drainTime))
	}
	f.clock.Run()
	return f.results
}

// Use returns the sum of the engines' use, and the time from the start to the end of the
// last request.
func (f *Fleet) Use() (passengine.Use, time.Duration) {
	var sum passengine.Use
	for _, e := range f.engines {
		sum.Add(e.Use())
	}
	return sum, f.lastEnd.Sub(f.startedAt)
}

// applyFault begins or ends a fault.
func (f *Fleet) applyFault(ft Fault, on bool) {
	switch ft.Kind {
	case Deaf:
		f.deaf = on
	case Near:
		f.near = on
	}
	for i := ft.First; i < ft.First+ft.Count; i++ {
		switch ft.Kind {
		case Crash:
			setLive(f.engines[i], !on)
		case Cut:
			f.cut[f.engines[i].Name()] = on
			setLive(f.engines[i], !on)
		case Slow:
			factor := 1.0
			if on {
				factor = ft.Factor
			}
			f.engines[i].Slow(factor)
		case Freeze:
			f.entries[i].freeze(on)
		case Part:
			f.partitioned[i] = on
		case Lose:
			for _, e := range f.engines {
				if f.domains[e] == i {
					setLive(e, !on)
				}
			}
		case Deaf, Near:
		}
	}
	if ft.Kind == Part && on {
		f.cutPartitioned()
	}
}

// connected reports whether two failure domains can reach each other.
func (f *Fleet) connected(a, b int) bool { return a == b || !f.partitioned[a] && !f.partitioned[b] }

// reaches reports whether an entry can reach an engine.
func (f *Fleet) reaches(e *entry, engine *passengine.Engine) bool {
	return !f.cut[engine.Name()] && f.connected(e.domain, f.domains[engine])
}

// cutPartitioned ends the requests whose engine can't reach their entry, at once, and
// those whose engine can't reach a helper, after the stall delay.
func (f *Fleet) cutPartitioned() {
	for _, e := range f.entries {
		for _, r := range slices.Clone(e.running) {
			if !r.engineRequest.Opened() {
				continue // still in transit: send finds the engine unreachable
			}
			if !f.reaches(e, r.engine) {
				r.engine.Cancel(r.engineRequest)
				r.fail(true)
				continue
			}
			for _, h := range r.engineRequest.Helpers {
				if !f.connected(f.domains[r.engine], f.domains[h.Engine]) {
					f.clock.After(stallDelay, r.engineRequest.CutOff)
					break
				}
			}
		}
	}
}

// setLive restarts an engine or lets it die.
func setLive(e *passengine.Engine, on bool) {
	if on {
		e.Restart()
	} else {
		e.Die()
	}
}

// issue draws a request of the kind and submits it to a random entry, of the first failure domain
// with the probability of skew.
func (f *Fleet) issue(kind int, skew float64) {
	k := &f.cfg.Kinds[kind]
	r := &request{
		fleet: f, id: f.issued, kind: kind, tokens: k.drawTokens(f.loadRand), events: k.drawEvents(f.loadRand), issuedAt: f.now(), retriesLeft: k.Returns,
	}
	r.expectedEvents = k.drawHint(f.loadRand, r.events)
	f.results[kind].Asked++
	f.results[kind].Owed += k.worth(r.tokens)
	f.issued++
	n := len(f.entries)
	if skew > 0 && f.loadRand.Float64() < skew {
		n = max(1, n/max(1, f.cfg.Domains))
	}
	f.entries[f.loadRand.IntN(n)].submit(r)
}
