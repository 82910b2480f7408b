package passes

import "time"

const (
	// maxWaitShare is the share of a request's time limit that it may wait in the queue:
	// a caller that is refused then has time left for a retry.
	maxWaitShare = 0.35
	// callerLeaveMargin is the time that a first event needs before the caller leaves: two
	// passes and a short read.
	callerLeaveMargin = 200 * time.Millisecond
)

// waitUntil returns the time after which a waiting request is refused. A request that may
// have run, or whose answer has begun, waits until shortly before its caller leaves,
// because it fails if it isn't placed.
func (t *Ticket) waitUntil() time.Time {
	timeLimit := t.job.Deadline.Sub(t.job.Arrived)
	at := t.job.Arrived.Add(time.Duration(maxWaitShare * float64(timeLimit)))
	if leaves := t.job.CallerLeavesAt.Add(-callerLeaveMargin); !t.job.CallerLeavesAt.IsZero() && (t.job.Begun || t.job.MayHaveRun || leaves.Before(at)) {
		at = leaves
	}
	if t.bounded() && t.placeBy.Before(at) {
		return t.placeBy
	}
	return at
}

// bounded reports whether the answer must end by a time whatever its length. One that has begun is
// always tried.
func (t *Ticket) bounded() bool { return !t.job.EndsBy.IsZero() && !t.job.Begun }

// passLimit returns the mean time of a pass with which the longest bounded answer ends in time if its
// first event comes after first. It is 0 if the length isn't limited.
func (p *Planner) passLimit(t *Ticket, first time.Duration, now time.Time) time.Duration {
	n := p.figures.passes(t.job.MaxTokens)
	if n == 0 {
		return 0
	}
	return (t.job.EndsBy.Sub(now) - first) / time.Duration(n)
}

// keepsEnd reports whether a bounded answer ends in time at a candidate, beside the streams there.
func (p *Planner) keepsEnd(t *Ticket, c *candidate, first time.Duration, now time.Time) bool {
	if !t.bounded() {
		return true
	}
	pass := p.figures.Pass(c.load.usedSlots+1, c.load.memoryTokens+t.job.memoryTokens()) + time.Duration(p.figures.Stride)*p.figures.PerHop
	return c.load.scaled(pass) <= p.passLimit(t, first, now)
}

// streamPauseLimit returns the longest pause of a stream whose first event comes after first. One
// that must end sooner has a shorter limit than its route, which no entry exceeds by further reads.
func (p *Planner) streamPauseLimit(t *Ticket, first time.Duration, now time.Time) time.Duration {
	limit := max(t.job.Gap, minPauseLimit)
	if t.bounded() {
		limit = min(limit, p.passLimit(t, first, now))
	}
	return limit
}

// EndsInTime reports whether an answer of MaxTokens whose first event comes now ends by the given time at
// the present load of the engine that writes it.
func (p *Planner) EndsInTime(t *Ticket, by time.Time) bool {
	now := p.cfg.Now()
	l := t.engines[0].load(now)
	rest := time.Duration(max(0, p.figures.passes(t.job.MaxTokens)-1)) * l.pass
	return !now.Add(rest).After(by)
}

// evacuated reports whether all engines that stay and that a request may run on are evacuated.
func (p *Planner) evacuated(t *Ticket) bool {
	found := false
	for _, e := range p.engines {
		switch {
		case e.leaving || t.job.excludes(e):
		case !e.evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}

// refuseEvacuated refuses the waiting requests that no engine may take after an evacuation.
func (p *Planner) refuseEvacuated(now time.Time) {
	for _, t := range p.waiting.TakeFunc(p.evacuated) {
		p.changed = true
		p.counts.Expired++
		t.state, t.queueItem = stateDone, nil
		t.err = refuse("wait", KindNoEngine, time.Second, "waited %s; the engines are evacuated", round(now.Sub(t.job.Arrived)))
		t.notify()
	}
}

// expire refuses requests that have waited for too long or can't be placed any more.
func (p *Planner) expire(now time.Time) {
	p.refuseEvacuated(now)
	expired := p.waiting.TakeFunc(func(t *Ticket) bool { return now.After(t.waitUntil()) || p.unplaceable(t, now) })
	for _, t := range expired {
		p.changed = true
		p.counts.Expired++
		after := p.backlog(t)
		if p.unplaceable(t, now) {
			after = p.unplaceableRetryAfter(t, now)
		}
		t.state, t.queueItem = stateDone, nil
		t.err = refuse("wait", KindTooLate, after, "waited %s; no engines could take a read of %s in time", round(now.Sub(t.job.Arrived)), round(t.readAlone))
		t.notify()
	}
}

// minPartRead returns the read time of each engine where the read is split over as many
// engines as possible.
func (p *Planner) minPartRead(t *Ticket) time.Duration {
	return t.readAlone / time.Duration(max(1, min(maxReaders, len(p.engines))))
}

// unplaceable reports whether a prompt can't be placed any more. Its smallest parts exceed
// the read budget of engines that are idle or have streams of the same pause limit, and
// they are too long for a first event on time, without which no other stream may be
// delayed.
func (p *Planner) unplaceable(t *Ticket, now time.Time) bool {
	part := p.minPartRead(t)
	maxHarmlessPart := max(p.maxIdleRead(), time.Duration(float64(t.job.Gap-p.pauseMargin())/readOverrunFactor))
	left := t.job.Target - now.Sub(t.job.Arrived)
	return part > maxHarmlessPart && part > time.Duration(firstEventShare*float64(left))
}

// unplaceableRetryAfter returns the retry delay for an unplaceable prompt: half of the time
// until it has to be read at the latest. Bursts end within seconds.
func (p *Planner) unplaceableRetryAfter(t *Ticket, now time.Time) time.Duration {
	takes := p.minPartRead(t) + p.writeTime(t, p.figures.Pass(1, t.job.Tokens))
	return (t.job.Deadline.Sub(now) - takes) / 2
}

// checkDeadline refuses a request whose answer is not likely to end before its deadline
// even on an idle engine. An answer that has begun is always tried.
func (p *Planner) checkDeadline(t *Ticket, now time.Time) error {
	if t.bounded() && (t.job.MaxTokens == 0 || now.After(t.placeBy)) {
		return refuse("admit", KindTooLate, minRetryAfter, "an answer of %d tokens must end within %s", t.job.MaxTokens, round(t.job.EndsBy.Sub(now)))
	}
	takes := p.writeTime(t, p.figures.Pass(1, t.job.Tokens))
	if left := t.job.Deadline.Sub(now); takes > left && !t.job.Begun {
		return refuse("admit", KindTooLate, minRetryAfter, "an answer of %s is expected, and %s are left", round(takes), round(left))
	}
	return nil
}
