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
	Waiting State = "waiting"
	Held    State = "held"
	Used    State = "used"
)

// maxTickets is how many reservations an engine has at most, by its protocol.
const maxTickets = 64

var errNoRoom = errors.New("the memory is not free")

type ticket struct {
	id      string
	tokens  int
	state   State
	since   time.Time
	expires time.Time
	user    *Request
}

// Ticket is a reservation of memory as an engine reports it.
type Ticket struct {
	ID     string
	Tokens int
	State  State
	Age    time.Duration
}

// Reserve sets memory aside for so long, or renews a reservation. Where the memory is
// not free it waits for it, or fails. It returns the tokens that are free afterwards.
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
		return "", 0, fail("reserve", KindInvalid, errNoRoom)
	case len(e.tickets) >= maxTickets:
		return "", 0, fail("reserve", KindFull, errNoRoom)
	}
	t := &ticket{id: id, tokens: tokens, state: Waiting, since: now, expires: expires}
	if !e.reservationWaits() && tokens <= e.cfg.Figures.Memory-e.used() {
		t.state = Held
	} else if !wait {
		return "", 0, fail("reserve", KindFull, errNoRoom)
	}
	e.tickets = append(e.tickets, t)
	e.expireAt(t, expires)
	return t.state, e.freeMemory(), nil
}

// Release ends a reservation. One that is used takes its request with it.
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
	e.start()
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

// grant gives waiting reservations the memory that came free, in turn.
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

// free reports whether a reservation is held and nobody uses it.
func (e *Engine) free(id string) bool {
	t := e.ticket(id)
	return t != nil && t.state == Held
}

func (e *Engine) reservationWaits() bool {
	return slices.ContainsFunc(e.tickets, func(t *ticket) bool { return t.state == Waiting })
}

// freeMemory returns the tokens that can be reserved; 0 while a reservation waits.
func (e *Engine) freeMemory() int {
	if e.reservationWaits() {
		return 0
	}
	return max(0, e.cfg.Figures.Memory-e.used())
}
