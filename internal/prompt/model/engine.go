// Package model predicts the state of an engine from its last load report, which
// is old, and from what this entry has sent there since.
package model

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
)

const (
	// DefaultMemory stands for an engine whose memory nobody told, in tokens.
	DefaultMemory = 100_000
	// DefaultRate stands for an engine whose prefill rate nobody told, in tokens a second.
	DefaultRate = 10_000
	// inFlight is how long a send takes until a report counts it.
	inFlight = 20 * time.Millisecond
	// Changes that no report counts are forgotten after a while.
	manyChanges  = 64
	maxChangeAge = 10 * time.Second
	// bigBacklog is a backlog from which a big prefill is taken to run.
	bigBacklog = 32_000 // tokens
	slowWindow = 20     // samples
	minSlow    = 1.5    // less is noise
	maxSlow    = 50
	// slowFor is how long an engine of which nothing is heard counts as slow as it was.
	slowFor = time.Minute
	// drainShare is the share of the rate at which a backlog is taken to shrink.
	drainShare = 0.6
)

// othersAhead bounds by class what is presumed ahead of a prompt that other
// entries sent: reports do not tell it by class.
var othersAhead = [length.Count]int{8_000, 40_000, 1 << 30, 1 << 30}

// Report is an engine's load at a time of this entry's clock.
type Report struct {
	At            time.Time
	Running       int
	Queued        int
	PrefillTokens int // still to be prefilled
	MemoryUsed    int // tokens
	MemoryTotal   int // tokens; 0 where it is not known
	Leaving       bool
	Failures      int // polls that failed since
}

// Send is a prompt, or a share of one, that this entry has sent to the engine.
type Send struct {
	engine  *Engine
	class   length.Class
	prompt  int // tokens to prefill
	reserve int // tokens of memory
	at      time.Time
	first   bool
}

// change is a change of memory that a report may not count yet.
type change struct {
	at      time.Time
	reserve int
	prompt  int
}

// Engine is what an entry knows of one engine. It belongs to one goroutine.
type Engine struct {
	// Source returns the newest report; where nil, Report gives it.
	Source func() Report

	name    string
	domain  string
	memory  int
	rate    float64
	report  Report
	prefill [length.Count]int // own tokens before their first token
	bigs    int               // own big sends before their first token
	reserve int               // own tokens of memory
	count   int               // own sends that are not over
	changes []change          // since the report
	since   change            // their sum
	slow    estimate.Moving
	circuit *circuit.Breaker
}

// NewEngine returns the model of an engine. Memory and rate may be 0 where they
// are not known.
func NewEngine(name, domain string, memory, rate int, b *circuit.Breaker) *Engine {
	e := &Engine{name: name, domain: domain, circuit: b, slow: estimate.NewMoving(slowWindow)}
	e.Configure(domain, memory, rate)
	return e
}

// Configure sets what the configuration tells.
func (e *Engine) Configure(domain string, memory, rate int) {
	e.domain, e.memory, e.rate = domain, memory, float64(rate)
	if rate == 0 {
		e.rate = DefaultRate
	}
}

// Name returns the upstream's name.
func (e *Engine) Name() string { return e.name }

// Domain returns the engine's failure domain.
func (e *Engine) Domain() string { return e.domain }

// Circuit returns the engine's circuit.
func (e *Engine) Circuit() *circuit.Breaker { return e.circuit }

// Memory returns the tokens that the engine's memory holds.
func (e *Engine) Memory() int {
	switch {
	case e.memory > 0:
		return e.memory
	case e.report.MemoryTotal > 0:
		return e.report.MemoryTotal
	default:
		return DefaultMemory
	}
}

// Rate returns the prefill tokens a second, less where the engine proved slow.
func (e *Engine) Rate() float64 { return e.rate / e.Slow() }

// Slow returns how many times longer than its kin the engine takes.
func (e *Engine) Slow() float64 {
	if s := e.slow.Mean(1); s > minSlow {
		return min(s, maxSlow)
	}
	return 1
}

// Observe takes the ratio of a measured time to the predicted one.
func (e *Engine) Observe(now time.Time, ratio float64) { e.slow.AddAt(now, min(ratio, maxSlow)) }

