// Package model predicts the current state of an engine from its last load report, which
// may be outdated, and from what this entry has sent to it since.
package model

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
)

const (
	// DefaultMemory is the memory of an engine in tokens if neither its configuration nor
	// its reports give it.
	DefaultMemory = 100_000
	// DefaultRate is the prefill rate of an engine in tokens per second if its
	// configuration does not give it.
	DefaultRate = 10_000
	// sendDelay is the time that a send takes to be counted in the reports of the engine.
	sendDelay = 20 * time.Millisecond
	// With more than maxChanges changes since the last report, those older than
	// maxChangeAge are dropped.
	maxChanges   = 64
	maxChangeAge = 10 * time.Second
	// bigBacklogTokens is the backlog above which a big prefill is assumed to run.
	bigBacklogTokens      = 32_000
	slowdownWindowSamples = 20
	minSlowdown           = 1.5 // smaller ones are noise
	maxSlowdown           = 50
	// slowdownIdle is the time without measurements after which the slowdown of an engine
	// decays.
	slowdownIdle = time.Minute
	// drainShare is the share of the prefill rate at which a reported backlog is assumed to
	// shrink.
	drainShare = 0.6
)

// maxOthersAhead bounds, by the class of a prompt, the tokens of other entries that are
// assumed to be prefilled before it: reports do not give the backlog by class.
var maxOthersAhead = [length.Count]int{8_000, 40_000, 1 << 30, 1 << 30}

// Report is the load of an engine. At is comparable to this entry's clock.
type Report struct {
	At            time.Time
	Running       int
	Queued        int
	PrefillTokens int // not prefilled yet
	MemoryUsed    int // tokens
	MemoryTotal   int // tokens; 0 if not known
	Leaving       bool
	Failures      int // failed polls in a row since
}

// Send is a prompt, or the share of a group member in one, that this entry has sent to an
// engine.
type Send struct {
	engine     *Engine
	class      length.Class
	prefill    int // tokens to prefill
	reserve    int // tokens of memory
	at         time.Time
	firstToken bool
}

// change is a change of the load that the last report may not include.
type change struct {
	at      time.Time
	reserve int
	prefill int
}

// Engine is an entry's model of one engine. It is not safe for concurrent use.
type Engine struct {
	// Source returns the newest report. If nil, reports are passed to Report.
	Source func() Report

	name        string
	domain      string
	memory      int
	rate        float64
	report      Report
	ownPrefill  [length.Count]int // tokens of own sends before their first token
	ownBigs     int               // own big sends before their first token
	ownReserved int               // own tokens of memory
	ownSends    int               // own sends that are not done
	changes     []change          // since the report
	unreported  change            // sum of changes
	slow        estimate.Moving   // ratio of measured to predicted times
	circuit     *circuit.Breaker
}

// NewEngine returns the model of an engine. Memory and rate may be 0 where they
// are not known.
func NewEngine(name, domain string, memory, rate int, b *circuit.Breaker) *Engine {
	e := &Engine{name: name, domain: domain, circuit: b, slow: estimate.NewMoving(slowdownWindowSamples)}
	e.Configure(domain, memory, rate)
	return e
}

// Configure sets the configured failure domain, memory and prefill rate. Memory and rate
// may be 0 if they are not known.
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

// Memory returns the size of the engine's memory in tokens.
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

// Rate returns the prefill rate in tokens per second, divided by the slowdown.
func (e *Engine) Rate() float64 { return e.rate / e.Slowdown() }

// Slowdown returns the factor by which the engine is slower than other engines, at least 1.
func (e *Engine) Slowdown() float64 {
	if s := e.slow.Mean(1); s > minSlowdown {
		return min(s, maxSlowdown)
	}
	return 1
}

// Observe adds the ratio of a measured time to the predicted one.
func (e *Engine) Observe(now time.Time, ratio float64) { e.slow.AddAt(now, min(ratio, maxSlowdown)) }

// Report sets the last load report.
func (e *Engine) Report(r Report) {
	e.report = r
	e.forget(r.At.Add(-sendDelay))
}

// forget drops the changes before the given time.
func (e *Engine) forget(before time.Time) {
	e.changes = slices.DeleteFunc(e.changes, func(c change) bool {
		expired := c.at.Before(before)
		if expired {
			e.unreported.reserve -= c.reserve
			e.unreported.prefill -= c.prefill
		}
		return expired
	})
}

