package orphan

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	roundInterval = 2 * time.Second // mean time between rounds
	roundWorkers  = 8
	engineTimeout = 10 * time.Second // per engine
	// Grace is how long an orphaned stream keeps running, so that its caller can resume
	// it at another entry.
	Grace = 10 * time.Second
	// deadlineGrace tolerates clock differences between entries.
	deadlineGrace        = 30 * time.Second
	maxSuspectsPerEngine = 65536
)

// Engine is the part of a model engine's client that a collector uses.
type Engine struct {
	Name    string
	Streams func(ctx context.Context) ([]engine.StreamInfo, error)
	Holds   func(ctx context.Context) ([]engine.HoldInfo, error)
	Cancel  func(ctx context.Context, stream string) error
	Release func(ctx context.Context, hold string) error
}

// FromClient returns the Engine that calls c.
func FromClient(c *engine.Client) Engine {
	return Engine{Name: c.Name(), Streams: c.Streams, Holds: c.Holds, Cancel: c.Cancel, Release: c.Release}
}

// Seams are the functions that a collector calls in the rest of the entry.
type Seams struct {
	Self    engine.Owner
	Engines func() []Engine
	// Serving returns the ids of the streams that this entry is reading.
	Serving func() map[string]bool
	// Owns reports whether this entry collects orphans of the engine. If nil, every entry
	// does so for every engine, which is safe but costs more calls.
	Owns func(upstream string) bool
	// OwnerGone reports whether an incarnation of an entry is known to be gone. If nil,
	// no owner on another VM counts as gone, and its streams end at their deadlines.
	OwnerGone func(vm string, incarnation uint64) bool
	now       func() time.Time
}

// Collector cancels orphaned streams and releases orphaned holds, which are those that no
// live entry owns. Several collectors may process the same engine: they decide by what the
// engine lists, and cancels are idempotent.
type Collector struct {
	seams   Seams
	log     *log.Logger
	metrics tally.Scope
	stop    context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	suspects map[string]map[string]time.Time // time first seen, by engine and by stream or hold id
	state    State
}

// State is the collector's section of the state dump.
type State struct {
	Owned     int   `json:"owned"`    // engines processed in the last round
	Suspects  int   `json:"suspects"` // orphaned streams and holds within their grace period
	Cancelled int64 `json:"cancelled"`
	Released  int64 `json:"released"`
	Failed    int64 `json:"failed"` // failed calls to engines
}

// NewCollector returns a collector, which Run starts.
func NewCollector(seams Seams, metrics tally.Scope, logger *log.Logger) *Collector {
	if seams.Owns == nil {
		seams.Owns = func(string) bool { return true }
	}
	if seams.OwnerGone == nil {
		seams.OwnerGone = func(string, uint64) bool { return false }
	}
	if seams.now == nil {
		seams.now = time.Now
	}
	return &Collector{
		seams: seams, log: logger.WithPrefix("orphan"), metrics: metrics.SubScope("orphan"),
		done: make(chan struct{}), suspects: map[string]map[string]time.Time{},
	}
}

// Run starts periodic rounds in the background. Close stops them.
func (c *Collector) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() {
		defer close(c.done)
		for {
			select {
			case <-time.After(roundInterval/2 + rand.N(roundInterval)):
			case <-ctx.Done():
				return
			}
			c.Round(ctx)
		}
	}()
}

// Close stops the rounds and waits for a running one.
func (c *Collector) Close() {
	c.stop()
	<-c.done
}

// Round processes each engine that this entry owns once.
func (c *Collector) Round(ctx context.Context) {
	engines := c.seams.Engines()
	pool := work.New(roundWorkers, len(engines))
	n := 0
	owned := map[string]bool{}
	for _, e := range engines {
		if !c.seams.Owns(e.Name) {
			continue
		}
		n++
		owned[e.Name] = true
		_ = pool.Go(func() { c.collect(ctx, e) }) // the queue has room for all engines
	}
	pool.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Owned = n
	for name := range c.suspects {
		if !owned[name] {
			delete(c.suspects, name)
		}
	}
}

