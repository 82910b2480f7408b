// Package limits keeps the limits of workspaces across entries: each entry has a
// share of a limit that follows the demand, without a coordinator.
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
	// burstTime is how much of its even part an entry may save up, so that demand
	// that moves to it is served until its share has grown.
	burstTime = 2 * time.Second
	// demandTime is over what time demand is averaged.
	demandTime = 5 * time.Second
	// indexEvery is how old the sums of the others' demand may be.
	indexEvery = 250 * time.Millisecond
	idleAfter  = time.Minute
	maxDemands = 16 // workspaces in a report
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Minute
	// told demand is rounded to steps, so that reports change seldom.
	demandStep  = 1.25
	demandLeast = 1e-2
)

// Reason tells which limit refused a request.
type Reason string

// The limits of a workspace.
const (
	ReasonRequests   Reason = "requests_per_second"
	ReasonTokens     Reason = "tokens_per_second"
	ReasonConcurrent Reason = "concurrent_tokens"
)

// Seams are what a limiter needs of the membership.
type Seams struct {
	// Shares returns how many entries can be reached and how many may be serving.
	Shares func() (reach, known int)
	// Reports returns the newest reports of the other entries.
	Reports func() []*memberwire.Report
	// Turn reports whether this entry is the one of its failure domain that a key
	// falls to.
	Turn func(key string) bool
}

// kinds of limits, as indexes
const (
	requests = iota
	tokens
	concurrent
	kinds
)

var reasons = [kinds]Reason{ReasonRequests, ReasonTokens, ReasonConcurrent}

// Limiter holds this entry's shares. Its methods may be called from any goroutine.
type Limiter struct {
	seams   Seams
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	spaces  map[string]*space
	others  map[uint32]*demand // by hash of the workspace
	held    map[heldKey]*[kinds]highHold
	indexed time.Time
	reach   lowHold
	group   group
	refused map[Reason]int64
}

type heldKey struct {
	vm        string
	workspace uint32
}

// demand is the sum of what other entries want and use of a workspace.
type demand struct {
	wanted [kinds]float64
	used   float64 // concurrent tokens
}

// space is a workspace at this entry.
type space struct {
	hash    uint32
	limits  [kinds]float64
	want    [kinds]float64 // averaged; the concurrent tokens in use and refused lately
	told    [kinds]float64
	own     [kinds]lowHold
	level   [2]float64 // saved up requests and tokens
	used    float64    // concurrent tokens
	refused float64    // concurrent tokens, decaying
	at      time.Time  // of want and level
	active  time.Time
}

// New returns a limiter.
func New(seams Seams) *Limiter {
	return &Limiter{
		seams: seams, now: time.Now, started: time.Now(),
		spaces: map[string]*space{}, others: map[uint32]*demand{}, held: map[heldKey]*[kinds]highHold{},
		refused: map[Reason]int64{},
	}
}

// Limit takes a request of so many tokens from this entry's shares. Where one is
// used up it returns false, when a retry may succeed, and the reason. The release
// function gives the concurrent tokens back and may be called more than once.
func (l *Limiter) Limit(workspace string, spec resource.Limits, n int) (release func(), retryAfter time.Duration, ok bool) {
	if spec == (resource.Limits{}) {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index()
	s := l.space(workspace, spec)
	s.note(float64(n))
	if kind, after := l.admit(s, float64(n)); after > 0 {
		l.refused[reasons[kind]]++
		s.refused = max(s.refused, float64(n))
		return nil, min(max(after, retryLeast), retryMost), false
	}
	s.take(float64(n))
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.used -= float64(n)
	}), 0, true
}

// space returns the workspace's state, brought up to now.
func (l *Limiter) space(workspace string, spec resource.Limits) *space {
	now := l.now()
	s := l.spaces[workspace]
	fresh := s == nil
	if fresh {
		s = &space{hash: uint32(xxh3.HashString(workspace)), at: now}
		l.spaces[workspace] = s
	}
	s.limits = [kinds]float64{spec.RequestsPerSecond, spec.TokensPerSecond, float64(spec.ConcurrentTokens)}
	s.active = now
	passed := now.Sub(s.at)
	s.decay(passed)
	s.at = now
	for kind := range s.level {
		share, burst := l.share(s, kind), l.burst(s, kind)
		s.level[kind] = min(burst, s.level[kind]+share*passed.Seconds())
		if fresh {
			s.level[kind] = min(burst, l.startLevel(s, kind))
		}
	}
	return s
}

