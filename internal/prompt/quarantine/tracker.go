// Package quarantine finds the requests, and the segments of prompts, on which upstreams crash, and
// holds them back. Without it each of these requests takes down one upstream after the other, as
// it is sent again, and with them the answers of all others there.
//
// An upstream that crashes had requests without an answer: suspects, which may have begun to run, and
// bystanders, prompts that were still read. A request counts as the last of its own segments, since
// one that is sent again has it in common with the first. Held are the fewest segments that all
// crashes have in common and that no request was answered with since. A segment that always crashed
// together with others that were never answered is held only in requests that have these, too: the
// others pass, and their answers show which segments are sound. Entries report to each other the
// crashes that they saw, which of the segments in question they have seen answered, and which they
// hold.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

const (
	// A segment is held from heldScore on: two crashes as a suspect, three as a bystander. One
	// that was answered lately needs answeredScore since then, or answeredRequestScore if it is a
	// whole request, which fewer callers miss: upstreams may have changed.
	suspectScore         = 3
	bystanderScore       = 2
	heldScore            = 6
	answeredRequestScore = 9
	answeredScore        = 18
	// crashSpacing is the time within which crashes count as one, unless the request was sent after
	// the first.
	crashSpacing = 25 * time.Millisecond
	// sameCrash is the time within which entries see one crash of an upstream.
	sameCrash = time.Second
	// settleDelay lets other entries report that they have seen a segment answered.
	settleDelay = 40 * time.Millisecond
	// provenAfter is how long an answer has to go on after its first event to show that the engine
	// does not crash on it: several passes.
	provenAfter = 100 * time.Millisecond
	// evidenceTTL is how long crashes count.
	evidenceTTL = 10 * time.Minute
	// reportTTL is how long a crash is reported: six repeats of a report.
	reportTTL = 2 * time.Second
	// reportSkew is the error of a time in a report: the transit of a message.
	reportSkew = 50 * time.Millisecond
	// holdTTL is how long an entry reports a held segment after the last request with it, and how
	// long the segment stays held at entries after that.
	holdTTL = 10 * time.Minute
	// The first probe of a held segment comes no sooner than minProbeDelay, and all entries
	// together send about one in meanProbeDelay: each may cost an upstream.
	minProbeDelay  = 5 * time.Minute
	meanProbeDelay = 10 * time.Minute
	// The same for a doubted segment, and requests without the others that it crashed with. Each such
	// probe may be the one that shows it sound, so they come sooner, until there were
	// maxDoubtedCrashes: the users accept five crashes and three more requests.
	minDoubtProbeDelay  = 500 * time.Millisecond
	meanDoubtProbeDelay = time.Second
	maxDoubtedCrashes   = 7

	// Bounds of memory and of a report.
	maxCrashes          = 128
	maxReportedCrashes  = 16
	maxSegmentsPerCrash = 64
	maxVerdicts         = 256
	maxReportedVerdicts = 32
	maxReportedAnswers  = 64
	maxReported         = 4096    // segments whose answers other entries reported
	maxTerm             = 1 << 40 // of a verdict that another entry reports
	maxAnswered         = 8192    // of each of two generations
	answeredTTL         = evidenceTTL
)

// Settings are the settings and dependencies of a Tracker.
type Settings struct {
	Now     func() time.Time
	Rand    func() float64 // returns a number in [0, 1)
	Entries func() int     // number of entries that hold segments back
	Changed func()         // called when the report has changed
	Log     *log.Logger
}

// Tracker tracks one entry's requests and their segments. It is safe for concurrent use.
type Tracker struct {
	cfg Settings

	mu       sync.Mutex
	answered answers                  // segments, seen by this entry
	requests answers                  // the same of requests, of which there are far more
	reported map[segment.ID]time.Time // latest answers seen by other entries, of segments in question
	own      []Crash                  // seen by this entry, oldest first
	crashes  []Crash                  // seen by any entry
	verdicts map[segment.ID]*verdict
	unproven map[*Attempt]struct{}
	settling bool // a timer will review the crashes
}

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

// New returns a tracker that holds nothing.
func New(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg, reported: map[segment.ID]time.Time{}, verdicts: map[segment.ID]*verdict{}, unproven: map[*Attempt]struct{}{}}
}

// nextProbe returns when this entry may send a request with a held segment: after the shortest delay, and
// so that all entries together send one in the mean one.
func (q *Tracker) nextProbe(now time.Time, shortest, mean time.Duration) time.Time {
	spread := 2 * mean * time.Duration(max(1, q.cfg.Entries()))
	return now.Add(shortest + time.Duration(q.cfg.Rand()*float64(spread)))
}

