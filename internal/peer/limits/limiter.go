// Package limits enforces the limits of workspaces across entries without a coordinator:
// each entry has a share of a limit, which follows the demand at the entries.
package limits

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	// burstWindow is how long an entry may accumulate its even part of a limit, so that demand
	// that moves to the entry is served until its share has grown.
	burstWindow = 2 * time.Second
	// demandWindow is the time constant of the demand's moving average.
	demandWindow = 5 * time.Second
	// refreshInterval is the maximum age of the sums of the other entries' demand.
	refreshInterval    = 250 * time.Millisecond
	idleTimeout        = time.Minute
	maxReportedDemands = 16 // workspaces in a report
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = time.Minute
	// Reported demand is rounded up to a power of demandStep, so that reports seldom change.
	demandStep = 1.25
	minDemand  = 1e-2
)

// Reason is the limit that refused a request.
type Reason string

// The limits of a workspace.
const (
	ReasonRequests   Reason = "requests_per_second"
	ReasonTokens     Reason = "tokens_per_second"
	ReasonConcurrent Reason = "concurrent_tokens"
)

// Seams are the functions of the membership that a Limiter calls.
type Seams struct {
	// EntryCounts returns the number of reachable entries and the number of those that may be
	// serving, reachable or not.
	EntryCounts func() (reach, known int)
	// Reports returns the latest report of each other entry.
	Reports func() []*memberwire.Report
	// Owns reports whether this entry owns a key within its failure domain.
	Owns func(key string) bool
}

// Kinds of limits, as indexes.
const (
	requests = iota
	tokens
	concurrent
	numKinds
)

var reasons = [numKinds]Reason{ReasonRequests, ReasonTokens, ReasonConcurrent}

// Limiter enforces this entry's shares of the limits. It is safe for concurrent use.
type Limiter struct {
	seams   Seams
	now     func() time.Time
	started time.Time

	mu         sync.Mutex
	workspaces map[string]*workspaceUsage
	peerDemand map[uint32]*demand                   // by hash of the workspace
	peerWanted map[demandKey]*[numKinds]delayedFall // by other entry and workspace
	refreshed  time.Time
	reachable  delayedRise
	group      group
	refused    map[Reason]int64
}

type demandKey struct {
	vm        string
	workspace uint32
}

// demand is the sum of the other entries' demand for a workspace.
type demand struct {
	wanted [numKinds]float64
	inUse  float64 // concurrent tokens
}

// workspaceUsage is the state of a workspace at this entry.
type workspaceUsage struct {
	hash              uint32
	limits            [numKinds]float64
	demand            [numKinds]float64     // averages; for concurrent tokens, those in use plus those refused lately
	reported          [numKinds]float64     // the demand last reported to the other entries
	settled           [numKinds]delayedRise // reported demand that the other entries know by now
	level             [2]float64            // token buckets of requests and tokens
	inUse             float64               // concurrent tokens
	refusedConcurrent float64               // concurrent tokens of the largest recent refusal, decaying
	updated           time.Time             // when demand and level were updated
	lastActive        time.Time
}

// New returns a Limiter.
func New(seams Seams) *Limiter {
	return &Limiter{
		seams: seams, now: time.Now, started: time.Now(),
		workspaces: map[string]*workspaceUsage{}, peerDemand: map[uint32]*demand{}, peerWanted: map[demandKey]*[numKinds]delayedFall{},
		refused: map[Reason]int64{},
	}
}

// Limit charges a request of n tokens to this entry's shares of the workspace's limits. If a
// share is exhausted it returns false and the delay after which a retry may succeed. release
// returns the concurrent tokens and may be called more than once.
func (l *Limiter) Limit(workspace string, spec resource.Limits, n int) (release func(), retryAfter time.Duration, ok bool) {
	if spec == (resource.Limits{}) {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh()
	s := l.usage(workspace, spec)
	s.addDemand(float64(n))
	if kind, wait := l.admit(s, float64(n)); wait > 0 {
		l.refused[reasons[kind]]++
		s.refusedConcurrent = max(s.refusedConcurrent, float64(n))
		return nil, min(max(wait, minRetryAfter), maxRetryAfter), false
	}
	s.consume(float64(n))
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.inUse -= float64(n)
	}), 0, true
}

