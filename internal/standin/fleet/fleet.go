// Package fleet stands in for engines, entries and callers in virtual time: a load and
// faults as they are described, and what became of each request.
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
	// hop is the time of a message to an engine.
	hop = time.Millisecond
	// tick is how often an entry looks at what waits.
	tick = 15 * time.Millisecond
	// repeat is how often an entry tells the others what has not changed.
	repeat = 300 * time.Millisecond
	// ending is how long the fleet goes on after its load.
	ending = 20 * time.Second
	// stall is the time until work is cut off that depends on a dead engine.
	stall = 1500 * time.Millisecond
	// maxHold is the longest reservation.
	maxHold = 20 * time.Second
	// reportLag is the age of what engines report.
	reportLag = 200 * time.Millisecond
	// defaultRetry is when a caller comes back that was not told.
	defaultRetry = 100 * time.Millisecond
	// mostRetry is the part of the time left that a caller waits before it comes back.
	mostRetry = 3
)

// Fleet is engines, entries and callers.
type Fleet struct {
	cfg     Settings
	clock   *events.Loop
	load    *rand.Rand // draws requests, so that all policies meet the same
	rng     *rand.Rand // draws for the policies
	engines []*passengine.Engine
	byName  map[string]*passengine.Engine
	domains map[*passengine.Engine]int
	entries []*entry
	cut     map[string]bool
	apart   map[int]bool // failure domains that are cut off
	deaf    bool
	results []Result
	asked   int
	began   time.Time
	ended   time.Time // when the last request ended
}

// Result is what became of the requests of a kind.
type Result struct {
	Kind      string
	Asked     int
	OnTime    int
	Late      int // answered in full, but late
	LateFirst int // of these, by their first event
	Pauses    int // of these, by a pause
	Refused   int
	Failed    int // cut off
	Worth     float64
	Owed      float64
	Answers   []Answer // in the order of their ends
}

// Answer is what became of one request.
type Answer struct {
	Tokens int
	OnTime bool
	Whole  bool          // it was answered in full, on time or late
	First  time.Duration // from the caller's first try; 0 where no event came
	Pause  time.Duration // longest
	Worth  float64
	Owed   float64
}

// Share returns the part of the requests that was answered on time.
func (r *Result) Share() float64 { return float64(r.OnTime) / float64(max(1, r.Asked)) }

// Add takes in what became of the same kind of request on another day.
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
}

