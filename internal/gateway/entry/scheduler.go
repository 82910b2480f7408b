package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/directory"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/evacuation"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/throttle"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/warmup"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// dispatchInterval is how often the queues are checked when nothing changes: a fraction of an
	// engine pass.
	dispatchInterval = 15 * time.Millisecond
	// budgetShare is the part of the retry bound that is used, because the windows of the bound
	// and of the budget start at different times.
	budgetShare = 0.8
	// startShare is the part of its budget that an entry has at its start: retries that it sent
	// before a restart count in the same window. The fifth of the bound that budgetShare leaves
	// unused allows each entry one restart in a window.
	startShare = 0.25
	// minEntries is the least number of entries that the retry bound is divided by.
	minEntries = 4
	// maxReportedServers bounds the plain servers in a report to the other entries, which has about
	// 50 bytes for each. With many entries the bound is lower, down to minReportedServers, so that
	// all entries together report at most maxReportedLoads.
	maxReportedServers = 64
	minReportedServers = 4
	maxReportedLoads   = 8192
)

// scheduler assigns requests to upstreams by the configuration, the known upstreams, and the
// reports of other entries. It is safe for concurrent use.
type scheduler struct {
	domain        string
	retryBound    platform.RetryBound
	log           *log.Logger
	reportChanged func()     // called when the own report changed
	entryCount    func() int // number of entries that share the retry bound
	now           func() time.Time
	unreachable   func(address string) bool             // whether connections to the address fail
	queryPace     func(service string, e passes.Engine) // queries the engine's speed; the result goes to SetPace
	throttle      *throttle.Throttle
	warmup        *warmup.Limiter
	requestGrant  func(upstream string, done func()) // asks the owners of a cold upstream for a request
	// domainOf returns the failure domain of the entry at an address, or "" if it is unknown.
	domainOf func(address string) string
	regions  map[string]string // by failure domain

	mu              sync.Mutex
	table           *route.Table
	dir             *directory.Directory
	unreadable      unreadable
	planners        map[string]*passes.Planner // by service
	pools           map[string]*plain.Pool     // by service
	budget          *retry.Budget              // by service
	reports         map[string]passes.Report   // by address of the entry
	reportsPending  bool                       // reports changed since the planners got them
	ready           chan struct{}              // closed once requests can be served
	tickScheduled   bool
	settleAt        time.Time // when a timer settles what the directory has deferred; zero: none is set
	restoredEnd     uint64    // offset up to which the upstreams' records may be of the store's copy
	evacuations     *evacuation.Set
	evacuationTimer bool                          // a timer settles the evacuations that a restored store lacks
	servers         map[string][]directory.Server // by service
	asking          bool                          // an owner of a cold upstream is being asked for a request
	cold            map[string]coldRecord         // of the upstreams, by id
}

func newScheduler(domain string, bound platform.RetryBound, logger *log.Logger) *scheduler {
	s := &scheduler{
		domain: domain, retryBound: bound, log: logger, now: time.Now, reportChanged: func() {}, entryCount: func() int { return 1 },
		unreachable: func(string) bool { return false }, domainOf: func(string) string { return "" }, queryPace: func(string, passes.Engine) {},
		dir: directory.New(), unreadable: unreadable{}, planners: map[string]*passes.Planner{}, pools: map[string]*plain.Pool{},
		budget:  retry.NewWithin(budgetShare*bound.Ratio, budgetShare*bound.Slack/minEntries, startShare),
		reports: map[string]passes.Report{}, ready: make(chan struct{}),
		throttle: throttle.New(throttle.Settings{
			Now: time.Now, Members: func() throttle.Members { return throttle.Members{Live: []string{""}} }, Changed: func() {}, Log: logger,
		}),
		warmup: warmup.New(warmup.Settings{Now: time.Now, Log: logger}), cold: map[string]coldRecord{}, servers: map[string][]directory.Server{},
		requestGrant: func(_ string, done func()) { done() },
	}
	s.evacuations = evacuation.New(func() time.Time { return s.now() })
	return s
}

// throttled reports whether an upstream takes no further request from this entry now.
func (s *scheduler) throttled(name string) bool {
	return !s.throttle.Allows(name) || !s.warmup.Allows(name)
}

