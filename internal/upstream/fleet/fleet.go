// Package fleet keeps a client and the newest load report of each configured model
// engine. The owner of an engine polls it and reports its load to the other entries,
// which poll the engine themselves only when reports are missing.
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
	tickInterval = 200 * time.Millisecond
	pollWorkers  = 16
	pollQueue    = 1024
	// ownedPollInterval is short enough that a leaving engine is reported within 3 seconds.
	ownedPollInterval = 2 * time.Second
	// staleAfter is the time without reports of an engine after which entries that don't
	// own it poll it, too.
	staleAfter          = 20 * time.Second
	unownedPollInterval = 10 * time.Second
	// retryInterval is the poll interval after a failure, until the engine counts as dead.
	retryInterval    = 250 * time.Millisecond
	unownedPollRate  = 4.0 // polls per second of engines that other entries own
	unownedPollBurst = 32.0
	// bytesPerPoll is the estimated size of a poll's request and response, in bytes.
	bytesPerPoll      = 400
	deadAfterFailures = 3 // consecutive failed polls
	// confirmTimeout bounds a poll that a prompt waits for.
	confirmTimeout = 500 * time.Millisecond
	maxLoads       = 32 // per report
	tokensPerK     = 1000
	memorySteps    = 16 // used memory is reported in steps of this fraction of the total
	prefillStepK   = 4  // thousands of tokens
)

// Seams are the functions that a fleet calls in the rest of the entry.
type Seams struct {
	View func() *resource.View
	// Owns reports whether this entry is the owner of an upstream.
	Owns func(upstream string) bool
	// Loads returns the reports of other entries on the engines that they own.
	Loads func() []*memberwire.Report
	// State returns the membership state of an upstream.
	State func(upstream string) membership.State
	// SetState publishes the state that this entry, as the owner, observed.
	SetState func(upstream string, state membership.State)
}

// Engine is a model engine with its newest load report. It is safe for concurrent use.
type Engine struct {
	client *engine.Client
	hash   uint32

	mu        sync.Mutex
	upstream  *resource.Upstream
	load      engine.Load
	reported  time.Time // zero before the first report
	confirmed time.Time // when the report was last confirmed as the newest
	failures  int       // failed polls since the last successful one
	nextPoll  time.Time // time of the next poll
	polled    bool      // the load comes from a poll by this entry
	reporter  string    // VM that reported the load, with the version of its report
	version   uint32
	state     membership.State // as reported by the owner
	prefixes  prefixes
}

func newEngine(network *netio.Network, u *resource.Upstream) *Engine {
	return &Engine{
		client: engine.NewClient(network, u.Name(), u.Spec().Address), hash: hash(u.Name()), state: membership.StateLive,
	}
}

func hash(name string) uint32 { return uint32(xxh3.HashString(name)) }

// Client returns the engine's client.
func (e *Engine) Client() *engine.Client { return e.client }

// Upstream returns the engine's configured upstream.
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

// Load returns the newest load report, the time it arrived, and the number of failed
// polls since. The membership state overrides the polls: a leaving engine's load is marked
// as leaving, and a suspect or gone engine counts at least deadAfterFailures failures.
func (e *Engine) Load() (l engine.Load, reported time.Time, failures int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, failures = e.load, e.failures
	switch e.state {
	case membership.StateLeaving:
		l.Leaving = true
	case membership.StateSuspect, membership.StateGone:
		failures = max(failures, deadAfterFailures)
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
	e.load, e.reported, e.confirmed, e.failures, e.polled = l, now, now, 0, true
}

// Kind classifies the errors of this package.
type Kind string

// KindUnfit means that the engine is leaving or doesn't respond.
const KindUnfit Kind = "unfit"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("fleet")

// Confirm polls the engine if its newest report is older than fresh. It returns an error
// of KindUnfit if the engine is leaving or doesn't respond.
func (e *Engine) Confirm(ctx context.Context, fresh time.Duration) error {
	if _, reported, _ := e.Load(); time.Since(reported) > fresh {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
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
	errLeaving = errors.New("engine is leaving")
	errSilent  = errors.New("engine does not respond")
)

// observedState returns the membership state that the polls show.
func (e *Engine) observedState() membership.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.failures >= deadAfterFailures:
		return membership.StateSuspect
	case e.load.Leaving:
		return membership.StateLeaving
	default:
		return membership.StateLive
	}
}