// New returns a fleet that has not run yet.
func New(cfg Settings) *Fleet {
	f := &Fleet{
		cfg: cfg, clock: events.New(time.Unix(1_000_000, 0)), cut: map[string]bool{}, apart: map[int]bool{}, byName: map[string]*passengine.Engine{}, domains: map[*passengine.Engine]int{},
		load: rand.New(rand.NewPCG(cfg.Seed, 1)), rng: rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	if f.cfg.Overrun == 0 {
		f.cfg.Overrun = 1
	}
	engineClock := passengine.Clock{Now: f.now, After: f.clock.After}
	actual := cfg.Figures // engines take longer than they declare
	actual.ReadRate /= f.cfg.Overrun
	actual.PerPairs = time.Duration(f.cfg.Overrun * float64(actual.PerPairs))
	for i := range cfg.Engines {
		f.engines = append(f.engines, passengine.New(passengine.Settings{
			Name: fmt.Sprintf("engine-%04d", i), Figures: &actual, Queue: cfg.Queue, Lag: reportLag, Stall: stall, MaxHold: maxHold,
		}, engineClock))
		f.byName[f.engines[i].Name()] = f.engines[i]
		f.domains[f.engines[i]] = f.domain(i, cfg.Engines)
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

// list returns the engines as entries know them.
func (f *Fleet) list() []passes.Engine {
	var out []passes.Engine
	for i, e := range f.engines {
		out = append(out, passes.Engine{Name: e.Name(), Address: e.Name(), Domain: fmt.Sprint(f.domain(i, len(f.engines)))})
	}
	return out
}

// domain returns the failure domain of the i-th of n: those of one follow each other.
func (f *Fleet) domain(i, n int) int { return i * max(1, f.cfg.Domains) / n }

// Run plays the load and the faults to their end, and returns what became of the
// requests, by kind.
func (f *Fleet) Run() []Result {
	f.began = f.now()
	from := time.Duration(0)
	for _, ph := range f.cfg.Load {
		for i, rate := range ph.Rates {
			for at := from; rate > 0; {
				at += time.Duration(f.load.ExpFloat64() / rate * float64(time.Second))
				if at >= from+ph.For {
					break
				}
				f.clock.After(at, func() { f.ask(i) })
			}
		}
		from += ph.For
	}
	for _, ft := range f.cfg.Faults {
		f.clock.After(ft.At, func() { f.set(ft, true) })
		if ft.For > 0 {
			f.clock.After(ft.At+ft.For, func() { f.set(ft, false) })
		}
	}
	for _, e := range f.entries {
		e.tick(f.now().Add(from + ending))
	}
	f.clock.Run()
	return f.results
}

// Use returns what became of the engines' time, and how long each of them was there:
// until the last request ended.
func (f *Fleet) Use() (passengine.Use, time.Duration) {
	var sum passengine.Use
	for _, e := range f.engines {
		sum.Add(e.Use())
	}
	return sum, f.ended.Sub(f.began)
}

// set lets a fault begin or end.
func (f *Fleet) set(ft Fault, on bool) {
	if ft.Kind == Deaf {
		f.deaf = on
	}
	for i := ft.First; i < ft.First+ft.Count; i++ {
		switch ft.Kind {
		case Crash:
			live(f.engines[i], !on)
		case Cut:
			f.cut[f.engines[i].Name()] = on
			live(f.engines[i], !on)
		case Slow:
			factor := 1.0
			if on {
				factor = ft.Factor
			}
			f.engines[i].Slow(factor)
		case Freeze:
			f.entries[i].freeze(on)
		case Part:
			f.apart[i] = on
		case Deaf:
		}
	}
	if ft.Kind == Part && on {
		f.breakOff()
	}
}

// connected reports whether two failure domains reach each other.
func (f *Fleet) connected(a, b int) bool { return a == b || !f.apart[a] && !f.apart[b] }

// reaches reports whether an entry reaches an engine.
func (f *Fleet) reaches(e *entry, engine *passengine.Engine) bool {
	return !f.cut[engine.Name()] && f.connected(e.domain, f.domains[engine])
}

// breakOff ends the requests whose entry or helpers are cut off from their engine: the
// first at once, the others when the engine notices.
func (f *Fleet) breakOff() {
	for _, e := range f.entries {
		for _, r := range slices.Clone(e.running) {
			if !r.run.Opened() {
				continue // on its way: it does not arrive
			}
			if !f.reaches(e, r.engine) {
				r.engine.Cancel(r.run)
				r.fail(true)
				continue
			}
			for _, h := range r.run.Helpers {
				if !f.connected(f.domains[r.engine], f.domains[h.Engine]) {
					f.clock.After(stall, r.run.CutOff)
					break
				}
			}
		}
	}
}

// live lets a dead engine start again, or a live one die.
func live(e *passengine.Engine, on bool) {
	if on {
		e.Restart()
	} else {
		e.Die()
	}
}

// ask lets a caller ask at an entry.
func (f *Fleet) ask(kind int) {
	k := &f.cfg.Kinds[kind]
	r := &request{
		fleet: f, id: f.asked, kind: kind, tokens: k.tokens(f.load), events: k.events(f.load), asked: f.now(), returns: k.Returns,
	}
	r.expected = k.hint(f.load, r.events)
	f.results[kind].Asked++
	f.results[kind].Owed += k.worth(r.tokens)
	f.asked++
	f.entries[f.load.IntN(len(f.entries))].take(r)
}
