package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/directory"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// dispatchEvery is how often what waits is looked at where nothing changes: a
	// fraction of a pass.
	dispatchEvery = 15 * time.Millisecond
	// budgetShare is the part of the retry bound that is used: its window and ours
	// don't begin together.
	budgetShare = 0.8
	// firstShare is the part of its share that an entry has at its start: what it used in an
	// earlier life counts in the same window. The fifth of the bound that is not used lets
	// each entry start once in a window.
	firstShare = 0.25
	// minEntries is the least number of entries that the retry bound is split over.
	minEntries = 4
)

// belief is what the entry holds to be true: the configuration, the upstreams, and
// the predictions for them. Its methods may be called from any goroutine.
type belief struct {
	domain  string
	bound   platform.RetryBound
	log     *log.Logger
	changed func()     // called where own sends changed
	entries func() int // that share the retry bound
	now     func() time.Time
	cut     func(address string) bool             // that can't be connected to
	ask     func(service string, e passes.Engine) // how fast it is; told to SetPace
	// domainOf returns the failure domain of the entry at an address; "" where it is not known.
	domainOf func(address string) string

	mu       sync.Mutex
	table    *route.Table
	dir      *directory.Directory
	planners map[string]*passes.Planner // by service
	pools    map[string]*plain.Pool     // by service
	budget   *retry.Budget              // by service
	told     map[string]passes.Report   // by entry
	heard    bool                       // some was told that the planners don't know
	ready    chan struct{}              // closed once requests can be served
	ticking  bool
	settling bool // a timer will settle lapsed upstreams
}

func newBelief(domain string, bound platform.RetryBound, logger *log.Logger) *belief {
	return &belief{
		domain: domain, bound: bound, log: logger, now: time.Now, changed: func() {}, entries: func() int { return 1 },
		cut: func(string) bool { return false }, domainOf: func(string) string { return "" }, ask: func(string, passes.Engine) {},
		dir: directory.New(), planners: map[string]*passes.Planner{}, pools: map[string]*plain.Pool{},
		budget: retry.NewWithin(budgetShare*bound.Ratio, budgetShare*bound.Slack/minEntries, firstShare),
		told:   map[string]passes.Report{}, ready: make(chan struct{}),
	}
}

// Table returns the configuration, or nil while none is known.
func (b *belief) Table() *route.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// Ready reports whether requests can be served.
func (b *belief) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table != nil && b.dir.Len() > 0
}

// AwaitReady waits until requests can be served, but not for longer than the limit.
func (b *belief) AwaitReady(limit time.Duration) {
	if limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-b.ready:
	case <-t.C:
	}
}

// SetTable takes in a configuration that is newer than the known one.
func (b *belief) SetTable(t *route.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table != nil && t.Version() <= b.table.Version() {
		return
	}
	old := int64(-1)
	if b.table != nil {
		old = b.table.Version()
	}
	b.table = t
	b.log.Info("The configuration changed.", "version", t.Version(), "was", old)
	b.configure()
}

// ApplyServers takes in records of the upstreams' topic.
func (b *belief) ApplyServers(records []platform.Keyed, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, changed := b.now(), false
	named := map[string]bool{}
	for _, r := range records {
		named[r.Key] = true
		changed = b.applyServer(r, now) || changed
	}
	if whole {
		for _, id := range b.dir.IDs() {
			if !named[id] {
				changed = b.remove(id, now, "not listed") || changed
			}
		}
	}
	if changed {
		b.configure()
	}
	b.settleLater(now)
}

// settleLater lets the removals that may be lapses take effect in time. The lock is held.
func (b *belief) settleLater(now time.Time) {
	at, ok := b.dir.SettleAt()
	if !ok || b.settling {
		return
	}
	b.settling = true
	time.AfterFunc(at.Sub(now), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.settling = false
		now := b.now()
		if b.dir.Settle(now) {
			b.log.Info("Upstreams that lapsed with the store did not return.")
			b.configure()
		}
		b.settleLater(now)
	})
}

