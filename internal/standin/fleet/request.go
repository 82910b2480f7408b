package fleet

import (
	"fmt"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

// request is a caller's request, over all the times that it comes back.
type request struct {
	fleet    *Fleet
	id       int
	kind     int
	tokens   int
	events   int
	expected int // events; 0 where its caller tells nothing
	returns  int // times that its caller still comes back
	asked    time.Time
	entry    *entry
	arrived  time.Time // at the entry, this time
	ticket   *passes.Ticket
	run      *passengine.Request
	engine   *passengine.Engine
	begun    int // events that came
	last     time.Time
	first    time.Duration
	pause    time.Duration
	over     bool
}

func (r *request) cfg() *Kind      { return &r.fleet.cfg.Kinds[r.kind] }
func (r *request) result() *Result { return &r.fleet.results[r.kind] }
func (r *request) output() int     { return r.events * r.fleet.cfg.Figures.Stride }

// bound returns the tokens that the caller names as the most.
func (r *request) bound() int {
	if n := r.cfg().Bound; n > 0 {
		return n * r.fleet.cfg.Figures.Stride
	}
	return r.output()
}

func (r *request) until() time.Time { return r.asked.Add(r.cfg().Patience) }

// send gives the request to an engine, with helpers, after a message's time.
func (r *request) send(e *passengine.Engine, helpers []*passengine.Engine) {
	f := r.fleet
	entry := r.entry
	run := &passengine.Request{
		ID: fmt.Sprint(r.id), Prompt: r.tokens, Output: r.output(),
		Event: func(last bool) { entry.awake(func() { r.event(last) }) },
		Cut:   func() { entry.awake(func() { r.fail(true) }) },
	}
	for _, h := range helpers {
		run.Helpers = append(run.Helpers, passengine.Helper{Engine: h})
	}
	r.run, r.engine = run, e
	entry.running = append(entry.running, r)
	f.clock.After(hop, func() {
		if r.over {
			return
		}
		if !f.reaches(entry, e) {
			r.fail(false)
			return
		}
		if err := e.Open(run); err != nil {
			r.fail(false)
		}
	})
}

// event notes an event that reached the caller.
func (r *request) event(last bool) {
	if r.over {
		return
	}
	now := r.fleet.now()
	r.begun++
	if r.begun == 1 {
		r.first = now.Sub(r.asked)
		r.entry.began(r)
	} else {
		was := r.pause
		r.pause = max(r.pause, now.Sub(r.last))
		if r.pause > r.cfg().Gap && was <= r.cfg().Gap {
			r.entry.late(r)
		}
	}
	r.last = now
	switch {
	case last:
		r.answered()
	case now.After(r.until()):
		r.engine.Cancel(r.run)
		r.lost(false)
	}
}

// answered ends a request whose answer is whole.
func (r *request) answered() {
	k, res := r.cfg(), r.result()
	a := Answer{Whole: true, Worth: k.late(r.tokens)}
	switch {
	case r.first > k.Target:
		res.Late++
		res.LateFirst++
	case r.pause > k.Gap:
		res.Late++
		res.Pauses++
	default:
		res.OnTime++
		a.OnTime, a.Worth = true, k.worth(r.tokens)
	}
	r.end(a)
	r.entry.done(r, passes.Outcome{Answered: true})
}

// end notes what became of the request.
func (r *request) end(a Answer) {
	r.over = true
	r.entry.stopped(r)
	a.Tokens, a.First, a.Pause, a.Owed = r.tokens, r.first, r.pause, r.cfg().worth(r.tokens)
	r.fleet.ended = r.fleet.now()
	res := r.result()
	res.Worth += a.Worth
	res.Answers = append(res.Answers, a)
}

// fail ends a try that an engine did not finish. Where it did not run, its caller may
// come back.
func (r *request) fail(ran bool) {
	if r.over {
		return
	}
	if ran {
		r.lost(true)
		return
	}
	r.entry.stopped(r)
	r.entry.done(r, passes.Outcome{Failed: true})
	r.refused(defaultRetry)
}

// lost ends a request that was cut off.
func (r *request) lost(failed bool) {
	r.end(Answer{})
	r.result().Failed++
	r.entry.done(r, passes.Outcome{Failed: failed})
}

// refused lets the caller come back after a time, or ends the request.
func (r *request) refused(after time.Duration) {
	f := r.fleet
	after = min(after, r.until().Sub(f.now())/mostRetry)
	if r.returns == 0 || after <= 0 {
		r.end(Answer{})
		r.result().Refused++
		return
	}
	r.returns--
	if r.cfg().Storms {
		after = 0
	}
	f.clock.After(after, func() { f.entries[f.rng.IntN(len(f.entries))].take(r) })
}
