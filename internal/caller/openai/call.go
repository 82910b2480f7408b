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

// resumeGrace is how long a stream goes on at its engine after the connection of
// the caller that could resume it was lost.
const resumeGrace = time.Second

// finishCancelled is the finish of a stream that somebody cancelled.
const finishCancelled = "cancelled"

// phase tells how far a call has come.
type phase int32

const (
	phaseWaiting phase = iota // queued, or opening a stream
	phasePrefill
	phaseTokens
)

var phaseNames = map[phase]string{phaseWaiting: "waiting", phasePrefill: "prefill", phaseTokens: "tokens"}

// call is one request in progress. One goroutine runs it at a time.
type call struct {
	*request
	h       *Handler
	rid     responseID
	ws      *resource.Workspace
	start   time.Time
	ctx     context.Context
	cancel  context.CancelCauseFunc
	src     *source
	piece   engine.Piece // the first
	watcher *watcher
	held    int64  // bytes of the prompt
	release func() // gives back what was taken of the workspace's limits; nil for a resumed call
	headed  bool   // the caller has the id
	pos     atomic.Int64
	phase   atomic.Int32

	mu     sync.Mutex
	text   string // of the id
	engine string
	atID   string // of the stream at the engine
	moved  string // what the ids of events say of the engine
	out    *output
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

// cause returns why the call was ended, or nil.
func (c *call) cause() error { return context.Cause(c.ctx) }

// id returns the text of the call's id. It names the engine once there is one.
func (c *call) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.text == "" {
		return c.h.ids.encode(c.ws.Name(), &c.rid)
	}
	return c.text
}

// setRun notes where the answer comes from. A caller that has the id learns of
// another engine from the ids of the events.
func (c *call) setRun(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engine, c.atID = r.engine, r.stream
	c.phase.Store(int32(phasePrefill))
	if c.headed {
		c.moved = movedText(r.attempt, r.engine)
		return
	}
	rid := c.rid
	rid.attempt, rid.engine = r.attempt, r.engine
	c.text = c.h.ids.encode(c.ws.Name(), &rid)
}

// setHeaded notes that the id is on its way to the caller.
func (c *call) setHeaded(o *output) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headed, c.out = true, o
}

func (c *call) movedText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved
}

// cancelRun ends a run at its engine. Where the caller may still resume it, the
// cancel waits, and is left out once another entry serves the stream.
func (c *call) cancelRun(r *run, cause error) {
	j := &cancelJob{
		engine: r.engine, stream: r.stream, call: r.cancel,
		done: func() { r.done(placement.Outcome{Err: cause}) },
	}
	if !c.headed || !errors.Is(cause, errGone) {
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

// errorFor returns what the caller gets for a call that failed before its first token.
func (c *call) errorFor(err error) *reply.Error {
	cause := c.cause()
	switch {
	case cause == nil && c.headed && fault.Is(err, engine.KindUnknownStream):
		return unknownResponse()
	case errors.Is(cause, errCancelled) || cause == nil && errors.Is(err, errCancelled):
		return cancelled(reply.RanUnknown)
	case cause == nil:
		return errorFor(c.src.sent, err)
	case errors.Is(cause, errGone):
		return gone(ranBefore(c.src.sent, err))
	case errors.Is(cause, errHandover), errors.Is(cause, errTaken):
		return leaving(c.id(), ranBefore(c.src.sent, err))
	default:
		return timedOut(ranBefore(c.src.sent, err))
	}
}

// cut returns the error of a call that stopped after its first token.
func (c *call) cut(err error) *reply.Error {
	cause := c.cause()
	switch {
	case errors.Is(cause, errCancelled) || cause == nil && errors.Is(err, errCancelled):
		return cancelled(reply.RanPartial)
	case cause == nil:
		return lost(reply.RanPartial)
	case errors.Is(cause, errGone):
		return gone(reply.RanPartial)
	case errors.Is(cause, errTaken):
		return taken()
	case errors.Is(cause, errHandover):
		return leaving(c.id(), reply.RanPartial)
	default:
		return timedOut(reply.RanPartial)
	}
}