func (b *belief) applyServer(r platform.Keyed, now time.Time) bool {
	if r.Value == nil {
		return b.remove(r.Key, now, "removed")
	}
	s, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		b.log.Warn("An upstream's entry can't be read and names none.", "upstream", r.Key, "offset", r.Offset, "err", err)
		return b.remove(r.Key, now, "unreadable")
	}
	if !b.dir.Put(s) {
		return false
	}
	b.log.Info("An upstream's entry changed.", "upstream", s.ID, "service", s.Service, "address", s.Address,
		"domain", s.Domain, "leaving", s.Leaving, "born", s.Born, "offset", r.Offset)
	return true
}

func (b *belief) remove(id string, now time.Time, why string) bool {
	changed := b.dir.Remove(id, now)
	if changed {
		b.log.Info("An upstream is gone.", "upstream", id, "why", why)
	}
	return changed
}

// StoreReached notes whether the store answered.
func (b *belief) StoreReached(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.dir.Reached(ok, now)
	b.settleLater(now)
}

// configure hands the upstreams to the planners and pools of their services. The lock is held.
func (b *belief) configure() {
	if b.table == nil {
		return
	}
	for name, svc := range b.table.Services() {
		servers := b.dir.Servers(name)
		if svc.Engine == nil {
			b.pool(name).SetServers(plainServers(servers))
			continue
		}
		p := b.planners[name]
		if p == nil {
			p = passes.New(passes.Settings{Service: name, Domain: b.domain, Now: b.now, Rand: rand.Float64, Entries: b.entries, Cut: b.cut, Doubted: b.doubted}, svc.Engine)
			b.planners[name] = p
		}
		p.Configure(svc.Engine)
		p.SetEngines(engines(servers))
		b.heard = true
	}
	select {
	case <-b.ready:
	default:
		if b.dir.Len() > 0 {
			close(b.ready)
		}
	}
	b.dispatchAll()
}

// dispatchAll looks at what waits, with what the other entries told. The lock is held.
func (b *belief) dispatchAll() {
	b.listen()
	for _, p := range b.planners {
		p.Dispatch()
	}
	b.tickLater()
}

// doubted logs that what another entry has under way counts for less, or again in full.
func (b *belief) doubted(entry string, why passes.Doubt) {
	if why == "" {
		b.log.Info("An entry's sends count in full again.", "entry", entry)
		return
	}
	b.log.Warn("An entry's sends are doubted.", "entry", entry, "why", string(why))
}

// listen takes in what the other entries told since the last decision. The lock is held.
func (b *belief) listen() {
	if !b.heard {
		return
	}
	b.heard = false
	for _, p := range b.planners {
		p.Tell(b.told)
	}
}

// share tells the others where own sends changed, and asks engines that seem slow.
func (b *belief) share() {
	b.mu.Lock()
	changed := false
	for service, p := range b.planners {
		changed = changed || p.Changed()
		for _, e := range p.Suspects() {
			b.ask(service, e)
		}
	}
	b.mu.Unlock()
	if changed {
		b.changed()
	}
}

// SetPace takes in how fast an engine is.
func (b *belief) SetPace(service string, pace passes.Pace) {
	b.change(service, func(p *passes.Planner) { p.SetPace(pace) })
}

func (b *belief) pool(name string) *plain.Pool {
	p := b.pools[name]
	if p == nil {
		p = plain.New(plain.Settings{Domain: b.domain, Now: b.now, Rand: rand.Float64, Unreachable: b.cut})
		b.pools[name] = p
	}
	return p
}

func plainServers(list []directory.Server) []plain.Server {
	out := make([]plain.Server, 0, len(list))
	for _, s := range list {
		out = append(out, plain.Server{Name: s.ID, Domain: s.Domain, Address: s.Address, Slots: s.Slots, Born: s.Born, Leaving: s.Leaving})
	}
	return out
}

func engines(list []directory.Server) []passes.Engine {
	out := make([]passes.Engine, 0, len(list))
	for _, s := range list {
		out = append(out, passes.Engine{Name: s.ID, Domain: s.Domain, Address: s.Address, Born: s.Born, Leaving: s.Leaving})
	}
	return out
}

