package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

// Verdict is the state of a segment, which is held if the term is odd.
type Verdict struct {
	Segment segment.ID
	Term    uint64
}

// Answer tells when a request with a segment was last answered.
type Answer struct {
	Segment segment.ID
	At      time.Time
}

// Report is what an entry tells the others.
type Report struct {
	Crashes  []Crash
	Answers  []Answer // of segments in question
	Verdicts []Verdict
}

// Report returns what the other entries are to know. It is empty unless upstreams crashed lately or
// requests with held segments come.
func (q *Tracker) Report() Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	q.own = slices.DeleteFunc(q.own, func(c Crash) bool { return now.Sub(c.At) > reportTTL })
	r := Report{Crashes: slices.Clone(q.own[max(0, len(q.own)-maxReportedCrashes):])}
	questioned := q.questioned(now.Add(-reportTTL))
	for _, id := range q.wantedVerdicts(now) {
		r.Verdicts = append(r.Verdicts, Verdict{Segment: id, Term: q.term(id)})
		questioned[id] = true
		for _, other := range q.verdicts[id].companions {
			questioned[other] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(questioned)) {
		if at := q.seenAnswered(id); !at.IsZero() && len(r.Answers) < maxReportedAnswers {
			r.Answers = append(r.Answers, Answer{Segment: id, At: at})
		}
	}
	return r
}

// wantedVerdicts returns the segments whose verdicts are reported, those that requests came for last
// if there are too many. q.mu must be held.
func (q *Tracker) wantedVerdicts(now time.Time) []segment.ID {
	var out []segment.ID
	for id, v := range q.verdicts {
		if now.Before(v.reportEnd) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b segment.ID) int {
		return cmp.Or(q.verdicts[b].reportEnd.Compare(q.verdicts[a].reportEnd), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxReportedVerdicts)]
}

// Merge takes in the report of another entry.
func (q *Tracker) Merge(r Report) {
	if len(r.Crashes)+len(r.Answers)+len(r.Verdicts) == 0 {
		return
	}
	q.mu.Lock()
	now, changed := q.cfg.Now(), false
	for _, c := range r.Crashes {
		var isNew bool
		q.crashes, isNew = addCrash(q.crashes, c)
		changed = changed || isNew
	}
	q.mergeAnswers(r.Answers, now)
	for _, v := range r.Verdicts {
		changed = q.mergeVerdict(v, now) || changed
	}
	if changed { // most reports repeat what is known
		q.review(now)
	}
	q.mu.Unlock()
	if changed {
		q.cfg.Changed() // the sender may not know of answers that this entry has seen
	}
}

// mergeAnswers takes in answers that another entry has seen. q.mu must be held.
func (q *Tracker) mergeAnswers(list []Answer, now time.Time) {
	for _, a := range list {
		known, ok := q.reported[a.Segment]
		if a.At.Sub(known) < reportSkew {
			continue
		}
		if !ok && len(q.reported) >= maxReported {
			maps.DeleteFunc(q.reported, func(_ segment.ID, at time.Time) bool { return now.Sub(at) > evidenceTTL })
			if len(q.reported) >= maxReported {
				return
			}
		}
		q.reported[a.Segment] = a.At
		q.weighAnswers(segment.List{a.Segment}, now)
	}
}

// mergeVerdict takes in another entry's verdict and reports whether it changed this entry's. A hold
// that answers speak against is reversed. q.mu must be held.
func (q *Tracker) mergeVerdict(v Verdict, now time.Time) bool {
	term := q.term(v.Segment)
	if v.Term == term && term > 0 {
		q.verdicts[v.Segment].forgetAt = now.Add(2 * holdTTL)
	}
	if v.Term <= term || v.Term > maxTerm {
		return false
	}
	reversed := v.Term%2 == 1 && q.refutes(v.Segment)
	if reversed {
		v.Term++
	}
	if q.verdicts[v.Segment] == nil {
		if !q.hasRoom() {
			return false // those that are held here were learned first-hand, or earlier
		}
		q.makeRoom()
	}
	own := q.setTerm(v.Segment, v.Term, now)
	if reversed {
		own.reportEnd = now.Add(holdTTL)
	}
	return true
}
