// Package scheduler decides on the requests of one deployment at one entry: which
// are admitted, in what order those that wait go, and where each runs. It is pure
// apart from its clock, its random source and its hints, which are functions.
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
	stretchWindow = 40 // samples
	gapWindow     = 100
	// deviations above the mean that a deadline is planned with
	stretchDeviations = 5
	gapDeviations     = 1
	// flowTau is the time over which the use by shorter classes is measured.
	flowTau    = 10 * time.Second
	flowWeight = 5 * time.Second
	// efficiency is the share of the nominal prefill rate that batches with decodes reach.
	efficiency = 0.62
	maxUse     = 0.95
	// busyUse is the use by short and medium prompts from which big ones are held
	// to a share of the engines, and mediumUse the one at which medium ones wait
	// until the entry's big ones under way are prefilled.
	busyUse   = 0.5
	mediumUse = 0.75
	bigShare  = 0.12
	// maxCredit is the most that big prompts save of their share, in tokens.
	maxCredit    = 100_000
	priorStretch = 1.5
	// What was learned fades where no samples came for so long. All but short prompts are rare.
	fadeAfter     = 30 * time.Second
	fadeRareAfter = 5 * time.Minute
	priorGap      = 0.06 // seconds between tokens
	meterTau      = 10 * time.Second
	meterWeight   = 2 * time.Second
	// margin is kept before a deadline, beside a share of the patience left.
	margin      = 200 * time.Millisecond
	marginShare = 0.04
	// ruleSeconds is how much slack a point of a rule's priority counts.
	ruleSeconds = 5
	// maxUnfair is the most by which the use of a workspace moves its requests back.
	maxUnfair = 60 // seconds
	// lookAhead is how many requests of a lane are tried where the first finds no engine.
	lookAhead = 4
	// holdRetry is the shortest wait after a group could not be held.
	holdRetry = 250 * time.Millisecond
	// countEvery is how often the entries are counted.
	countEvery = time.Second
	// tooLargeRetry is when to come back where the fleet as it stands is too small.
	tooLargeRetry = 30 * time.Second
)

// laneShare is the share of the fleet that a lane is taken to drain with until it
// is measured.
var laneShare = [length.Count]float64{0.5, 0.5, 0.3, 0.2}

// priorFlow is the share of the fleet that a class is taken to use until it is
// measured: a new entry presumes a fleet in use.
var priorFlow = [length.Count]float64{0.15, 0.15, 0, 0}

// laneOffset ranks the heads of lanes against each other, in seconds of slack.
var laneOffset = [length.Count]float64{0, 10, 30, 60}

// Settings are a pool's surroundings.
type Settings struct {
	Domain string // the entry's failure domain
	Now    func() time.Time
	Rand   func(n int) int // 0 to n-1
	// Cached returns how many leading blocks an upstream probably has cached. It
	// is a hint. Nil where there is none.
	Cached func(upstream string, blocks []uint64) int
	// Entries returns how many entries share the engines; nil means one.
	Entries func() int
}

// Shared is what the pools of an entry share.
type Shared struct {
	Bounds  *queue.Bounds
	Retries *retry.Budget
	Running *rule.Counter
}

// Pool is the scheduler of a deployment. It belongs to one goroutine at a time.
type Pool struct {
	cfg     Settings
	shared  Shared
	epoch   time.Time
	engines []*model.Engine
	own     []*model.Engine   // of the own failure domain
	others  []*model.Engine   // of the other ones
	domains [][]*model.Engine // the own one first, then by name
	groups  map[string]int    // engines that own groups have, by failure domain
	largest int               // tokens of the largest memory
	rate    float64           // of all engines
	lanes   [length.Count]*queue.Queue[*Ticket]
	clock   *fair.Clock
	meters  [length.Count]estimate.Meter
	stretch [length.Count]estimate.Moving // time to the first token over the ideal
	flows   [length.Count]estimate.Flow   // tokens sent
	gap     estimate.Moving               // seconds between tokens
	bigs    map[*Ticket]struct{}          // big prompts before their first token
	entries int                           // that share the engines, as counted last
	counted time.Time
	credit  float64 // tokens that big prompts may use while shorter ones take most
	credAt  time.Time
	counts  Counts
}

