package passes

import (
	"maps"
	"slices"
	"time"
)

const (
	// silentTimeout is the age from which a report is stale: three repeats of it were lost,
	// or the entry is frozen or unreachable.
	silentTimeout = time.Second
	// unreachableTimeout is the age from which a report is stale where no engine of the
	// entry's failure domain can be connected to: one repeat and a message's transit.
	unreachableTimeout = 350 * time.Millisecond
)

// StaleReason is the reason why the report of an entry is stale.
type StaleReason string

const (
	// StaleSilent means that no report came for silentTimeout: the entry's streams count
	// until their predicted end, its reads not at all.
	StaleSilent StaleReason = "silent"
	// StaleUnreachable means that the entry is silent and its failure domain unreachable: it can't
	// reach engines of the own domain either, so its sends there don't count.
	StaleUnreachable StaleReason = "its failure domain is cut off"
)

// Report is the state that another entry reported.
type Report struct {
	Domain     string    // failure domain of the entry; "": unknown
	ReceivedAt time.Time // when the report arrived
	Sends      []Send
	Paces      []Pace // reported to the entry by engines
	Waits      []Wait // first waiting request of each service that has one
}

// SetReports replaces the reports of the other entries, by entry.
func (p *Planner) SetReports(reports map[string]Report) {
	p.reports = reports
	p.applyReports(p.cfg.Now())
}

// applyReports sets the engines' sends of other entries from the reports, less those that
// staleness excludes.
func (p *Planner) applyReports(now time.Time) {
	for _, e := range p.engines {
		e.otherSends = e.otherSends[:0]
	}
	p.nextStaleCheck, p.otherEntriesDue = time.Time{}, p.otherEntriesDue[:0]
	started := 0
	for _, entry := range slices.Sorted(maps.Keys(p.reports)) {
		r := p.reports[entry]
		for _, pace := range r.Paces {
			p.setPeerPace(pace)
		}
		why := p.staleReasonOf(r, now)
		p.setStaleReason(entry, why)
		for _, w := range r.Waits {
			if w.Service == p.cfg.Service && why == "" {
				p.otherEntriesDue = append(p.otherEntriesDue, w.Due)
			}
		}
		for _, s := range r.Sends {
			e := p.byName[s.Engine]
			if e == nil || why == StaleUnreachable && e.domain == p.cfg.Domain || why != "" && !s.maybeActive(now) {
				continue
			}
			e.otherSends = append(e.otherSends, s)
			if s.Gap > 0 && now.Sub(s.At) < rateWindow {
				started++
			}
		}
	}
	p.otherEntriesRate = float64(started) / rateWindow.Seconds()
	maps.DeleteFunc(p.staleReasons, func(entry string, _ StaleReason) bool { _, reported := p.reports[entry]; return !reported })
}

// staleReasonOf returns why a report is stale, or "", and schedules its next check.
func (p *Planner) staleReasonOf(r Report, now time.Time) StaleReason {
	silence := now.Sub(r.ReceivedAt)
	unreachable := silence > unreachableTimeout && p.domainUnreachable(r.Domain)
	if silence <= silentTimeout {
		p.scheduleStaleCheck(r.ReceivedAt, unreachable, now)
	}
	switch {
	case unreachable:
		return StaleUnreachable
	case silence > silentTimeout:
		return StaleSilent
	default:
		return ""
	}
}

func (p *Planner) setStaleReason(entry string, why StaleReason) {
	if p.staleReasons[entry] == why {
		return
	}
	p.staleReasons[entry] = why
	if p.cfg.OnStaleChange != nil {
		p.cfg.OnStaleChange(entry, why)
	}
}

// scheduleStaleCheck schedules the check for when the report may become stale next.
func (p *Planner) scheduleStaleCheck(receivedAt time.Time, unreachable bool, now time.Time) {
	at := receivedAt.Add(unreachableTimeout)
	if unreachable || !at.After(now) {
		at = receivedAt.Add(silentTimeout)
	}
	if p.nextStaleCheck.IsZero() || at.Before(p.nextStaleCheck) {
		p.nextStaleCheck = at
	}
}

// recheckReports applies the reports again once one may have become stale.
func (p *Planner) recheckReports(now time.Time) {
	if !p.nextStaleCheck.IsZero() && now.After(p.nextStaleCheck) {
		p.applyReports(now)
	}
}

// maybeActive reports whether a send of a silent entry may still be running: a stream until
// its predicted end. Reads have ended or were aborted by then.
func (s *Send) maybeActive(now time.Time) bool { return s.Writing && s.Ends.After(now) }

// domainUnreachable reports whether another failure domain has engines and none of them can
// be connected to.
func (p *Planner) domainUnreachable(domain string) bool {
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