// sent records that a request is sent to an upstream.
func (s *scheduler) sent(name string) {
	s.throttle.Take(name)
	s.warmup.Take(name)
}

// Table returns the configuration, or nil if there is none yet.
func (s *scheduler) Table() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// Ready reports whether requests can be served.
func (s *scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.dir.Len() > 0
}

// AwaitReady waits at most limit until requests can be served.
func (s *scheduler) AwaitReady(limit time.Duration) {
	if limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.ready:
	case <-t.C:
	}
}

// SetTable applies a configuration that is newer than the current one and ignores any other.
func (s *scheduler) SetTable(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.Version() <= s.table.Version() {
		return
	}
	old := int64(-1)
	if s.table != nil {
		old = s.table.Version()
	}
	s.table = t
	s.log.Info("The configuration changed.", "version", t.Version(), "was", old)
	s.configure()
}

// ApplyServers applies records of the upstreams' topic. If snapshot is set, they are all records of
// the topic.
func (s *scheduler) ApplyServers(records []platform.Keyed, snapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, changed := s.now(), false
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		changed = s.applyServer(r, now) || changed
	}
	if snapshot {
		s.unreadable.keep(records)
		for _, id := range s.dir.IDs() {
			if !listed[id] {
				changed = s.removeServer(id, now, "not listed") || changed
			}
		}
	}
	if changed {
		s.configure()
	}
	s.scheduleSettle(now)
}

// scheduleSettle sets a timer for removals that may be caused by an outage of the store. s.mu
// must be held.
func (s *scheduler) scheduleSettle(now time.Time) {
	at, ok := s.dir.SettleAt()
	if !ok || !s.settleAt.IsZero() && !at.Before(s.settleAt) {
		return
	}
	s.settleAt = at
	time.AfterFunc(at.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.settleAt = time.Time{}
		now := s.now()
		if s.dir.Settle(now) {
			s.log.Info("Settled the records of upstreams after an outage or a restore of the store.")
			s.configure()
		}
		s.scheduleSettle(now)
	})
}

// isOutdatedServer reports whether r, a record of an upstream, was written before known, another one
// of it. Records that can't be decoded have no order.
func isOutdatedServer(r, known platform.Keyed) bool {
	a, errA := platform.DecodeServer(r.Key, r.Value)
	b, errB := platform.DecodeServer(known.Key, known.Value)
	return errA == nil && errB == nil && a.Precedes(b)
}

func (s *scheduler) applyServer(r platform.Keyed, now time.Time) bool {
	if r.Value == nil {
		delete(s.unreadable, r.Key)
		return s.removeServer(r.Key, now, "removed")
	}
	srv, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		if s.unreadable.note(r) {
			s.log.Warn("Cannot decode the record of an upstream; it counts as removed.", "upstream", r.Key, "offset", r.Offset, "err", err)
		}
		return s.removeServer(r.Key, now, "unreadable")
	}
	delete(s.unreadable, r.Key)
	changed := false
	if r.Offset < s.restoredEnd {
		changed = s.dir.PutCopied(srv, now)
	} else {
		changed = s.dir.Put(srv)
	}
	s.noteCold(r, srv, now)
	if !changed {
		return false
	}
	s.log.Info("The record of an upstream changed.", "upstream", srv.ID, "service", srv.Service, "address", srv.Address,
		"domain", srv.Domain, "leaving", srv.Leaving, "born", srv.Born, "offset", r.Offset)
	return true
}

// unreadable are the offsets of records that can't be decoded, by key: each is logged once, though
// each snapshot of the topic has it.
type unreadable map[string]uint64

// note reports whether the record is noted for the first time.
func (u unreadable) note(r platform.Keyed) bool {
	offset, ok := u[r.Key]
	u[r.Key] = r.Offset
	return !ok || offset != r.Offset
}

// keep forgets the records that are not in a snapshot.
func (u unreadable) keep(snapshot []platform.Keyed) {
	if len(u) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, r := range snapshot {
		listed[r.Key] = true
	}
	maps.DeleteFunc(u, func(key string, _ uint64) bool { return !listed[key] })
}

func (s *scheduler) removeServer(id string, now time.Time, why string) bool {
	changed := s.dir.Remove(id, now)
	if changed {
		s.log.Info("An upstream was removed.", "upstream", id, "why", why)
	}
	return changed
}

