// Package scheduler decides which requests of a deployment an entry admits, in what order
// queued requests run and on which engines. It does no I/O: the clock, the random source
// and the hints about cached prefixes are passed in as functions.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/fair"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/rule"
)

const (
	stretchWindowSamples  = 40
	tokenGapWindowSamples = 100
	// Mean deviations above the mean at which deadlines are planned.
	stretchDeviations  = 5
	tokenGapDeviations = 1
	// flowTau is the time constant of the rates at which tokens are sent. Their initial
	// values count as much as a measurement over flowWeight.
	flowTau    = 10 * time.Second
	flowWeight = 5 * time.Second
	// prefillEfficiency is the share of the nominal prefill rate that engines reach in
	// batches with decodes.
	prefillEfficiency = 0.62
	maxUtilization    = 0.95
	// Above a utilization of busyUtilization by short and medium prompts, big ones are
	// limited to bigShare of the prefill rate. Above mediumWaitUtilization, medium prompts
	// wait if a big prefill of the entry is at risk of missing its deadline.
	busyUtilization       = 0.5
	mediumWaitUtilization = 0.75
	bigShare              = 0.12
	// maxBigCreditTokens bounds the unused share that accumulates for big prompts.
	maxBigCreditTokens = 100_000
	defaultStretch     = 1.5
	// Estimates decay if no sample has come for this time, so that samples from an outage
	// do not refuse work for good. Prompts above the short class are rare.
	decayIdle              = 30 * time.Second
	decayIdleRare          = 5 * time.Minute
	defaultTokenGapSeconds = 0.06
	meterTau               = 10 * time.Second
	meterWeight            = 2 * time.Second
	// Answers are planned to end before the deadline by deadlineMargin plus
	// deadlineMarginShare of the remaining time.
	deadlineMargin      = 200 * time.Millisecond
	deadlineMarginShare = 0.04
	// secondsPerPriority is by how much a point of rule priority moves a request forward in
	// its queue.
	secondsPerPriority = 5
	// maxFairnessPenaltySeconds bounds by how much the usage of a workspace moves its
	// requests back in the queue.
	maxFairnessPenaltySeconds = 60
	// queueLookAhead is how many requests at the head of a queue are tried, so that one
	// without a suitable engine does not block those behind it.
	queueLookAhead = 4
	// minHoldRetryDelay is the minimum delay after a failure to hold a group. With jitter it
	// is up to twice as long.
	minHoldRetryDelay = 250 * time.Millisecond
	// entryCountInterval is the time for which the number of entries is cached.
	entryCountInterval = time.Second
	// tooLargeRetryAfter is the retry time of a request that needs a larger fleet.
	tooLargeRetryAfter = 30 * time.Second
)

// initialDrainShare is the share of the entry's prefill rate at which the queue of a class
// is assumed to drain until the rate is measured.
var initialDrainShare = [length.Count]float64{0.5, 0.5, 0.3, 0.2}

// initialFlowShare is the share of the entry's prefill rate that a class is assumed to use
// until it is measured. It is not zero because a new entry joins a fleet that is in use.
var initialFlowShare = [length.Count]float64{0.15, 0.15, 0, 0}

// classOffsetSeconds is added to the queue keys of a class, which orders the heads of
// different queues.
var classOffsetSeconds = [length.Count]float64{0, 10, 30, 60}

// Settings configure a pool.
type Settings struct {
	Domain string // the entry's failure domain
	Now    func() time.Time
	Rand   func(n int) int // returns 0 to n-1
	// Cached estimates how many leading blocks an upstream has cached. It may be nil.
	Cached func(upstream string, blocks []uint64) int
	// Entries returns the number of entries that share the engines. Nil means one.
	Entries func() int
}

// Shared is the state that the pools of an entry share.
type Shared struct {
	Bounds  *queue.Bounds
	Retries *retry.Budget
	Running *rule.Counter
}

// Pool is the scheduler of a deployment. It is not safe for concurrent use.
type Pool struct {
	cfg           Settings
	shared        Shared
	epoch         time.Time
	engines       []*model.Engine
	localEngines  []*model.Engine   // in the entry's failure domain
	remoteEngines []*model.Engine   // in other failure domains
	domains       [][]*model.Engine // engines by failure domain: the entry's first, then by name
	groupEngines  map[string]int    // engines that this pool's groups use, by failure domain
	largestMemory int               // largest engine memory in tokens, as of the last checkFeasible
	totalRate     float64           // prefill tokens per second of all engines
	queues        [length.Count]*queue.Queue[*Ticket]
	clock         *fair.Clock
	meters        [length.Count]estimate.Meter  // tokens per second that leave the queue
	stretch       [length.Count]estimate.Moving // ratio of measured to ideal time to the first token
	flows         [length.Count]estimate.Flow   // tokens per second sent to engines
	tokenGap      estimate.Moving               // seconds between tokens
	bigPrefills   map[*Ticket]struct{}          // placed big prompts before their first token
	entries       int                           // that share the engines, as of countedAt
	countedAt     time.Time
	bigCredit     float64 // tokens that big prompts may prefill while busy
	bigCreditAt   time.Time
	counts        Counts
}

