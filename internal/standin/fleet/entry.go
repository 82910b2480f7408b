package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

const (
	// Split sends prompts of at least splitMinTokens to the last splitShare of the engines,
	// each with up to splitMaxHelpers helpers.
	splitMinTokens  = 20_000
	splitShare      = 0.4
	splitMaxHelpers = 7
	// queuedPatienceShare is the share of a caller's patience that InOrder keeps a request queued.
	queuedPatienceShare = 0.35
)

// entry is a simulated entry. It places requests by the fleet's policy.
type entry struct {
	fleet          *Fleet
	name           string
	domain         int
	running        []*request // sent to an engine and not finished
	planner        *passes.Planner
	reports        map[string]passes.Report   // last report of each other entry
	reportsChanged bool                       // reports has changed since the planner got it
	broadcastAt    time.Time                  // time of the last broadcast
	inFlight       map[*passengine.Engine]int // requests in flight, by engine; not used by Planned
	queue          []*request                 // queue of InOrder
	frozen         bool
	deferred       []func() // deferred while the entry is frozen
}

func newEntry(f *Fleet, i int) *entry {
	e := &entry{
		fleet: f, name: fmt.Sprint(i), domain: f.domain(i, f.cfg.Entries),
		reports: map[string]passes.Report{}, inFlight: map[*passengine.Engine]int{},
	}
	e.planner = passes.New(passes.Settings{
		Domain: fmt.Sprint(e.domain), Now: f.now, Rand: f.policyRand.Float64, Entries: func() int { return len(f.entries) },
		Cut: func(address string) bool { return !f.reaches(e, f.byName[address]) },
	}, &f.cfg.Figures)
	longestGap := time.Duration(0)
	for _, k := range f.cfg.Kinds {
		longestGap = max(longestGap, k.Gap)
	}
	e.planner.Configure(&f.cfg.Figures, longestGap)
	e.planner.SetEngines(f.plannerEngines())
	return e
}

// runOrDefer runs do, or defers it until the entry is no longer frozen.
func (e *entry) runOrDefer(do func()) {
	if e.frozen {
		e.deferred = append(e.deferred, do)
		return
	}
	do()
}

