package passes

import "time"

const (
	// turnTime is how long room is left to a request of another entry that goes first:
	// entries look at what waits each 15 ms, and a message takes 5. Emulated, 12 ms
	// serve 0.909, 20 ms 0.904 and 30 ms 0.906 (2026-12-04).
	turnTime = 12 * time.Millisecond
	// maxTurns bounds how many requests of others are let go first, to 72 ms: a quarter of
	// the time in which a short prompt is due.
	maxTurns = 6
)

// Wait tells of the first request that waits at an entry.
type Wait struct {
	Service string
	Due     time.Time // what waits is placed in this order
}

// Wait returns the first request that waits here, if any does.
func (p *Planner) Wait() (Wait, bool) {
	if p.waiting.Len() == 0 {
		return Wait{}, false
	}
	return Wait{Service: p.cfg.Service, Due: p.waiting.At(0).Value().due()}, true
}

// turn is how far a request that waits is from taking the engines that were found for it.
type turn struct {
	room   time.Time // since when there have been such engines; zero: there are none
	since  time.Time // since when as many requests of others go first
	sooner int       // requests of others that go first
}

// hasTurn reports whether a request that waits may take the engines that were found for
// it. Entries see at the same time that engines get free: each lets the requests of
// others that are due sooner go first, one after the other, and takes what they leave.
func (p *Planner) hasTurn(t *Ticket, now time.Time) bool {
	sooner := 0
	for _, at := range p.othersDue {
		if at.Before(t.due()) {
			sooner++
		}
	}
	if t.turn.room.IsZero() {
		t.turn.room, t.turn.since = now, now
	} else if sooner < t.turn.sooner {
		t.turn.since = now // one of them went
	}
	t.turn.sooner = sooner
	turns := time.Duration(min(sooner, maxTurns))
	return now.Sub(t.turn.since) >= turns*turnTime || now.Sub(t.turn.room) >= maxTurns*turnTime
}
