package quarantine

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

// verdict is the state of a segment that is held, or has been.
type verdict struct {
	term      uint64 // odd: held. It rises with each change, and the highest one holds at all entries
	changedAt time.Time
	probeAt   time.Time
	forgetAt  time.Time
	reportEnd time.Time // while requests with the segment come here
	// companions are the segments that crashes can't tell from this one. The hold covers requests that
	// have all of them.
	companions segment.List
	// doubted is set if each crash was under a request that has other segments without an answer, too,
	// and there were fewer than maxDoubtedCrashes.
	doubted      bool
	doubtProbeAt time.Time
}

func (v *verdict) held() bool { return v.term%2 == 1 }

// unsettled reports whether answers or crashes may show that the segment is not the one to hold, or the
// only one.
func (v *verdict) unsettled() bool { return v.held() && (v.doubted || len(v.companions) > 0) }

// covers reports whether requests with the given segments, among them the verdict's own, are held.
func (v *verdict) covers(list segment.List) bool {
	return v.held() && list.ContainsAll(v.companions)
}

// nextProbe returns when this entry may send a request with a held segment: after the shortest delay, and
// so that all entries together send one in the mean one.
func (q *Tracker) nextProbe(now time.Time, shortest, mean time.Duration) time.Time {
	spread := 2 * mean * time.Duration(max(1, q.cfg.Entries()))
	return now.Add(shortest + time.Duration(q.cfg.Rand()*float64(spread)))
}

// startProbe reports whether a request that the hold of a segment covers is due as a probe. q.mu must be
// held.
func (q *Tracker) startProbe(id segment.ID, request segment.List, now time.Time) bool {
	v := q.verdicts[id]
	v.forgetAt, v.reportEnd = now.Add(2*holdTTL), now.Add(holdTTL)
	switch {
	case !now.Before(v.probeAt):
		v.probeAt = q.nextProbe(now, minProbeDelay, meanProbeDelay)
	case v.doubted && !now.Before(v.doubtProbeAt) && q.isOnlySuspect(id, request):
		v.doubtProbeAt = q.nextProbe(now, minDoubtProbeDelay, meanDoubtProbeDelay)
	default:
		return false
	}
	q.cfg.Log.Info("Sending a request with a held segment as a probe.", "segment", id)
	return true
}

// updateHold updates what the crashes that speak against a held segment tell of others, aborts the requests
// that the hold covers, and returns their number. q.mu must be held.
func (q *Tracker) updateHold(id segment.ID, v *verdict) (aborted int) {
	if companions, doubted, known := q.companions(id); known {
		v.companions, v.doubted = companions, doubted
	}
	for a := range q.unproven {
		if a.probed != id && slices.Contains(a.segments, id) && v.covers(a.segments) && a.firstAt.IsZero() && !a.aborted {
			a.aborted = true
			a.abort()
			aborted++
		}
	}
	return aborted
}

// companions returns the segments without an answer that are beside the given one in all crashes that
// speak against it, and whether the hold is doubted. known is false if there is no such crash. q.mu must
// be held.
func (q *Tracker) companions(id segment.ID) (out segment.List, doubted, known bool) {
	b, n := q.newBlame(id), 0
	for i := range q.crashes {
		c := &q.crashes[i]
		others, blamed := q.unansweredBeside(c, id)
		if !blamed || !b.counts(c) {
			continue
		}
		if n++; n == 1 {
			out, doubted = others, true
		}
		b.last = c.At
		doubted = doubted && len(others) > 0
		out = slices.DeleteFunc(out, func(o segment.ID) bool { return !slices.Contains(others, o) })
	}
	return out, doubted && n < maxDoubtedCrashes, n > 0
}

