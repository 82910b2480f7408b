package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

// blame is what speaks for holding a segment.
type blame struct {
	id       segment.ID
	score    int
	since    time.Time // latest answer; zero: none is known
	position int       // in the requests, the last one
	whole    bool      // it is the digest of the requests
	open     bool      // no other held segment explains one of the crashes
	last     time.Time // latest crash
	enoughAt time.Time // crash from which on it suffices
}

// need returns the score from which the segment is held.
func (b *blame) need() int {
	switch {
	case b.since.IsZero():
		return heldScore
	case b.whole:
		return answeredRequestScore
	default:
		return answeredScore
	}
}

func (b *blame) suffices() bool { return b.open && b.score >= b.need() }

// compare orders segments by what speaks against them. Of those that are in the same requests, one
// that was never answered comes first, then the one that fewer other requests have.
func (b *blame) compare(o *blame) int {
	return cmp.Or(cmp.Compare(o.score, b.score), cmp.Compare(b.need(), o.need()), cmp.Compare(o.position, b.position), cmp.Compare(b.id, o.id))
}

// newBlame returns the blame of a segment that no crash speaks against yet. q.mu must be held.
func (q *Tracker) newBlame(id segment.ID) *blame {
	return &blame{id: id, since: q.lastAnswered(id)}
}

// counts reports whether a crash is apart from the latest one, and no request with the segment was
// answered since.
func (b *blame) counts(c *Crash) bool { return c.At.After(b.since) && c.isApart(b.last) }

// add adds a crash under a request that has the segment at a position, if it counts.
func (b *blame) add(c *Crash, request segment.List, position int, explained bool) {
	if !b.counts(c) {
		return
	}
	b.score, b.position, b.last = b.score+c.score(), max(b.position, position), c.At
	b.whole = position == len(request)-1
	b.open = b.open || !explained
	if b.enoughAt.IsZero() && b.suffices() {
		b.enoughAt = c.At
	}
}

// blameOf returns what speaks for holding a segment: the crashes since its latest answer. q.mu must
// be held.
func (q *Tracker) blameOf(id segment.ID) *blame {
	b := q.newBlame(id)
	for i := range q.crashes {
		c := &q.crashes[i]
		for _, list := range c.blamed() {
			if at := slices.Index(list, id); at >= 0 {
				b.add(c, list, at, q.isExplained(c, id))
			}
		}
	}
	return b
}

// isExplained reports whether a request that a crash speaks against has a held segment other than
// the given one. q.mu must be held.
func (q *Tracker) isExplained(c *Crash, other segment.ID) bool {
	for _, list := range c.blamed() {
		for _, id := range list {
			if v := q.verdicts[id]; id != other && v != nil && v.held() {
				return true
			}
		}
	}
	return false
}

// review holds the segments that crashes speak against, once other entries had time to object.
// q.mu must be held.
func (q *Tracker) review(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceTTL })
	maps.DeleteFunc(q.verdicts, func(_ segment.ID, v *verdict) bool { return now.After(v.forgetAt) })
	for id, v := range q.verdicts {
		if v.unsettled() {
			q.updateHold(id, v)
		}
	}
	for {
		worst := q.mostBlamed()
		if worst == nil {
			return
		}
		if rest := settleDelay - now.Sub(worst.enoughAt); rest > 0 {
			q.settleLater(rest)
			return
		}
		if q.verdicts[worst.id] == nil {
			q.makeRoom()
		}
		q.setTerm(worst.id, q.term(worst.id)+1, now).reportEnd = now.Add(holdTTL)
	}
}

// mostBlamed returns the segment that is to be held next, or nil. q.mu must be held.
func (q *Tracker) mostBlamed() *blame {
	all := map[segment.ID]*blame{}
	for i := range q.crashes {
		c := &q.crashes[i]
		explained := q.isExplained(c, segment.None)
		for _, list := range c.blamed() {
			for at, id := range list {
				if all[id] == nil {
					all[id] = q.newBlame(id)
				}
				all[id].add(c, list, at, explained)
			}
		}
	}
	var worst *blame
	for id, b := range all {
		if v := q.verdicts[id]; v != nil && v.held() {
			continue
		}
		if b.suffices() && (worst == nil || b.compare(worst) < 0) {
			worst = b
		}
	}
	return worst
}

// questioned returns the segments that crashes since a time speak against. q.mu must be held.
func (q *Tracker) questioned(since time.Time) map[segment.ID]bool {
	out := map[segment.ID]bool{}
	for _, c := range q.crashes {
		if c.At.Before(since) {
			continue
		}
		for _, list := range c.blamed() {
			for _, id := range list {
				out[id] = true
			}
		}
	}
	return out
}

// settleLater schedules a review after a delay. q.mu must be held.
func (q *Tracker) settleLater(delay time.Duration) {
	if q.settling {
		return
	}
	q.settling = true
	time.AfterFunc(delay, func() {
		q.mu.Lock()
		q.settling = false
		q.review(q.cfg.Now())
		q.mu.Unlock()
		q.cfg.Changed()
	})
}
