package passes

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	// suspectRatio and suspectExtra define when a first event is overdue and its engines are
	// asked for their pace. Under heavy load 3.5% of first events are overdue, with slow
	// engines or without.
	suspectRatio = 1.5
	suspectExtra = 60 * time.Millisecond
	// minAskInterval is the shortest time between pace queries to an engine: an answer is
	// already a fraction of a second old, and each query has a cost.
	minAskInterval = 700 * time.Millisecond
	// paceTTL is how long an engine's answer is valid: a few query intervals.
	paceTTL = 3 * time.Second
	// minSlowPace is the factor above which an engine counts as slow and is asked repeatedly.
	minSlowPace = 1.2
)

// Pace is an engine's report of its own speed.
type Pace struct {
	Engine string
	Factor float64 // times longer than the declared figures
	At     time.Time
}

// suspect queues engines that took longer than predicted for a pace query.
func (p *Planner) suspect(list []*engine) {
	for _, e := range list {
		if !e.suspected {
			e.suspected = true
			p.suspects = append(p.suspects, e)
		}
	}
}

// Suspects returns the engines to ask for their pace, and records them as asked: those that
// took longer than predicted, and those whose latest pace is slow.
func (p *Planner) Suspects() []Engine {
	now := p.cfg.Now()
	p.suspectOverdue(now)
	var (
		out  []Engine
		rest []*engine // stay queued
	)
	for _, e := range p.suspects {
		switch {
		case p.byName[e.name] != e || !e.suspected && !e.slowAt(now):
			e.suspected = false
			continue
		case now.Sub(e.askedAt) >= minAskInterval && p.usable(e, now):
			e.suspected, e.askedAt = false, now
			out = append(out, Engine{Name: e.name, Domain: e.domain, Address: e.address, Born: e.born})
		}
		rest = append(rest, e)
	}
	p.suspects = rest
	return out
}

// suspectOverdue suspects the engines of own requests whose first event is overdue.
func (p *Planner) suspectOverdue(now time.Time) {
	p.awaitingFirstEvent = slices.DeleteFunc(p.awaitingFirstEvent, func(t *Ticket) bool {
		late := t.state == statePlaced && t.firstAt.IsZero() && t.overdue(now)
		if late {
			p.suspect(t.engines)
		}
		return late || t.state != statePlaced || !t.firstAt.IsZero()
	})
}

// overdue reports whether the first event has taken much longer than predicted.
func (t *Ticket) overdue(now time.Time) bool {
	return now.Sub(t.placedAt) > suspectExtra+time.Duration(suspectRatio*float64(t.predictedFirstEvent))
}

// SetPace records the pace that an engine reported to this entry.
func (p *Planner) SetPace(pace Pace) {
	e := p.byName[pace.Engine]
	if e == nil {
		return
	}
	p.changed = true
	e.setPace(pace)
	e.ownPace = pace
	if e.slowAt(pace.At) {
		p.suspect([]*engine{e})
	}
}

// setPeerPace records the pace that an engine reported to another entry.
func (p *Planner) setPeerPace(pace Pace) {
	if e := p.byName[pace.Engine]; e != nil && pace.At.After(e.latestPace.At) {
		e.setPace(pace)
		if pace.At.After(e.askedAt) {
			e.askedAt = pace.At // another entry asked; the minimum interval applies to all
		}
	}
}

// setPace records a pace. When the engine stops being slow it discards the slowdown that
// was estimated from first events in the meantime.
func (e *engine) setPace(pace Pace) {
	if e.slowAt(pace.At) && pace.Factor <= minSlowPace {
		e.observedSlowdown = estimate.NewMoving(slowdownWindowSamples)
	}
	e.latestPace = pace
}

// Paces returns the valid paces that engines reported to this entry, for other entries.
func (p *Planner) Paces() []Pace {
	now := p.cfg.Now()
	var out []Pace
	for _, e := range p.engines {
		if now.Sub(e.ownPace.At) < paceTTL {
			out = append(out, e.ownPace)
		}
	}
	return out
}

func (e *engine) slowAt(now time.Time) bool {
	return e.latestPace.Factor > minSlowPace && now.Sub(e.latestPace.At) < paceTTL
}

// slowdown returns how many times longer than declared the engine takes: its own report
// while it is slow, or else the estimate from first events, which also covers load that
// no entry has reported.
func (e *engine) slowdown(now time.Time) float64 {
	if e.slowAt(now) {
		return min(e.latestPace.Factor, maxSlowdown)
	}
	if s := e.observedSlowdown.Mean(1); s > minSlowdown {
		return min(s, maxSlowdown)
	}
	return 1
}