// Place waits until the job has its engines. An error is a refusal: nothing ran.
func (b *belief) Place(ctx context.Context, service string, j passes.Job) (*passes.Ticket, error) {
	ready := make(chan struct{})
	j.Notify = func() { close(ready) }
	b.mu.Lock()
	p := b.planners[service]
	if p == nil {
		b.mu.Unlock()
		return nil, fail("place", KindRefused, errNoService)
	}
	b.listen()
	t, err := p.Submit(j)
	placed := err == nil && t.Placed()
	waiting := p.Waiting()
	b.tickLater()
	b.mu.Unlock()
	if err != nil {
		return nil, err
	}
	b.share()
	if placed {
		return t, nil
	}
	b.log.Info("Queued.", "id", j.ID, "tokens", j.Tokens, "waiting", waiting, "read_ms", t.Read().Milliseconds())
	select {
	case <-ready:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() != nil {
		p.Done(t, passes.Outcome{})
		b.dispatchAll()
		return nil, fail("place", KindGone, ctx.Err())
	}
	if err := t.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// FirstEvent notes that a prompt's first event came.
func (b *belief) FirstEvent(service string, t *passes.Ticket) {
	b.change(service, func(p *passes.Planner) { p.FirstEvent(t) })
}

// Late notes that an answer under way is late already.
func (b *belief) Late(service string, t *passes.Ticket) {
	b.change(service, func(p *passes.Planner) { p.Late(t) })
}

// Done ends a prompt at its engines.
func (b *belief) Done(service string, t *passes.Ticket, out passes.Outcome) {
	b.change(service, func(p *passes.Planner) { p.Done(t, out) })
}

// change tells a service's planner something, places what waits and tells the others.
func (b *belief) change(service string, tell func(p *passes.Planner)) {
	b.mu.Lock()
	tell(b.planners[service])
	b.dispatchAll()
	b.mu.Unlock()
	b.share()
}

// tickLater looks again at what waits after a while. The lock is held.
func (b *belief) tickLater() {
	if b.ticking || b.waiting() == 0 {
		return
	}
	b.ticking = true
	time.AfterFunc(dispatchEvery, b.tick)
}

func (b *belief) tick() {
	b.mu.Lock()
	b.ticking = false
	b.mu.Unlock()
	b.dispatch()
}

// ReachChanged takes in that other upstreams than before can be connected to.
func (b *belief) ReachChanged() {
	b.mu.Lock()
	b.heard = true // what an entry told may count for less
	b.mu.Unlock()
	b.dispatch()
}

// dispatch looks at what waits.
func (b *belief) dispatch() {
	b.mu.Lock()
	b.dispatchAll()
	b.mu.Unlock()
	b.share()
}

func (b *belief) waiting() int {
	n := 0
	for _, p := range b.planners {
		n += p.Waiting()
	}
	return n
}

// Own returns what this entry tells the others: what it has under way at engines, how
// fast these said that they are, and what waits.
func (b *belief) Own() passes.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var r passes.Report
	for _, p := range b.planners {
		r.Sends = append(r.Sends, p.Sends()...)
		r.Paces = append(r.Paces, p.Paces()...)
		if w, ok := p.Wait(); ok {
			r.Waits = append(r.Waits, w)
		}
	}
	return r
}

// Tell takes in what another entry told; nothing where it is gone.
func (b *belief) Tell(entry string, r passes.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(r.Sends)+len(r.Paces)+len(r.Waits) == 0 {
		delete(b.told, entry)
	} else {
		r.Domain, r.Heard = b.domainOf(entry), b.now()
		b.told[entry] = r
	}
	b.heard = true // decisions take it in: messages are many more than decisions
}

// Siblings returns the addresses of the upstreams in an upstream's failure domain.
func (b *belief) Siblings(address string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dir.Siblings(address)
}

// Pick chooses a server of a plain service, or returns nil.
func (b *belief) Pick(service string, tried map[string]bool) *plain.Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[service]; p != nil {
		return p.Choose(tried)
	}
	return nil
}

// Others reports whether a server of a plain service is left that was not tried.
func (b *belief) Others(service string, tried map[string]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[service]
	return p != nil && p.HasUntried(tried)
}

// DonePick ends a pick.
func (b *belief) DonePick(service string, k *plain.Pick, out plain.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pools[service].Done(k, out)
}

// First notes a request for a service, and Again asks whether one may be sent once more.
func (b *belief) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetMost(budgetShare * b.bound.Slack / float64(max(minEntries, b.entries())))
	b.budget.Request(service)
}

// Again takes a further send to a service out of the budget and reports whether there was one.
func (b *belief) Again(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Retry(service)
}
