package passes

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	// lateShare is the share of the reads ahead that still counts where they should
	// be over by the prediction and are not.
	lateShare  = 0.25
	slowWindow = 12  // samples
	minSlow    = 1.6 // times the prediction; less is noise
	maxSlow    = 20
	slowFor    = 4 * time.Second
	// lateGap is the longest pause of a stream that is late already, as long as the most
	// patient kind of request allows.
	lateGap = 800 * time.Millisecond
)

// Send is a part of a prompt at an engine.
type Send struct {
	Engine  string
	Read    time.Duration // this part alone
	Context int           // tokens of memory
	Gap     time.Duration // longest pause that the stream allows; 0 where it does not write here
	Weight  float64       // what its caller loses where it is late; 0 where it does not write here
	At      time.Time
	Due     time.Time // of the first event, for full value
	Ends    time.Time // predicted, of the last event; zero where it does not write here
	Writing bool      // its first event came
}

// relax notes that the stream is late: a longer pause loses its caller no more.
func (s *Send) relax() { s.Gap, s.Weight = max(s.Gap, lateGap), 0 }

// engine is what an entry knows of an engine.
type engine struct {
	name    string
	domain  string
	address string
	born    int64
	leaving bool
	figures *Figures
	circuit *circuit.Breaker
	slow    estimate.Moving
	pace    Pace      // what it told last, this entry or another
	told    Pace      // what it told this entry last
	asked   time.Time // when it was last asked for that
	suspect bool      // it took longer than predicted
	own     []*Send
	others  []Send // of other entries
}

// load is what is predicted of an engine for a moment.
type load struct {
	slots   int           // requests that write here or will
	helping int           // parts that it reads or holds for others
	memory  int           // tokens
	slow    float64       // times longer than declared
	pass    time.Duration // of a pass, without reads
	reads   time.Duration // that may be in one pass with a new one
	ahead   time.Duration // until a new one starts, beside the pass that runs
	gap     time.Duration // shortest pause that its streams allow
	until   time.Time     // when its last stream ends, as predicted
	slack   time.Duration // least time to spare of the reads under way that can be on time
	streams []Send        // that write here or will
}

const noGap = time.Duration(math.MaxInt64)

// load predicts the engine's state.
func (e *engine) load(now time.Time) load {
	l := load{gap: noGap, slack: noGap}
	var waiting []Send
	take := func(s Send) {
		if s.Gap > 0 {
			l.slots++
			l.gap = min(l.gap, s.Gap)
			if s.Ends.After(l.until) {
				l.until = s.Ends
			}
			l.streams = append(l.streams, s)
		} else {
			l.helping++
		}
		l.memory += s.Context
		if !s.Writing {
			waiting = append(waiting, s)
		}
	}
	for _, s := range e.own {
		take(*s)
	}
	for _, s := range e.others {
		take(s)
	}
	l.slow = e.slowness(now)
	l.pass = l.took(e.figures.Pass(l.slots, l.memory))
	for _, s := range waiting {
		l.reads += l.took(s.Read)
	}
	l.ahead = l.aheadOf(waiting, now)
	for _, s := range waiting {
		if spare := s.Due.Sub(now) - l.ahead - l.pass; spare > 0 {
			l.slack = min(l.slack, spare)
		}
	}
	return l
}

// harm returns what callers of the engine's streams lose by a further read: those
// whose pause gets too long by it, and those whose first event gets late by it. What
// is lost without it does not count.
func (l *load) harm(read time.Duration, now time.Time) float64 {
	sum := 0.0
	pause, first := l.pass+l.reads+guard, now.Add(l.ahead+l.pass)
	for _, s := range l.streams {
		switch {
		case s.Writing && pause <= s.Gap && pause+read > s.Gap,
			!s.Writing && !first.After(s.Due) && first.Add(read).After(s.Due):
			sum += lateLoss * s.Weight
		}
	}
	return sum
}

// took returns what something takes at an engine that may be slow.
func (l *load) took(d time.Duration) time.Duration { return time.Duration(float64(d) * l.slow) }

// aheadOf returns the time that the reads under way still take, one after the other.
func (l *load) aheadOf(waiting []Send, now time.Time) time.Duration {
	slices.SortFunc(waiting, func(a, b Send) int { return a.At.Compare(b.At) })
	var (
		over  time.Time
		total time.Duration
	)
	for _, s := range waiting {
		if start := s.At.Add(l.pass / 2); start.After(over) {
			over = start
		}
		over = over.Add(l.took(s.Read))
		total += l.took(s.Read)
	}
	return max(over.Sub(now), time.Duration(lateShare*float64(total)))
}

func (e *engine) remove(s *Send) {
	if i := slices.Index(e.own, s); i >= 0 {
		e.own = slices.Delete(e.own, i, i+1)
	}
}
