package passes

import (
	"maps"
	"slices"
	"time"
)

const (
	// doubtAfter is the silence of an entry from which its sends are doubted: three of its
	// repeats were lost, or it stands still or is cut off.
	doubtAfter = time.Second
	// cutAfter is the silence from which an entry counts as cut off where no engine of its
	// failure domain can be connected to: one repeat and a message's way.
	cutAfter = 350 * time.Millisecond
)

// Doubt is why the sends of an entry count for less.
type Doubt string

const (
	// DoubtSilent is the doubt of an entry that was not heard for long: its streams count
	// until they should have ended, its reads no more.
	DoubtSilent Doubt = "silent"
	// DoubtCut is the doubt of an entry that is silent and whose failure domain is cut off:
	// nothing of it counts in the own one.
	DoubtCut Doubt = "its failure domain is cut off"
)

// Report is what another entry told of its sends.
type Report struct {
	Domain string    // of the entry; "" where it is not known
	Heard  time.Time // when it told
	Sends  []Send
	Paces  []Pace // that engines told it
	Waits  []Wait // the first request that waits there for each service, where one does
}

// Tell replaces what the other entries told, by entry.
func (p *Planner) Tell(reports map[string]Report) {
	p.reports = reports
	p.believe(p.cfg.Now())
}

// believe hands the engines what the other entries have under way there, as far as they
// were heard lately.
func (p *Planner) believe(now time.Time) {
	for _, e := range p.engines {
		e.others = e.others[:0]
	}
	p.doubtAt, p.othersDue = time.Time{}, p.othersDue[:0]
	for _, entry := range slices.Sorted(maps.Keys(p.reports)) {
		r := p.reports[entry]
		for _, pace := range r.Paces {
			p.hear(pace)
		}
		why := p.doubtOf(r, now)
		p.tellDoubt(entry, why)
		for _, w := range r.Waits {
			if w.Service == p.cfg.Service && why == "" {
				p.othersDue = append(p.othersDue, w.Due)
			}
		}
		for _, s := range r.Sends {
			e := p.byName[s.Engine]
			if e == nil || why == DoubtCut && e.domain == p.cfg.Domain || why != "" && !s.lives(now) {
				continue
			}
			e.others = append(e.others, s)
		}
	}
	maps.DeleteFunc(p.doubts, func(entry string, _ Doubt) bool { _, told := p.reports[entry]; return !told })
}

// doubtOf returns the doubt of a report, and notes when it has to be looked at again.
func (p *Planner) doubtOf(r Report, now time.Time) Doubt {
	silent := now.Sub(r.Heard)
	cut := silent > cutAfter && p.cutOff(r.Domain)
	if silent <= doubtAfter {
		p.doubtLater(r.Heard, cut, now)
	}
	switch {
	case cut:
		return DoubtCut
	case silent > doubtAfter:
		return DoubtSilent
	default:
		return ""
	}
}

func (p *Planner) tellDoubt(entry string, why Doubt) {
	if p.doubts[entry] == why {
		return
	}
	p.doubts[entry] = why
	if p.cfg.Doubted != nil {
		p.cfg.Doubted(entry, why)
	}
}

// doubtLater notes when an entry that stays silent has to be doubted.
func (p *Planner) doubtLater(heard time.Time, cut bool, now time.Time) {
	at := heard.Add(cutAfter)
	if cut || !at.After(now) {
		at = heard.Add(doubtAfter)
	}
	if p.doubtAt.IsZero() || at.Before(p.doubtAt) {
		p.doubtAt = at
	}
}

// doubt looks at the reports again once one has become too old to be believed.
func (p *Planner) doubt(now time.Time) {
	if !p.doubtAt.IsZero() && now.After(p.doubtAt) {
		p.believe(now)
	}
}

// lives reports whether a send of an entry that is silent may still be under way: a
// stream until it should have ended. A read is over by then, or was cut off.
func (s *Send) lives(now time.Time) bool { return s.Writing && s.Ends.After(now) }

// cutOff reports whether no engine of a failure domain other than the own one can be
// connected to.
func (p *Planner) cutOff(domain string) bool {
	if domain == p.cfg.Domain || p.cfg.Cut == nil {
		return false
	}
	found := false
	for _, e := range p.engines {
		if e.domain != domain {
			continue
		}
		if !p.cfg.Cut(e.address) {
			return false
		}
		found = true
	}
	return found
}