// unansweredBeside returns the other segments that were never answered in the request with the most of
// them, of those that a crash speaks against and that have the segment. blamed is false if there is none.
// A digest has none beside it: no other request has it. q.mu must be held.
func (q *Tracker) unansweredBeside(c *Crash, id segment.ID) (others segment.List, blamed bool) {
	for _, request := range c.blamed() {
		at, digest := slices.Index(request, id), len(request)-1
		if at < 0 {
			continue
		}
		blamed = true
		if at == digest {
			continue
		}
		list := slices.DeleteFunc(slices.Clone(request[:digest]), func(o segment.ID) bool { return o == id || !q.lastAnswered(o).IsZero() })
		if len(list) > len(others) {
			others = list
		}
	}
	return others, blamed
}

// isOnlySuspect reports whether no crash speaks against the segments of a request other than the given one, or
// they were answered. q.mu must be held.
func (q *Tracker) isOnlySuspect(id segment.ID, request segment.List) bool {
	return !slices.ContainsFunc(request, func(o segment.ID) bool {
		return o != id && q.lastAnswered(o).IsZero() && q.blameOf(o).score > 0
	})
}

// term returns the term of a segment's verdict, or 0 without one. q.mu must be held.
func (q *Tracker) term(id segment.ID) uint64 {
	if v := q.verdicts[id]; v != nil {
		return v.term
	}
	return 0
}

// setTerm sets the state of a segment, held if the term is odd, and returns it. q.mu must be held.
func (q *Tracker) setTerm(id segment.ID, term uint64, now time.Time) *verdict {
	v := q.verdicts[id]
	if v == nil {
		v = &verdict{}
		q.verdicts[id] = v
	}
	v.term, v.changedAt, v.forgetAt, v.probeAt = term, now, now.Add(2*holdTTL), q.nextProbe(now, minProbeDelay, meanProbeDelay)
	v.doubtProbeAt = q.nextProbe(now, minDoubtProbeDelay, meanDoubtProbeDelay)
	if !v.held() {
		q.cfg.Log.Info("A segment is no longer held: a request with it was answered.", "segment", id, "term", term)
		return v
	}
	v.companions, v.doubted = nil, false
	aborted := q.updateHold(id, v)
	q.cfg.Log.Warn("Upstreams crash on a segment; requests with it are held back.", "segment", id, "term", term,
		"score", q.blameOf(id).score, "answered_before", !q.lastAnswered(id).IsZero(), "together_with", v.companions.String(), "aborted", aborted)
	return v
}

// hasRoom reports whether there is room for a verdict, if need be in place of one that holds nothing.
// q.mu must be held.
func (q *Tracker) hasRoom() bool {
	if len(q.verdicts) < maxVerdicts {
		return true
	}
	_, v := q.leastWanted()
	return !v.held()
}

// makeRoom evicts a verdict if there is no room for another one. q.mu must be held.
func (q *Tracker) makeRoom() {
	if len(q.verdicts) < maxVerdicts {
		return
	}
	id, v := q.leastWanted()
	if v.held() {
		q.cfg.Log.Warn("Too many segments are held; one is no longer.", "segment", id, "held", len(q.verdicts))
	}
	delete(q.verdicts, id)
}

// leastWanted returns the verdict that nobody asked for the longest, of those that hold nothing if
// there is one. q.mu must be held.
func (q *Tracker) leastWanted() (id segment.ID, least *verdict) {
	for i, v := range q.verdicts {
		if least == nil || least.held() && !v.held() || least.held() == v.held() && v.forgetAt.Before(least.forgetAt) {
			id, least = i, v
		}
	}
	return id, least
}

// release ends the hold of a segment if answers speak for it, and reports whether it did. q.mu must be
// held.
func (q *Tracker) release(id segment.ID, now time.Time) bool {
	v := q.verdicts[id]
	if v == nil || !v.held() || !q.refutes(id) {
		return false
	}
	q.setTerm(id, v.term+1, now)
	v.reportEnd = now.Add(holdTTL)
	return true
}

// refutes reports whether answers speak against holding a segment. q.mu must be held.
func (q *Tracker) refutes(id segment.ID) bool {
	return !q.lastAnswered(id).IsZero() && !q.blameOf(id).suffices()
}
