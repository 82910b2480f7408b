// Package fleet keeps a client and the newest load report of each model engine
// that the configuration names.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	pollEvery   = time.Second
	pollWorkers = 16
	pollQueue   = 1024
)

// Engine is a model engine and what is known of it.
type Engine struct {
	client *engine.Client

	mu       sync.Mutex
	upstream *resource.Upstream
	load     engine.Load
	reported time.Time // zero where no report came yet
	failures int       // polls that failed since the last good one
}

// Client returns the engine's client.
func (e *Engine) Client() *engine.Client { return e.client }

// Upstream returns the engine's configuration.
func (e *Engine) Upstream() *resource.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstream
}

func (e *Engine) configure(u *resource.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.upstream = u
}

// Load returns the newest load report, when it came, and how many polls failed since.
func (e *Engine) Load() (l engine.Load, reported time.Time, failures int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load, e.reported, e.failures
}

func (e *Engine) poll(ctx context.Context) {
	l, err := e.client.Load(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.failures++
		return
	}
	e.load, e.reported, e.failures = l, time.Now(), 0
}

// Fleet follows the configuration's engines. Its methods may be called from any goroutine.
type Fleet struct {
	network *netio.Network
	view    func() *resource.View
	log     *log.Logger
	pool    *work.Pool
	done    chan struct{}
	stop    context.CancelFunc

	mu      sync.Mutex
	engines map[string]*Engine
}

// New starts a fleet over the view. Close ends it.
func New(network *netio.Network, view func() *resource.View, logger *log.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		network: network,
		view:    view,
		log:     logger.WithPrefix("fleet"),
		pool:    work.New(pollWorkers, pollQueue),
		done:    make(chan struct{}),
		stop:    cancel,
		engines: map[string]*Engine{},
	}
	go f.run(ctx)
	return f
}

// Close ends the fleet and waits for its polls.
func (f *Fleet) Close() {
	f.stop()
	<-f.done
	f.pool.Close()
}

// Of returns the engines that serve the deployment in the current view, by name.
func (f *Fleet) Of(d *resource.Deployment) []*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Engine, 0, len(d.Engines()))
	for _, u := range d.Engines() {
		out = append(out, f.engine(u))
	}
	return out
}

// Engine returns the engine of the upstream's name, or nil where it was never configured.
func (f *Fleet) Engine(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// engine returns the engine of an upstream and makes it where it is new or has moved.
func (f *Fleet) engine(u *resource.Upstream) *Engine {
	e := f.engines[u.Name()]
	if e == nil || e.client.Addr() != u.Spec().Address {
		e = &Engine{client: engine.NewClient(f.network, u.Name(), u.Spec().Address)}
		f.engines[u.Name()] = e
	}
	e.configure(u)
	return e
}

func (f *Fleet) run(ctx context.Context) {
	defer close(f.done)
	for {
		f.pollAll(ctx)
		select {
		case <-time.After(pollEvery/2 + rand.N(pollEvery)):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) pollAll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := map[string]bool{}
	for _, u := range f.view().Upstreams() {
		if len(u.Spec().Deployments) == 0 {
			continue
		}
		named[u.Name()] = true
		e := f.engine(u)
		_ = f.pool.Go(func() { e.poll(ctx) }) // a full queue skips a poll
	}
	for name := range f.engines {
		if !named[name] {
			delete(f.engines, name)
		}
	}
}

// EngineState is an engine's part of the state dump.
type EngineState struct {
	Name          string      `json:"name"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failureDomain"`
	Load          engine.Load `json:"load"`
	ReportAgeMS   int64       `json:"reportAgeMs"` // -1 where no report came yet
	Failures      int         `json:"failures"`
}

// State returns the fleet's part of the state dump.
func (f *Fleet) State() []EngineState {
	out := []EngineState{}
	for _, u := range f.view().Upstreams() {
		e := f.Engine(u.Name())
		if e == nil {
			continue
		}
		l, reported, failures := e.Load()
		st := EngineState{
			Name: u.Name(), Address: u.Spec().Address, FailureDomain: u.Spec().FailureDomain,
			Load: l, ReportAgeMS: -1, Failures: failures,
		}
		if !reported.IsZero() {
			st.ReportAgeMS = time.Since(reported).Milliseconds()
		}
		out = append(out, st)
	}
	return out
}
