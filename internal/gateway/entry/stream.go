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
	// The wait for a first event is limited to firstEventFactor times the prediction and
	// firstEventSlack. After that the engine counts as failed.
	firstEventFactor = 3
	firstEventSlack  = 1200 * time.Millisecond
	// Callers leave after a silence of two seconds, four times their target, or eight times their
	// allowed gap, whichever is longest.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// A silence between events of minSilence, or of silenceGaps times the allowed gap if that is
	// longer, makes the entry resume the stream at another engine.
	minSilence  = 1200 * time.Millisecond
	silenceGaps = 2.5
	// takeoverRetryDelay is the delay before another engine is sought again. It allows three
	// attempts before the least patient callers leave.
	takeoverRetryDelay = 250 * time.Millisecond
)

// stream is an answer on its way to the caller. If the route allows it, the stream is resumed at
// another engine when one fails.
type stream struct {
	c              *call
	engine         *engineStream
	pending        []byte // complete events that the caller has not read yet
	complete       bool   // the answer is complete
	err            error  // why the answer is not complete
	finish         func()
	silentAt       time.Time // when the engine counts as silent if no event comes
	events         int
	lastEventAt    time.Time
	latency        time.Duration // from the request's arrival to the first event
	maxGap         time.Duration // between events
	takeover       takeover
	takeoverErr    error // why the last engine that was asked runs nothing; nil if none was
	noEngineLogged bool  // the last attempt found no engine; limits logging
	closed         bool
}