// HeardLeaving records that an upstream says that it leaves, in the answer to a request sent at a time.
func (s *scheduler) HeardLeaving(id string, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dir.HeardLeaving(id, sentAt) {
		s.log.Info("An upstream says in an answer that it leaves.", "upstream", id)
		s.configure()
	}
}

// ServersRestored records that the upstreams' records up to an offset may be of a copy.
func (s *scheduler) ServersRestored(end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoredEnd = end
	s.dir.Restored(s.now())
}

// StoreReached records whether the store answered.
func (s *scheduler) StoreReached(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dir.Reached(ok, now)
	s.scheduleSettle(now)
}

// StoreUninterrupted records that the store served others while it did not answer this entry.
func (s *scheduler) StoreUninterrupted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dir.Uninterrupted()
	if s.dir.Settle(now) {
		s.log.Info("Settled the records of upstreams: the store served other entries all the while.")
		s.configure()
	}
	s.scheduleSettle(now)
}

// configure passes the upstreams to the planners and pools of their services. s.mu must be held.
func (s *scheduler) configure() {
	s.throttle.Forget(s.dir.Has)
	s.configureCold()
	if s.table == nil {
		return
	}
	for name, svc := range s.table.Services() {
		servers := s.dir.Servers(name)
		s.servers[name] = servers
		if svc.Engine == nil {
			s.pool(name).SetServers(s.plainServers(servers))
			continue
		}
		p := s.planners[name]
		if p == nil {
			p = passes.New(passes.Settings{Service: name, Domain: s.domain, Now: s.now, Rand: rand.Float64, Entries: s.entryCount, Cut: s.unreachable, OnStaleChange: s.logStaleChange, Throttled: s.throttled, Sent: s.sent, Cold: s.warmup.IsCold}, svc.Engine)
			s.planners[name] = p
		}
		p.Configure(svc.Engine, s.table.LongestGap(name))
		p.SetEngines(s.engines(servers))
		s.reportsPending = true
	}
	select {
	case <-s.ready:
	default:
		if s.dir.Len() > 0 {
			close(s.ready)
		}
	}
	s.dispatchAll()
}

// dispatchAll applies the pending reports and dispatches queued prompts. s.mu must be held.
func (s *scheduler) dispatchAll() {
	s.applyReports()
	for _, p := range s.planners {
		p.Dispatch()
	}
	s.scheduleTick()
}

// logStaleChange logs that the sends reported by another entry are discounted, or count in full again.
func (s *scheduler) logStaleChange(entry string, why passes.StaleReason) {
	if why == "" {
		s.log.Info("The sends reported by an entry count in full again.", "entry", entry)
		return
	}
	s.log.Warn("The sends reported by an entry are discounted.", "entry", entry, "why", string(why))
}

// applyReports passes the reports of other entries to the planners if any changed. s.mu must be
// held.
func (s *scheduler) applyReports() {
	if !s.reportsPending {
		return
	}
	s.reportsPending = false
	for _, p := range s.planners {
		p.SetReports(s.reports)
	}
}

// publish notifies the other entries of changes in the own sends and queries engines that seem
// slow.
func (s *scheduler) publish() {
	s.mu.Lock()
	changed := false
	for service, p := range s.planners {
		changed = changed || p.Changed()
		for _, e := range p.Suspects() {
			if !s.warmup.IsCold(e.Name) { // a query counts as a request there
				s.queryPace(service, e)
			}
		}
	}
	s.mu.Unlock()
	if changed {
		s.reportChanged()
	}
}

// SetPace applies the speed that an engine reported.
func (s *scheduler) SetPace(service string, pace passes.Pace) {
	s.update(service, func(p *passes.Planner) { p.SetPace(pace) })
}

func (s *scheduler) pool(name string) *plain.Pool {
	p := s.pools[name]
	if p == nil {
		p = plain.New(plain.Settings{Domain: s.domain, Now: s.now, Rand: rand.Float64, Unreachable: s.unreachable, Throttled: s.throttled, Sent: s.sent, Learned: s.logLearned})
		s.pools[name] = p
	}
	return p
}

