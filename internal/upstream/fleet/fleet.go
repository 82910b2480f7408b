// Package fleet keeps a client and the newest load report of each model engine
// that the configuration names. The owner of an engine polls it and tells the
// other entries; they poll only what nobody tells them about.
package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	tick        = 200 * time.Millisecond
	pollWorkers = 16
	pollQueue   = 1024
	// An owner polls often enough that a leaving engine is told within 3 seconds.
	ownEvery = 2 * time.Second
	// staleAfter is how long nobody tells of an engine until others poll it, too.
	staleAfter    = 20 * time.Second
	strangerEvery = 10 * time.Second
	// retryEvery follows a failed poll until the engine counts as dead.
	retryEvery    = 250 * time.Millisecond
	strangerRate  = 4.0 // polls a second of engines that others own
	strangerBurst = 32.0
	// pollBytes stands for the bytes of a poll both ways.
	pollBytes = 400
	deadPolls = 3 // failed polls in a row
	// confirmLimit bounds the poll of an engine that a prompt waits for.
	confirmLimit = 500 * time.Millisecond
	maxLoads     = 32
	thousand     = 1000
	loadSteps    = 16 // memory in use is told in such parts
	prefillStep  = 4  // thousands of tokens
)

// Seams are what a fleet asks of the rest of the entry.
type Seams struct {
	View func() *resource.View
	// Owns reports whether this entry is the owner of an upstream.
	Owns func(upstream string) bool
	// Loads returns what other entries tell of their engines.
	Loads func() []*memberwire.Report
	// State returns what is known of an upstream's leaving or death.
	State func(upstream string) membership.State
	// SetState tells what the owner saw.
	SetState func(upstream string, state membership.State)
}

// Engine is a model engine and what is known of it.
type Engine struct {
	client *engine.Client
	hash   uint32

	mu       sync.Mutex
	upstream *resource.Upstream
	load     engine.Load
	reported time.Time // zero where no report came yet
	heard    time.Time // when the report was last known to be the newest
	failures int       // polls that failed since the last good one
	due      time.Time // of the next poll
	polled   bool      // the report is of a poll
	teller   string    // VM and version of the report that told the load
	version  uint32
	state    membership.State // as others tell it
	prefixes prefixes
}

func newEngine(network *netio.Network, u *resource.Upstream) *Engine {
	return &Engine{
		client: engine.NewClient(network, u.Name(), u.Spec().Address), hash: hash(u.Name()), state: membership.StateLive,
	}
}

func hash(name string) uint32 { return uint32(xxh3.HashString(name)) }

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

// Load returns the newest load report, when it came, and how many polls failed
// since. Of an engine that another entry polls, leaving and death are as told.
func (e *Engine) Load() (l engine.Load, reported time.Time, failures int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, failures = e.load, e.failures
	switch e.state {
	case membership.StateLeaving:
		l.Leaving = true
	case membership.StateSuspect, membership.StateGone:
		failures = max(failures, deadPolls)
	case membership.StateLive:
	}
	return l, e.reported, failures
}

func (e *Engine) poll(ctx context.Context) {
	l, err := e.client.Load(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.failures++
		return
	}
	now := time.Now()
	e.load, e.reported, e.heard, e.failures, e.polled = l, now, now, 0, true
}

// Kind classifies the errors of this package.
type Kind string

// KindUnfit is the kind of an engine that is leaving or can't be reached.
const KindUnfit Kind = "unfit"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("fleet")

// Confirm polls the engine where its newest report is older than fresh. It returns
// an error of KindUnfit where the engine is leaving or does not answer.
func (e *Engine) Confirm(ctx context.Context, fresh time.Duration) error {
	if _, reported, _ := e.Load(); time.Since(reported) > fresh {
		ctx, cancel := context.WithTimeout(ctx, confirmLimit)
		defer cancel()
		e.poll(ctx)
	}
	l, _, failures := e.Load()
	switch {
	case l.Leaving:
		return fault.New(&class, "confirm", KindUnfit, errLeaving)
	case failures > 0:
		return fault.New(&class, "confirm", KindUnfit, errSilent)
	default:
		return nil
	}
}

var (
	errLeaving = errors.New("it is leaving")
	errSilent  = errors.New("it does not answer")
)

// seen returns what a poll showed of the engine.
func (e *Engine) seen() membership.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.failures >= deadPolls:
		return membership.StateSuspect
	case e.load.Leaving:
		return membership.StateLeaving
	default:
		return membership.StateLive
	}
}

// tell takes in a load that another entry saw.
func (e *Engine) tell(vm string, version uint32, l *memberwire.Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = now
	if e.teller == vm && e.version == version {
		return // a load that has not changed is not told anew
	}
	e.teller, e.version, e.polled = vm, version, false
	e.load = engine.Load{
		Time: now, Incarnation: e.load.Incarnation,
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), PrefillTokens: int(l.GetPrefillK()) * thousand,
		MemoryUsed: int(l.GetUsedK()) * thousand, MemoryTotal: int(l.GetTotalK()) * thousand,
	}
	e.reported, e.failures = now, 0
}