// Counts are totals of a pool's decisions.
type Counts struct {
	Placed  int `json:"placed"`
	Queued  int `json:"queued"`
	Refused int `json:"refused"`
	Expired int `json:"expired"` // refused after a wait
	Spilled int `json:"spilled"` // to another failure domain
}

// New returns a pool without engines.
func New(cfg Settings, shared Shared) *Pool {
	p := &Pool{cfg: cfg, shared: shared, epoch: cfg.Now(), groups: map[string]int{}, bigs: map[*Ticket]struct{}{}, clock: fair.NewClock(), gap: estimate.NewMoving(gapWindow)}
	for c := range p.lanes {
		p.lanes[c] = queue.New[*Ticket](shared.Bounds)
		p.stretch[c] = estimate.NewMoving(stretchWindow)
	}
	return p
}

// SetEngines replaces the engines.
func (p *Pool) SetEngines(engines []*model.Engine) {
	first := p.rate == 0
	p.engines, p.own, p.others, p.domains, p.rate = engines, nil, nil, nil, 0
	byDomain := map[string][]*model.Engine{}
	for _, e := range engines {
		p.rate += e.Rate()
		byDomain[e.Domain()] = append(byDomain[e.Domain()], e)
		if e.Domain() == p.cfg.Domain {
			p.own = append(p.own, e)
		} else {
			p.others = append(p.others, e)
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
			p.meters[c] = estimate.NewMeter(meterTau, meterWeight, p.share()*laneShare[c])
			p.flows[c] = estimate.NewFlow(flowTau, flowWeight, p.share()*priorFlow[c], p.epoch)
		}
	}
}

func (p *Pool) distance(e *model.Engine) int {
	if e.Domain() == p.cfg.Domain {
		return 0
	}
	return 1
}

// share returns the prefill tokens a second that are this entry's part.
func (p *Pool) share() float64 {
	if p.cfg.Entries == nil {
		return p.rate
	}
	if now := p.cfg.Now(); p.entries == 0 || now.Sub(p.counted) > countEvery {
		p.entries, p.counted = max(1, p.cfg.Entries()), now
	}
	return p.rate / float64(p.entries)
}

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int {
	n := 0
	for _, l := range p.lanes {
		n += l.Len()
	}
	return n
}

// Counts returns the totals.
func (p *Pool) Counts() Counts { return p.counts }

// ClassEstimate is what a pool has learned of a class of length.
type ClassEstimate struct {
	Class         string  `json:"class"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waitingTokens"`
	DrainRate     float64 `json:"drainRate"` // tokens a second that leave the queue
	SentRate      float64 `json:"sentRate"`  // tokens a second sent to engines
	Stretch       float64 `json:"stretch"`   // time to the first token over that on an idle engine
}

// Estimates returns what the pool has learned, by class.
func (p *Pool) Estimates() []ClassEstimate {
	now := p.cfg.Now()
	var out []ClassEstimate
	for c, lane := range p.lanes {
		out = append(out, ClassEstimate{
			Class: length.Class(c).String(), Waiting: lane.Len(), WaitingTokens: lane.Work(),
			DrainRate: math.Round(p.meters[c].Rate()), SentRate: math.Round(p.flows[c].Rate(now)),
			Stretch: p.stretch[c].Mean(priorStretch),
		})
	}
	return out
}

// Submit admits a request or refuses it at once. The ticket is placed or waits.
func (p *Pool) Submit(j Job) (*Ticket, error) {
	now := p.cfg.Now()
	p.fade(now)
	t := &Ticket{job: j, class: length.Of(j.Tokens)}
	err := p.admit(t, now)
	if err != nil {
		p.counts.Refused++
		return nil, err
	}
	return t, nil
}

// fade lets go of what was learned long ago.
func (p *Pool) fade(now time.Time) {
	p.gap.Fade(now, fadeAfter, priorGap)
	for c := range p.stretch {
		quiet := fadeAfter
		if length.Class(c) != length.Short {
			quiet = fadeRareAfter
		}
		p.stretch[c].Fade(now, quiet, priorStretch)
	}
}

