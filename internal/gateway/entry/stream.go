package entry

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// firstFactor and firstExtra bound the wait for a first event: the prediction
	// may be that far off before the engine counts as failed.
	firstFactor = 3
	firstExtra  = 1200 * time.Millisecond
	// Callers leave after a silence of two seconds, four times their target or eight
	// times the pause that they allow, whichever is longest.
	leastPatience  = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// leastSilence and silentGaps are the silence between events after which another
	// engine is asked to go on.
	leastSilence = 1200 * time.Millisecond
	silentGaps   = 2.5
	// reliefPause is how long after a try that found no engine another is made, three
	// before the most impatient callers leave.
	reliefPause = 250 * time.Millisecond
)

// stream is the answer of engines on its way to the caller. It goes on at another
// engine where the route allows it.
type stream struct {
	c      *call
	leg    *leg
	out    []byte // whole events that the caller has not taken yet
	ended  bool   // the answer is whole
	err    error  // why it is not
	finish func()
	silent time.Duration
	events int
	at     time.Time     // of the last event
	began  time.Duration // from the request's arrival to its first event
	pause  time.Duration // longest between events
	relief relief
	alone  bool // no other engine went on when last asked
	closed bool
}

// serveStream answers with the events of an engine.
func (c *call) serveStream(ctx *fasthttp.RequestCtx, finish func()) {
	st := &stream{c: c, finish: finish, silent: c.silence()}
	if err := st.open(splitter{}, due{from: c.arrived, target: c.route.Target, leaves: c.leaves(c.arrived)}); err != nil {
		c.refuse(ctx, err, passes.RetryAfter(err))
		finish()
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, st.leg.x.Header())
	if st.ended {
		ctx.Response.SetBodyRaw(st.out)
		st.out = nil
		_ = st.Close() // it never fails
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(st, -1)
}

// silence returns the silence between events after which another engine is asked to go on.
func (c *call) silence() time.Duration {
	return max(leastSilence, time.Duration(silentGaps*float64(c.route.Gap)))
}

// open sends the request to engines until one has written an event behind the last
// one of a splitter, or has answered in full. That one then carries the stream.
func (st *stream) open(after splitter, d due) error {
	for {
		l, ans, err := st.c.begin(after, d)
		if err == nil {
			if err = st.first(l, ans); err == nil {
				return nil
			}
		}
		switch {
		case fault.Is(err, KindHold):
			pause.For(st.c.ctx, holdRetry)
		case refused(err) || !st.c.again(err):
			return err
		}
	}
}

// refused reports whether an error is a refusal: no engine will be found by trying again.
func refused(err error) bool {
	for _, k := range []passes.Kind{passes.KindNoEngine, passes.KindBusy, passes.KindTooLate, passes.KindTooLarge, passes.KindGone} {
		if fault.Is(err, k) {
			return true
		}
	}
	return fault.Is(err, KindRefused) || fault.Is(err, KindGone)
}

// first reads a leg until an event is whole or the answer ends, and then goes on with it.
func (st *stream) first(l *leg, ans platform.Answer) error {
	c, limit := st.c, l.firstLimit()
	var out []byte
	ended := false
	for len(out) == 0 && !ended {
		b, err := l.next(limit)
		out = append(out, b...)
		ended = errors.Is(err, io.EOF)
		if err != nil && !ended && len(out) == 0 {
			c.s.log.Warn("An engine did not begin.", "id", c.req.ID, "upstream", l.name(), "err", err)
			l.failed("")
			return fail("read", KindUnknown, err)
		}
	}
	if st.leg != nil {
		st.leg.failed("")
	}
	st.leg, st.out, st.ended = l, append(st.out, out...), ended
	if ans.Status < fasthttp.StatusMultipleChoices {
		c.s.belief.FirstEvent(c.service, l.ticket)
	}
	st.note(time.Now())
	l.countBegin()
	c.s.log.Info("First event.", "id", c.req.ID, "upstream", l.name(), "predicted_ms", l.ticket.Predicted().Milliseconds(),
		"took_ms", time.Since(l.ticket.PlacedAt()).Milliseconds(), "since_ms", time.Since(c.arrived).Milliseconds())
	return nil
}

// note takes the time of an event.
func (st *stream) note(now time.Time) {
	if st.events++; st.events == 1 {
		st.began = now.Sub(st.c.arrived)
	} else {
		was := st.late()
		st.pause = max(st.pause, now.Sub(st.at))
		if !was && st.late() {
			st.tellLate()
		}
	}
	st.at = now
}

// tellLate tells the planner that a pause was too long: further ones lose the caller nothing.
func (st *stream) tellLate() {
	c := st.c
	c.s.log.Info("A pause was too long.", "id", c.req.ID, "upstream", st.leg.name(), "pause_ms", st.pause.Milliseconds(),
		"gap_ms", c.route.Gap.Milliseconds(), "event", st.events)
	c.s.belief.Late(c.service, st.leg.ticket)
}

// Read gives the caller's connection what the engine has written.
func (st *stream) Read(p []byte) (int, error) {
	for len(st.out) == 0 {
		if st.ended {
			return 0, io.EOF
		}
		if st.err != nil {
			return 0, st.err
		}
		st.fill()
	}
	n := copy(p, st.out)
	st.out = st.out[n:]
	return n, nil
}

// fill waits for the next events.
func (st *stream) fill() {
	b, err := st.leg.next(st.silent)
	if len(b) > 0 {
		st.out = append(st.out, b...)
		st.note(time.Now())
		st.silent = st.c.silence()
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		st.ended = true
	case errors.Is(err, errSilent):
		st.relieve()
	default:
		st.err = st.resume(err)
	}
}

// relief is how far a stream is with going on for a silent engine.
type relief int

const (
	reliefNone   relief = iota
	reliefSought        // the budget allowed it, and no engine had room so far
	reliefOver          // another engine went on, or none may
)

// relieve asks another engine to go on where one is silent. The silent one is kept
// until another has begun: it may only be slow. Where no engine has room it is tried
// again soon, while the caller waits.
func (st *stream) relieve() {
	c := st.c
	if st.relief == reliefNone {
		c.s.log.Warn("An engine is silent.", "id", c.req.ID, "upstream", st.leg.name(), "last", st.leg.split.text, "for_ms", time.Since(st.at).Milliseconds(), "cut", st.leg.cutOff())
		st.relief = reliefSought
		if !st.resumable() || !c.again(fail("read", KindUnknown, errSilent)) {
			st.relief = reliefOver
		}
	}
	if st.relief == reliefOver || time.Now().After(st.due().leaves) {
		return
	}
	silent := st.leg
	at := due{from: st.at, leaves: time.Now(), events: st.events} // at once or not at all: nobody reads the silent one meanwhile
	err := st.open(silent.split, at)
	switch {
	case err == nil:
		st.relief, st.silent, st.alone = reliefOver, c.silence(), false
	case refused(err):
		if !st.alone { // it is asked again and again
			c.s.log.Info("No other engine goes on yet.", "id", c.req.ID, "err", err)
		}
		st.alone, st.silent = true, reliefPause
	default:
		c.s.log.Warn("No other engine goes on.", "id", c.req.ID, "err", err)
		st.relief = reliefOver
	}
}

func (st *stream) resumable() bool { return st.c.route.Resume && st.leg.split.text != "" }

// resume goes on at another engine behind the last whole event after a leg broke
// off, or returns why not.
func (st *stream) resume(err error) error {
	c := st.c
	c.s.log.Warn("A stream broke off.", "id", c.req.ID, "upstream", st.leg.name(), "last", st.leg.split.text, "lost", c.lost.Load(), "err", err)
	st.leg.failed("")
	if !st.resumable() || !c.again(err) {
		return err
	}
	return st.open(st.leg.split, st.due())
}

// due returns when the next event of a stream that broke off is due.
func (st *stream) due() due {
	d := due{from: st.at, events: st.events, leaves: st.c.leaves(st.at)}
	if !st.late() {
		d.target = st.c.route.Gap
	}
	return d
}

// leaves returns when a caller leaves that has got nothing since a moment.
func (c *call) leaves(since time.Time) time.Time {
	return since.Add(max(leastPatience, targetPatience*c.route.Target, gapPatience*c.route.Gap))
}

// late reports whether the answer has been late so far.
func (st *stream) late() bool { return st.began > st.c.route.Target || st.pause > st.c.route.Gap }

// Close ends the stream.
func (st *stream) Close() error {
	if st.closed {
		return nil
	}
	st.closed = true
	c := st.c
	whole := st.ended && len(st.out) == 0
	st.leg.close(passes.Outcome{Answered: whole})
	late := st.late()
	switch {
	case whole && late:
		c.count("late")
	case whole:
		c.count("answered")
	case c.lost.Load():
		c.count("caller_left")
	default:
		c.count("cut")
	}
	c.s.metrics.Scope().Histogram("first_event", firstEvents).RecordDuration(st.began)
	c.s.metrics.Scope().Histogram("longest_pause", pauses).RecordDuration(st.pause)
	c.s.log.Info("Stream over.", "id", c.req.ID, "route", c.route.Name, "whole", whole, "lost", c.lost.Load(), "sends", c.sends,
		"first_ms", st.began.Milliseconds(), "pause_ms", st.pause.Milliseconds(), "events", st.events,
		"late", late, "target_ms", c.route.Target.Milliseconds(), "gap_ms", c.route.Gap.Milliseconds(),
		"took_ms", time.Since(c.arrived).Milliseconds(), "version", c.version, "err", st.err)
	st.finish()
	return nil
}
