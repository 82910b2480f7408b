package passes

import "time"

const (
	// turnDuration is how long engines are left to a request of another entry that is due
	// earlier: entries check their queues every 15 ms, and a message takes 5 ms. Longer turns
	// score less in the simulation: 0.904 with 20 ms and 0.906 with 30 ms, against 0.909.
	turnDuration = 12 * time.Millisecond
	// maxTurns is the most turns that a request waits for, 72 ms: a quarter of the target of
	// a short prompt.
	maxTurns = 6
)

// Wait is the first waiting request of a service at an entry.
type Wait struct {
	Service string
	Due     time.Time // waiting requests are placed in this order
}

// Wait returns the first waiting request of this entry, if any.
func (p *Planner) Wait() (Wait, bool) {
	if p.waiting.Len() == 0 {
		return Wait{}, false
	}
	return Wait{Service: p.cfg.Service, Due: p.waiting.At(0).Value().due()}, true
}

// turn is the state of a waiting request that leaves its engines to earlier requests of other
// entries.
type turn struct {
	foundAt   time.Time // when fitting engines were found; zero: none
	startedAt time.Time // when the current turn started
	earlier   int       // requests of other entries that are due earlier
}

// hasTurn reports whether a waiting request may take the engines found for it. All entries
// see at the same time that engines become free and would send to the same ones. So each
// request waits a turn for every request of another entry that is due earlier.
func (p *Planner) hasTurn(t *Ticket, now time.Time) bool {
	earlier := 0
	for _, at := range p.otherEntriesDue {
		if at.Before(t.due()) {
			earlier++
		}
	}
	if t.turn.foundAt.IsZero() {
		t.turn.foundAt, t.turn.startedAt = now, now
	} else if earlier < t.turn.earlier {
		t.turn.startedAt = now // one of them was placed or ended
	}
	t.turn.earlier = earlier
	turns := time.Duration(min(earlier, maxTurns))
	return now.Sub(t.turn.startedAt) >= turns*turnDuration || now.Sub(t.turn.foundAt) >= maxTurns*turnDuration
}
