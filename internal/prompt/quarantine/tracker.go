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

// New returns a tracker that holds nothing.
func New(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg, reported: map[segment.ID]time.Time{}, verdicts: map[segment.ID]*verdict{}, unproven: map[*Attempt]struct{}{}}
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