// startLevel is what a workspace that was not seen here before may use at once.
func (l *Limiter) startLevel(s *space, kind int) float64 {
	if l.group.starting {
		return 1
	}
	return l.burst(s, kind)
}

// burst is the most that is saved up.
func (l *Limiter) burst(s *space, kind int) float64 {
	g := l.group
	return max(1, g.part(s.limits[kind])/float64(g.reach)*burstTime.Seconds())
}

func (l *Limiter) share(s *space, kind int) float64 {
	var others demand
	if o := l.others[s.hash]; o != nil {
		others = *o
	}
	share := l.group.share(s.limits[kind], s.own[kind].get(), others.wanted[kind])
	if kind == concurrent { // what others still use of a larger share is not free
		share = min(share, max(0, l.group.part(s.limits[kind])-others.used))
	}
	return share
}

// admit returns the limit that refuses a request and when to retry, or 0.
func (l *Limiter) admit(s *space, n float64) (kind int, after time.Duration) {
	cost := [2]float64{1, n}
	for kind := range s.level {
		if s.limits[kind] == 0 {
			continue
		}
		// A request larger than what can be saved up leaves a debt.
		if missing := min(cost[kind], l.burst(s, kind)) - s.level[kind]; missing > 0 {
			return kind, seconds(missing / l.share(s, kind))
		}
	}
	limit := s.limits[concurrent]
	switch {
	case limit == 0 || s.used+n <= l.share(s, concurrent):
		return 0, 0
	case n > l.group.part(limit):
		return concurrent, retryMost // it does not fit here at all
	case l.outsize(s, n):
		return 0, 0
	}
	return concurrent, SettleTime(l.group.reach) / 2
}

// outsize admits a request that is larger than this entry's share, where all of
// the limit that is free would hold it. One entry at a time may do that.
func (l *Limiter) outsize(s *space, n float64) bool {
	others := l.of(s.hash).used
	slot := l.now().UnixNano() / int64(SettleTime(l.group.reach))
	return !l.group.starting && s.used+others+n <= l.group.part(s.limits[concurrent]) &&
		l.seams.Turn(fmt.Sprintf("limit/%d/%d", s.hash, slot))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, retryMost.Seconds()) * float64(time.Second))
}

// note adds a request to the demand.
func (s *space) note(n float64) {
	s.want[requests] += 1 / demandTime.Seconds()
	s.want[tokens] += n / demandTime.Seconds()
}

// take uses up what a request costs.
func (s *space) take(n float64) {
	for kind, cost := range [2]float64{1, n} {
		if s.limits[kind] > 0 {
			s.level[kind] -= cost
		}
	}
	s.used += n
}

func (s *space) decay(passed time.Duration) {
	f := math.Exp(-passed.Seconds() / demandTime.Seconds())
	s.want[requests] *= f
	s.want[tokens] *= f
	s.refused *= f
	s.want[concurrent] = s.used + s.refused
}

// index brings the group and the sums of the others' demand up to date.
func (l *Limiter) index() {
	now := l.now()
	if now.Sub(l.indexed) < indexEvery {
		return
	}
	l.indexed = now
	reach, known := l.seams.Shares()
	hold := SettleTime(known)
	l.reach.set(float64(reach), hold, now) // a newcomer's demand is not known at first
	l.group = group{
		reach: max(1, int(l.reach.get())), known: max(1, known), starting: now.Sub(l.started) < startFor && known > 1,
	}
	clear(l.others)
	seen := map[heldKey]bool{}
	for _, r := range l.seams.Reports() {
		for _, d := range r.GetDemands() {
			k := heldKey{r.GetVm(), d.GetWorkspace()}
			seen[k] = true
			l.hold(k, d, hold)
		}
	}
	for k, h := range l.held {
		if !seen[k] && !l.fade(h, hold) {
			delete(l.held, k)
			continue
		}
		l.add(k.workspace, h)
	}
	for _, s := range l.spaces {
		for kind := range s.own {
			s.own[kind].set(s.told[kind], hold, now)
		}
	}
}

// hold notes what another entry wants; a fall counts after a time.
func (l *Limiter) hold(k heldKey, d *memberwire.Demand, hold time.Duration) {
	h := l.held[k]
	if h == nil {
		h = &[kinds]highHold{}
		l.held[k] = h
	}
	for kind, v := range [kinds]float64{value(d.GetRequests()), value(d.GetTokens()), value(d.GetWanted())} {
		h[kind].set(v, hold, l.now())
	}
	l.use(k.workspace, value(d.GetUsed()))
}

