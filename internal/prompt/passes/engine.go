package passes

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	// overdueReadShare is the share of unfinished reads that still counts as read backlog
	// where all of them should be over by the prediction.
	overdueReadShare      = 0.25
	slowdownWindowSamples = 12
	minSlowdown           = 1.6 // times the prediction; lower ratios are noise
	maxSlowdown           = 20
	slowdownTTL           = 4 * time.Second
)

// Send is a request, or a part of its read, at one engine.
type Send struct {
	Engine  string
	Read    time.Duration // of this part on an idle engine
	Context int           // tokens of memory
	Gap     time.Duration // longest pause that the stream allows; 0 at helpers
	Weight  float64       // of the request, lost in part where it is late; 0 at helpers
	At      time.Time
	Due     time.Time // latest first event that is on time
	Ends    time.Time // predicted last event; zero at helpers
	Writing bool      // the first event has come
}

// markLate raises the pause limit of a late stream to the longest one of its service, and clears
// its weight: longer pauses cost it nothing more.
func (s *Send) markLate(longestGap time.Duration) { s.Gap, s.Weight = max(s.Gap, longestGap), 0 }

// engine is the state of an engine as seen by an entry.
type engine struct {
	name             string
	domain           string
	address          string
	born             int64
	leaving          bool
	evacuated        bool
	figures          *Figures
	circuit          *circuit.Breaker
	observedSlowdown estimate.Moving
	latestPace       Pace      // latest one reported to any entry
	ownPace          Pace      // latest one reported to this entry
	askedAt          time.Time // latest pace query of any entry
	suspected        bool      // a first event or pause took longer than predicted
	ownSends         []*Send
	otherSends       []Send // of other entries, from their reports
}

// load is the predicted state of an engine at one time.
type load struct {
	usedSlots    int // streams, begun or not
	helping      int // sends as a helper, for reading or reserved memory
	memoryTokens int
	slowdown     float64       // times longer than the declared figures
	pass         time.Duration // pass time without reads
	passReads    time.Duration // unfinished reads, which may share a pass with a new one
	readBacklog  time.Duration // time until a new read starts, after the running pass
	pauseLimit   time.Duration // shortest of its streams; noLimit without any
	busyUntil    time.Time     // predicted end of its last stream
	slack        time.Duration // least time left over of unfinished reads that can still be on time
	streams      []Send        // begun or not
}

const noLimit = time.Duration(math.MaxInt64)

// load returns the predicted state of the engine.
func (e *engine) load(now time.Time) load {
	l := load{pauseLimit: noLimit, slack: noLimit}
	var unfinished []Send
	add := func(s Send) {
		if s.Gap > 0 {
			l.usedSlots++
			l.pauseLimit = min(l.pauseLimit, s.Gap)
			if s.Ends.After(l.busyUntil) {
				l.busyUntil = s.Ends
			}
			l.streams = append(l.streams, s)
		} else {
			l.helping++
		}
		l.memoryTokens += s.Context
		if !s.Writing {
			unfinished = append(unfinished, s)
		}
	}
	for _, s := range e.ownSends {
		add(*s)
	}
	for _, s := range e.otherSends {
		add(s)
	}
	l.slowdown = e.slowdown(now)
	l.pass = l.scaled(e.figures.Pass(l.usedSlots, l.memoryTokens))
	for _, s := range unfinished {
		l.passReads += l.scaled(s.Read)
	}
	l.readBacklog = l.readBacklogOf(unfinished, now)
	for _, s := range unfinished {
		if spare := s.Due.Sub(now) - l.readBacklog - l.pass; spare > 0 {
			l.slack = min(l.slack, spare)
		}
	}
	return l
}

// addedLoss returns the weight that the engine's streams lose by a further read: of those
// whose pause exceeds its limit by it, and those whose first event gets late by it.
// Streams that are late without the read don't count.
func (l *load) addedLoss(read time.Duration, now time.Time) float64 {
	sum := 0.0
	pause, first := l.pass+l.passReads+basePauseMargin, now.Add(l.readBacklog+l.pass)
	for _, s := range l.streams {
		switch {
		case s.Writing && pause <= s.Gap && pause+read > s.Gap,
			!s.Writing && !first.After(s.Due) && first.Add(read).After(s.Due):
			sum += lateLossShare * s.Weight
		}
	}
	return sum
}

// scaled returns a predicted time multiplied by the engine's slowdown.
func (l *load) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * l.slowdown) }

// readBacklogOf returns the time that unfinished reads still take, one after the other.
func (l *load) readBacklogOf(unfinished []Send, now time.Time) time.Duration {
	slices.SortFunc(unfinished, func(a, b Send) int { return a.At.Compare(b.At) })
	var (
		end   time.Time
		total time.Duration
	)
	for _, s := range unfinished {
		if start := s.At.Add(l.pass / 2); start.After(end) {
			end = start
		}
		end = end.Add(l.scaled(s.Read))
		total += l.scaled(s.Read)
	}
	return max(end.Sub(now), time.Duration(overdueReadShare*float64(total)))
}

func (e *engine) remove(s *Send) {
	if i := slices.Index(e.ownSends, s); i >= 0 {
		e.ownSends = slices.Delete(e.ownSends, i, i+1)
	}
}
