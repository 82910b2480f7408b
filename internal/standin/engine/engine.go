// Package engine is a stand-in for a model engine: continuous batching with
// chunked prefill, limited KV memory, a prefix cache, priorities, streams that
// can be resumed and cancelled, holds (memory reservations), KV export and import,
// load reports with a lag, cache events with gaps, and orders with or without a
// fencing check. Answers depend only on the prompt and the seed, so all engines
// give the same answer.
package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// RunesPerToken is the length of a token in runes.
	RunesPerToken = 4
	// BlockBytes is the length of the text in a block of the prefix cache.
	BlockBytes = 1024
	// blockTokens is the memory of a block of the prefix cache.
	blockTokens = BlockBytes / RunesPerToken
	// MaxQueue is the largest number of unfinished streams.
	MaxQueue = 4096
	// RetainFinished is how long a finished stream can still be read.
	RetainFinished = 60 * time.Second
	// MaxHoldTTL is the longest time limit of a hold.
	MaxHoldTTL = 60 * time.Second
)

// Config sets the capacity, the speed and the lags of an engine.
type Config struct {
	Name          string
	Model         string        // loaded at start; "" for none
	Version       string        // version of Model
	Memory        int           // KV memory, tokens
	PrefillRate   int           // tokens a second
	Step          time.Duration // time of a batch, which decodes a token of each running stream
	ReportLag     time.Duration // age of a load report
	EventLag      time.Duration // age at which a cache event is published
	EventGap      int           // every EventGap-th cache event is dropped; 0 drops none
	LoadTime      time.Duration // of a model
	ChecksFencing bool          // refuses orders with an old fencing number
}

// Default returns the settings for an engine on a single machine.
func Default(name, model string) Config {
	return Config{
		Name:        name,
		Model:       model,
		Version:     "1",
		Memory:      480_000,
		PrefillRate: 25_000,
		Step:        20 * time.Millisecond,
		ReportLag:   250 * time.Millisecond,
		EventLag:    500 * time.Millisecond,
		LoadTime:    time.Second,
	}
}

// Load is a report of the engine's load at Time.
type Load struct {
	Time          time.Time `json:"time"`
	Incarnation   uint64    `json:"incarnation"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	PrefillTokens int       `json:"prefill_tokens"` // not prefilled yet
	MemoryUsed    int       `json:"memory_used"`    // tokens of streams and holds
	MemoryTotal   int       `json:"memory_total"`
	Leaving       bool      `json:"leaving"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	cfg  Config
	done chan struct{}
	wake chan struct{}

	mu            sync.Mutex
	incarnation   uint64
	dead          bool
	paused        bool
	leaving       bool
	leavingSince  time.Time // when leaving was last set
	slowdown      float64   // factor on the time of a step
	silencedAt    time.Time // connections opened before get no answers
	answersToLose int       // answers still to be dropped
	misdelivery   Misdelivery
	// piecesToMisdeliver is the number of pieces still to be misdelivered.
	piecesToMisdeliver int
	streams            map[string]*stream
	queue              []*stream // unfinished, by priority, then arrival
	lastArrival        uint64
	openings           []Opening
	holds              map[string]*hold
	used               int // tokens of admitted streams and of holds
	cache              *prefixCache
	events             []Event
	eventSeq           uint64
	reports            []Load
	orders             orderState
	changed            chan struct{} // closed and replaced on each change
}

// New starts an engine. The caller must close it.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
		slowdown: 1,
	}
	e.reset()
	go e.run()
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Close stops the engine and ends all reads of its streams.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isClosed() {
		return
	}
	e.dead = true
	close(e.done)
	e.broadcast()
}

func (e *Engine) isClosed() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// reset clears the memory and starts a new incarnation.
func (e *Engine) reset() {
	e.incarnation++
	e.streams = map[string]*stream{}
	e.queue = nil
	e.holds = map[string]*hold{}
	e.used = 0
	e.cache = newPrefixCache()
	e.events = nil
	e.reports = nil
	e.orders = newOrderState(e.cfg.Model, e.cfg.Version)
}