// usage returns the workspace's state, updated to the current time.
func (l *Limiter) usage(workspace string, spec resource.Limits) *workspaceUsage {
	now := l.now()
	s := l.workspaces[workspace]
	created := s == nil
	if created {
		s = &workspaceUsage{hash: uint32(xxh3.HashString(workspace)), updated: now}
		l.workspaces[workspace] = s
	}
	s.limits = [numKinds]float64{spec.RequestsPerSecond, spec.TokensPerSecond, float64(spec.ConcurrentTokens)}
	s.lastActive = now
	elapsed := now.Sub(s.updated)
	s.decay(elapsed)
	s.updated = now
	for kind := range s.level {
		share, burst := l.share(s, kind), l.burst(s, kind)
		s.level[kind] = min(burst, s.level[kind]+share*elapsed.Seconds())
		if created {
			s.level[kind] = min(burst, l.initialLevel(s, kind))
		}
	}
	return s
}

// initialLevel returns the initial bucket level of a workspace that is new to this entry.
func (l *Limiter) initialLevel(s *workspaceUsage, kind int) float64 {
	if l.group.starting {
		return 1
	}
	return l.burst(s, kind)
}

// burst returns the capacity of the workspace's bucket.
func (l *Limiter) burst(s *workspaceUsage, kind int) float64 {
	g := l.group
	return max(1, g.reachablePart(s.limits[kind])/float64(g.reachable)*burstWindow.Seconds())
}

func (l *Limiter) share(s *workspaceUsage, kind int) float64 {
	var others demand
	if o := l.peerDemand[s.hash]; o != nil {
		others = *o
	}
	share := l.group.share(s.limits[kind], s.settled[kind].get(), others.wanted[kind])
	if kind == concurrent { // other entries may still use tokens of a formerly larger share
		share = min(share, max(0, l.group.reachablePart(s.limits[kind])-others.inUse))
	}
	return share
}

// admit returns the limit that refuses a request and the delay until a retry, or a delay of
// 0 if the request is admitted.
func (l *Limiter) admit(s *workspaceUsage, n float64) (kind int, retryAfter time.Duration) {
	cost := [2]float64{1, n}
	for kind := range s.level {
		if s.limits[kind] == 0 {
			continue
		}
		// A request larger than the bucket is admitted when it is full and leaves a debt.
		if missing := min(cost[kind], l.burst(s, kind)) - s.level[kind]; missing > 0 {
			return kind, retryDelay(missing / l.share(s, kind))
		}
	}
	limit := s.limits[concurrent]
	switch {
	case limit == 0 || s.inUse+n <= l.share(s, concurrent):
		return 0, 0
	case n > l.group.reachablePart(limit):
		return concurrent, maxRetryAfter // exceeds all that the reachable entries have
	case l.admitOversized(s, n):
		return 0, 0
	}
	return concurrent, SettleTime(l.group.reachable) / 2
}

// admitOversized admits a request that exceeds this entry's share but fits into the free
// tokens of all reachable entries. One entry at a time may do so: the owner of the limit's
// key, which changes each settle time.
func (l *Limiter) admitOversized(s *workspaceUsage, n float64) bool {
	others := l.demandOf(s.hash).inUse
	turn := l.now().UnixNano() / int64(SettleTime(l.group.reachable))
	return !l.group.starting && s.inUse+others+n <= l.group.reachablePart(s.limits[concurrent]) &&
		l.seams.Owns(fmt.Sprintf("limit/%d/%d", s.hash, turn))
}

