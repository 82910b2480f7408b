package fleet

import (
	"fmt"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

// request is a caller's request, over all its attempts.
type request struct {
	fleet           *Fleet
	id              int
	kind            int
	tokens          int
	events          int
	expectedEvents  int // events that its caller expects; 0 without a hint
	retriesLeft     int // retries left after a refusal
	issuedAt        time.Time
	entry           *entry         // of the current attempt
	arrivedAt       time.Time      // at the entry, in the current attempt
	ticket          *passes.Ticket // of the planner; nil with other policies
	engineRequest   *passengine.Request
	engine          *passengine.Engine
	received        int             // events received
	lastEventAt     time.Time       // of the last event
	firstEventAfter time.Duration   // from the first attempt to the first event
	longestPause    time.Duration   // longest so far
	tried           map[string]bool // engines that failed with it, where its kind is resumed
	broken          bool            // no event has come since it broke off
	ended           bool
}

func (r *request) cfg() *Kind      { return &r.fleet.cfg.Kinds[r.kind] }
func (r *request) result() *Result { return &r.fleet.results[r.kind] }
func (r *request) output() int     { return r.events * r.fleet.cfg.Figures.Stride }

// maxTokens returns the caller's limit on output tokens.
func (r *request) maxTokens() int {
	if n := r.cfg().Bound; n > 0 {
		return n * r.fleet.cfg.Figures.Stride
	}
	return r.output()
}

func (r *request) deadline() time.Time { return r.issuedAt.Add(r.cfg().Patience) }

// send opens the request at an engine, with helpers, after the network delay.
func (r *request) send(e *passengine.Engine, helpers []*passengine.Engine) {
	f := r.fleet
	entry := r.entry
	run := &passengine.Request{
		ID: fmt.Sprint(r.id), Prompt: r.tokens, Output: r.output(), Received: r.received * f.cfg.Figures.Stride,
		Event: func(last bool) { entry.runOrDefer(func() { r.event(last) }) },
		Cut:   func() { entry.runOrDefer(func() { r.fail(true) }) },
	}
	for _, h := range helpers {
		run.Helpers = append(run.Helpers, passengine.Helper{Engine: h})
	}
	r.engineRequest, r.engine = run, e
	entry.running = append(entry.running, r)
	f.clock.After(hopDelay, func() {
		if r.ended {
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

// event records an event that reached the caller.
func (r *request) event(last bool) {
	if r.ended {
		return
	}
	now := r.fleet.now()
	r.received++
	if r.received == 1 {
		r.firstEventAfter = now.Sub(r.issuedAt)
		r.entry.firstEvent(r)
	} else {
		if r.broken {
			r.resumed(now.Sub(r.lastEventAt))
			r.entry.firstEvent(r)
		}
		previous := r.longestPause
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
		if r.longestPause > r.cfg().Gap && previous <= r.cfg().Gap {
			r.entry.latePause(r)
		}
	}
	r.lastEventAt = now
	switch {
	case last:
		r.answered()
	case now.After(r.deadline()):
		r.engine.Cancel(r.engineRequest)
		r.lost(false)
	}
}

// answered ends a request that was answered in full.
func (r *request) answered() {
	k, res := r.cfg(), r.result()
	a := Answer{Whole: true, Worth: k.lateWorth(r.tokens)}
	switch {
	case r.firstEventAfter > k.Target:
		res.Late++
		res.LateFirst++
	case r.longestPause > k.Gap:
		res.Late++
		res.Pauses++
	default:
		res.OnTime++
		a.OnTime, a.Worth = true, k.worth(r.tokens)
	}
	r.end(a)
	r.entry.done(r, passes.Outcome{Answered: true})
}

// end records the outcome of the request.
func (r *request) end(a Answer) {
	r.ended = true
	if r.broken {
		r.resumed(0)
	}
	r.entry.removeRunning(r)
	a.Tokens, a.First, a.Pause, a.Owed = r.tokens, r.firstEventAfter, r.longestPause, r.cfg().worth(r.tokens)
	r.fleet.lastEnd = r.fleet.now()
	res := r.result()
	res.Worth += a.Worth
	res.Answers = append(res.Answers, a)
}

// fail ends an attempt that an engine did not finish. The caller may retry an attempt
// that did not run.
func (r *request) fail(ran bool) {
	if r.ended {
		return
	}
	if r.cfg().Resumes && r.fleet.now().Before(r.deadline()) {
		r.goOnElsewhere()
		return
	}
	if ran {
		r.lost(true)
		return
	}
	r.entry.removeRunning(r)
	r.entry.done(r, passes.Outcome{Failed: true})
	r.retryOrRefuse(defaultRetryDelay)
}

// goOnElsewhere places a request again whose engine failed.
func (r *request) goOnElsewhere() {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[r.engine.Name()] = true
	r.broken = r.received > 0
	r.entry.removeRunning(r)
	r.entry.done(r, passes.Outcome{Failed: true})
	r.entry.submit(r)
}

// resumed records how a stream that broke off went on.
func (r *request) resumed(pause time.Duration) {
	r.broken = false
	res := r.result()
	res.Resumed = append(res.Resumed, Resumption{Tokens: r.tokens, Pause: pause})
}

// lost ends a request that was cut off.
func (r *request) lost(failed bool) {
	r.end(Answer{})
	r.result().Failed++
	r.entry.done(r, passes.Outcome{Failed: failed})
}

// retryOrRefuse schedules the caller's retry after the delay, or ends the request when no
// retry or no time is left.
func (r *request) retryOrRefuse(after time.Duration) {
	f := r.fleet
	after = min(after, r.deadline().Sub(f.now())/retryDelayDivisor)
	if r.retriesLeft == 0 || after <= 0 {
		r.end(Answer{})
		r.result().Refused++
		return
	}
	r.retriesLeft--
	if r.cfg().Storms {
		after = 0
	}
	f.clock.After(after, func() { f.entries[f.policyRand.IntN(len(f.entries))].submit(r) })
}
