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
		return leaves
	}
	return at
}

// expire refuses requests that have waited for too long or can't be placed any more.
func (p *Planner) expire(now time.Time) {
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
	takes := p.writeTime(t, p.figures.Pass(1, t.job.Tokens))
	if left := t.job.Deadline.Sub(now); takes > left && !t.job.Begun {
		return refuse("admit", KindTooLate, minRetryAfter, "an answer of %s is expected, and %s are left", round(takes), round(left))
	}
	return nil
}
