// Package quarantine finds the segments of prompts on which engines crash, and holds prompts with
// such a segment back. Without it each of these prompts takes down one engine after the other, as
// it is sent again, and with them the streams of all others there.
//
// An engine that crashes had prompts without an event: suspects, whose answers had begun, and
// bystanders, which were still read. Held are the fewest segments that all crashes have in common
// and that no prompt was answered with since. Entries report to each other the crashes that they
// saw, which of the segments in question they have seen answered, and which they hold.
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
	// that was answered lately needs answeredScore since then: engines may have changed.
	suspectScore   = 3
	bystanderScore = 2
	heldScore      = 6
	answeredScore  = 18
	// crashSpacing is the time within which crashes count as one, unless the prompt was sent after
	// the first.
	crashSpacing = 25 * time.Millisecond
	// sameCrash is the time within which entries see one crash of an engine.
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
	// holdTTL is how long an entry reports a held segment after the last prompt with it, and how
	// long the segment stays held at entries after that.
	holdTTL = 10 * time.Minute
	// The first probe of a held segment comes no sooner than minProbeDelay, and all entries
	// together send about one in meanProbeDelay: each may cost an engine.
	minProbeDelay  = 5 * time.Minute
	meanProbeDelay = 10 * time.Minute

	// Bounds of memory and of a report.
	maxCrashes          = 128
	maxReportedCrashes  = 16
	maxSegmentsPerCrash = 64
	maxVerdicts         = 32
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

// Tracker tracks the segments of one entry's prompts. It is safe for concurrent use.
type Tracker struct {
	cfg Settings

	mu       sync.Mutex
	answered answers                  // seen by this entry
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
	reportEnd time.Time // while prompts with the segment come here
}

func (v *verdict) held() bool { return v.term%2 == 1 }

// New returns a tracker that holds nothing.
func New(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg, reported: map[segment.ID]time.Time{}, verdicts: map[segment.ID]*verdict{}, unproven: map[*Attempt]struct{}{}}
}

