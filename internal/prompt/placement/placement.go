// Package placement assigns each prompt of an entry to an engine or a group of engines. It
// connects the scheduler's decisions with the load reports of the engines and with the
// calls that hold their memory.
package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/rule"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/size"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	// Bounds of the queued requests.
	maxWaiting      = 4096
	maxWaitingBytes = 512 << 20
	// dispatchInterval is the time between dispatches of queued requests if no other event
	// causes one.
	dispatchInterval = 50 * time.Millisecond
	// maxClockSkew is the largest difference from an engine's clock at which the time in
	// its report is trusted.
	maxClockSkew = 30 * time.Second
)

// Prompt is a request to be placed.
type Prompt struct {
	ID         string
	Workspace  string
	Deployment *resource.Deployment
	Text       string
	Tokens     int // estimated length of Text
	MaxTokens  int
	Seed       uint64
	Deadline   time.Time
}

// Seams are the functions that a placer needs from the rest of the entry. All but View
// may be nil.
type Seams struct {
	View func() *resource.View
	// Slot acquires the slot for a long prefill at an upstream from the peer that grants
	// it. An error means that none was acquired.
	Slot func(ctx context.Context, upstream string, tokens int) (release func(), err error)
	// Cached estimates how many leading blocks of a prompt an upstream has cached.
	Cached func(upstream string, blocks []uint64) int
	// Ran records that an upstream has prefilled the blocks.
	Ran func(upstream string, blocks []uint64)
	// Entries returns the number of live entries that share the engines.
	Entries func() int
	Metrics tally.Scope
}

// Placer places prompts. It is safe for concurrent use.
type Placer struct {
	owner   engine.Owner
	domain  string
	fleet   *fleet.Fleet
	seams   Seams
	log     *log.Logger
	metrics tally.Scope
	sizes   *size.Estimator

	mu      sync.Mutex
	shared  scheduler.Shared
	pools   map[string]*pool         // by deployment
	engines map[string]*model.Engine // by upstream
	ticking bool
}

// pool is the scheduler of a deployment with its latest configuration.
type pool struct {
	*scheduler.Pool
	deployment *resource.Deployment
	engines    map[string]*fleet.Engine
}

// New returns a placer for an entry in the given failure domain. Owner identifies the
// entry to engines.
func New(owner engine.Owner, domain string, f *fleet.Fleet, seams Seams, logger *log.Logger) *Placer {
	p := &Placer{
		owner: owner, domain: domain, fleet: f, seams: seams,
		log: logger.WithPrefix("placement"), metrics: tally.NoopScope, sizes: size.New(),
		shared: scheduler.Shared{
			Bounds: queue.NewBounds(maxWaiting, maxWaitingBytes), Retries: retry.New(), Running: rule.NewCounter(),
		},
		pools: map[string]*pool{}, engines: map[string]*model.Engine{},
	}
	if seams.Metrics != nil {
		p.metrics = seams.Metrics.SubScope("placement")
	}
	return p
}

// Tokens returns the estimated number of tokens of a text for the deployment.
func (p *Placer) Tokens(deployment, text string) int { return p.sizes.Tokens(deployment, text) }

// waiter is a request from its arrival until it is done.
type waiter struct {
	prompt   Prompt
	blocks   []uint64 // of the prompt's text, if Cached is set
	pool     *pool
	ticket   *scheduler.Ticket
	ready    chan struct{}
	attempts int // times that it was assigned engines
}

// Place waits until a prompt may run at an engine and returns the grant. It skips the
// engines whose names are in tried. If ctx ends first, the prompt leaves the queue. An
// error is a refusal: the prompt has not run.
func (p *Placer) Place(ctx context.Context, prompt Prompt, tried map[string]bool) (*Grant, error) {
	w, err := p.submit(prompt, tried)
	for err == nil {
		if err = p.await(ctx, w); err != nil {
			break
		}
		var g *Grant
		if g, err = p.acquire(ctx, w); g != nil {
			p.metrics.Tagged(map[string]string{"class": w.ticket.Class().String()}).Counter("placed").Inc(1)
			return g, nil
		}
	}
	p.count(err)
	return nil, err
}

func (p *Placer) count(err error) {
	kind := "other"
	for _, k := range []Kind{KindNoEngine, KindTooLarge, KindBusy, KindTooLate, KindQueueFull, KindRule, KindRetries, KindCallerGone} {
		if fault.Is(err, k) {
			kind = string(k)
		}
	}
	p.metrics.Tagged(map[string]string{"kind": kind}).Counter("refused").Inc(1)
}

