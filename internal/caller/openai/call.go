package openai

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

// resumeGrace is how long a stream keeps running at its engine after its caller's
// connection was lost, so that the caller can resume it.
const resumeGrace = time.Second

// finishCancelled is the finish reason that an engine reports for a cancelled stream.
const finishCancelled = "cancelled"

// phase is the progress of a call.
type phase int32

const (
	phaseWaiting phase = iota // queued, or opening a stream
	phasePrefill
	phaseTokens
)

var phaseNames = map[phase]string{phaseWaiting: "waiting", phasePrefill: "prefill", phaseTokens: "tokens"}

// call is a request in progress. Only one goroutine runs it at a time; the fields
// below mu are also read for state dumps.
type call struct {
	*request
	h           *Handler
	rid         responseID
	ws          *resource.Workspace
	start       time.Time
	ctx         context.Context
	cancel      context.CancelCauseFunc
	src         *source
	firstPiece  engine.Piece // set by readFirst
	watcher     *watcher
	promptBytes int64  // reserved in Handler.prompts
	release     func() // releases the workspace's limits; nil for a resumed call
	idSent      bool   // the caller knows the response id
	position    atomic.Int64
	phase       atomic.Int32

	mu          sync.Mutex
	idText      string // encoded response id, empty until an engine is known
	engine      string
	streamID    string // of the stream at the engine
	eventSuffix string // names the current engine in event ids if the response id names another
	out         *output
}

func newCall(h *Handler, r *request, rid responseID, ws *resource.Workspace, patience time.Duration) *call {
	c := &call{request: r, h: h, rid: rid, ws: ws, start: time.Now()}
	deadline, stop := context.WithTimeout(context.Background(), patience)
	ctx, cancel := context.WithCancelCause(deadline)
	c.ctx = ctx
	c.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return c
}

// cause returns the reason why the call was ended, or nil if it was not.
func (c *call) cause() error { return context.Cause(c.ctx) }

// id returns the encoded response id. It names the engine once one was chosen.
func (c *call) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idText == "" {
		return c.h.ids.encode(c.ws.Name(), &c.rid)
	}
	return c.idText
}

// setRun records the engine that produces the response. The response id can't change
// after it was sent, so that event ids carry the name of a later engine.
func (c *call) setRun(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engine, c.streamID = r.engine, r.stream
	c.phase.Store(int32(phasePrefill))
	if c.idSent {
		c.eventSuffix = formatEventSuffix(r.attempt, r.engine)
		return
	}
	rid := c.rid
	rid.attempt, rid.engine = r.attempt, r.engine
	c.idText = c.h.ids.encode(c.ws.Name(), &rid)
}

// setIDSent records that the response id is being sent to the caller.
func (c *call) setIDSent(o *output) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idSent, c.out = true, o
}

func (c *call) currentEventSuffix() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.eventSuffix
}

// cancelRun cancels a run at its engine. If the caller disconnected but may still
// resume, the cancel is delayed by resumeGrace, and skipped if another entry serves
// the stream by then.
func (c *call) cancelRun(r *run, cause error) {
	j := &cancelJob{
		engine: r.engine, stream: r.stream, call: r.cancel,
		done: func() { r.done(placement.Outcome{Err: cause}) },
	}
	if !c.idSent || !errors.Is(cause, errCallerGone) {
		c.h.cancels.add(j, 0)
		return
	}
	j.call = func(ctx context.Context) error {
		if r.release != nil {
			if err := r.release(ctx); err != nil {
				return err
			}
		}
		holds, err := r.holds(ctx)
		if err != nil {
			return err
		}
		if orphan.ServedByOther(holds, r.stream, c.h.seams.Owner) {
			c.h.metrics.Counter("taken_over").Inc(1)
			return nil
		}
		return r.cancel(ctx)
	}
	c.h.cancels.add(j, resumeGrace)
}

// errorBeforeFirst returns the caller's error for a call that failed before its first
// token.
func (c *call) errorBeforeFirst(err error) *reply.Error {
	cause := c.cause()
	switch {
	case cause == nil && c.idSent && fault.Is(err, engine.KindUnknownStream):
		return unknownResponse()
	case errors.Is(cause, errCancelled) || cause == nil && errors.Is(err, errCancelled):
		return cancelled(reply.RanUnknown)
	case cause == nil:
		return runError(c.src.mayHaveRun, err)
	case errors.Is(cause, errCallerGone):
		return callerGone(ranBeforeFirst(c.src.mayHaveRun, err))
	case errors.Is(cause, errHandover), errors.Is(cause, errResumedElsewhere):
		return entryLeaving(c.id(), ranBeforeFirst(c.src.mayHaveRun, err))
	default:
		return timedOut(ranBeforeFirst(c.src.mayHaveRun, err))
	}
}

// errorAfterFirst returns the caller's error for a call that failed after its first
// token.
func (c *call) errorAfterFirst(err error) *reply.Error {
	cause := c.cause()
	switch {
	case errors.Is(cause, errCancelled) || cause == nil && errors.Is(err, errCancelled):
		return cancelled(reply.RanPartial)
	case cause == nil:
		return engineLost(reply.RanPartial)
	case errors.Is(cause, errCallerGone):
		return callerGone(reply.RanPartial)
	case errors.Is(cause, errResumedElsewhere):
		return resumedElsewhere()
	case errors.Is(cause, errHandover):
		return entryLeaving(c.id(), reply.RanPartial)
	default:
		return timedOut(reply.RanPartial)
	}
}
