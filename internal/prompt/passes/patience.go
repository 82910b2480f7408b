package passes

import "time"

const (
	// waitShare is the share of a caller's patience that a request may wait: a
	// caller that is refused then has time left to come back.
	waitShare = 0.35
	// leaveMargin is kept before a caller leaves for the first event to come: two passes
	// and a short read.
	leaveMargin = 200 * time.Millisecond
)

// giveUp returns the time from which a request is refused rather than kept waiting. One
// that may have run waits while its caller does: it fails where it is not placed.
func (t *Ticket) giveUp() time.Time {
	patience := t.job.Deadline.Sub(t.job.Arrived)
	at := t.job.Arrived.Add(time.Duration(waitShare * float64(patience)))
	if leaves := t.job.Leaves.Add(-leaveMargin); !t.job.Leaves.IsZero() && (t.job.Begun || t.job.Ran || leaves.Before(at)) {
		return leaves
	}
	return at
}

// expire refuses what waits in vain.
func (p *Planner) expire(now time.Time) {
	over := p.waiting.TakeFunc(func(t *Ticket) bool { return now.After(t.giveUp()) || p.lost(t, now) })
	for _, t := range over {
		p.changed = true
		p.counts.Expired++
		after := p.backlog(t)
		if p.lost(t, now) {
			after = p.lull(t, now)
		}
		t.state, t.item = stateOver, nil
		t.err = refuse("wait", KindTooLate, after, "waited %s; no engines could take a read of %s in time", round(now.Sub(t.job.Arrived)), round(t.read))
		t.notify()
	}
}

// leastPart returns the read of each engine where as many as may share a prompt.
func (p *Planner) leastPart(t *Ticket) time.Duration {
	return t.read / time.Duration(max(1, min(maxReaders, len(p.engines))))
}

// lost reports whether a prompt can't be placed any more: its parts are longer than
// engines read at once that are empty or have streams as patient as its own, and its
// first event can't come on time, for which alone it may hold up others.
func (p *Planner) lost(t *Ticket, now time.Time) bool {
	part := p.leastPart(t)
	harmless := max(soloRead, time.Duration(float64(t.job.Gap-p.guard())/overrun))
	left := t.job.Target - now.Sub(t.job.Arrived)
	return part > harmless && part > time.Duration(hurry*float64(left))
}

// lull returns when a prompt that is lost while engines are busy should come back: half
// of the time until it has to be read at the latest, since bursts pass within seconds.
func (p *Planner) lull(t *Ticket, now time.Time) time.Duration {
	takes := p.leastPart(t) + p.writing(t, p.figures.Pass(1, t.job.Tokens))
	return (t.job.Deadline.Sub(now) - takes) / 2
}

// endsInTime refuses a request whose answer is not likely to end in time even where
// nothing else runs. An answer that has begun is tried in any case.
func (p *Planner) endsInTime(t *Ticket, now time.Time) error {
	takes := p.writing(t, p.figures.Pass(1, t.job.Tokens))
	if left := t.job.Deadline.Sub(now); takes > left && !t.job.Begun {
		return refuse("admit", KindTooLate, minRetryAfter, "an answer of %s is expected, and %s are left", round(takes), round(left))
	}
	return nil
}