// freeze suspends the entry, or resumes it and runs what was deferred.
func (e *entry) freeze(on bool) {
	if e.frozen = on; on {
		return
	}
	deferred := e.deferred
	e.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// submit places a request by the policy.
func (e *entry) submit(r *request) {
	r.entry, r.arrivedAt, r.ticket = e, e.fleet.now(), nil
	e.runOrDefer(func() {
		switch e.fleet.cfg.Policy {
		case Outstanding:
			e.send(r, e.leastLoaded(e.fleet.engines), nil)
		case InOrder:
			e.queue = append(e.queue, r)
			e.drainQueue()
		case Split:
			e.split(r)
		case Planned:
			e.plan(r)
		}
	})
}

func (e *entry) plan(r *request) {
	k := r.cfg()
	e.deliverReports()
	job := passes.Job{
		ID: fmt.Sprint(r.id), Tokens: r.tokens, MaxTokens: r.maxTokens(), ExpectedTokens: r.expectedEvents * e.fleet.cfg.Figures.Stride, Target: k.Target, Gap: k.Gap,
		Arrived: r.arrivedAt, Deadline: r.deadline(), Tried: r.tried, Notify: func() { e.notified(r) },
	}
	if r.received > 0 {
		written := r.received * e.fleet.cfg.Figures.Stride
		job.Tokens, job.MaxTokens, job.ExpectedTokens = job.Tokens+written, job.MaxTokens-written, max(0, job.ExpectedTokens-written)
		job.Arrived, job.Target, job.Begun, job.MayHaveRun = r.lastEventAt, k.Gap, true, true
	}
	t, err := e.planner.Submit(job)
	if err != nil {
		r.retryOrRefuse(passes.RetryAfter(err))
		return
	}
	r.ticket = t
	if t.Placed() {
		e.placed(r)
	}
}

// notified sends or refuses a request that was queued in the planner.
func (e *entry) notified(r *request) {
	if err := r.ticket.Err(); err != nil {
		r.retryOrRefuse(passes.RetryAfter(err))
		return
	}
	e.placed(r)
}

// placed sends a request to the engines that the planner chose and reserves memory at
// the helpers for which the planner asks for it.
func (e *entry) placed(r *request) {
	name, _ := r.ticket.Engine()
	list := r.ticket.Helpers()
	var helpers []*passengine.Engine
	for _, h := range list {
		helpers = append(helpers, e.fleet.byName[h.Name])
	}
	e.broadcast()
	r.send(e.fleet.byName[name], helpers)
	for i, h := range list {
		if h.Tokens == 0 {
			continue
		}
		id := fmt.Sprint(r.id)
		if _, _, err := helpers[i].Reserve(id, h.Tokens, maxHoldTime, false); err == nil {
			r.engineRequest.Helpers[i].Ticket = id
		}
	}
}

// removeRunning removes a request from those in flight.
func (e *entry) removeRunning(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// send sends a request of a policy without a planner.
func (e *entry) send(r *request, to *passengine.Engine, helpers []*passengine.Engine) {
	e.inFlight[to]++
	r.send(to, helpers)
}

func (e *entry) leastLoaded(list []*passengine.Engine) *passengine.Engine {
	return slices.MinFunc(list, func(a, b *passengine.Engine) int { return e.inFlight[a] - e.inFlight[b] })
}

// drainQueue dispatches queued requests while an engine has fewer requests than the
// entry's share of its slots, and refuses those that have waited too long.
func (e *entry) drainQueue() {
	places := e.fleet.cfg.Figures.Slots / len(e.fleet.entries)
	for len(e.queue) > 0 {
		r := e.queue[0]
		if patience := time.Duration(queuedPatienceShare * float64(r.cfg().Patience)); e.fleet.now().Sub(r.arrivedAt) > patience {
			e.queue = e.queue[1:]
			r.retryOrRefuse(defaultRetryDelay)
			continue
		}
		to := e.leastLoaded(e.fleet.engines)
		if e.inFlight[to] >= places {
			return
		}
		e.queue = e.queue[1:]
		e.send(r, to, nil)
	}
}

// split sends long prompts to the engines reserved for them, with helpers.
func (e *entry) split(r *request) {
	list := e.fleet.engines
	firstLong := int((1 - splitShare) * float64(len(list)))
	if r.tokens < splitMinTokens {
		e.send(r, e.leastLoaded(list[:firstLong]), nil)
		return
	}
	long := slices.Clone(list[firstLong:])
	slices.SortStableFunc(long, func(a, b *passengine.Engine) int { return e.inFlight[a] - e.inFlight[b] })
	n := min(splitMaxHelpers, r.tokens/splitMinTokens, len(long)-1)
	e.send(r, long[0], long[1:1+n])
}

// firstEvent reports the first event of a request to the planner.
func (e *entry) firstEvent(r *request) {
	e.runOrDefer(func() {
		if r.ticket != nil {
			e.planner.FirstEvent(r.ticket)
			e.dispatch()
		}
	})
}

// latePause reports a pause above the request's gap to the planner.
func (e *entry) latePause(r *request) {
	e.runOrDefer(func() {
		if r.ticket != nil {
			e.planner.MarkLate(r.ticket)
			e.dispatch()
		}
	})
}

// done releases the helpers' reservations and reports the outcome to the planner.
func (e *entry) done(r *request, out passes.Outcome) {
	e.runOrDefer(func() {
		for _, h := range r.engineRequest.Helpers {
			h.Engine.Release(h.Ticket)
		}
		if r.ticket != nil {
			e.planner.Done(r.ticket, out)
			e.dispatch()
			return
		}
		e.inFlight[r.engine]--
		e.drainQueue()
	})
}

// tick retries queued requests at each tickInterval until the given time.
func (e *entry) tick(until time.Time) {
	e.runOrDefer(func() {
		if e.fleet.cfg.Policy == Planned {
			e.dispatch()
		} else {
			e.drainQueue()
		}
		if e.fleet.now().Before(until) {
			e.fleet.clock.After(tickInterval, func() { e.tick(until) })
		}
	})
}

func (e *entry) dispatch() {
	e.deliverReports()
	e.planner.Dispatch()
	e.broadcast()
	e.probeSuspects()
}

// probeSuspects requests a report from each engine that the planner suspects of being
// slow, and gives the planner its measured pace.
func (e *entry) probeSuspects() {
	for _, s := range e.planner.Suspects() {
		engine := e.fleet.byName[s.Name]
		e.fleet.clock.After(hopDelay, func() {
			r, err := engine.Report()
			if err != nil || !e.fleet.reaches(e, engine) {
				return
			}
			e.fleet.clock.After(hopDelay, func() {
				e.planner.SetPace(passes.Pace{Engine: s.Name, Factor: r.Pace, At: e.fleet.now()})
				e.broadcast()
			})
		})
	}
}

// deliverReports gives the planner the other entries' reports, or none during a Deaf fault.
func (e *entry) deliverReports() {
	switch {
	case e.fleet.deaf:
		e.planner.SetReports(nil)
		e.reportsChanged = true
	case e.reportsChanged:
		e.planner.SetReports(e.reports)
		e.reportsChanged = false
	}
}

// broadcast sends the planner's report to the reachable entries when it has changed or
// the last broadcast is older than repeatInterval.
func (e *entry) broadcast() {
	now := e.fleet.now()
	if !e.planner.Changed() && now.Sub(e.broadcastAt) < repeatInterval {
		return
	}
	e.broadcastAt = now
	r := passes.Report{Domain: fmt.Sprint(e.domain), Sends: e.planner.Sends(), Paces: e.planner.Paces()}
	if w, ok := e.planner.Wait(); ok {
		r.Waits = []passes.Wait{w}
	}
	for _, o := range e.fleet.entries {
		if o != e && e.fleet.connected(e.domain, o.domain) && (!e.fleet.near || o.domain == e.domain) {
			e.fleet.clock.After(e.fleet.cfg.Lag, func() {
				r.ReceivedAt = e.fleet.now()
				o.reports[e.name], o.reportsChanged = r, true
			})
		}
	}
}