// fade lets what is no longer reported fall, and reports whether something is left.
func (l *Limiter) fade(h *[kinds]highHold, hold time.Duration) bool {
	left := false
	for kind := range h {
		h[kind].set(0, hold, l.now())
		left = left || h[kind].value > 0
	}
	return left
}

func (l *Limiter) of(workspace uint32) *demand {
	d := l.others[workspace]
	if d == nil {
		d = &demand{}
		l.others[workspace] = d
	}
	return d
}

func (l *Limiter) use(workspace uint32, used float64) { l.of(workspace).used += used }

func (l *Limiter) add(workspace uint32, h *[kinds]highHold) {
	d := l.of(workspace)
	for kind := range h {
		d.wanted[kind] += h[kind].value
	}
}

// Report fills in the demand of the workspaces that want most of their shares.
func (l *Limiter) Report(r *memberwire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index()
	now := l.now()
	var pressed []*space
	for _, name := range slices.Sorted(maps.Keys(l.spaces)) {
		s := l.spaces[name]
		if now.Sub(s.active) >= idleAfter && s.used == 0 {
			delete(l.spaces, name)
			continue
		}
		s.decay(now.Sub(s.at))
		s.level = l.filled(s, now.Sub(s.at))
		s.at = now
		if l.pressure(s) > evenPart/2 {
			pressed = append(pressed, s)
		} else {
			s.told = [kinds]float64{}
		}
	}
	slices.SortStableFunc(pressed, func(a, b *space) int { return cmp.Compare(l.pressure(b), l.pressure(a)) })
	for i, s := range pressed {
		s.told = [kinds]float64{}
		if i >= maxDemands {
			continue
		}
		for kind, v := range s.want {
			s.told[kind] = value(code(v))
		}
		r.Demands = append(r.Demands, &memberwire.Demand{
			Workspace: s.hash, Requests: code(s.want[requests]), Tokens: code(s.want[tokens]),
			Wanted: code(s.want[concurrent]), Used: code(s.used),
		})
	}
}

func (l *Limiter) filled(s *space, passed time.Duration) (level [2]float64) {
	for kind := range level {
		level[kind] = min(l.burst(s, kind), s.level[kind]+l.share(s, kind)*passed.Seconds())
	}
	return level
}

// pressure is the demand in even parts of the limit that it presses most.
func (l *Limiter) pressure(s *space) float64 {
	most := 0.0
	for kind, limit := range s.limits {
		if limit > 0 {
			most = max(most, s.want[kind]*float64(l.group.known)/limit)
		}
	}
	return most
}

// code rounds up to a power of the step, which takes a byte in a report. 0 is none.
func code(v float64) uint32 {
	if v < demandLeast {
		return 0
	}
	return uint32(1 + math.Ceil(math.Log(v/demandLeast)/math.Log(demandStep)))
}

// value returns what a code stands for.
func value(code uint32) float64 {
	if code == 0 {
		return 0
	}
	return demandLeast * math.Pow(demandStep, float64(code-1))
}

// State is the limiter's part of the state dump.
type State struct {
	Reach      int              `json:"reach"`
	Known      int              `json:"known"`
	Refused    map[Reason]int64 `json:"refused"`
	Workspaces []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is a workspace of the state dump. Shares are this entry's.
type WorkspaceState struct {
	Workspace        string  `json:"workspace"`
	RequestsShare    float64 `json:"requestsShare"`
	TokensShare      float64 `json:"tokensShare"`
	ConcurrentShare  float64 `json:"concurrentShare"`
	RequestsWanted   float64 `json:"requestsWanted"`
	TokensWanted     float64 `json:"tokensWanted"`
	ConcurrentTokens float64 `json:"concurrentTokens"`
}

// State returns the limiter's part of the state dump.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index()
	st := State{Reach: l.group.reach, Known: l.group.known, Refused: maps.Clone(l.refused), Workspaces: []WorkspaceState{}}
	for _, name := range slices.Sorted(maps.Keys(l.spaces)) {
		s := l.spaces[name]
		st.Workspaces = append(st.Workspaces, WorkspaceState{
			Workspace: name, RequestsShare: l.share(s, requests), TokensShare: l.share(s, tokens),
			ConcurrentShare: l.share(s, concurrent), RequestsWanted: s.want[requests], TokensWanted: s.want[tokens],
			ConcurrentTokens: s.used,
		})
	}
	return st
}