func (e *Engine) change(c change) {
	e.changes = append(e.changes, c)
	e.unreported.reserve += c.reserve
	e.unreported.prefill += c.prefill
}

// Sync sets the newest report of Source.
func (e *Engine) Sync() {
	if e.Source == nil {
		return
	}
	if r := e.Source(); r != e.report {
		e.Report(r)
	}
}

// Usable reports whether work may be sent to the engine.
func (e *Engine) Usable(now time.Time) bool {
	e.slow.Fade(now, slowdownIdle, 1)
	return !e.report.Leaving && e.report.Failures < maxFailedPolls && e.circuit.Allows(now)
}

// maxFailedPolls is the number of failed polls in a row from which an engine is not used.
const maxFailedPolls = 3

// Reported returns the time of the last report, or the zero time without one.
func (e *Engine) Reported() time.Time { return e.report.At }

// TotalBacklog returns the predicted prefill backlog of all entries in tokens.
func (e *Engine) TotalBacklog(now time.Time) int {
	t := max(0, e.report.PrefillTokens-int(now.Sub(e.report.At).Seconds()*e.Rate()*drainShare))
	return t + e.unreported.prefill
}

func (e *Engine) ownPrefillUpTo(upTo length.Class) int {
	n := 0
	for c := length.Short; c <= upTo; c++ {
		n += e.ownPrefill[c]
	}
	return n
}

// Backlog returns the predicted tokens that are prefilled before a new prompt of the class.
func (e *Engine) Backlog(now time.Time, c length.Class) int {
	total := e.TotalBacklog(now)
	others := min(max(0, total-e.ownPrefillUpTo(length.Long)), maxOthersAhead[c])
	return min(total, e.ownPrefillUpTo(c)+others)
}

// RunsBig reports whether a prefill of a big class is assumed to run or wait at the
// engine.
func (e *Engine) RunsBig(now time.Time) bool {
	return e.ownBigs > 0 || e.TotalBacklog(now)-e.ownPrefillUpTo(length.Medium) > bigBacklogTokens
}

// Free returns the predicted free memory in tokens. It may be negative.
func (e *Engine) Free() int {
	return e.Memory() - max(e.report.MemoryUsed+e.unreported.reserve, e.ownReserved)
}

// Streams returns the number of streams that run or wait at the engine.
func (e *Engine) Streams() int { return max(e.report.Running+e.report.Queued, e.ownSends) }

// Sends returns the number of sends of this entry that are not done.
func (e *Engine) Sends() int { return e.ownSends }

// OwnTokens returns the memory that sends of this entry use, in tokens.
func (e *Engine) OwnTokens() int { return e.ownReserved }

// Send records that a prompt was sent. Prefill is the number of its tokens that are not
// cached, and reserve the memory in tokens that it needs.
func (e *Engine) Send(now time.Time, c length.Class, prefill, reserve int) *Send {
	s := &Send{engine: e, class: c, prefill: prefill, reserve: reserve, at: now}
	e.ownPrefill[c] += prefill
	if s.class.Big() {
		e.ownBigs++
	}
	e.ownReserved += reserve
	e.ownSends++
	if len(e.changes) > maxChanges {
		e.forget(now.Add(-maxChangeAge))
	}
	e.change(change{at: now, reserve: reserve, prefill: prefill})
	return s
}

// FirstToken records the first token of a send, which ends its prefill. Only the first
// call has an effect.
func (s *Send) FirstToken() {
	if s.firstToken {
		return
	}
	s.firstToken = true
	s.engine.ownPrefill[s.class] -= s.prefill
	if !s.at.Add(sendDelay).Before(s.engine.report.At) { // the report does not include the prefill
		s.engine.change(change{at: s.at, prefill: -s.prefill})
	}
	if s.class.Big() {
		s.engine.ownBigs--
	}
}

// Done records the end of a send. It must be called once.
func (s *Send) Done(now time.Time) {
	s.FirstToken()
	e := s.engine
	e.ownReserved -= s.reserve
	e.ownSends--
	e.change(change{at: now, reserve: -s.reserve})
}
