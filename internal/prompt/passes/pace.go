package passes

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	// suspectRatio and suspectExtra are how much longer than predicted a first event may take
	// until the engines are asked how fast they are: 3.5 in 100 of 98,431 first events of heavy
	// days, with slow engines and without, took longer.
	suspectRatio = 1.5
	suspectExtra = 60 * time.Millisecond
	// askEvery is how often an engine is asked at most. It tells what was true a fraction of
	// a second ago, and each question has its price.
	askEvery = 700 * time.Millisecond
	// paceFor is how long an engine's answer is believed: a few of its questions.
	paceFor = 3 * time.Second
	// slowPace is the pace from which an engine counts as slow and is asked again and again.
	slowPace = 1.2
)

// Pace is what an engine told of how fast it is.
type Pace struct {
	Engine string
	Factor float64 // times longer than declared
	At     time.Time
}

// suspect notes that engines took longer than predicted.
func (p *Planner) suspect(list []*engine) {
	for _, e := range list {
		if !e.suspect {
			e.suspect = true
			p.suspects = append(p.suspects, e)
		}
	}
}

// Suspects returns the engines that should be asked how fast they are, and takes them as
// asked: those that took longer than predicted, and those that were slow at last.
func (p *Planner) Suspects() []Engine {
	now := p.cfg.Now()
	p.overdue(now)
	var (
		out  []Engine
		rest []*engine // to be asked later
	)
	for _, e := range p.suspects {
		switch {
		case p.byName[e.name] != e || !e.suspect && !e.slowAt(now):
			e.suspect = false
			continue
		case now.Sub(e.asked) >= askEvery && p.usable(e, now):
			e.suspect, e.asked = false, now
			out = append(out, Engine{Name: e.name, Domain: e.domain, Address: e.address, Born: e.born})
		}
		rest = append(rest, e)
	}
	p.suspects = rest
	return out
}

// overdue suspects the engines of own requests whose first event should have come.
func (p *Planner) overdue(now time.Time) {
	p.unbegun = slices.DeleteFunc(p.unbegun, func(t *Ticket) bool {
		late := t.state == statePlaced && t.firstAt.IsZero() && t.tooLong(now)
		if late {
			p.suspect(t.members)
		}
		return late || t.state != statePlaced || !t.firstAt.IsZero()
	})
}

// tooLong reports whether the first event has taken much longer than predicted.
func (t *Ticket) tooLong(now time.Time) bool {
	return now.Sub(t.placedAt) > suspectExtra+time.Duration(suspectRatio*float64(t.first))
}

// SetPace takes in what an engine told this entry of itself.
func (p *Planner) SetPace(pace Pace) {
	e := p.byName[pace.Engine]
	if e == nil {
		return
	}
	p.changed = true
	e.learn(pace)
	e.told = pace
	if e.slowAt(pace.At) {
		p.suspect([]*engine{e})
	}
}

// hear takes in what an engine told another entry of itself.
func (p *Planner) hear(pace Pace) {
	if e := p.byName[pace.Engine]; e != nil && pace.At.After(e.pace.At) {
		e.learn(pace)
		if pace.At.After(e.asked) {
			e.asked = pace.At // another entry asks it
		}
	}
}

// learn takes in a pace. What first events taught while the engine was slow is over with it.
func (e *engine) learn(pace Pace) {
	if e.slowAt(pace.At) && pace.Factor <= slowPace {
		e.slow = estimate.NewMoving(slowWindow)
	}
	e.pace = pace
}

// Paces returns what engines told this entry lately, for the others.
func (p *Planner) Paces() []Pace {
	now := p.cfg.Now()
	var out []Pace
	for _, e := range p.engines {
		if now.Sub(e.told.At) < paceFor {
			out = append(out, e.told)
		}
	}
	return out
}

func (e *engine) slowAt(now time.Time) bool {
	return e.pace.Factor > slowPace && now.Sub(e.pace.At) < paceFor
}

// slowness returns how many times longer than declared the engine takes: as it told
// lately, or else as its first events came. These tell of work that nobody told, too.
func (e *engine) slowness(now time.Time) float64 {
	if e.slowAt(now) {
		return min(e.pace.Factor, maxSlow)
	}
	if s := e.slow.Mean(1); s > minSlow {
		return min(s, maxSlow)
	}
	return 1
}
