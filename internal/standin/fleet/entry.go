package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

const (
	// splitTokens is the prompt from which Split sends to the engines kept for long ones,
	// splitShare is their share of the engines, and splitHelpers bounds the helpers.
	splitTokens  = 20_000
	splitShare   = 0.4
	splitHelpers = 7
	// orderPatience is the share of a caller's patience that InOrder lets a request wait.
	orderPatience = 0.35
)

// entry is an entry with the fleet's policy.
type entry struct {
	fleet   *Fleet
	name    string
	domain  int
	running []*request // at engines
	planner *passes.Planner
	told    map[string]passes.Report
	heard   bool                       // something was told since the planner was
	toldAt  time.Time                  // when it last told the others
	counts  map[*passengine.Engine]int // requests of this entry
	waiting []*request                 // of InOrder
	frozen  bool
	missed  []func() // what came while it was frozen
}

func newEntry(f *Fleet, i int) *entry {
	e := &entry{
		fleet: f, name: fmt.Sprint(i), domain: f.domain(i, f.cfg.Entries),
		told: map[string]passes.Report{}, counts: map[*passengine.Engine]int{},
	}
	e.planner = passes.New(passes.Settings{
		Domain: fmt.Sprint(e.domain), Now: f.now, Rand: f.rng.Float64, Entries: func() int { return len(f.entries) },
		Cut: func(address string) bool { return !f.reaches(e, f.byName[address]) },
	}, &f.cfg.Figures)
	e.planner.SetEngines(f.list())
	return e
}

// awake runs what an entry does, or keeps it until the entry goes on.
func (e *entry) awake(do func()) {
	if e.frozen {
		e.missed = append(e.missed, do)
		return
	}
	do()
}

// freeze makes the entry stand still, or go on with what it missed.
func (e *entry) freeze(on bool) {
	if e.frozen = on; on {
		return
	}
	missed := e.missed
	e.missed = nil
	for _, do := range missed {
		do()
	}
}

// take decides on a request that arrives.
func (e *entry) take(r *request) {
	r.entry, r.arrived, r.ticket = e, e.fleet.now(), nil
	e.awake(func() {
		switch e.fleet.cfg.Policy {
		case Outstanding:
			e.give(r, e.fewest(e.fleet.engines), nil)
		case InOrder:
			e.waiting = append(e.waiting, r)
			e.next()
		case Split:
			e.split(r)
		case Planned:
			e.plan(r)
		}
	})
}

func (e *entry) plan(r *request) {
	k := r.cfg()
	e.listen()
	t, err := e.planner.Submit(passes.Job{
		Tokens: r.tokens, MaxTokens: r.bound(), ExpectedTokens: r.expected * e.fleet.cfg.Figures.Stride, Target: k.Target, Gap: k.Gap,
		Arrived: r.arrived, Deadline: r.until(), Notify: func() { e.notified(r) },
	})
	if err != nil {
		r.refused(passes.RetryAfter(err))
		return
	}
	r.ticket = t
	if t.Placed() {
		e.placed(r)
	}
}

// notified goes on with a request that waited.
func (e *entry) notified(r *request) {
	if err := r.ticket.Err(); err != nil {
		r.refused(passes.RetryAfter(err))
		return
	}
	e.placed(r)
}

// placed sends a request to the engines that the planner chose, and sets memory aside
// where it said so.
func (e *entry) placed(r *request) {
	name, _ := r.ticket.Engine()
	list := r.ticket.Helpers()
	var helpers []*passengine.Engine
	for _, h := range list {
		helpers = append(helpers, e.fleet.byName[h.Name])
	}
	e.share()
	r.send(e.fleet.byName[name], helpers)
	for i, h := range list {
		if h.Tokens == 0 {
			continue
		}
		id := fmt.Sprint(r.id)
		if _, _, err := helpers[i].Reserve(id, h.Tokens, maxHold, false); err == nil {
			r.run.Helpers[i].Ticket = id
		}
	}
}

