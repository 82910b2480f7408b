package openai

import (
	"errors"
	"net"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

var eventDone = []byte("[DONE]")

// relay writes a streamed answer to the caller's connection and closes it.
func (h *Handler) relay(c *call, conn net.Conn, chunked bool) {
	c.watcher.consume()
	o := newOutput(conn, chunked, &h.pending)
	defer o.close()
	o.head(streamHead(c.id(), chunked))
	c.setHeaded(o)
	enc, err := newEventEncoder(newAnswer(c.rid.shape, c.id(), c.model, c.rid.created()))
	if err != nil {
		h.end(c, nil, err)
		return
	}
	last, err := c.send(o, enc)
	if err != nil {
		cause := c.blame(err)
		apiErr := c.cut(err)
		h.end(c, nil, cause)
		h.metrics.Tagged(map[string]string{"code": apiErr.Code}).Counter("cut").Inc(1)
		if o.send(func(b []byte) ([]byte, error) { return enc.data(b, last.Pos, apiErr.JSON()), nil }) == nil {
			_ = o.finish() // the caller may be gone
		}
		return
	}
	h.end(c, last.Usage, nil)
	if c.includeUsage {
		err = o.send(func(b []byte) ([]byte, error) { return enc.value(b, last.Pos, enc.answer.usageChunk(last.Usage)) })
	}
	if err == nil {
		err = o.send(func(b []byte) ([]byte, error) { return enc.data(b, last.Pos, eventDone), nil })
	}
	if err == nil {
		_ = o.finish() // the caller may be gone
	}
}

// send sends the pieces. It returns the last one, with an error where the answer
// did not come to its end at the engine or its caller could not be reached.
func (c *call) send(o *output, enc *eventEncoder) (engine.Piece, error) {
	p, err := c.piece, error(nil)
	event := func(b []byte) ([]byte, error) { return enc.piece(b, &p) }
	c.phase.Store(int32(phaseTokens))
	for {
		if err := o.send(event); err != nil {
			return p, &callerError{err}
		}
		c.pos.Store(int64(p.Pos))
		if p.Finish != "" {
			return p, nil
		}
		last := p
		if p, err = c.src.next(c.ctx); err != nil {
			return last, err
		}
		enc.moved = c.movedText()
	}
}

// callerError is an error of the caller's connection.
type callerError struct{ cause error }

// Error returns the cause's text.
func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// blame returns errGone where the caller is to blame for the end of the call.
func (c *call) blame(err error) error {
	var ce *callerError
	if errors.As(err, &ce) {
		c.cancel(errGone)
	}
	if cause := c.cause(); cause != nil {
		return cause
	}
	return err
}