func (e *Engine) run() {
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		}
		for e.step() {
			select {
			case <-e.done:
				return
			case <-time.After(e.stepTime()):
			}
		}
	}
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.cfg.Step) * e.slowdown)
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// step runs one batch and reports whether streams or holds are left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.paused {
		return false
	}
	now := time.Now()
	e.expire(now)
	e.admit()
	e.prefill()
	e.decode(now)
	e.queue = slices.DeleteFunc(e.queue, func(s *stream) bool { return s.finish != "" })
	e.recordReport(now)
	e.broadcast()
	return len(e.queue) > 0 || len(e.holds) > 0 || len(e.streams) > 0
}

// admit reserves memory for queued streams in order of priority, then arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	for _, s := range e.queue {
		if s.admitted || s.finish != "" {
			continue
		}
		if e.used+s.reservedTokens > e.cfg.Memory {
			return // smaller streams don't overtake: callers set the order by priority
		}
		s.admitted = true
		e.used += s.reservedTokens
		e.cache.shrink(e.cfg.Memory-e.used, e.recordEviction)
		s.cachedTokens = min(Tokens(s.req.Prompt[:e.cache.match(s.blocks)*BlockBytes]), max(s.prefillLeft-1, 0))
		s.prefillLeft -= s.cachedTokens
	}
}

func (e *Engine) prefill() {
	budget := int(float64(e.cfg.PrefillRate) * e.cfg.Step.Seconds())
	for _, s := range e.queue {
		if !s.admitted || s.prefillLeft == 0 || s.finish != "" {
			continue
		}
		group := max(s.req.Group, 1)
		n := min(s.prefillLeft, budget*group)
		s.prefillLeft -= n
		budget -= (n + group - 1) / group
		if s.prefillLeft == 0 {
			e.storeBlocks(s.blocks)
		}
		if budget <= 0 {
			return
		}
	}
}

func (e *Engine) decode(now time.Time) {
	for _, s := range e.queue {
		if !s.admitted || s.prefillLeft > 0 || s.finish != "" {
			continue
		}
		s.produced++
		if s.produced >= s.answerTokens {
			e.end(s, s.finishReason(), now)
		}
	}
}

// end finishes a stream and frees its memory.
func (e *Engine) end(s *stream, reason string, now time.Time) {
	if s.finish != "" {
		return
	}
	s.finish, s.finishedAt = reason, now
	if s.admitted {
		e.used -= s.reservedTokens
	}
}

// expire removes expired holds, and streams that finished more than RetainFinished ago.
func (e *Engine) expire(now time.Time) {
	for id, h := range e.holds {
		if now.After(h.expires) {
			e.release(id)
		}
	}
	for id, s := range e.streams {
		if s.finish != "" && now.Sub(s.finishedAt) > RetainFinished {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) recordReport(now time.Time) {
	e.reports = append(e.reports, e.loadNow(now))
	cutoff := now.Add(-e.cfg.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].Time.After(cutoff) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) loadNow(now time.Time) Load {
	l := Load{
		Time:        now,
		Incarnation: e.incarnation,
		MemoryUsed:  e.used,
		MemoryTotal: e.cfg.Memory,
		Leaving:     e.leaving,
	}
	for _, s := range e.queue {
		if s.admitted {
			l.Running++
		} else {
			l.Queued++
		}
		l.PrefillTokens += s.prefillLeft
	}
	return l
}

// Load returns the newest report that is at least as old as the configured lag, or an
// empty one.
func (e *Engine) Load() (Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return Load{}, fail("load", KindDead, nil)
	}
	now := time.Now()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].Time.After(now.Add(-e.cfg.ReportLag)) {
			l := e.reports[i]
			l.Leaving = e.leaving
			return l, nil
		}
	}
	return Load{Time: now, Incarnation: e.incarnation, MemoryTotal: e.cfg.Memory, Leaving: e.leaving}, nil
}

// MemoryUsed returns the tokens of memory that streams and holds take now.
func (e *Engine) MemoryUsed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used
}