// retryDelay converts seconds to a duration of at most maxRetryAfter.
func retryDelay(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// addDemand adds a request of n tokens to the average demand.
func (s *workspaceUsage) addDemand(n float64) {
	s.demand[requests] += 1 / demandWindow.Seconds()
	s.demand[tokens] += n / demandWindow.Seconds()
}

// consume takes the cost of a request of n tokens from the buckets.
func (s *workspaceUsage) consume(n float64) {
	for kind, cost := range [2]float64{1, n} {
		if s.limits[kind] > 0 {
			s.level[kind] -= cost
		}
	}
	s.inUse += n
}

func (s *workspaceUsage) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	s.demand[requests] *= factor
	s.demand[tokens] *= factor
	s.refusedConcurrent *= factor
	s.demand[concurrent] = s.inUse + s.refusedConcurrent
}

// refresh updates the group and the sums of the other entries' demand, at most once each
// refreshInterval.
func (l *Limiter) refresh() {
	now := l.now()
	if now.Sub(l.refreshed) < refreshInterval {
		return
	}
	l.refreshed = now
	reach, known := l.seams.EntryCounts()
	delay := SettleTime(known)
	l.reachable.set(float64(reach), delay, now) // a new entry's demand is not known at first
	l.group = group{
		reachable: max(1, int(l.reachable.get())), known: max(1, known), starting: now.Sub(l.started) < startupPeriod && known > 1,
	}
	clear(l.peerDemand)
	seen := map[demandKey]bool{}
	for _, r := range l.seams.Reports() {
		for _, d := range r.GetDemands() {
			k := demandKey{r.GetVm(), d.GetWorkspace()}
			seen[k] = true
			l.recordDemand(k, d, delay)
		}
	}
	for k, wanted := range l.peerWanted {
		if !seen[k] && !l.expireDemand(wanted, delay) {
			delete(l.peerWanted, k)
			continue
		}
		l.addWanted(k.workspace, wanted)
	}
	for _, s := range l.workspaces {
		for kind := range s.settled {
			s.settled[kind].set(s.reported[kind], delay, now)
		}
	}
}

// recordDemand records the demand in another entry's report. A decrease of what it wants takes
// effect after the delay, while the tokens in use count at once.
func (l *Limiter) recordDemand(k demandKey, d *memberwire.Demand, delay time.Duration) {
	wanted := l.peerWanted[k]
	if wanted == nil {
		wanted = &[numKinds]delayedFall{}
		l.peerWanted[k] = wanted
	}
	for kind, v := range [numKinds]float64{decodeDemand(d.GetRequests()), decodeDemand(d.GetTokens()), decodeDemand(d.GetWanted())} {
		wanted[kind].set(v, delay, l.now())
	}
	l.addInUse(k.workspace, decodeDemand(d.GetUsed()))
}

// expireDemand sets demand that is no longer reported to 0 after the delay, and reports
// whether any remains.
func (l *Limiter) expireDemand(wanted *[numKinds]delayedFall, delay time.Duration) bool {
	remaining := false
	for kind := range wanted {
		wanted[kind].set(0, delay, l.now())
		remaining = remaining || wanted[kind].value > 0
	}
	return remaining
}

func (l *Limiter) demandOf(workspace uint32) *demand {
	d := l.peerDemand[workspace]
	if d == nil {
		d = &demand{}
		l.peerDemand[workspace] = d
	}
	return d
}

func (l *Limiter) addInUse(workspace uint32, n float64) { l.demandOf(workspace).inUse += n }

func (l *Limiter) addWanted(workspace uint32, wanted *[numKinds]delayedFall) {
	d := l.demandOf(workspace)
	for kind := range wanted {
		d.wanted[kind] += wanted[kind].value
	}
}