func (p *Pool) admit(t *Ticket, now time.Time) error {
	if by := t.job.Verdict.RefusedBy(); by != "" {
		return refuse("admit", KindRule, maxRetryAfter, "rule %q refuses it", by)
	}
	if err := p.possible(t, now); err != nil {
		return err
	}
	if len(t.job.Tried) == 0 {
		p.shared.Retries.Request(t.job.Workspace)
	} else if !p.shared.Retries.Retry(t.job.Workspace) {
		return refuse("admit", KindRetries, minRetryAfter, "workspace %q has no retries left", t.job.Workspace)
	}
	if by := p.shared.Running.Take(t.job.Verdict); by != "" {
		return refuse("admit", KindRule, minRetryAfter, "limit of rule %q is reached", by)
	}
	err := p.enter(t, now)
	if err != nil {
		p.shared.Running.Release(t.job.Verdict)
	}
	return err
}

// possible refuses what no engine or group could run if it were idle.
func (p *Pool) possible(t *Ticket, now time.Time) error {
	p.largest = 0
	usable := 0
	for i := range min(len(p.engines), maxScan) {
		e := p.engines[i]
		e.Sync()
		if e.Usable(now) && !t.job.Tried[e.Name()] {
			usable++
			p.largest = max(p.largest, e.Memory())
		}
	}
	if usable == 0 {
		return refuse("admit", KindNoEngine, 2*minRetryAfter, "none of %d engines can be used", len(p.engines))
	}
	if t.grouped = t.job.need() > p.largest; !t.grouped {
		return nil
	}
	for _, d := range p.domains {
		if group.Possible(d, t.job.need(), now) {
			return nil
		}
	}
	return refuse("admit", KindTooLarge, tooLargeRetry, "%d tokens fit no group of engines", t.job.need())
}

// enter places the request, or lets it wait where it can still be answered in time.
func (p *Pool) enter(t *Ticket, now time.Time) error {
	t.tag = p.clock.Tag(t.job.Workspace, t.weight(), t.work())
	t.key = p.rank(t, now)
	lane := p.lanes[t.class]
	if (lane.Len() == 0 || t.key < lane.At(0).Key()) && p.place(t, now) {
		return nil
	}
	p.meters[t.class].Advance(now, lane.Len() > 0)
	finish := now.Add(p.wait(t)).Add(p.service(t))
	if late := finish.Sub(limit(t, now)); late > 0 {
		p.clock.Refund(t.job.Workspace, t.weight(), t.work())
		return refuse("admit", KindBusy, late, "%d tokens are ahead in the queue", lane.Ahead(t.key))
	}
	if !p.push(t, now) {
		p.clock.Refund(t.job.Workspace, t.weight(), t.work())
		return refuse("admit", KindQueueFull, p.wait(t), "%d requests wait", p.shared.Bounds.Count())
	}
	p.counts.Queued++
	return nil
}

func (p *Pool) push(t *Ticket, now time.Time) bool {
	lane := p.lanes[t.class]
	t.item = lane.Push(t, t.key, t.job.Tokens, t.job.Bytes)
	p.meters[t.class].Advance(now, lane.Len() > 0)
	return t.item != nil
}

// rank returns the key of a request: the time at which it has to start, in
// seconds, moved by the operator's priority and by what its workspace has used.
// As time passes, what waits gets ahead of what comes.
func (p *Pool) rank(t *Ticket, now time.Time) float64 {
	start := limit(t, now).Add(-p.service(t)).Sub(p.epoch).Seconds()
	unfair := min(p.clock.Ahead(t.tag)/max(p.share(), 1), maxUnfair)
	return start + laneOffset[t.class] + unfair - ruleSeconds*float64(t.job.Verdict.Priority())
}

// limit returns the time by which the answer has to be whole.
func limit(t *Ticket, now time.Time) time.Time {
	left := t.job.Deadline.Sub(now)
	return t.job.Deadline.Add(-margin - time.Duration(marginShare*float64(max(left, 0))))
}

// wait returns how long the requests ahead keep a request waiting.
func (p *Pool) wait(t *Ticket) time.Duration {
	ahead := p.lanes[t.class].Ahead(t.key)
	return seconds(float64(ahead) / max(p.meters[t.class].Rate(), 1))
}

