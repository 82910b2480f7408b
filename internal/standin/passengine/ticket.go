package passengine

import (
	"errors"
	"slices"
	"time"
)

// State is the state of a reservation.
type State string

// The states of a reservation.
const (
	Waiting State = "waiting" // for memory
	Held    State = "held"    // has memory that no request uses
	Used    State = "used"    // by a request
)

// maxTickets is the limit on reservations of an engine, set by the engine protocol.
const maxTickets = 64

var errNoMemory = errors.New("memory for the reservation is not available")

type ticket struct {
	id      string
	tokens  int
	state   State
	since   time.Time
	expires time.Time
	user    *Request
}

// Ticket is the report of a memory reservation.
type Ticket struct {
	ID     string
	Tokens int
	State  State
	Age    time.Duration
}

// Reserve reserves tokens of memory for at most the hold time, or renews a reservation.
// Without free memory it queues the reservation if wait is set, and fails otherwise. It
// returns the state of the reservation and the tokens that are free afterwards.
func (e *Engine) Reserve(id string, tokens int, hold time.Duration, wait bool) (State, int, error) {
	now := e.clock.Now()
	expires := now.Add(min(hold, e.cfg.MaxHold))
	switch t := e.ticket(id); {
	case e.dead:
		return "", 0, fail("reserve", KindGone, nil)
	case t != nil:
		t.expires = expires
		e.expireAt(t, expires)
		return t.state, e.freeMemory(), nil
	case id == "" || tokens < 1 || tokens > e.cfg.Figures.Memory:
		return "", 0, fail("reserve", KindInvalid, errNoMemory)
	case len(e.tickets) >= maxTickets:
		return "", 0, fail("reserve", KindFull, errNoMemory)
	}
	t := &ticket{id: id, tokens: tokens, state: Waiting, since: now, expires: expires}
	if !e.hasWaitingReservation() && tokens <= e.cfg.Figures.Memory-e.used() {
		t.state = Held
	} else if !wait {
		return "", 0, fail("reserve", KindFull, errNoMemory)
	}
	e.tickets = append(e.tickets, t)
	e.expireAt(t, expires)
	return t.state, e.freeMemory(), nil
}

// Release ends a reservation and cuts off the request that uses it.
func (e *Engine) Release(id string) {
	t := e.ticket(id)
	if t == nil {
		return
	}
	e.tickets = slices.DeleteFunc(e.tickets, func(o *ticket) bool { return o == t })
	if t.user != nil {
		t.user.CutOff()
	}
	e.grant()
	e.startPass()
}

// Tickets returns the reservations, by arrival.
func (e *Engine) Tickets() []Ticket {
	var out []Ticket
	for _, t := range e.tickets {
		out = append(out, Ticket{ID: t.id, Tokens: t.tokens, State: t.state, Age: e.clock.Now().Sub(t.since)})
	}
	return out
}

func (e *Engine) expireAt(t *ticket, at time.Time) {
	e.clock.After(at.Sub(e.clock.Now()), func() {
		if t.expires.Equal(at) && e.ticket(t.id) == t {
			e.Release(t.id)
		}
	})
}

// grant gives free memory to waiting reservations in order of arrival.
func (e *Engine) grant() {
	for _, t := range e.tickets {
		if t.state != Waiting {
			continue
		}
		if t.tokens > e.cfg.Figures.Memory-e.used() {
			return
		}
		t.state = Held
	}
}

func (e *Engine) ticket(id string) *ticket {
	if id == "" {
		return nil
	}
	for _, t := range e.tickets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// isUnused reports whether a reservation is held and no request uses it.
func (e *Engine) isUnused(id string) bool {
	t := e.ticket(id)
	return t != nil && t.state == Held
}

func (e *Engine) hasWaitingReservation() bool {
	return slices.ContainsFunc(e.tickets, func(t *ticket) bool { return t.state == Waiting })
}

// freeMemory returns the tokens that can be reserved; 0 while a reservation waits.
func (e *Engine) freeMemory() int {
	if e.hasWaitingReservation() {
		return 0
	}
	return max(0, e.cfg.Figures.Memory-e.used())
}