// collect processes one engine. It lists the streams before the holds and before the
// streams that this entry reads. In that order a stream that is taken over meanwhile is
// never mistaken for an orphan.
func (c *Collector) collect(ctx context.Context, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	streams, err := e.Streams(ctx)
	if err != nil {
		c.countFailure()
		return
	}
	holds, err := e.Holds(ctx)
	if err != nil {
		c.countFailure()
		return
	}
	serving := c.seams.Serving()
	seen := map[string]bool{}
	for _, s := range streams {
		if s.Finish != "" || !c.orphaned(s, holds, serving) {
			continue
		}
		seen[s.Stream] = true
		if c.graceEnded(e.Name, s.Stream) {
			c.endOrphan(ctx, e.Cancel, s.Stream, &c.state.Cancelled)
		}
	}
	for _, h := range holds {
		if !c.ownerGone(h.Owner) {
			continue
		}
		seen[h.Hold] = true
		if c.graceEnded(e.Name, h.Hold) {
			c.endOrphan(ctx, e.Release, h.Hold, &c.state.Released)
		}
	}
	c.dropUnseen(e.Name, seen)
}

// orphaned reports whether a stream is past its deadline or has no live entry that serves
// it.
func (c *Collector) orphaned(s engine.StreamInfo, holds []engine.HoldInfo, serving map[string]bool) bool {
	if serving[s.Stream] {
		return false
	}
	if d, ok := deadline(s.Stream); ok && c.seams.now().After(d.Add(deadlineGrace)) {
		return true
	}
	for _, h := range holds {
		if isResumeHold(h, s.Stream) && h.Owner != c.seams.Self && !c.ownerGone(h.Owner) {
			return false
		}
	}
	return s.Owner == c.seams.Self || c.ownerGone(s.Owner)
}

// ownerGone reports whether an owner is gone. Earlier incarnations on this entry's own VM
// always are.
func (c *Collector) ownerGone(o engine.Owner) bool {
	if o.VM == "" {
		return false
	}
	if o.VM == c.seams.Self.VM {
		return o.Incarnation < c.seams.Self.Incarnation
	}
	return c.seams.OwnerGone(o.VM, o.Incarnation)
}

// graceEnded records a suspect and reports whether its grace period has ended.
func (c *Collector) graceEnded(engine, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.suspects[engine]
	if m == nil {
		m = map[string]time.Time{}
		c.suspects[engine] = m
	}
	now := c.seams.now()
	since, ok := m[id]
	if !ok && len(m) < maxSuspectsPerEngine {
		m[id] = now
	}
	return ok && now.Sub(since) >= Grace
}

// dropUnseen drops the engine's suspects that were not seen in this round.
func (c *Collector) dropUnseen(engine string, seen map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.suspects[engine] {
		if !seen[id] {
			delete(c.suspects[engine], id)
		}
	}
}

// endOrphan cancels a stream or releases a hold, and counts the result.
func (c *Collector) endOrphan(ctx context.Context, call func(context.Context, string) error, id string, count *int64) {
	if err := call(ctx, id); err != nil {
		c.countFailure() // the next round retries
		return
	}
	c.log.Info("Ended an orphaned stream or hold.", "id", id)
	c.metrics.Counter("ended").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	*count++
}

// countFailure counts a failed call.
func (c *Collector) countFailure() {
	c.metrics.Counter("failed").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Failed++
}

// State returns the collector's section of the state dump.
func (c *Collector) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state
	for _, m := range c.suspects {
		st.Suspects += len(m)
	}
	return st
}

// ServedByOther reports whether an entry other than self has a hold, named by ResumeHoldID,
// that shows that it serves the stream.
func ServedByOther(holds []engine.HoldInfo, stream string, self engine.Owner) bool {
	for _, h := range holds {
		if isResumeHold(h, stream) && h.Owner != self {
			return true
		}
	}
	return false
}

// isResumeHold reports whether the hold is one by which an entry shows that it serves the
// stream.
func isResumeHold(h engine.HoldInfo, stream string) bool {
	rest, ok := strings.CutPrefix(h.Hold, resumeHoldPrefix+stream)
	return ok && strings.HasPrefix(rest, separator)
}