// Report takes a load report.
func (e *Engine) Report(r Report) {
	e.report = r
	e.forget(r.At.Add(-inFlight))
}

// forget drops the changes before a time.
func (e *Engine) forget(before time.Time) {
	e.changes = slices.DeleteFunc(e.changes, func(c change) bool {
		old := c.at.Before(before)
		if old {
			e.since.reserve -= c.reserve
			e.since.prompt -= c.prompt
		}
		return old
	})
}

func (e *Engine) change(c change) {
	e.changes = append(e.changes, c)
	e.since.reserve += c.reserve
	e.since.prompt += c.prompt
}

// Sync takes the source's newest report.
func (e *Engine) Sync() {
	if e.Source == nil {
		return
	}
	if r := e.Source(); r != e.report {
		e.Report(r)
	}
}

// Usable reports whether the engine takes work at the time.
func (e *Engine) Usable(now time.Time) bool {
	e.slow.Fade(now, slowFor, 1)
	return !e.report.Leaving && e.report.Failures < maxFailures && e.circuit.Allows(now)
}

// maxFailures is the number of failed polls in a row after which an engine is left out.
const maxFailures = 3

// Reported returns the time of the newest report, zero where none came.
func (e *Engine) Reported() time.Time { return e.report.At }

// Total returns the prefill tokens of everybody, as predicted for the time.
func (e *Engine) Total(now time.Time) int {
	t := max(0, e.report.PrefillTokens-int(now.Sub(e.report.At).Seconds()*e.Rate()*drainShare))
	return t + e.since.prompt
}

func (e *Engine) own(upTo length.Class) int {
	n := 0
	for c := length.Short; c <= upTo; c++ {
		n += e.prefill[c]
	}
	return n
}

// Backlog returns the prefill tokens that go before a new prompt of the class.
func (e *Engine) Backlog(now time.Time, c length.Class) int {
	total := e.Total(now)
	others := min(max(0, total-e.own(length.Long)), othersAhead[c])
	return min(total, e.own(c)+others)
}

// RunsBig reports whether a big prefill runs or waits there.
func (e *Engine) RunsBig(now time.Time) bool {
	return e.bigs > 0 || e.Total(now)-e.own(length.Medium) > bigBacklog
}

// Free returns the tokens of memory that are free at the time.
func (e *Engine) Free() int {
	return e.Memory() - max(e.report.MemoryUsed+e.since.reserve, e.reserve)
}

// Streams returns how many streams run or wait there.
func (e *Engine) Streams() int { return max(e.report.Running+e.report.Queued, e.count) }

// Sends returns how many of this entry's sends are not over.
func (e *Engine) Sends() int { return e.count }

// OwnTokens returns this entry's tokens of memory there.
func (e *Engine) OwnTokens() int { return e.reserve }

// Send counts a prompt of a class as sent. Its prefill is what is not cached.
func (e *Engine) Send(now time.Time, c length.Class, prefill, reserve int) *Send {
	s := &Send{engine: e, class: c, prompt: prefill, reserve: reserve, at: now}
	e.prefill[c] += prefill
	if s.class.Big() {
		e.bigs++
	}
	e.reserve += reserve
	e.count++
	if len(e.changes) > manyChanges {
		e.forget(now.Add(-maxChangeAge))
	}
	e.change(change{at: now, reserve: reserve, prompt: prefill})
	return s
}

// FirstToken notes that the prefill of a send is over.
func (s *Send) FirstToken() {
	if s.first {
		return
	}
	s.first = true
	s.engine.prefill[s.class] -= s.prompt
	if !s.at.Add(inFlight).Before(s.engine.report.At) { // the report has not counted the prompt
		s.engine.change(change{at: s.at, prompt: -s.prompt})
	}
	if s.class.Big() {
		s.engine.bigs--
	}
}

// Done notes that a send is over.
func (s *Send) Done(now time.Time) {
	s.FirstToken()
	e := s.engine
	e.reserve -= s.reserve
	e.count--
	e.change(change{at: now, reserve: -s.reserve})
}
