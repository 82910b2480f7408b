package openai

import (
	"errors"
	"net"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

var eventDone = []byte("[DONE]")

// prepared is a streamed answer whose head and first event are encoded. Whatever
// takes a deep stack is done here, so that the goroutine of an open stream keeps a
// small one.
type prepared struct {
	c   *call
	out *output
	enc *eventEncoder
}

// prepare takes over the caller's connection.
func (h *Handler) prepare(c *call, conn net.Conn, chunked bool) (*prepared, error) {
	p := &prepared{c: c, out: newOutput(conn, chunked, &h.pending)}
	p.out.head(streamHead(c.id(), chunked))
	c.setHeaded(p.out)
	var err error
	if p.enc, err = newEventEncoder(newAnswer(c.rid.shape, c.id(), c.model, c.rid.created())); err != nil {
		return p, err
	}
	return p, p.out.add(func(b []byte) ([]byte, error) { return p.enc.piece(b, &c.piece) })
}

// relay writes a streamed answer to the caller's connection and closes it.
func (h *Handler) relay(p *prepared) {
	defer p.out.close()
	last, err := p.send()
	if err != nil {
		h.cut(p, last, err)
		return
	}
	h.end(p.c, last.Usage, nil)
	p.finish(last)
}

// cut ends an answer that is not whole with an error event.
func (h *Handler) cut(p *prepared, last engine.Piece, err error) {
	cause := p.c.blame(err)
	apiErr := p.c.cut(err)
	h.end(p.c, nil, cause)
	h.metrics.Tagged(map[string]string{"code": apiErr.Code}).Counter("cut").Inc(1)
	if p.out.send(func(b []byte) ([]byte, error) { return p.enc.data(b, last.Pos, apiErr.JSON()), nil }) == nil {
		_ = p.out.finish() // the caller may be gone
	}
}

// finish ends a whole answer.
func (p *prepared) finish(last engine.Piece) {
	var err error
	if p.c.includeUsage {
		err = p.out.send(func(b []byte) ([]byte, error) { return p.enc.value(b, last.Pos, p.enc.answer.usageChunk(last.Usage)) })
	}
	if err == nil {
		err = p.out.send(func(b []byte) ([]byte, error) { return p.enc.data(b, last.Pos, eventDone), nil })
	}
	if err == nil {
		_ = p.out.finish() // the caller may be gone
	}
}

// send sends the pieces. It returns the last one, with an error where the answer
// did not come to its end at the engine or its caller could not be reached.
func (p *prepared) send() (engine.Piece, error) {
	c := p.c
	piece := c.piece
	event := func(b []byte) ([]byte, error) { return p.enc.piece(b, &piece) }
	c.phase.Store(int32(phaseTokens))
	if err := p.out.write(); err != nil {
		return piece, &callerError{err}
	}
	for piece.Finish == "" {
		next, err := c.src.next(c.ctx)
		if err != nil {
			return piece, err
		}
		piece, p.enc.moved = next, c.movedText()
		if err := p.out.send(event); err != nil {
			return piece, &callerError{err}
		}
		c.pos.Store(int64(piece.Pos))
	}
	return piece, nil
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