// applyLoad applies a load that the owner reported.
func (e *Engine) applyLoad(vm string, version uint32, l *memberwire.Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = now
	if e.reporter == vm && e.version == version {
		return // the load is unchanged: only its confirmation time is new
	}
	e.reporter, e.version, e.polled = vm, version, false
	e.load = engine.Load{
		Time: now, Incarnation: e.load.Incarnation,
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), PrefillTokens: int(l.GetPrefillK()) * tokensPerK,
		MemoryUsed: int(l.GetUsedK()) * tokensPerK, MemoryTotal: int(l.GetTotalK()) * tokensPerK,
	}
	e.reported, e.failures = now, 0
}

// reportLoad returns the load to report to other entries, or nil if the last poll
// failed or the load isn't from a poll. Prefill and used memory are rounded up to coarse
// steps so that the report changes seldom.
func (e *Engine) reportLoad() *memberwire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.polled || e.failures > 0 {
		return nil
	}
	l := e.load
	part := max(1, l.MemoryTotal/tokensPerK/memorySteps)
	return &memberwire.Load{
		Upstream: e.hash, Queued: uint32(l.Queued), Running: uint32(l.Running),
		PrefillK: uint32((l.PrefillTokens/tokensPerK + prefillStepK - 1) / prefillStepK * prefillStepK),
		UsedK:    uint32((l.MemoryUsed/tokensPerK + part - 1) / part * part), TotalK: uint32(l.MemoryTotal / tokensPerK),
	}
}

// Fleet holds the configured engines. It is safe for concurrent use.
type Fleet struct {
	network *netio.Network
	seams   Seams
	log     *log.Logger
	pool    *work.Pool
	done    chan struct{}
	stop    context.CancelFunc
	polls   atomic.Int64

	mu           sync.Mutex
	engines      map[string]*Engine
	unownedPolls float64 // polls of engines of other owners allowed now
	refilled     time.Time
}

// New returns a running fleet. Close stops it.
func New(network *netio.Network, seams Seams, logger *log.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		network:      network,
		seams:        seams,
		log:          logger.WithPrefix("fleet"),
		pool:         work.New(pollWorkers, pollQueue),
		done:         make(chan struct{}),
		stop:         cancel,
		engines:      map[string]*Engine{},
		unownedPolls: unownedPollBurst,
		refilled:     time.Now(),
	}
	go f.run(ctx)
	return f
}

// Close stops the fleet and waits for its polls.
func (f *Fleet) Close() {
	f.stop()
	<-f.done
	f.pool.Close()
}

// EnginesOf returns the engines that serve the deployment in the current view, sorted by
// name.
func (f *Fleet) EnginesOf(d *resource.Deployment) []*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Engine, 0, len(d.Engines()))
	for _, u := range d.Engines() {
		out = append(out, f.engine(u))
	}
	return out
}