// stopped notes that a request runs no more.
func (e *entry) stopped(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// give sends a request of a policy without a planner.
func (e *entry) give(r *request, to *passengine.Engine, helpers []*passengine.Engine) {
	e.counts[to]++
	r.send(to, helpers)
}

func (e *entry) fewest(list []*passengine.Engine) *passengine.Engine {
	return slices.MinFunc(list, func(a, b *passengine.Engine) int { return e.counts[a] - e.counts[b] })
}

// next gives waiting requests the places that are this entry's share of the engines.
func (e *entry) next() {
	places := e.fleet.cfg.Figures.Slots / len(e.fleet.entries)
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if patience := time.Duration(orderPatience * float64(r.cfg().Patience)); e.fleet.now().Sub(r.arrived) > patience {
			e.waiting = e.waiting[1:]
			r.refused(defaultRetry)
			continue
		}
		to := e.fewest(e.fleet.engines)
		if e.counts[to] >= places {
			return
		}
		e.waiting = e.waiting[1:]
		e.give(r, to, nil)
	}
}

// split sends long prompts to engines of their own, with helpers.
func (e *entry) split(r *request) {
	list := e.fleet.engines
	border := int((1 - splitShare) * float64(len(list)))
	if r.tokens < splitTokens {
		e.give(r, e.fewest(list[:border]), nil)
		return
	}
	long := slices.Clone(list[border:])
	slices.SortStableFunc(long, func(a, b *passengine.Engine) int { return e.counts[a] - e.counts[b] })
	n := min(splitHelpers, r.tokens/splitTokens, len(long)-1)
	e.give(r, long[0], long[1:1+n])
}

// began notes the first event of a request.
func (e *entry) began(r *request) {
	e.awake(func() {
		if r.ticket != nil {
			e.planner.FirstEvent(r.ticket)
			e.dispatch()
		}
	})
}

// late notes a pause that was too long.
func (e *entry) late(r *request) {
	e.awake(func() {
		if r.ticket != nil {
			e.planner.MarkLate(r.ticket)
			e.dispatch()
		}
	})
}

// done ends a request at its engines.
func (e *entry) done(r *request, out passes.Outcome) {
	e.awake(func() {
		for _, h := range r.run.Helpers {
			h.Engine.Release(h.Ticket)
		}
		if r.ticket != nil {
			e.planner.Done(r.ticket, out)
			e.dispatch()
			return
		}
		e.counts[r.engine]--
		e.next()
	})
}

// tick looks at what waits, now and then.
func (e *entry) tick(until time.Time) {
	e.awake(func() {
		if e.fleet.cfg.Policy == Planned {
			e.dispatch()
		} else {
			e.next()
		}
		if e.fleet.now().Before(until) {
			e.fleet.clock.After(tick, func() { e.tick(until) })
		}
	})
}

func (e *entry) dispatch() {
	e.listen()
	e.planner.Dispatch()
	e.share()
	e.ask()
}

// ask asks engines that seem slow how fast they are.
func (e *entry) ask() {
	for _, s := range e.planner.Suspects() {
		engine := e.fleet.byName[s.Name]
		e.fleet.clock.After(hop, func() {
			r, err := engine.Report()
			if err != nil || !e.fleet.reaches(e, engine) {
				return
			}
			e.fleet.clock.After(hop, func() {
				e.planner.SetPace(passes.Pace{Engine: s.Name, Factor: r.Pace, At: e.fleet.now()})
				e.share()
			})
		})
	}
}

// listen takes in what the others told.
func (e *entry) listen() {
	switch {
	case e.fleet.deaf:
		e.planner.SetReports(nil)
		e.heard = true
	case e.heard:
		e.planner.SetReports(e.told)
		e.heard = false
	}
}

// share tells the others what this entry has under way.
func (e *entry) share() {
	now := e.fleet.now()
	if !e.planner.Changed() && now.Sub(e.toldAt) < repeat {
		return
	}
	e.toldAt = now
	r := passes.Report{Domain: fmt.Sprint(e.domain), Sends: e.planner.Sends(), Paces: e.planner.Paces()}
	if w, ok := e.planner.Wait(); ok {
		r.Waits = []passes.Wait{w}
	}
	for _, o := range e.fleet.entries {
		if o != e && e.fleet.connected(e.domain, o.domain) {
			e.fleet.clock.After(e.fleet.cfg.Lag, func() {
				r.ReceivedAt = e.fleet.now()
				o.told[e.name], o.heard = r, true
			})
		}
	}
}