// logLearned logs that what is known of the speed of a plain server has changed much.
func (s *scheduler) logLearned(name string, was, now capacity.Figures) {
	s.log.Info("The learned limit of a server changed.", "upstream", name, "limit", now.Knee, "was", was.Knee, "base_ms", now.Base.Milliseconds(), "base_was_ms", was.Base.Milliseconds(), "samples", int(now.Samples))
}

func (s *scheduler) plainServers(list []directory.Server) []plain.Server {
	out := make([]plain.Server, 0, len(list))
	for _, d := range list {
		out = append(out, plain.Server{Name: d.ID, Domain: d.Domain, Address: d.Address, Slots: d.Slots, Born: d.Born, Leaving: d.Leaving || s.evacuations.Has(d.Domain)})
	}
	return out
}

func (s *scheduler) engines(list []directory.Server) []passes.Engine {
	out := make([]passes.Engine, 0, len(list))
	for _, d := range list {
		out = append(out, passes.Engine{Name: d.ID, Domain: d.Domain, Address: d.Address, Born: d.Born, Leaving: d.Leaving, Evacuated: s.evacuations.Has(d.Domain)})
	}
	return out
}

// Place queues the job and waits until it has its engines. An error means that nothing was sent.
// It is that of the planner, KindRefused for an unknown service, or KindCallerGone if ctx ended.
func (s *scheduler) Place(ctx context.Context, service string, j passes.Job) (*passes.Ticket, error) {
	ready := make(chan struct{})
	j.Notify = func() { close(ready) }
	s.mu.Lock()
	p := s.planners[service]
	if p == nil {
		s.mu.Unlock()
		return nil, fail("place", KindRefused, errNoService)
	}
	s.applyReports()
	t, err := p.Submit(j)
	placed := err == nil && t.Placed()
	waiting := p.Waiting()
	s.scheduleTick()
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s.publish()
	if placed {
		return t, nil
	}
	s.log.Info("Queued.", "id", j.ID, "tokens", j.Tokens, "waiting", waiting, "read_ms", t.Read().Milliseconds())
	select {
	case <-ready:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		p.Done(t, passes.Outcome{})
		s.dispatchAll()
		return nil, fail("place", KindCallerGone, ctx.Err())
	}
	if err := t.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// FirstEvent records that the first event of a prompt arrived.
func (s *scheduler) FirstEvent(service string, t *passes.Ticket) {
	s.update(service, func(p *passes.Planner) { p.FirstEvent(t) })
}

// MarkLate records that an answer in progress has missed its objective.
func (s *scheduler) MarkLate(service string, t *passes.Ticket) {
	s.update(service, func(p *passes.Planner) { p.MarkLate(t) })
}

// Done releases a prompt's place at its engines.
func (s *scheduler) Done(service string, t *passes.Ticket, out passes.Outcome) {
	s.update(service, func(p *passes.Planner) { p.Done(t, out) })
}

// update applies a change to a service's planner, dispatches queued prompts, and publishes the
// own sends.
func (s *scheduler) update(service string, apply func(p *passes.Planner)) {
	s.mu.Lock()
	apply(s.planners[service])
	s.dispatchAll()
	s.mu.Unlock()
	s.publish()
}

// scheduleTick sets a timer to check the queues again if they aren't empty. s.mu must be held.
func (s *scheduler) scheduleTick() {
	if s.tickScheduled || s.queued() == 0 {
		return
	}
	s.tickScheduled = true
	time.AfterFunc(dispatchInterval, s.tick)
}

func (s *scheduler) tick() {
	s.mu.Lock()
	s.tickScheduled = false
	s.mu.Unlock()
	s.dispatch()
	s.askForWaiting()
}

// ReachabilityChanged dispatches again after the set of reachable upstreams changed.
func (s *scheduler) ReachabilityChanged() {
	s.mu.Lock()
	s.reportsPending = true // the reports of entries in an unreachable domain are discounted
	s.mu.Unlock()
	s.dispatch()
}

// dispatch dispatches queued prompts and publishes the own sends.
func (s *scheduler) dispatch() {
	s.mu.Lock()
	s.dispatchAll()
	s.mu.Unlock()
	s.publish()
}

func (s *scheduler) queued() int {
	n := 0
	for _, p := range s.planners {
		n += p.Waiting()
	}
	return n
}

// Report returns what is sent to the other entries: the own sends in progress, the speeds that
// engines reported, and the queue waits.
func (s *scheduler) Report() passes.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r passes.Report
	for _, p := range s.planners {
		r.Sends = append(r.Sends, p.Sends()...)
		r.Paces = append(r.Paces, p.Paces()...)
		if w, ok := p.Wait(); ok {
			r.Waits = append(r.Waits, w)
		}
	}
	return r
}