// Counts are the totals of a pool's decisions.
type Counts struct {
	Placed  int `json:"placed"`
	Queued  int `json:"queued"`
	Refused int `json:"refused"`
	Expired int `json:"expired"` // refused after being queued
	Spilled int `json:"spilled"` // placed in another failure domain
}

// New returns a pool without engines, which SetEngines adds.
func New(cfg Settings, shared Shared) *Pool {
	p := &Pool{cfg: cfg, shared: shared, epoch: cfg.Now(), groupEngines: map[string]int{}, bigPrefills: map[*Ticket]struct{}{}, clock: fair.NewClock(), tokenGap: estimate.NewMoving(tokenGapWindowSamples)}
	for c := range p.queues {
		p.queues[c] = queue.New[*Ticket](shared.Bounds)
		p.stretch[c] = estimate.NewMoving(stretchWindowSamples)
	}
	return p
}

// SetEngines replaces the engines.
func (p *Pool) SetEngines(engines []*model.Engine) {
	first := p.totalRate == 0
	p.engines, p.localEngines, p.remoteEngines, p.domains, p.totalRate = engines, nil, nil, nil, 0
	byDomain := map[string][]*model.Engine{}
	for _, e := range engines {
		p.totalRate += e.Rate()
		byDomain[e.Domain()] = append(byDomain[e.Domain()], e)
		if e.Domain() == p.cfg.Domain {
			p.localEngines = append(p.localEngines, e)
		} else {
			p.remoteEngines = append(p.remoteEngines, e)
		}
	}
	for _, list := range byDomain {
		p.domains = append(p.domains, list)
	}
	slices.SortFunc(p.domains, func(a, b []*model.Engine) int {
		return cmp.Or(cmp.Compare(p.distance(a[0]), p.distance(b[0])), strings.Compare(a[0].Domain(), b[0].Domain()))
	})
	if first {
		for c := range p.meters {
			p.meters[c] = estimate.NewMeter(meterTau, meterWeight, p.entryRate()*initialDrainShare[c])
			p.flows[c] = estimate.NewFlow(flowTau, flowWeight, p.entryRate()*initialFlowShare[c], p.epoch)
		}
	}
}

func (p *Pool) distance(e *model.Engine) int {
	if e.Domain() == p.cfg.Domain {
		return 0
	}
	return 1
}