func (p *Placer) submit(prompt Prompt, tried map[string]bool) (*waiter, error) {
	view := p.seams.View()
	dep := prompt.Deployment.Name()
	tokens := prompt.Tokens
	if prompt.Text != "" {
		tokens = p.sizes.Tokens(dep, prompt.Text)
	}
	job := scheduler.Job{
		ID: prompt.ID, Workspace: prompt.Workspace, Tokens: tokens, MaxTokens: prompt.MaxTokens,
		Output: p.sizes.Output(prompt.Workspace, prompt.MaxTokens), Bytes: len(prompt.Text),
		Deadline: prompt.Deadline, Tried: tried,
		Verdict: rule.Evaluate(view.Rules(), prompt.Workspace, dep, tokens),
	}
	if ws := view.Workspace(prompt.Workspace); ws != nil {
		job.Weight = ws.Spec().Weight
	}
	w := &waiter{prompt: prompt, ready: make(chan struct{}, 1)}
	if p.seams.Cached != nil {
		w.blocks = blocks(prompt.Text)
		job.Blocks = w.blocks
	}
	job.Notify = func() { w.ready <- struct{}{} } // called once per wait, so it never blocks
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pool = p.pool(prompt.Deployment)
	var err error
	if w.ticket, err = w.pool.Submit(job); err != nil {
		return nil, err
	}
	if w.ticket.Placed() {
		w.ready <- struct{}{}
	}
	p.scheduleTick()
	return w, nil
}

// await waits until the request is assigned engines, refused or canceled.
func (p *Placer) await(ctx context.Context, w *waiter) error {
	canceled := false
	select {
	case <-w.ready:
	case <-ctx.Done():
		canceled = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if canceled {
		w.pool.Leave(w.ticket)
		w.pool.Dispatch()
	}
	return w.ticket.Err()
}

func (p *Placer) end(w *waiter, out scheduler.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pool.Done(w.ticket, out)
	w.pool.Dispatch()
}

// scheduleTick schedules a dispatch if requests wait. p.mu must be held.
func (p *Placer) scheduleTick() {
	if p.ticking || p.waiting() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(dispatchInterval, p.tick)
}

func (p *Placer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticking = false
	for _, pl := range p.pools {
		pl.Dispatch()
	}
	p.metrics.Gauge("waiting").Update(float64(p.waiting()))
	p.scheduleTick()
}

func (p *Placer) waiting() int { return p.shared.Bounds.Count() }

// pool returns the scheduler of a deployment with the engines of its newest
// configuration. p.mu must be held.
func (p *Placer) pool(d *resource.Deployment) *pool {
	pl := p.pools[d.Name()]
	if pl == nil {
		pl = &pool{}
		pl.Pool = scheduler.New(scheduler.Settings{
			Domain: p.domain, Now: time.Now, Rand: rand.IntN, Cached: p.seams.Cached, Entries: p.seams.Entries,
		}, p.shared)
		p.pools[d.Name()] = pl
	}
	if pl.deployment == d {
		return pl
	}
	pl.deployment = d
	old := pl.engines
	pl.engines = map[string]*fleet.Engine{}
	var engines []*model.Engine
	for _, e := range p.fleet.EnginesOf(d) {
		name := e.Client().Name()
		pl.engines[name] = e
		engines = append(engines, p.engine(e, old[name] != nil && old[name] != e))
	}
	pl.SetEngines(engines)
	return pl
}

// engine returns the model of an engine, a new one if moved is set. p.mu must be held.
func (p *Placer) engine(e *fleet.Engine, moved bool) *model.Engine {
	name, spec := e.Client().Name(), e.Upstream().Spec()
	m := p.engines[name]
	if m == nil || moved {
		m = model.NewEngine(name, spec.FailureDomain, spec.MemoryTokens, spec.PrefillRate, circuit.New(rand.Float64))
		p.engines[name] = m
	}
	m.Configure(spec.FailureDomain, spec.MemoryTokens, spec.PrefillRate)
	m.Source = func() model.Report { return report(e) }
	return m
}

// report returns the newest report of an engine. Its time is by the engine's clock, or
// the time of receipt if the clocks differ too much.
func report(e *fleet.Engine) model.Report {
	l, reported, failures := e.Load()
	at := reported
	if age := reported.Sub(l.Time); age >= 0 && age < maxClockSkew {
		at = l.Time
	}
	return model.Report{
		At: at, Running: l.Running, Queued: l.Queued, PrefillTokens: l.PrefillTokens,
		MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal, Leaving: l.Leaving, Failures: failures,
	}
}