// Engine returns the engine of the named upstream, or nil if there is none.
func (f *Fleet) Engine(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// PollBytes returns the estimated number of bytes sent and received by polls.
func (f *Fleet) PollBytes() int64 { return f.polls.Load() * bytesPerPoll }

// engine returns the engine of an upstream. It creates a new one if the upstream is new
// or its address has changed.
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
		f.runRound(ctx)
		select {
		case <-time.After(tickInterval/2 + rand.N(tickInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// runRound applies the reports of other entries and polls the engines that are due.
func (f *Fleet) runRound(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	f.unownedPolls = min(unownedPollBurst, f.unownedPolls+unownedPollRate*now.Sub(f.refilled).Seconds())
	f.refilled = now
	configured := map[string]*Engine{}
	for _, u := range f.seams.View().Upstreams() {
		if len(u.Spec().Deployments) > 0 {
			configured[u.Name()] = f.engine(u)
		}
	}
	for name := range f.engines {
		if configured[name] == nil {
			delete(f.engines, name)
		}
	}
	f.mu.Unlock()
	f.applyReports(configured, now)
	for name, e := range configured {
		f.pollIfDue(ctx, name, e, now)
	}
}

// applyReports applies the membership states and the reports of other entries.
func (f *Fleet) applyReports(configured map[string]*Engine, now time.Time) {
	byHash := make(map[uint32]*Engine, len(configured))
	for name, e := range configured {
		byHash[e.hash] = e
		state := f.seams.State(name)
		e.mu.Lock()
		e.state = state
		e.mu.Unlock()
	}
	for _, r := range f.seams.Loads() {
		for _, l := range r.GetLoads() {
			if e := byHash[l.GetUpstream()]; e != nil && !f.seams.Owns(e.client.Name()) {
				e.applyLoad(r.GetVm(), r.GetVersion(), l, now)
			}
		}
		for _, p := range r.GetPrefixes() {
			if e := byHash[p.GetUpstream()]; e != nil {
				e.addHint(p.GetPrefix(), now)
			}
		}
	}
}

// pollIfDue polls an engine if it is due.
func (f *Fleet) pollIfDue(ctx context.Context, name string, e *Engine, now time.Time) {
	owns := f.seams.Owns(name)
	if !e.pollDue(owns, now) || !owns && !f.takeUnownedPoll() {
		return
	}
	e.schedulePoll(owns, now)
	_ = f.pool.Go(func() { // a full queue skips this poll
		f.polls.Add(1)
		e.poll(ctx)
		if owns && ctx.Err() == nil {
			f.seams.SetState(name, e.observedState())
		}
	})
}

// pollDue reports whether a poll of the engine is due. An entry that doesn't own the
// engine polls it only if reports have been missing for staleAfter.
func (e *Engine) pollDue(owns bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.nextPoll) && (owns || now.Sub(e.confirmed) >= staleAfter)
}

// schedulePoll sets the time of the next poll, at a random 80 to 90 % of the interval.
func (e *Engine) schedulePoll(owns bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	every := unownedPollInterval
	if owns {
		every = ownedPollInterval
	}
	if owns && e.failures > 0 && e.failures < deadAfterFailures {
		every = retryInterval
	}
	e.nextPoll = now.Add(every - every/10 - rand.N(every/10))
}

// takeUnownedPoll takes one poll of an engine that another entry owns from the rate
// limit and reports whether one was left.
func (f *Fleet) takeUnownedPoll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unownedPolls < 1 {
		return false
	}
	f.unownedPolls--
	return true
}

// Report adds the loads of the engines that this entry owns. If the budget, in bytes,
// exceeds minPrefixBudget it also adds the prefixes with the most hits.
func (f *Fleet) Report(r *memberwire.Report, budget int) {
	f.mu.Lock()
	engines := f.sorted()
	f.mu.Unlock()
	for _, e := range engines {
		if budget <= 0 || len(r.GetLoads()) >= maxLoads {
			return
		}
		if !f.seams.Owns(e.client.Name()) {
			continue
		}
		if l := e.reportLoad(); l != nil {
			r.Loads = append(r.Loads, l)
		}
	}
	if budget > minPrefixBudget {
		r.Prefixes = topPrefixes(engines)
	}
}

// EngineState describes an engine in the state dump.
type EngineState struct {
	Name          string      `json:"name"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failureDomain"`
	Load          engine.Load `json:"load"`
	ReportAgeMS   int64       `json:"reportAgeMs"` // -1 before the first report
	Failures      int         `json:"failures"`
}

// State returns the engines' states for the state dump.
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