// serveStream answers with the events of an engine.
func (c *call) serveStream(ctx *fasthttp.RequestCtx, finish func()) {
	st := &stream{c: c, finish: finish}
	if err := st.open(splitter{}, eventTiming{since: c.arrived, target: c.route.Target, callerLeavesAt: c.callerLeavesAt(c.arrived)}, nil); err != nil {
		after := passes.RetryAfter(err)
		if !c.endsBy.IsZero() {
			after = c.s.retryAfter()
		}
		c.refuse(ctx, err, after)
		finish()
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, st.engine.exchange.Header())
	if st.complete {
		ctx.Response.SetBodyRaw(st.pending)
		st.pending = nil
		_ = st.Close() // always nil
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(st, -1)
}

// silenceLimit returns the silence between events after which the stream is resumed at another
// engine.
func (c *call) silenceLimit() time.Duration {
	return max(minSilence, time.Duration(silenceGaps*float64(c.route.Gap)))
}

// open sends the request to engines until one has generated an event after the last one of the
// splitter or has answered completely. The stream continues with that engine, unless the silent
// one, if any, has gone on by then. A request that may have run fails if it is refused, so it waits
// for engines that can't be used at the moment until the caller leaves.
func (st *stream) open(after splitter, timing eventTiming, silent *engineStream) error {
	for waited := false; ; {
		es, ans, err := st.c.startOnEngine(after, timing, silent)
		if err == nil {
			if err = st.awaitFirst(es, ans); err == nil {
				return nil
			}
		}
		switch {
		case silent != nil && silent.goesOn():
			return err
		case fault.Is(err, KindLease):
			pause.For(st.c.ctx, reserveRetryDelay)
		case silent == nil && st.c.expectsEngines(err, timing):
			if !waited { // repeated attempts are logged once
				st.c.s.log.Info("No other engine can resume the stream yet.", "id", st.c.req.ID, "err", err)
			}
			waited = true
			pause.For(st.c.ctx, takeoverRetryDelay)
			st.c.forgetUnsent()
		case isRefusal(err) || !st.c.takeRetry(err):
			return err
		}
	}
}

// expectsEngines reports whether a request that may have run is refused for want of engines, and one
// that was not tried may take it again before the caller leaves.
func (c *call) expectsEngines(err error, timing eventTiming) bool {
	lacking := fault.Is(err, passes.KindNoEngine) || fault.Is(err, passes.KindTooLarge)
	return lacking && c.maybeRan > 0 && c.ctx.Err() == nil && time.Now().Add(takeoverRetryDelay).Before(timing.callerLeavesAt) &&
		c.s.sched.ExpectsEngines(c.service, c.tried, c.unsent, c.homes)
}

// isRefusal reports whether err is a refusal, so that another attempt finds no engine either.
func isRefusal(err error) bool {
	for _, k := range []passes.Kind{passes.KindNoEngine, passes.KindBusy, passes.KindTooLate, passes.KindTooLarge, passes.KindCallerGone} {
		if fault.Is(err, k) {
			return true
		}
	}
	return fault.Is(err, KindRefused) || fault.Is(err, KindCallerGone) || fault.Is(err, KindHeld)
}

// awaitFirst reads from an engine until an event or the answer is complete, and then makes it
// the stream's engine. A silent engine is given up only if another one takes the prompt.
func (st *stream) awaitFirst(es *engineStream, ans platform.Answer) error {
	c := st.c
	another := c.mayAskAnother(c.sends, c.maybeRan)
	limit := time.Now().Add(es.firstEventTimeout(another))
	until := limit
	var blocks []byte
	events, complete := 0, false
	for events == 0 && !complete {
		b, n, err := es.next(until)
		holdsMemory := es.lease != nil && !time.Now().Before(limit)
		if errors.Is(err, errSilent) && !es.silentGoesOn() && !(another && (holdsMemory || es.othersTake())) {
			if again := time.Now().Add(takeoverRetryDelay); again.After(until) {
				until = again // nothing is gained by giving it up
			}
			continue
		}
		blocks = append(blocks, b...)
		events += n
		complete = errors.Is(err, io.EOF)
		if err != nil && !complete && events == 0 {
			c.s.log.Warn("An engine sent no first event.", "id", c.req.ID, "upstream", es.engineName(), "segments", c.req.Segments.String(), "err", err)
			es.checkCrash(err, true)
			es.fail("")
			return heldOr(es.watch, fail("read", KindUnknown, err))
		}
	}
	if !c.endsBy.IsZero() && !complete && es.timing.delivered == 0 && !c.s.sched.EndsInTime(c.service, es.ticket, c.s.stopAt) {
		c.s.log.Warn("A stream would be cut when this entry stops.", "id", c.req.ID, "upstream", es.engineName(), "left_ms", time.Until(c.s.stopAt).Milliseconds())
		es.close(passes.Outcome{})
		return fail("read", KindUnknown, errStops)
	}
	if st.engine != nil {
		st.engine.fail("")
	}
	st.engine, st.pending, st.complete = es, append(st.pending, blocks...), complete
	if ans.Status < fasthttp.StatusMultipleChoices {
		c.s.sched.FirstEvent(c.service, es.ticket)
		es.watch.Event()
	}
	st.recordEvent(time.Now())
	es.recordFirstEvent()
	c.s.log.Info("First event.", "id", c.req.ID, "upstream", es.engineName(), "predicted_ms", es.ticket.Predicted().Milliseconds(),
		"took_ms", time.Since(es.ticket.PlacedAt()).Milliseconds(), "since_ms", time.Since(c.arrived).Milliseconds())
	return nil
}

// recordEvent records the time of an event.
func (st *stream) recordEvent(now time.Time) {
	if st.events++; st.events == 1 {
		st.latency = now.Sub(st.c.arrived)
	} else {
		wasLate := st.late()
		st.maxGap = max(st.maxGap, now.Sub(st.lastEventAt))
		if !wasLate && st.late() {
			st.reportLate()
		}
	}
	st.lastEventAt, st.silentAt = now, now.Add(st.c.silenceLimit())
}

// reportLate reports to the planner that the answer missed its objective: further pauses make it
// no worse for the caller.
func (st *stream) reportLate() {
	c := st.c
	c.s.log.Info("A pause exceeded the allowed gap.", "id", c.req.ID, "upstream", st.engine.engineName(), "pause_ms", st.maxGap.Milliseconds(),
		"gap_ms", c.route.Gap.Milliseconds(), "event", st.events)
	c.s.sched.MarkLate(c.service, st.engine.ticket)
}

// Read returns events for the caller's connection.
func (st *stream) Read(p []byte) (int, error) {
	for len(st.pending) == 0 {
		if st.complete {
			return 0, io.EOF
		}
		if st.err != nil {
			return 0, st.err
		}
		st.fill()
	}
	n := copy(p, st.pending)
	st.pending = st.pending[n:]
	return n, nil
}

// fill waits for the next events.
func (st *stream) fill() {
	b, events, err := st.engine.next(st.silentAt)
	st.pending = append(st.pending, b...)
	if events > 0 {
		st.recordEvent(time.Now())
		st.engine.watch.Event()
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		st.complete = true
	case errors.Is(err, errSilent):
		st.takeOver()
	default:
		st.err = st.resume(err)
	}
}

// takeover is the state of resuming a silent engine's stream at another engine.
type takeover int

const (
	takeoverNone    takeover = iota
	takeoverPending          // the retry budget allowed it, and no engine had room yet
	takeoverDone             // another engine has resumed it, or none may
)

// takeOver resumes the stream at another engine if one is silent. The silent engine may only be
// slow, so it is kept until the other has started. If no engine has room, it is tried again
// after takeoverRetryDelay until the caller leaves.
func (st *stream) takeOver() {
	c := st.c
	if st.takeover == takeoverNone {
		c.s.log.Warn("An engine is silent.", "id", c.req.ID, "upstream", st.engine.engineName(), "last", st.engine.splitter.lastID, "for_ms", time.Since(st.lastEventAt).Milliseconds(), "cut", st.engine.unreachableEngine())
		st.takeover = takeoverPending
		if !st.resumable() || !c.takeRetry(fail("read", KindUnknown, errSilent)) {
			st.takeover = takeoverDone
		}
	}
	if st.takeover == takeoverDone || time.Now().After(st.nextTiming().callerLeavesAt) {
		st.silentAt = time.Now().Add(c.silenceLimit())
		return
	}
	c.forgetUnsent()
	if st.takeoverErr != nil && !c.takeRetry(st.takeoverErr) {
		c.s.log.Warn("No other engine may be asked to go on.", "id", c.req.ID, "err", st.takeoverErr)
		st.takeover = takeoverDone
		return
	}
	silent := st.engine
	timing := eventTiming{since: st.lastEventAt, callerLeavesAt: time.Now(), delivered: st.events} // no queueing, because nobody reads from the silent engine meanwhile
	err := st.open(silent.splitter, timing, silent)
	st.takeoverErr = nil
	switch {
	case err == nil:
		st.takeover, st.noEngineLogged = takeoverDone, false
		return
	case isRefusal(err):
	case fault.Is(err, KindUnsent), fault.Is(err, KindNotRun), fault.Is(err, KindLease): // nothing runs there
		st.takeoverErr = err
	default:
		c.s.log.Warn("No other engine goes on.", "id", c.req.ID, "err", err)
		st.takeover = takeoverDone
		return
	}
	if !st.noEngineLogged { // repeated attempts are logged once
		c.s.log.Info("No other engine can resume the stream yet.", "id", c.req.ID, "err", err)
	}
	st.noEngineLogged, st.silentAt = true, time.Now().Add(takeoverRetryDelay)
}

func (st *stream) resumable() bool { return st.c.route.Resume && st.engine.splitter.lastID != "" }

// resume resumes the stream at another engine after the last complete event, or returns the
// reason why it can't be resumed.
func (st *stream) resume(err error) error {
	c := st.c
	c.s.log.Warn("A stream broke off.", "id", c.req.ID, "upstream", st.engine.engineName(), "last", st.engine.splitter.lastID, "lost", c.callerGone.Load(), "err", err)
	st.engine.checkCrash(err, false)
	st.engine.fail("")
	if !st.resumable() || !c.takeRetry(err) {
		return err
	}
	return st.open(st.engine.splitter, st.nextTiming(), nil)
}

// nextTiming returns the timing of the next event of an interrupted stream.
func (st *stream) nextTiming() eventTiming {
	timing := eventTiming{since: st.lastEventAt, delivered: st.events, callerLeavesAt: st.c.callerLeavesAt(st.lastEventAt)}
	if !st.late() {
		timing.target = st.c.route.Gap
	}
	return timing
}

// callerLeavesAt returns when a caller leaves that has received nothing since the given time.
func (c *call) callerLeavesAt(since time.Time) time.Time {
	return since.Add(max(minPatience, patienceTargets*c.route.Target, patienceGaps*c.route.Gap))
}

// late reports whether the answer has missed its objectives so far.
func (st *stream) late() bool { return st.latency > st.c.route.Target || st.maxGap > st.c.route.Gap }

// Close ends the stream. It always returns nil.
func (st *stream) Close() error {
	if st.closed {
		return nil
	}
	st.closed = true
	c := st.c
	complete := st.complete && len(st.pending) == 0
	st.engine.close(passes.Outcome{Answered: complete})
	late := st.late()
	switch {
	case complete && late:
		c.countOutcome("late")
	case complete:
		c.countOutcome("answered")
	case c.callerGone.Load():
		c.countOutcome("caller_left")
	default:
		c.countOutcome("cut")
	}
	c.s.metrics.Scope().Histogram("first_event", firstEventBuckets).RecordDuration(st.latency)
	c.s.metrics.Scope().Histogram("longest_pause", pauseBuckets).RecordDuration(st.maxGap)
	c.s.log.Info("Stream over.", "id", c.req.ID, "route", c.route.Name, "whole", complete, "lost", c.callerGone.Load(), "sends", c.sends,
		"first_ms", st.latency.Milliseconds(), "pause_ms", st.maxGap.Milliseconds(), "events", st.events,
		"late", late, "target_ms", c.route.Target.Milliseconds(), "gap_ms", c.route.Gap.Milliseconds(),
		"took_ms", time.Since(c.arrived).Milliseconds(), "version", c.version, "err", st.err)
	st.finish()
	return nil
}
