package passengine

import (
	"errors"
	"slices"
	"time"
)

// Request is a prompt that an engine runs.
type Request struct {
	ID       string
	Prompt   int // tokens
	Output   int // tokens
	Received int // tokens of the output that the caller already has; prefilled, not decoded
	Urgency  int // lower runs first
	Helpers  []Helper
	Event    func(last bool) // called for each event
	Cut      func()          // called when the request ends before its last event, except by Cancel

	engine    *Engine
	arrived   time.Time
	context   int   // tokens prefilled and decoded
	decoded   int   // tokens decoded
	ownPart   *part // prefilled by the engine itself; nil once done
	partsLeft int   // parts not prefilled yet
	decoding  bool  // the prefill is done
	ended     bool
}

// Helper is an engine that prefills a part of a prompt and, with a reservation, keeps a
// part of its KV cache.
type Helper struct {
	Engine *Engine
	Ticket string // id of a reservation; "" for none
}

// reservedTokens returns the tokens of the request's reservations at helpers.
func (r *Request) reservedTokens() int {
	n := 0
	for _, h := range r.Helpers {
		if t := h.Engine.ticket(h.Ticket); t != nil {
			n += t.tokens
		}
	}
	return n
}

// localTokens returns the tokens of memory that the request takes at its own engine.
func (r *Request) localTokens() int { return max(0, r.context-r.reservedTokens()) }

// stepContext returns the tokens of context that a decoding step of the request processes
// at its engine: with helpers, the engine's part of the prompt and the decoded tokens.
func (r *Request) stepContext() int {
	if len(r.Helpers) == 0 {
		return r.context
	}
	return r.Prompt/(len(r.Helpers)+1) + r.decoded
}

var (
	errHelperDead    = errors.New("helper is dead")
	errHelperBusy    = errors.New("helper has no free slot")
	errNoReservation = errors.New("helper has no unused reservation with the id")
	errInvalidHelper = errors.New("helper is listed twice or is the engine itself")
)

// checkHelpers returns an error when a helper can't serve the request at engine e.
func (r *Request) checkHelpers(e *Engine) error {
	for i, h := range r.Helpers {
		switch {
		case h.Engine == e || slices.ContainsFunc(r.Helpers[:i], func(o Helper) bool { return o.Engine == h.Engine }):
			return fail("open", KindInvalid, errInvalidHelper)
		case h.Engine.dead:
			return fail("open", KindHelper, errHelperDead)
		case len(h.Engine.parts) >= h.Engine.cfg.Figures.Slots:
			return fail("open", KindHelper, errHelperBusy)
		case h.Ticket != "" && !h.Engine.isUnused(h.Ticket):
			return fail("open", KindHelper, errNoReservation)
		}
	}
	return nil
}

// claim marks the helper's reservation as used by the request.
func (h *Helper) claim(r *Request) {
	if t := h.Engine.ticket(h.Ticket); t != nil {
		t.state, t.user = Used, r
	}
}

// splitPrefill divides the prefill evenly among the engine and its helpers.
func (r *Request) splitPrefill(e *Engine) {
	n := len(r.Helpers) + 1
	whole := e.cfg.Figures.Read(r.context)
	p := part{req: r, remaining: whole / time.Duration(n), total: whole / time.Duration(n), size: r.context / n}
	own := p
	r.ownPart, r.partsLeft = &own, n
	for _, h := range r.Helpers {
		if h.Engine.dead {
			e.clock.After(e.cfg.Stall, r.CutOff)
			continue
		}
		theirs := p
		h.Engine.parts = append(h.Engine.parts, &theirs)
		h.Engine.startPass()
	}
}

// startDecoding begins decoding after the last part is prefilled, with the first event.
func (r *Request) startDecoding() {
	r.decoding = true
	r.decode()
}

// decode produces up to a stride of tokens as one event.
func (r *Request) decode() {
	if r.ended {
		return
	}
	n := min(r.engine.cfg.Figures.Stride, r.Output-r.Received-r.decoded)
	r.decoded += n
	r.context += n
	last := r.Received+r.decoded >= r.Output
	if last {
		r.end()
	}
	r.Event(last)
}

// resetPrefill returns a preempted request to its state before the prefill. The decoded
// tokens are then prefilled with the prompt.
func (r *Request) resetPrefill() {
	r.decoding, r.ownPart = false, nil
	r.dropParts()
}

func (r *Request) dropParts() {
	for _, h := range r.Helpers {
		h.Engine.parts = slices.DeleteFunc(h.Engine.parts, func(p *part) bool { return p.req == r })
	}
}

// end ends the request and frees its slot and memory. Its reservations stay held until
// they expire or are released.
func (r *Request) end() {
	r.ended = true
	r.engine.removeRequest(r)
	r.dropParts()
	for _, h := range r.Helpers {
		if t := h.Engine.ticket(h.Ticket); t != nil && t.user == r {
			t.state, t.user = Held, nil
		}
	}
}

// Opened reports whether an engine accepted the request.
func (r *Request) Opened() bool { return r.engine != nil }

// CutOff ends a request before its last event and calls Cut. A request that has ended or
// that no engine has opened is not changed.
func (r *Request) CutOff() {
	if r.ended || !r.Opened() {
		return
	}
	r.end()
	r.Cut()
}