// HeldSegments returns the segments that are held.
func (q *Tracker) HeldSegments() segment.List {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := segment.List{}
	for id, v := range q.verdicts {
		if v.held() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Attempt is a request at an upstream. Its methods may be called from any goroutine.
type Attempt struct {
	tracker  *Tracker
	segments segment.List // the last one is the request's digest
	abort    func()
	sentAt   time.Time
	firstAt  time.Time
	probed   segment.ID // the held segment that it is a probe of
	proven   bool
	aborted  bool
}

// Watch starts the attempt of a request with the given segments and digest, before it is placed. It
// returns the first one that is held, if any, and then no attempt; once in a while it passes one, as
// a probe. abort is called if one of them is held before the first event of the answer.
func (q *Tracker) Watch(list segment.List, digest segment.ID, abort func()) (a *Attempt, held segment.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	list = append(slices.Clone(list), digest)
	probed := segment.None
	for _, id := range list {
		if v := q.verdicts[id]; v == nil || !v.covers(list) {
			continue
		}
		if !q.startProbe(id, list, now) {
			return nil, id
		}
		probed = id
	}
	a = &Attempt{tracker: q, segments: list, abort: abort, probed: probed}
	q.unproven[a] = struct{}{}
	return a, segment.None
}

// startProbe reports whether a request that the hold of a segment covers is due as a probe. q.mu must be
// held.
func (q *Tracker) startProbe(id segment.ID, request segment.List, now time.Time) bool {
	v := q.verdicts[id]
	v.forgetAt, v.reportEnd = now.Add(2*holdTTL), now.Add(holdTTL)
	switch {
	case !now.Before(v.probeAt):
		v.probeAt = q.nextProbe(now, minProbeDelay, meanProbeDelay)
	case v.doubted && !now.Before(v.doubtProbeAt) && q.suspectsOnly(id, request):
		v.doubtProbeAt = q.nextProbe(now, minDoubtProbeDelay, meanDoubtProbeDelay)
	default:
		return false
	}
	q.cfg.Log.Info("Sending a request with a held segment as a probe.", "segment", id)
	return true
}

// Sent records that the request is sent to an upstream.
func (a *Attempt) Sent() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.sentAt = a.tracker.cfg.Now()
}

// Event records an event of the answer.
func (a *Attempt) Event() {
	q := a.tracker
	q.mu.Lock()
	defer q.mu.Unlock()
	switch now := q.cfg.Now(); {
	case a.firstAt.IsZero():
		a.firstAt = now
	case !a.proven && now.Sub(a.firstAt) >= provenAfter:
		q.prove(a, now)
	}
}

// End records the end of the attempt, and whether its answer is complete.
func (a *Attempt) End(complete bool) {
	q := a.tracker
	q.mu.Lock()
	defer q.mu.Unlock()
	if complete && !a.proven {
		q.prove(a, q.cfg.Now())
	}
	delete(q.unproven, a)
}

// Proven reports whether the answer has shown that the upstream does not crash on the request.
func (a *Attempt) Proven() bool {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	return a.proven
}

// Aborted reports whether the attempt was aborted because a segment is held.
func (a *Attempt) Aborted() bool {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	return a.aborted
}

// Crashed records that the upstream crashed under the attempt. suspect is set if the request may have
// begun to run.
func (a *Attempt) Crashed(upstream string, at time.Time, suspect bool) {
	q := a.tracker
	q.mu.Lock()
	c := Crash{Upstream: upstream, At: at, SentAt: a.sentAt}
	list := []segment.List{a.segments[max(0, len(a.segments)-maxSegmentsPerCrash):]}
	if suspect {
		c.Suspects = list
	} else {
		c.Bystanders = list
	}
	q.own, _ = addCrash(q.own, c)
	q.crashes, _ = addCrash(q.crashes, c)
	q.review(q.cfg.Now())
	q.mu.Unlock()
	q.cfg.Changed()
}

// prove records that a request was answered. q.mu must be held.
func (q *Tracker) prove(a *Attempt, now time.Time) {
	a.proven = true
	delete(q.unproven, a)
	last := len(a.segments) - 1
	for i, id := range a.segments {
		if i < last {
			q.answered.add(id, now)
		} else {
			q.requests.add(id, now)
		}
	}
	q.weighAnswers(a.segments, now)
}

// weighAnswers changes the holds that answers to requests with the given segments speak against. q.mu
// must be held.
func (q *Tracker) weighAnswers(list segment.List, now time.Time) {
	if len(q.verdicts) == 0 {
		return
	}
	released, answered := false, make(map[segment.ID]bool, len(list))
	for _, id := range list {
		answered[id] = true
		released = q.release(id, now) || released
	}
	for id, v := range q.verdicts {
		if v.held() && slices.ContainsFunc(v.companions, func(o segment.ID) bool { return answered[o] }) {
			q.updateHold(id, v)
		}
	}
	if released { // what the hold explained has another cause
		q.review(now)
	}
}

// seenAnswered returns when this entry last saw a request with the segment answered, or zero. q.mu must
// be held.
func (q *Tracker) seenAnswered(id segment.ID) time.Time {
	if at := q.answered.at(id); !at.IsZero() {
		return at
	}
	return q.requests.at(id)
}

// lastAnswered returns when a request with the segment was last answered, or zero. q.mu must be
// held.
func (q *Tracker) lastAnswered(id segment.ID) time.Time {
	at := q.seenAnswered(id)
	if other := q.reported[id]; other.After(at) {
		at = other
	}
	if v := q.verdicts[id]; v != nil && !v.held() && v.changedAt.After(at) {
		at = v.changedAt
	}
	return at
}

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

// suspectsOnly reports whether no crash speaks against the other segments of a request, or they were
// answered. q.mu must be held.
func (q *Tracker) suspectsOnly(id segment.ID, request segment.List) bool {
	return !slices.ContainsFunc(request, func(o segment.ID) bool {
		return o != id && q.lastAnswered(o).IsZero() && q.blameOf(o).score > 0
	})
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
