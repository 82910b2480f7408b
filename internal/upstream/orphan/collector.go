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
	collectEvery   = 2 * time.Second
	collectWorkers = 8
	collectTimeout = 10 * time.Second // for one engine
	// Grace is how long a stream without an entry goes on, so that its caller can
	// resume it at another entry.
	Grace = 10 * time.Second
	// deadlineGrace covers the difference between the clocks of two entries.
	deadlineGrace = 30 * time.Second
	maxSuspects   = 65536 // per engine
)

// Engine is a model engine as the collection sees it.
type Engine struct {
	Name    string
	Streams func(ctx context.Context) ([]engine.StreamInfo, error)
	Holds   func(ctx context.Context) ([]engine.HoldInfo, error)
	Cancel  func(ctx context.Context, stream string) error
	Release func(ctx context.Context, hold string) error
}

// FromClient returns the engine of a client.
func FromClient(c *engine.Client) Engine {
	return Engine{Name: c.Name(), Streams: c.Streams, Holds: c.Holds, Cancel: c.Cancel, Release: c.Release}
}

// Seams are what the collection asks of the rest of the entry.
type Seams struct {
	Self    engine.Owner
	Engines func() []Engine
	// Serving returns the streams that this entry reads.
	Serving func() map[string]bool
	// Owns reports whether this entry looks after the engine. Where it is nil every
	// entry looks after every engine, which is safe and costs more calls.
	Owns func(upstream string) bool
	// OwnerGone reports whether an incarnation of an entry is known to be gone.
	// Where it is nil none is, and its streams end with their time limits.
	OwnerGone func(vm string, incarnation uint64) bool
	now       func() time.Time
}

// Collector cancels the streams and releases the holds that no entry owns. Any
// number of collectors may look after one engine: they decide by what the engine
// lists, and a cancel may be repeated.
type Collector struct {
	seams   Seams
	log     *log.Logger
	metrics tally.Scope
	stop    context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	suspects map[string]map[string]time.Time // engine, stream or hold: since when
	state    State
}

// State is the collection's part of the state dump.
type State struct {
	Owned     int   `json:"owned"`    // engines looked after in the last round
	Suspects  int   `json:"suspects"` // streams and holds within the grace
	Cancelled int64 `json:"cancelled"`
	Released  int64 `json:"released"`
	Failed    int64 `json:"failed"` // engines that could not be asked, or cancels without an answer
}

// NewCollector returns a collector. Run starts it.
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

// Run starts the rounds. Close ends them.
func (c *Collector) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() {
		defer close(c.done)
		for {
			select {
			case <-time.After(collectEvery/2 + rand.N(collectEvery)):
			case <-ctx.Done():
				return
			}
			c.Round(ctx)
		}
	}()
}

// Close ends the rounds and waits for the one under way.
func (c *Collector) Close() {
	c.stop()
	<-c.done
}

// Round looks at each engine once.
func (c *Collector) Round(ctx context.Context) {
	engines := c.seams.Engines()
	pool := work.New(collectWorkers, len(engines))
	n := 0
	named := map[string]bool{}
	for _, e := range engines {
		if !c.seams.Owns(e.Name) {
			continue
		}
		n++
		named[e.Name] = true
		_ = pool.Go(func() { c.collect(ctx, e) }) // the queue has a place for each
	}
	pool.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Owned = n
	for name := range c.suspects {
		if !named[name] {
			delete(c.suspects, name)
		}
	}
}

// collect looks at one engine. The streams are listed before the holds that save
// them, and before what this entry reads: what is new meanwhile is saved.
func (c *Collector) collect(ctx context.Context, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	streams, err := e.Streams(ctx)
	if err != nil {
		c.fail()
		return
	}
	holds, err := e.Holds(ctx)
	if err != nil {
		c.fail()
		return
	}
	serving := c.seams.Serving()
	seen := map[string]bool{}
	for _, s := range streams {
		if s.Finish != "" || !c.orphaned(s, holds, serving) {
			continue
		}
		seen[s.Stream] = true
		if c.due(e.Name, s.Stream) {
			c.end(ctx, e.Cancel, s.Stream, &c.state.Cancelled)
		}
	}
	for _, h := range holds {
		if !c.gone(h.Owner) {
			continue
		}
		seen[h.Hold] = true
		if c.due(e.Name, h.Hold) {
			c.end(ctx, e.Release, h.Hold, &c.state.Released)
		}
	}
	c.forget(e.Name, seen)
}

// orphaned reports whether no entry is known to serve a stream.
func (c *Collector) orphaned(s engine.StreamInfo, holds []engine.HoldInfo, serving map[string]bool) bool {
	if serving[s.Stream] {
		return false
	}
	if d, ok := deadline(s.Stream); ok && c.seams.now().After(d.Add(deadlineGrace)) {
		return true
	}
	for _, h := range holds {
		if servedBy(h, s.Stream) && h.Owner != c.seams.Self && !c.gone(h.Owner) {
			return false
		}
	}
	return s.Owner == c.seams.Self || c.gone(s.Owner)
}

// gone reports whether an owner is no more. An entry knows this of the earlier
// incarnations of its own VM.
func (c *Collector) gone(o engine.Owner) bool {
	if o.VM == "" {
		return false
	}
	if o.VM == c.seams.Self.VM {
		return o.Incarnation < c.seams.Self.Incarnation
	}
	return c.seams.OwnerGone(o.VM, o.Incarnation)
}

// due notes a suspect and reports whether its grace has ended.
func (c *Collector) due(engine, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.suspects[engine]
	if m == nil {
		m = map[string]time.Time{}
		c.suspects[engine] = m
	}
	now := c.seams.now()
	since, ok := m[id]
	if !ok && len(m) < maxSuspects {
		m[id] = now
	}
	return ok && now.Sub(since) >= Grace
}

// forget drops the suspects that are none any more.
func (c *Collector) forget(engine string, seen map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.suspects[engine] {
		if !seen[id] {
			delete(c.suspects[engine], id)
		}
	}
}

func (c *Collector) end(ctx context.Context, call func(context.Context, string) error, id string, count *int64) {
	if err := call(ctx, id); err != nil {
		c.fail() // the next round tries again
		return
	}
	c.log.Info("Ended what no entry owns.", "id", id)
	c.metrics.Counter("ended").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	*count++
}

func (c *Collector) fail() {
	c.metrics.Counter("failed").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Failed++
}

// State returns the collection's part of the state dump.
func (c *Collector) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state
	for _, m := range c.suspects {
		st.Suspects += len(m)
	}
	return st
}

// Served reports whether an entry other than self holds the sign that it serves a
// stream which it did not open.
func Served(holds []engine.HoldInfo, stream string, self engine.Owner) bool {
	for _, h := range holds {
		if servedBy(h, stream) && h.Owner != self {
			return true
		}
	}
	return false
}

func servedBy(h engine.HoldInfo, stream string) bool {
	rest, ok := strings.CutPrefix(h.Hold, holdStart+stream)
	return ok && strings.HasPrefix(rest, separator)
}
