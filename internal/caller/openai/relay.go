package openai

import (
	"errors"
	"net"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

var eventDone = []byte("[DONE]")

// streamWriter writes a streamed response. Its header and first event are encoded in
// newStreamWriter, since encoding needs a deep stack, which the goroutine of an open
// stream would keep.
type streamWriter struct {
	c   *call
	out *output
	enc *eventEncoder
}

// newStreamWriter returns a writer to the caller's connection, with the header and the
// first event buffered. The writer is non-nil even with an error.
func (h *Handler) newStreamWriter(c *call, conn net.Conn, chunked bool) (*streamWriter, error) {
	w := &streamWriter{c: c, out: newOutput(conn, chunked, &h.pendingBytes)}
	w.out.appendRaw(streamHeader(c.id(), chunked))
	c.setIDSent(w.out)
	var err error
	if w.enc, err = newEventEncoder(newResponseFormatter(c.rid.api, c.id(), c.model, c.rid.created())); err != nil {
		return w, err
	}
	return w, w.out.appendChunk(func(b []byte) ([]byte, error) { return w.enc.appendPiece(b, &c.firstPiece) })
}

// relay writes a streamed response to the caller's connection and closes it.
func (h *Handler) relay(w *streamWriter) {
	defer w.out.close()
	last, err := w.send()
	if err != nil {
		h.abort(w, last, err)
		return
	}
	h.endCall(w.c, last.Usage, nil)
	w.finish(last)
}

// abort ends an incomplete response with an error event.
func (h *Handler) abort(w *streamWriter, lastPiece engine.Piece, err error) {
	cause := w.c.endCause(err)
	apiErr := w.c.errorAfterFirst(err)
	h.endCall(w.c, nil, cause)
	h.metrics.Tagged(map[string]string{"code": apiErr.Code}).Counter("cut").Inc(1)
	if w.out.send(func(b []byte) ([]byte, error) { return w.enc.appendData(b, lastPiece.Pos, apiErr.JSON()), nil }) == nil {
		_ = w.out.finish() // the caller may be gone
	}
}

// finish ends a complete response.
func (w *streamWriter) finish(p engine.Piece) {
	var err error
	if w.c.includeUsage {
		err = w.out.send(func(b []byte) ([]byte, error) { return w.enc.appendJSON(b, p.Pos, w.enc.format.usageChunk(p.Usage)) })
	}
	if err == nil {
		err = w.out.send(func(b []byte) ([]byte, error) { return w.enc.appendData(b, p.Pos, eventDone), nil })
	}
	if err == nil {
		_ = w.out.finish() // the caller may be gone
	}
}

// send writes the pieces and returns the last one. It returns a callerError if the
// caller's connection failed, or the source's error if the response is incomplete.
func (w *streamWriter) send() (engine.Piece, error) {
	c := w.c
	piece := c.firstPiece
	event := func(b []byte) ([]byte, error) { return w.enc.appendPiece(b, &piece) }
	c.phase.Store(int32(phaseTokens))
	if err := w.out.write(); err != nil {
		return piece, &callerError{err}
	}
	for piece.Finish == "" {
		next, err := c.src.next(c.ctx)
		if err != nil {
			return piece, err
		}
		piece, w.enc.idSuffix = next, c.currentEventSuffix()
		if err := w.out.send(event); err != nil {
			return piece, &callerError{err}
		}
		c.position.Store(int64(piece.Pos))
	}
	return piece, nil
}

// callerError is an error of the caller's connection, as opposed to the engine's.
type callerError struct{ cause error }

// Error returns the cause's message, prefixed.
func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// endCause returns why the call ended: the cause of its cancellation, or else err. A
// callerError cancels the call with errCallerGone.
func (c *call) endCause(err error) error {
	var ce *callerError
	if errors.As(err, &ce) {
		c.cancel(errCallerGone)
	}
	if cause := c.cause(); cause != nil {
		return cause
	}
	return err
}