// Report adds the demand of the workspaces with the highest pressure to r, at most
// maxReportedDemands.
func (l *Limiter) Report(r *memberwire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh()
	now := l.now()
	var candidates []*workspaceUsage
	for _, name := range slices.Sorted(maps.Keys(l.workspaces)) {
		s := l.workspaces[name]
		if now.Sub(s.lastActive) >= idleTimeout && s.inUse == 0 {
			delete(l.workspaces, name)
			continue
		}
		s.decay(now.Sub(s.updated))
		s.level = l.refilled(s, now.Sub(s.updated))
		s.updated = now
		if l.pressure(s) > evenFraction/2 {
			candidates = append(candidates, s)
		} else {
			s.reported = [numKinds]float64{}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workspaceUsage) int { return cmp.Compare(l.pressure(b), l.pressure(a)) })
	for i, s := range candidates {
		s.reported = [numKinds]float64{}
		if i >= maxReportedDemands {
			continue
		}
		for kind, v := range s.demand {
			s.reported[kind] = decodeDemand(encodeDemand(v))
		}
		r.Demands = append(r.Demands, &memberwire.Demand{
			Workspace: s.hash, Requests: encodeDemand(s.demand[requests]), Tokens: encodeDemand(s.demand[tokens]),
			Wanted: encodeDemand(s.demand[concurrent]), Used: encodeDemand(s.inUse),
		})
	}
}

func (l *Limiter) refilled(s *workspaceUsage, elapsed time.Duration) (level [2]float64) {
	for kind := range level {
		level[kind] = min(l.burst(s, kind), s.level[kind]+l.share(s, kind)*elapsed.Seconds())
	}
	return level
}

// pressure returns the workspace's demand relative to this entry's even part of the limit,
// for the limit where that is highest.
func (l *Limiter) pressure(s *workspaceUsage) float64 {
	highest := 0.0
	for kind, limit := range s.limits {
		if limit > 0 {
			highest = max(highest, s.demand[kind]*float64(l.group.known)/limit)
		}
	}
	return highest
}

// encodeDemand rounds v up to a power of demandStep and returns its exponent, which takes one
// byte in a report. 0 means no demand.
func encodeDemand(v float64) uint32 {
	if v < minDemand {
		return 0
	}
	return uint32(1 + math.Ceil(math.Log(v/minDemand)/math.Log(demandStep)))
}

// decodeDemand returns the demand of a code of encodeDemand.
func decodeDemand(code uint32) float64 {
	if code == 0 {
		return 0
	}
	return minDemand * math.Pow(demandStep, float64(code-1))
}

// State is the Limiter's part of the state dump.
type State struct {
	Reach      int              `json:"reach"`
	Known      int              `json:"known"`
	Refused    map[Reason]int64 `json:"refused"`
	Workspaces []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is a workspace's part of the state dump, with this entry's shares and demand.
type WorkspaceState struct {
	Workspace        string  `json:"workspace"`
	RequestsShare    float64 `json:"requestsShare"`
	TokensShare      float64 `json:"tokensShare"`
	ConcurrentShare  float64 `json:"concurrentShare"`
	RequestsWanted   float64 `json:"requestsWanted"`
	TokensWanted     float64 `json:"tokensWanted"`
	ConcurrentTokens float64 `json:"concurrentTokens"`
}

// State returns the Limiter's part of the state dump.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh()
	st := State{Reach: l.group.reachable, Known: l.group.known, Refused: maps.Clone(l.refused), Workspaces: []WorkspaceState{}}
	for _, name := range slices.Sorted(maps.Keys(l.workspaces)) {
		s := l.workspaces[name]
		st.Workspaces = append(st.Workspaces, WorkspaceState{
			Workspace: name, RequestsShare: l.share(s, requests), TokensShare: l.share(s, tokens),
			ConcurrentShare: l.share(s, concurrent), RequestsWanted: s.demand[requests], TokensWanted: s.demand[tokens],
			ConcurrentTokens: s.inUse,
		})
	}
	return st
}
