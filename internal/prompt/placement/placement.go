// Package placement gives each prompt of an entry its engine, or its group of
// engines: it joins the decisions of the scheduler with what the entry knows of
// the engines and with the calls that hold their memory.
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
	// Bounds of the requests that wait.
	maxWaiting      = 4096
	maxWaitingBytes = 512 << 20
	// dispatchEvery is how often what waits is looked at where nothing changes.
	dispatchEvery = 50 * time.Millisecond
	// maxSkew is the largest difference of an engine's clock that is believed.
	maxSkew = 30 * time.Second
)

// Prompt is a request to place.
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

// Seams are what a placer asks of the rest of the entry. All but View may be nil.
type Seams struct {
	View func() *resource.View
	// Slot takes the right to run a long prefill at an upstream from whoever
	// grants it. An error means that the upstream has none free.
	Slot func(ctx context.Context, upstream string, tokens int) (release func(), err error)
	// Cached returns how many leading blocks an upstream probably has cached.
	Cached func(upstream string, blocks []uint64) int
	// Ran notes that an upstream has prefilled the blocks.
	Ran func(upstream string, blocks []uint64)
	// Entries returns how many live entries share the engines.
	Entries func() int
	Metrics tally.Scope
}

// Placer places prompts. Its methods may be called from any goroutine.
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

// pool is the scheduler of a deployment as it was configured last.
type pool struct {
	*scheduler.Pool
	deployment *resource.Deployment
	engines    map[string]*fleet.Engine
}

// New returns a placer for the entry of the owner in the failure domain.
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

// Tokens returns the number of tokens that a text probably has for the deployment.
func (p *Placer) Tokens(deployment, text string) int { return p.sizes.Tokens(deployment, text) }

// waiter is a request between its arrival and its grant.
type waiter struct {
	prompt Prompt
	blocks []uint64 // of the prompt's text, where somebody asks for them
	pool   *pool
	ticket *scheduler.Ticket
	ready  chan struct{}
	takes  int // times that it was given engines
}

// Place returns the right to run a prompt at an engine that is not among the
// tried ones, by name. It may wait. Where the context ends before, the place in
// the queue is given up. An error is a refusal: nothing ran.
func (p *Placer) Place(ctx context.Context, pr Prompt, tried map[string]bool) (*Grant, error) {
	w, err := p.submit(pr, tried)
	for err == nil {
		if err = p.await(ctx, w); err != nil {
			break
		}
		var g *Grant
		if g, err = p.take(ctx, w); g != nil {
			p.metrics.Tagged(map[string]string{"class": w.ticket.Class().String()}).Counter("placed").Inc(1)
			return g, nil
		}
	}
	p.count(err)
	return nil, err
}

func (p *Placer) count(err error) {
	kind := "other"
	for _, k := range []Kind{KindNoEngine, KindTooLarge, KindBusy, KindTooLate, KindQueueFull, KindRule, KindRetries, KindGone} {
		if fault.Is(err, k) {
			kind = string(k)
		}
	}
	p.metrics.Tagged(map[string]string{"kind": kind}).Counter("refused").Inc(1)
}

func (p *Placer) submit(pr Prompt, tried map[string]bool) (*waiter, error) {
	view := p.seams.View()
	dep := pr.Deployment.Name()
	tokens := pr.Tokens
	if pr.Text != "" {
		tokens = p.sizes.Tokens(dep, pr.Text)
	}
	job := scheduler.Job{
		ID: pr.ID, Workspace: pr.Workspace, Tokens: tokens, MaxTokens: pr.MaxTokens,
		Output: p.sizes.Output(pr.Workspace, pr.MaxTokens), Bytes: len(pr.Text),
		Deadline: pr.Deadline, Tried: tried,
		Verdict: rule.Judge(view.Rules(), pr.Workspace, dep, tokens),
	}
	if ws := view.Workspace(pr.Workspace); ws != nil {
		job.Weight = ws.Spec().Weight
	}
	w := &waiter{prompt: pr, ready: make(chan struct{}, 1)}
	if p.seams.Cached != nil {
		w.blocks = blocks(pr.Text)
		job.Blocks = w.blocks
	}
	job.Notify = func() { w.ready <- struct{}{} } // once for each wait: never blocks
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pool = p.pool(pr.Deployment)
	var err error
	if w.ticket, err = w.pool.Submit(job); err != nil {
		return nil, err
	}
	if w.ticket.Placed() {
		w.ready <- struct{}{}
	}
	p.tickLater()
	return w, nil
}

// await waits until the request is given engines or refused.
func (p *Placer) await(ctx context.Context, w *waiter) error {
	left := false
	select {
	case <-w.ready:
	case <-ctx.Done():
		left = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if left {
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

// tickLater looks again at what waits after a while. The lock is held.
func (p *Placer) tickLater() {
	if p.ticking || p.waiting() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(dispatchEvery, p.tick)
}

func (p *Placer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticking = false
	for _, pl := range p.pools {
		pl.Dispatch()
	}
	p.metrics.Gauge("waiting").Update(float64(p.waiting()))
	p.tickLater()
}

func (p *Placer) waiting() int { return p.shared.Bounds.Count() }

// pool returns the scheduler of a deployment, with the engines of its newest
// configuration. The lock is held.
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

// engine returns the model of an engine, a new one where the engine has moved.
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

// report returns an engine's newest report. Its time is the engine's own where
// the clocks agree.
func report(e *fleet.Engine) model.Report {
	l, reported, failures := e.Load()
	at := reported
	if age := reported.Sub(l.Time); age >= 0 && age < maxSkew {
		at = l.Time
	}
	return model.Report{
		At: at, Running: l.Running, Queued: l.Queued, PrefillTokens: l.PrefillTokens,
		MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal, Leaving: l.Leaving, Failures: failures,
	}
}