// entryRate returns this entry's equal share of the prefill rate, in tokens per second.
func (p *Pool) entryRate() float64 {
	if p.cfg.Entries == nil {
		return p.totalRate
	}
	if now := p.cfg.Now(); p.entries == 0 || now.Sub(p.countedAt) > entryCountInterval {
		p.entries, p.countedAt = max(1, p.cfg.Entries()), now
	}
	return p.totalRate / float64(p.entries)
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int {
	n := 0
	for _, l := range p.queues {
		n += l.Len()
	}
	return n
}

// Counts returns the totals.
func (p *Pool) Counts() Counts { return p.counts }

// ClassEstimate holds the measured values of a length class.
type ClassEstimate struct {
	Class         string  `json:"class"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waitingTokens"`
	DrainRate     float64 `json:"drainRate"` // tokens per second that leave the queue
	SentRate      float64 `json:"sentRate"`  // tokens per second sent to engines
	Stretch       float64 `json:"stretch"`   // ratio of measured to ideal time to the first token
}

// Estimates returns the measured values of all classes, shortest first.
func (p *Pool) Estimates() []ClassEstimate {
	now := p.cfg.Now()
	var out []ClassEstimate
	for c, q := range p.queues {
		out = append(out, ClassEstimate{
			Class: length.Class(c).String(), Waiting: q.Len(), WaitingTokens: q.Work(),
			DrainRate: math.Round(p.meters[c].Rate()), SentRate: math.Round(p.flows[c].Rate(now)),
			Stretch: p.stretch[c].Mean(defaultStretch),
		})
	}
	return out
}

// Submit admits a request or refuses it with an Error. The ticket is placed or queued.
func (p *Pool) Submit(j Job) (*Ticket, error) {
	now := p.cfg.Now()
	p.decayEstimates(now)
	t := &Ticket{job: j, class: length.Of(j.Tokens)}
	err := p.admit(t, now)
	if err != nil {
		p.counts.Refused++
		return nil, err
	}
	return t, nil
}

// decayEstimates decays estimates without recent samples towards their defaults.
func (p *Pool) decayEstimates(now time.Time) {
	p.tokenGap.Fade(now, decayIdle, defaultTokenGapSeconds)
	for c := range p.stretch {
		idle := decayIdle
		if length.Class(c) != length.Short {
			idle = decayIdleRare
		}
		p.stretch[c].Fade(now, idle, defaultStretch)
	}
}

func (p *Pool) admit(t *Ticket, now time.Time) error {
	if by := t.job.Verdict.RefusedBy(); by != "" {
		return refuse("admit", KindRule, maxRetryAfter, "refused by rule %q", by)
	}
	if err := p.checkFeasible(t, now); err != nil {
		return err
	}
	if len(t.job.Tried) == 0 {
		p.shared.Retries.Request(t.job.Workspace)
	} else if !p.shared.Retries.Retry(t.job.Workspace) {
		return refuse("admit", KindRetries, minRetryAfter, "retry budget of workspace %q is used up", t.job.Workspace)
	}
	if by := p.shared.Running.Take(t.job.Verdict); by != "" {
		return refuse("admit", KindRule, minRetryAfter, "concurrency limit of rule %q is reached", by)
	}
	err := p.placeOrQueue(t, now)
	if err != nil {
		p.shared.Running.Release(t.job.Verdict)
	}
	return err
}

// checkFeasible refuses a request that no engine or group could run even if idle. It sets
// t.grouped and p.largestMemory.
func (p *Pool) checkFeasible(t *Ticket, now time.Time) error {
	p.largestMemory = 0
	usable := 0
	for _, e := range p.engines {
		if usable >= maxScannedEngines && t.job.need() <= p.largestMemory {
			break // enough to choose from, and one that holds it
		}
		e.Sync()
		if e.Usable(now) && !t.job.Tried[e.Name()] {
			usable++
			p.largestMemory = max(p.largestMemory, e.Memory())
		}
	}
	if usable == 0 {
		return refuse("admit", KindNoEngine, 2*minRetryAfter, "none of %d engines is usable", len(p.engines))
	}
	if t.grouped = t.job.need() > p.largestMemory; !t.grouped {
		return nil
	}
	for _, d := range p.domains {
		if group.Possible(d, t.job.need(), now) {
			return nil
		}
	}
	return refuse("admit", KindTooLarge, tooLargeRetryAfter, "no group of engines can hold %d tokens", t.job.need())
}

// placeOrQueue places the request, or queues it if it can still meet its deadline.
func (p *Pool) placeOrQueue(t *Ticket, now time.Time) error {
	t.startTag = p.clock.Tag(t.job.Workspace, t.weight(), t.cost())
	t.key = p.rank(t, now)
	q := p.queues[t.class]
	if (q.Len() == 0 || t.key < q.At(0).Key()) && p.place(t, now) {
		return nil
	}
	p.meters[t.class].Advance(now, q.Len() > 0)
	finish := now.Add(p.queueWait(t)).Add(p.plannedService(t))
	if late := finish.Sub(finishBy(t, now)); late > 0 {
		p.clock.Refund(t.job.Workspace, t.weight(), t.cost())
		return refuse("admit", KindBusy, late, "%d tokens are ahead in the queue", q.Ahead(t.key))
	}
	if !p.enqueue(t, now) {
		p.clock.Refund(t.job.Workspace, t.weight(), t.cost())
		return refuse("admit", KindQueueFull, p.queueWait(t), "%d requests are queued", p.shared.Bounds.Count())
	}
	p.counts.Queued++
	return nil
}

func (p *Pool) enqueue(t *Ticket, now time.Time) bool {
	q := p.queues[t.class]
	t.item = q.Push(t, t.key, t.job.Tokens, t.job.Bytes)
	p.meters[t.class].Advance(now, q.Len() > 0)
	return t.item != nil
}

// rank returns the queue key of a request: the latest time to start, in seconds since the
// epoch of the pool, adjusted by class, by rule priority and by the usage of its workspace.
// As the key is an absolute time, requests that wait move ahead of newer ones.
func (p *Pool) rank(t *Ticket, now time.Time) float64 {
	start := finishBy(t, now).Add(-p.plannedService(t)).Sub(p.epoch).Seconds()
	penalty := min(p.clock.Ahead(t.startTag)/max(p.entryRate(), 1), maxFairnessPenaltySeconds)
	return start + classOffsetSeconds[t.class] + penalty - secondsPerPriority*float64(t.job.Verdict.Priority())
}

// finishBy returns the time by which the answer has to be complete.
func finishBy(t *Ticket, now time.Time) time.Time {
	left := t.job.Deadline.Sub(now)
	return t.job.Deadline.Add(-deadlineMargin - time.Duration(deadlineMarginShare*float64(max(left, 0))))
}

// queueWait returns the time that the requests ahead in the queue need to drain.
func (p *Pool) queueWait(t *Ticket) time.Duration {
	ahead := p.queues[t.class].Ahead(t.key)
	return seconds(float64(ahead) / max(p.meters[t.class].Rate(), 1))
}

// plannedService returns the planned time from the placement of a request to the end of its
// answer.
func (p *Pool) plannedService(t *Ticket) time.Duration { return p.plannedTime(t, p.ideal(t), 1) }

// ideal returns the time to the first token on an idle engine.
func (p *Pool) ideal(t *Ticket) time.Duration {
	rate := max(p.totalRate/float64(max(len(p.engines), 1)), 1)
	if t.grouped {
		rate *= float64((t.job.need()-1)/max(p.largestMemory, 1) + 1)
	}
	return seconds(float64(t.job.Tokens)/rate) + minFirstToken
}

// bestCaseTime returns the time from placement to the end of the answer, without the
// safety allowances of plannedTime.
func (p *Pool) bestCaseTime(t *Ticket) time.Duration {
	first := p.stretch[t.class].Mean(1) * p.ideal(t).Seconds()
	return seconds(first + float64(t.outputTokens())*p.tokenGap.Mean(0))
}

// plannedTime returns the time from placement to the end of the answer on an engine with
// the given slowdown. Ideal is the predicted time to the first token.
func (p *Pool) plannedTime(t *Ticket, ideal time.Duration, slowdown float64) time.Duration {
	stretch := max(p.stretch[t.class].High(stretchDeviations, defaultStretch), 1/(1-p.utilization(t.class)))
	return seconds(stretch*ideal.Seconds() + float64(t.outputTokens())*p.tokenGap.High(tokenGapDeviations, defaultTokenGapSeconds)*slowdown)
}

// busy reports whether short and medium prompts use more than busyUtilization.
func (p *Pool) busy() bool { return p.utilization(length.Large) > busyUtilization }

// utilization returns the share of the prefill rate that classes shorter than c use.
func (p *Pool) utilization(c length.Class) float64 {
	now, sum := p.cfg.Now(), 0.0
	for s := range c {
		sum += p.flows[s].Rate(now)
	}
	return min(sum/max(prefillEfficiency*p.entryRate(), 1), maxUtilization)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Dispatch places queued requests on engines with capacity and refuses those that can no
// longer meet their deadlines. Call it after each change and periodically.
func (p *Pool) Dispatch() {
	if p.Waiting() == 0 {
		return
	}
	now := p.cfg.Now()
	for c, q := range p.queues {
		p.meters[c].Advance(now, q.Len() > 0)
	}
	p.expire(now)
	for c := length.Short; !c.Big(); c++ {
		for p.placeNext(c, now) {
			continue
		}
	}
	for p.placeNextBig(now) {
		continue
	}
}

// expire refuses queued requests that can no longer meet their deadlines.
func (p *Pool) expire(now time.Time) {
	for _, q := range p.queues {
		late := q.TakeFunc(func(t *Ticket) bool { return now.Add(p.bestCaseTime(t)).After(finishBy(t, now)) })
		for _, t := range late {
			p.counts.Expired++
			p.clock.Refund(t.job.Workspace, t.weight(), t.cost())
			p.fail(t, refuse("wait", KindTooLate, minRetryAfter, "the deadline can't be met any more"))
		}
	}
}

func (p *Pool) fail(t *Ticket, err error) {
	t.state, t.err, t.item = stateDone, err, nil
	p.shared.Running.Release(t.job.Verdict)
	t.notify()
}

func (t *Ticket) notify() {
	if t.job.Notify != nil {
		t.job.Notify()
	}
}

// placeNext places the first of the queueLookAhead requests at the head of a queue for
// which there is an engine, and reports whether there was one.
func (p *Pool) placeNext(c length.Class, now time.Time) bool {
	q := p.queues[c]
	for i := range min(q.Len(), queueLookAhead) {
		it := q.At(i)
		t := it.Value()
		if now.Before(t.notBefore) || !p.place(t, now) {
			continue
		}
		q.Remove(it)
		p.meters[c].Add(float64(t.job.Tokens))
		p.meters[c].Advance(now, q.Len() > 0)
		t.item = nil
		t.notify()
		return true
	}
	return false
}

// placeNextBig places a request of a big class, trying the queue whose head has the lower
// key first.
func (p *Pool) placeNextBig(now time.Time) bool {
	a, b := length.Large, length.Long
	if p.headKey(b) < p.headKey(a) {
		a, b = b, a
	}
	return p.placeNext(a, now) || p.placeNext(b, now)
}

func (p *Pool) headKey(c length.Class) float64 {
	if p.queues[c].Len() == 0 {
		return 1e18
	}
	return p.queues[c].At(0).Key()
}