// wire returns the load as the others are told it, in coarse steps so that it
// changes seldom.
func (e *Engine) wire() *memberwire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.polled || e.failures > 0 {
		return nil
	}
	l := e.load
	part := max(1, l.MemoryTotal/thousand/loadSteps)
	return &memberwire.Load{
		Upstream: e.hash, Queued: uint32(l.Queued), Running: uint32(l.Running),
		PrefillK: uint32((l.PrefillTokens/thousand + prefillStep - 1) / prefillStep * prefillStep),
		UsedK:    uint32((l.MemoryUsed/thousand + part - 1) / part * part), TotalK: uint32(l.MemoryTotal / thousand),
	}
}

// Fleet follows the configuration's engines. Its methods may be called from any goroutine.
type Fleet struct {
	network *netio.Network
	seams   Seams
	log     *log.Logger
	pool    *work.Pool
	done    chan struct{}
	stop    context.CancelFunc
	polls   atomic.Int64

	mu        sync.Mutex
	engines   map[string]*Engine
	strangers float64 // polls of engines of other owners that may be made
	ticked    time.Time
}

// New starts a fleet. Close ends it.
func New(network *netio.Network, seams Seams, logger *log.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		network:   network,
		seams:     seams,
		log:       logger.WithPrefix("fleet"),
		pool:      work.New(pollWorkers, pollQueue),
		done:      make(chan struct{}),
		stop:      cancel,
		engines:   map[string]*Engine{},
		strangers: strangerBurst,
		ticked:    time.Now(),
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

// Spent returns the bytes spent on polls.
func (f *Fleet) Spent() int64 { return f.polls.Load() * pollBytes }

// engine returns the engine of an upstream and makes it where it is new or has moved.
func (f *Fleet) engine(u *resource.Upstream) *Engine {
	e := f.engines[u.Name()]
	if e == nil || e.client.Addr() != u.Spec().Address {
		e = newEngine(f.network, u)
		f.engines[u.Name()] = e
	}
	e.configure(u)
	return e
}

func (f *Fleet) run(ctx context.Context) {
	defer close(f.done)
	for {
		f.round(ctx)
		select {
		case <-time.After(tick/2 + rand.N(tick)):
		case <-ctx.Done():
			return
		}
	}
}

// round polls the engines that are due and takes in what others tell.
func (f *Fleet) round(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	f.strangers = min(strangerBurst, f.strangers+strangerRate*now.Sub(f.ticked).Seconds())
	f.ticked = now
	named := map[string]*Engine{}
	for _, u := range f.seams.View().Upstreams() {
		if len(u.Spec().Deployments) > 0 {
			named[u.Name()] = f.engine(u)
		}
	}
	for name := range f.engines {
		if named[name] == nil {
			delete(f.engines, name)
		}
	}
	f.mu.Unlock()
	f.listen(named, now)
	for name, e := range named {
		f.visit(ctx, name, e, now)
	}
}

// listen takes in what other entries tell of the engines.
func (f *Fleet) listen(named map[string]*Engine, now time.Time) {
	byHash := make(map[uint32]*Engine, len(named))
	for name, e := range named {
		byHash[e.hash] = e
		state := f.seams.State(name)
		e.mu.Lock()
		e.state = state
		e.mu.Unlock()
	}
	for _, r := range f.seams.Loads() {
		for _, l := range r.GetLoads() {
			if e := byHash[l.GetUpstream()]; e != nil && !f.seams.Owns(e.client.Name()) {
				e.tell(r.GetVm(), r.GetVersion(), l, now)
			}
		}
		for _, p := range r.GetPrefixes() {
			if e := byHash[p.GetUpstream()]; e != nil {
				e.learn(p.GetPrefix(), now)
			}
		}
	}
}

// visit polls an engine that is due.
func (f *Fleet) visit(ctx context.Context, name string, e *Engine, now time.Time) {
	owns := f.seams.Owns(name)
	if !e.ready(owns, now) || !owns && !f.mayVisit() {
		return
	}
	e.plan(owns, now)
	_ = f.pool.Go(func() { // a full queue skips a poll
		f.polls.Add(1)
		e.poll(ctx)
		if owns && ctx.Err() == nil {
			f.seams.SetState(name, e.seen())
		}
	})
}

// ready reports whether the engine is due for a poll: at its owner always in
// time, elsewhere where nobody tells of it.
func (e *Engine) ready(owns bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.due) && (owns || now.Sub(e.heard) >= staleAfter)
}

// plan sets the time of the next poll.
func (e *Engine) plan(owns bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	every := strangerEvery
	if owns {
		every = ownEvery
	}
	if owns && e.failures > 0 && e.failures < deadPolls {
		every = retryEvery
	}
	e.due = now.Add(every - every/10 - rand.N(every/10))
}

// mayVisit takes a poll of an engine that another entry owns from their rate.
func (f *Fleet) mayVisit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.strangers < 1 {
		return false
	}
	f.strangers--
	return true
}

// Report fills in the loads of the engines that this entry owns, and while many
// bytes are left the prefixes with most hits.
func (f *Fleet) Report(r *memberwire.Report, left int) {
	f.mu.Lock()
	engines := f.sorted()
	f.mu.Unlock()
	for _, e := range engines {
		if left <= 0 || len(r.GetLoads()) >= maxLoads {
			return
		}
		if !f.seams.Owns(e.client.Name()) {
			continue
		}
		if l := e.wire(); l != nil {
			r.Loads = append(r.Loads, l)
		}
	}
	if left > prefixLeft {
		r.Prefixes = topPrefixes(engines)
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
	for _, u := range f.seams.View().Upstreams() {
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