// nextProbe returns when this entry may send a prompt with a held segment.
func (q *Tracker) nextProbe(now time.Time) time.Time {
	spread := 2 * meanProbeDelay * time.Duration(max(1, q.cfg.Entries()))
	return now.Add(minProbeDelay + time.Duration(q.cfg.Rand()*float64(spread)))
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

// Attempt is a prompt at an engine. Its methods may be called from any goroutine.
type Attempt struct {
	tracker  *Tracker
	segments segment.List
	abort    func()
	sentAt   time.Time
	firstAt  time.Time
	proven   bool
	aborted  bool
}

// Watch starts the attempt of a prompt, before it is placed. It returns the first segment that is
// held, if any, and then no attempt; once in a while it passes one, as a probe. abort is called if
// a segment of the prompt is held before the first event of the answer.
func (q *Tracker) Watch(list segment.List, abort func()) (a *Attempt, held segment.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	for _, id := range list {
		if !q.passes(id, now) {
			return nil, id
		}
	}
	a = &Attempt{tracker: q, segments: list, abort: abort}
	q.unproven[a] = struct{}{}
	return a, segment.None
}

// passes reports whether prompts with the segment are not held, or one is due as a probe. q.mu
// must be held.
func (q *Tracker) passes(id segment.ID, now time.Time) bool {
	v := q.verdicts[id]
	if v == nil || !v.held() {
		return true
	}
	v.forgetAt, v.reportEnd = now.Add(2*holdTTL), now.Add(holdTTL)
	if now.Before(v.probeAt) {
		return false
	}
	v.probeAt = q.nextProbe(now)
	q.cfg.Log.Info("Sending a prompt with a held segment as a probe.", "segment", id)
	return true
}

// Sent records that the prompt is sent to an engine.
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

// Proven reports whether the answer has shown that the engine does not crash on the prompt.
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

// Crashed records that the engine crashed under the attempt. suspect is set if its answer had begun.
func (a *Attempt) Crashed(engine string, at time.Time, suspect bool) {
	if len(a.segments) == 0 {
		return
	}
	q := a.tracker
	q.mu.Lock()
	c := Crash{Engine: engine, At: at, SentAt: a.sentAt}
	list := []segment.List{a.segments[:min(len(a.segments), maxSegmentsPerCrash)]}
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

// prove records that a prompt was answered. q.mu must be held.
func (q *Tracker) prove(a *Attempt, now time.Time) {
	a.proven = true
	delete(q.unproven, a)
	for _, id := range a.segments {
		q.answered.add(id, now)
		q.release(id, now)
	}
}

// lastAnswered returns when a prompt with the segment was last answered, or zero. q.mu must be
// held.
func (q *Tracker) lastAnswered(id segment.ID) time.Time {
	at := q.answered.at(id)
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
	need     int       // score from which it is held
	since    time.Time // latest answer; zero: none is known
	position int       // in the prompts, the last one
	open     bool      // no other held segment explains one of the crashes
	last     time.Time // latest crash
}

func (b *blame) suffices() bool { return b.open && b.score >= b.need }

// compare orders segments by what speaks against them. Of those that are in the same prompts, the
// one comes first that fewer other prompts have.
func (b *blame) compare(o *blame) int {
	return cmp.Or(cmp.Compare(o.score, b.score), cmp.Compare(o.position, b.position), cmp.Compare(b.id, o.id))
}

// newBlame returns the blame of a segment that no crash speaks against yet. q.mu must be held.
func (q *Tracker) newBlame(id segment.ID) *blame {
	b := &blame{id: id, need: heldScore, since: q.lastAnswered(id)}
	if !b.since.IsZero() {
		b.need = answeredScore
	}
	return b
}

// add counts a crash after which no prompt with the segment was answered.
func (b *blame) add(c *Crash, position int, explained bool) {
	if !c.At.After(b.since) || !c.isApart(b.last) {
		return
	}
	b.score, b.position, b.last = b.score+c.score(), max(b.position, position), c.At
	b.open = b.open || !explained
}

// blameOf returns what speaks for holding a segment: the crashes since its latest answer. q.mu must
// be held.
func (q *Tracker) blameOf(id segment.ID) *blame {
	b := q.newBlame(id)
	for i := range q.crashes {
		c := &q.crashes[i]
		for _, list := range c.blamed() {
			if at := slices.Index(list, id); at >= 0 {
				b.add(c, at, q.isExplained(c, id))
			}
		}
	}
	return b
}

// isExplained reports whether a prompt that a crash speaks against has a held segment other than
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
	for {
		worst := q.mostBlamed()
		if worst == nil {
			return
		}
		if now.Sub(worst.last) < settleDelay {
			q.settleLater()
			return
		}
		v := q.setTerm(worst.id, q.term(worst.id)+1, now)
		if v == nil {
			return
		}
		v.reportEnd = now.Add(holdTTL)
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
				all[id].add(c, at, explained)
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

// settleLater schedules a review. q.mu must be held.
func (q *Tracker) settleLater() {
	if q.settling {
		return
	}
	q.settling = true
	time.AfterFunc(settleDelay, func() {
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

// setTerm sets the state of a segment, held if the term is odd, and returns it, or nil if too many
// segments are held. q.mu must be held.
func (q *Tracker) setTerm(id segment.ID, term uint64, now time.Time) *verdict {
	v := q.verdicts[id]
	if v == nil {
		if !q.hasRoom() {
			q.cfg.Log.Error("Too many segments are held.", "segment", id, "held", len(q.verdicts))
			return nil
		}
		v = &verdict{}
		q.verdicts[id] = v
	}
	v.term, v.changedAt, v.forgetAt, v.probeAt = term, now, now.Add(2*holdTTL), q.nextProbe(now)
	if !v.held() {
		q.cfg.Log.Info("A segment is no longer held: a prompt with it was answered.", "segment", id, "term", term)
		return v
	}
	aborted := 0
	for a := range q.unproven {
		if slices.Contains(a.segments, id) && a.firstAt.IsZero() && !a.aborted {
			a.aborted = true
			a.abort()
			aborted++
		}
	}
	q.cfg.Log.Warn("Engines crash on a segment; prompts with it are held back.", "segment", id, "term", term,
		"score", q.blameOf(id).score, "answered_before", !q.lastAnswered(id).IsZero(), "aborted", aborted)
	return v
}

// hasRoom reports whether there is room for a verdict. It evicts the one that nobody asked for the
// longest among those that hold nothing. q.mu must be held.
func (q *Tracker) hasRoom() bool {
	if len(q.verdicts) < maxVerdicts {
		return true
	}
	var oldest segment.ID
	for id, v := range q.verdicts {
		if o := q.verdicts[oldest]; !v.held() && (o == nil || v.forgetAt.Before(o.forgetAt)) {
			oldest = id
		}
	}
	delete(q.verdicts, oldest)
	return len(q.verdicts) < maxVerdicts
}

// release ends the hold of a segment if answers speak for it. q.mu must be held.
func (q *Tracker) release(id segment.ID, now time.Time) {
	v := q.verdicts[id]
	if v != nil && v.held() && q.refutes(id) {
		q.setTerm(id, v.term+1, now)
		v.reportEnd = now.Add(holdTTL)
	}
}

// refutes reports whether answers speak against holding a segment. q.mu must be held.
func (q *Tracker) refutes(id segment.ID) bool {
	return !q.lastAnswered(id).IsZero() && !q.blameOf(id).suffices()
}
