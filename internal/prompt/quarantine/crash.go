package quarantine

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

// Crash is the end of an upstream's process under requests without an answer. Each is given by its
// segments, of which the last one is its digest.
type Crash struct {
	Upstream   string
	At         time.Time
	SentAt     time.Time      // when the latest of the requests was sent
	Suspects   []segment.List // requests that may have begun to run
	Bystanders []segment.List // prompts that were still read
}

// blamed returns the requests that the crash speaks against: bystanders only without suspects.
func (c *Crash) blamed() []segment.List {
	if len(c.Suspects) > 0 {
		return c.Suspects
	}
	return c.Bystanders
}

// score returns how much the crash speaks against each segment of the blamed requests.
func (c *Crash) score() int {
	if len(c.Suspects) > 0 {
		return suspectScore
	}
	return bystanderScore
}

// isApart reports whether the crash has another cause than one at an earlier time may have: a failure
// domain that is lost takes its upstreams down together, whatever they run.
func (c *Crash) isApart(earlier time.Time) bool {
	return c.At.Sub(earlier) >= crashSpacing || c.SentAt.After(earlier)
}

// addCrash adds a crash to a list in order of time, or what is new of it if the list has it, and
// reports whether anything was. The oldest one is dropped from a full list.
func addCrash(list []Crash, c Crash) (out []Crash, changed bool) {
	for i := range list {
		if o := &list[i]; o.Upstream == c.Upstream && c.At.Sub(o.At).Abs() < sameCrash {
			known := len(o.Suspects) + len(o.Bystanders)
			if c.SentAt.After(o.SentAt) {
				o.SentAt = c.SentAt
			}
			o.Suspects, o.Bystanders = union(o.Suspects, c.Suspects), union(o.Bystanders, c.Bystanders)
			return list, len(o.Suspects)+len(o.Bystanders) > known
		}
	}
	at, _ := slices.BinarySearchFunc(list, c, func(o, c Crash) int { return o.At.Compare(c.At) })
	list = slices.Insert(list, at, c)
	if len(list) > maxCrashes {
		list = slices.Delete(list, 0, 1)
	}
	return list, true
}

// union returns the requests of both lists, as many as have maxSegmentsPerCrash segments. Neither
// list is changed.
func union(a, b []segment.List) []segment.List {
	out, size := slices.Clone(a), 0
	for _, list := range a {
		size += len(list)
	}
	for _, list := range b {
		same := func(o segment.List) bool { return slices.Equal(o, list) }
		if size += len(list); size > maxSegmentsPerCrash {
			break
		}
		if !slices.ContainsFunc(out, same) {
			out = append(out, list)
		}
	}
	return out
}

// answers are the times at which segments were last answered, for answeredTTL at least where no more
// than maxAnswered are.
type answers struct {
	current, old map[segment.ID]time.Time
	since        time.Time // start of current
}

// add records an answer.
func (s *answers) add(id segment.ID, now time.Time) {
	if s.current == nil || len(s.current) >= maxAnswered || now.Sub(s.since) > answeredTTL {
		s.current, s.old, s.since = map[segment.ID]time.Time{}, s.current, now
	}
	s.current[id] = now
}

// at returns the time of the latest answer, or zero if it is not known.
func (s *answers) at(id segment.ID) time.Time {
	if at, ok := s.current[id]; ok {
		return at
	}
	return s.old[id]
}