// SetReport stores the report of the entry at an address. An empty one removes it.
func (s *scheduler) SetReport(entry string, r passes.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Sends)+len(r.Paces)+len(r.Waits) == 0 {
		delete(s.reports, entry)
	} else {
		r.Domain, r.ReceivedAt = s.domainOf(entry), s.now()
		s.reports[entry] = r
	}
	s.reportsPending = true // applied with the next decision, because reports are far more frequent than decisions
}

// Loads returns the loads of plain servers that are sent to the other entries.
func (s *scheduler) Loads() []capacity.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := min(maxReportedServers, max(minReportedServers, maxReportedLoads/max(1, s.entryCount())))
	var out []capacity.Load
	for _, p := range s.pools {
		out = append(out, p.Loads(max(1, most/len(s.pools)))...)
	}
	return out
}

// SetLoads stores the loads of plain servers that the entry at an address reports.
func (s *scheduler) SetLoads(entry string, list []capacity.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Merge(entry, list)
	}
}

// Siblings returns the addresses of the upstreams in an upstream's failure domain.
func (s *scheduler) Siblings(address string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir.Siblings(address)
}

// Services returns the addresses of the upstreams, in a list for each service.
func (s *scheduler) Services() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir.Services()
}

// Takes reports whether an upstream at an address does not leave.
func (s *scheduler) Takes(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir.Takes(address)
}

// Leaves reports whether the upstream with the id leaves or is gone.
func (s *scheduler) Leaves(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.dir.Get(id)
	return !ok || u.Leaving
}

// UpstreamDomain returns the failure domain of the upstream at an address, and whether there is one.
func (s *scheduler) UpstreamDomain(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.dir.At(address)
	return u.Domain, ok
}

// Pick selects a server of a plain service in the home regions that is not in tried, or returns nil.
func (s *scheduler) Pick(service string, tried map[string]bool, homes route.Homes) *plain.Pick {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[service]; p != nil {
		return p.Choose(s.excluding(service, tried, homes))
	}
	return nil
}

// HasUntried reports whether a plain service has a server in the home regions that is not in tried.
func (s *scheduler) HasUntried(service string, tried map[string]bool, homes route.Homes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	return p != nil && p.HasUntried(s.excluding(service, tried, homes))
}

// HasReachable is HasUntried without the servers that are known to be unreachable.
func (s *scheduler) HasReachable(service string, tried map[string]bool, homes route.Homes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	return p != nil && p.HasReachable(s.excluding(service, tried, homes))
}

// Admits reports whether Place would place or queue a job now.
func (s *scheduler) Admits(service string, j passes.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.planners[service]
	return p != nil && p.Admits(j)
}

// EndsInTime reports whether the longest answer to a prompt whose first event comes now ends by the given
// time.
func (s *scheduler) EndsInTime(service string, t *passes.Ticket, by time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyReports()
	return s.planners[service].EndsInTime(t, by)
}

// ExpectsEngines reports whether a service has an engine in the home regions that stays, whether it
// can be used now or not, and is not in tried, or is in unsent.
func (s *scheduler) ExpectsEngines(service string, tried map[string]bool, unsent []string, homes route.Homes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.planners[service]
	return p != nil && p.Stays(func(name, domain string) bool {
		return (!tried[name] || slices.Contains(unsent, name)) && homes.Allow(s.regions[domain])
	})
}

// DonePick records the outcome of a pick.
func (s *scheduler) DonePick(service string, k *plain.Pick, out plain.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[service].Done(k, out)
}

// CountRequest adds a request to the retry budget of a service.
func (s *scheduler) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetMax(budgetShare * s.retryBound.Slack / float64(max(minEntries, s.entryCount())))
	s.budget.Request(service)
}

// HasRetry reports whether the budget of a service has a retry left.
func (s *scheduler) HasRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Left(service) >= 1
}

// TakeRetry takes one retry from the budget of a service and reports whether there was one.
func (s *scheduler) TakeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry(service)
}