// service returns the time that a request takes once it is placed, as planned for
// its deadline.
func (p *Pool) service(t *Ticket) time.Duration { return p.planned(t, p.ideal(t), 1) }

// ideal returns the time to the first token on an idle engine.
func (p *Pool) ideal(t *Ticket) time.Duration {
	rate := max(p.rate/float64(max(len(p.engines), 1)), 1)
	if t.grouped {
		rate *= float64((t.job.need()-1)/max(p.largest, 1) + 1)
	}
	return seconds(float64(t.job.Tokens)/rate) + stepTime
}

// shortest returns the time that a request takes if all goes well.
func (p *Pool) shortest(t *Ticket) time.Duration {
	first := p.stretch[t.class].Mean(1) * p.ideal(t).Seconds()
	return seconds(first + float64(t.output())*p.gap.Mean(0))
}

// planned returns the time to the end of the answer where the first token ideally
// takes so long, on an engine that is slow by a factor.
func (p *Pool) planned(t *Ticket, ideal time.Duration, slow float64) time.Duration {
	stretch := max(p.stretch[t.class].High(stretchDeviations, priorStretch), 1/(1-p.use(t.class)))
	return seconds(stretch*ideal.Seconds() + float64(t.output())*p.gap.High(gapDeviations, priorGap)*slow)
}

// busy reports whether shorter prompts leave big ones little.
func (p *Pool) busy() bool { return p.use(length.Large) > busyUse }

// use returns the share of the engines that shorter classes take.
func (p *Pool) use(c length.Class) float64 {
	now, sum := p.cfg.Now(), 0.0
	for s := range c {
		sum += p.flows[s].Rate(now)
	}
	return min(sum/max(efficiency*p.share(), 1), maxUse)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Dispatch places what waits as far as engines have room, and refuses what can't
// be answered in time any more. It is called after each change and now and then.
func (p *Pool) Dispatch() {
	if p.Waiting() == 0 {
		return
	}
	now := p.cfg.Now()
	for c, lane := range p.lanes {
		p.meters[c].Advance(now, lane.Len() > 0)
	}
	p.expire(now)
	for c := length.Short; !c.Big(); c++ {
		for p.next(c, now) {
			continue
		}
	}
	for p.nextBig(now) {
		continue
	}
}

// expire refuses what can't be answered in time any more.
func (p *Pool) expire(now time.Time) {
	for _, lane := range p.lanes {
		late := lane.TakeFunc(func(t *Ticket) bool { return now.Add(p.shortest(t)).After(limit(t, now)) })
		for _, t := range late {
			p.counts.Expired++
			p.clock.Refund(t.job.Workspace, t.weight(), t.work())
			p.fail(t, refuse("wait", KindTooLate, minRetryAfter, "waited in vain"))
		}
	}
}

func (p *Pool) fail(t *Ticket, err error) {
	t.state, t.err, t.item = stateOver, err, nil
	p.shared.Running.Release(t.job.Verdict)
	t.notify()
}

func (t *Ticket) notify() {
	if t.job.Notify != nil {
		t.job.Notify()
	}
}

// next places the first request of a lane that finds an engine.
func (p *Pool) next(c length.Class, now time.Time) bool {
	lane := p.lanes[c]
	for i := range min(lane.Len(), lookAhead) {
		it := lane.At(i)
		t := it.Value()
		if now.Before(t.notBefore) || !p.place(t, now) {
			continue
		}
		lane.Remove(it)
		p.meters[c].Add(float64(t.job.Tokens))
		p.meters[c].Advance(now, lane.Len() > 0)
		t.item = nil
		t.notify()
		return true
	}
	return false
}

// nextBig places a request of the lane of big prompts whose first ranks first.
func (p *Pool) nextBig(now time.Time) bool {
	a, b := length.Large, length.Long
	if p.head(b) < p.head(a) {
		a, b = b, a
	}
	return p.next(a, now) || p.next(b, now)
}

func (p *Pool) head(c length.Class) float64 {
	if p.lanes[c].Len() == 0 {
		return 1e18
	}
	return p.lanes[c].At(0).Key()
}
