package passengine

import (
	"errors"
	"slices"
	"time"
)

// Request is a prompt that an engine runs.
type Request struct {
	ID      string
	Prompt  int // tokens
	Output  int // tokens
	Had     int // tokens of the output that its caller has already: they are read, not written
	Urgency int // 0 goes first
	Helpers []Helper
	Event   func(last bool) // an event was written
	Cut     func()          // the request ends before its last event

	engine    *Engine
	arrived   time.Time
	context   int // tokens read and written
	written   int
	own       *part // of the prompt at the engine itself; nil once it is read
	partsLeft int
	writing   bool
	over      bool
}

// Helper is an engine that reads a part of a prompt, and holds some of its memory where
// a reservation is named.
type Helper struct {
	Engine *Engine
	Ticket string // id of a reservation; "" where it holds nothing
}

// ticketed returns the tokens that reservations at helpers hold.
func (r *Request) ticketed() int {
	n := 0
	for _, h := range r.Helpers {
		if t := h.Engine.ticket(h.Ticket); t != nil {
			n += t.tokens
		}
	}
	return n
}

// here returns the tokens of memory that the request has at its engine.
func (r *Request) here() int { return max(0, r.context-r.ticketed()) }

// stepContext returns the context that a step of the request costs its engine: of a
// prompt that was read by several, the largest part.
func (r *Request) stepContext() int {
	if len(r.Helpers) == 0 {
		return r.context
	}
	return r.Prompt/(len(r.Helpers)+1) + r.written
}

var (
	errHelperGone = errors.New("it is gone")
	errHelperBusy = errors.New("it helps others")
	errNoTicket   = errors.New("it has no such reservation")
	errTwice      = errors.New("it is named twice")
)

// checkHelpers reports what keeps the helpers from helping.
func (r *Request) checkHelpers(e *Engine) error {
	for i, h := range r.Helpers {
		switch {
		case h.Engine == e || slices.ContainsFunc(r.Helpers[:i], func(o Helper) bool { return o.Engine == h.Engine }):
			return fail("open", KindInvalid, errTwice)
		case h.Engine.dead:
			return fail("open", KindHelper, errHelperGone)
		case len(h.Engine.parts) >= h.Engine.cfg.Figures.Slots:
			return fail("open", KindHelper, errHelperBusy)
		case h.Ticket != "" && !h.Engine.free(h.Ticket):
			return fail("open", KindHelper, errNoTicket)
		}
	}
	return nil
}

// take puts a request's reservation to use.
func (h *Helper) take(r *Request) {
	if t := h.Engine.ticket(h.Ticket); t != nil {
		t.state, t.user = Used, r
	}
}

// share spreads what is to be read over the engine and its helpers, in even parts.
func (r *Request) share(e *Engine) {
	n := len(r.Helpers) + 1
	whole := e.cfg.Figures.Read(r.context)
	p := part{req: r, left: whole / time.Duration(n), all: whole / time.Duration(n), size: r.context / n}
	own := p
	r.own, r.partsLeft = &own, n
	for _, h := range r.Helpers {
		if h.Engine.dead {
			e.clock.After(e.cfg.Stall, r.CutOff)
			continue
		}
		theirs := p
		h.Engine.parts = append(h.Engine.parts, &theirs)
		h.Engine.start()
	}
}

// begin ends the reading: the first event follows the last part.
func (r *Request) begin() {
	r.writing = true
	r.write()
}

// write writes a stride of tokens, which is an event.
func (r *Request) write() {
	if r.over {
		return
	}
	n := min(r.engine.cfg.Figures.Stride, r.Output-r.Had-r.written)
	r.written += n
	r.context += n
	last := r.Had+r.written >= r.Output
	if last {
		r.end()
	}
	r.Event(last)
}

// putBack makes a request wait again, to be read with what it has written.
func (r *Request) putBack() {
	r.writing, r.own = false, nil
	r.forgetParts()
}

func (r *Request) forgetParts() {
	for _, h := range r.Helpers {
		h.Engine.parts = slices.DeleteFunc(h.Engine.parts, func(p *part) bool { return p.req == r })
	}
}

// end frees what the request has. Its reservations stay until they lapse or are released.
func (r *Request) end() {
	r.over = true
	r.engine.remove(r)
	r.forgetParts()
	for _, h := range r.Helpers {
		if t := h.Engine.ticket(h.Ticket); t != nil && t.user == r {
			t.state, t.user = Held, nil
		}
	}
}

// Opened reports whether an engine took the request.
func (r *Request) Opened() bool { return r.engine != nil }

// CutOff ends a request before its last event. One that no engine has yet is not changed.
func (r *Request) CutOff() {
	if r.over || !r.Opened() {
		return
	}
	r.end()
	r.Cut()
}
