package passes

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
)

const (
	// Limits of the queue of an entry.
	maxWaiting      = 2048
	maxWaitingBytes = 64 << 20
	// readCapacityShare is the share of the engines' time that is left for reads.
	readCapacityShare = 0.6
	// maxTriedPerDispatch is the most waiting requests that one Dispatch tries to place.
	maxTriedPerDispatch          = 48
	firstEventRatioWindowSamples = 60
	// maxCircuitOpen is the longest time for which a circuit breaker withholds work from a
	// failing engine: the engine is a twentieth of the capacity and may recover within a
	// second.
	maxCircuitOpen  = 2 * time.Second
	tokensPerWeight = 10_000
	// defaultOutputShare is the expected share of MaxTokens of an output without an expected
	// length: the median output has a third of it.
	defaultOutputShare = 0.35
	// lateLossShare is the share of a request's weight that is lost where it is late: a late
	// answer counts a quarter to its caller.
	lateLossShare = 0.75
	// defaultLongestGap is the longest pause limit of a service whose routes name none.
	defaultLongestGap = 800 * time.Millisecond
)

// Engine is a registered engine.
type Engine struct {
	Name    string
	Domain  string
	Address string // host:port
	Born    int64  // identifies a start of the engine's process
	Leaving bool
	// Evacuated is set if nothing new goes to the engine's failure domain. The engine stays, and may
	// be used again.
	Evacuated bool
}

// Job is a prompt to place.
type Job struct {
	ID             string
	Tokens         int
	MaxTokens      int
	ExpectedTokens int // output tokens that the caller expects; 0: unknown
	Bytes          int
	Target         time.Duration // latest first event that is on time, from arrival
	Gap            time.Duration // longest pause between events that is on time
	Arrived        time.Time
	Deadline       time.Time
	CallerLeavesAt time.Time       // when its caller leaves if no event comes; zero: at the deadline
	EndsBy         time.Time       // when an answer of MaxTokens must have ended; zero: only the deadline counts
	Begun          bool            // the answer has begun, so the request can't be refused any more
	MayHaveRun     bool            // an engine may have run it, so a refusal can't state that none did
	Tried          map[string]bool // names of engines to exclude
	Notify         func()          // called once when a ticket that waited is placed or refused
	// Allows reports whether the request may run in a failure domain. nil: in all.
	Allows func(domain string) bool
}

// excludes reports whether the request may not run on an engine.
func (j *Job) excludes(e *engine) bool {
	return j.Tried[e.name] || j.Allows != nil && !j.Allows(e.domain)
}

func (j *Job) memoryTokens() int { return j.Tokens + j.MaxTokens }

// outputTokens returns the expected output tokens. The caller's expectation is right in the
// median, while MaxTokens is far above the usual length.
func (j *Job) outputTokens() int {
	if j.ExpectedTokens > 0 {
		return min(j.ExpectedTokens, j.MaxTokens)
	}
	return int(defaultOutputShare * float64(j.MaxTokens))
}

type state int

const (
	stateWaiting state = iota
	statePlaced
	stateDone
)

// Ticket is an admitted request. It must be used in the planner's goroutine only.
type Ticket struct {
	job                 Job
	readAlone           time.Duration // time to read the prompt on one idle engine
	placeBy             time.Time     // when no engine can keep the job's EndsBy any more; zero: no limit
	state               state
	err                 error
	queueItem           *queue.Item[*Ticket]
	engines             []*engine // the first one writes, the others are helpers
	sends               []*Send
	placedAt            time.Time
	firstAt             time.Time
	predictedFirstEvent time.Duration // predicted time from placement to the first event
	reserved            []int         // tokens of memory reserved at each helper; nil: none
	decision            Decision
	turn                turn
}

// Decision is the predicted state of the writing engine when it was chosen.
type Decision struct {
	Streams int
	Reads   time.Duration // backlog before the request's read
	Pass    time.Duration
	Memory  int // tokens in use
	Usable  int // number of engines to choose from
	Others  []Other
	Shared  int // streams that broke off together and among which engines are shared out; 0: none
}

// Other is an engine that was not chosen.
type Other struct {
	Name       string
	Streams    int
	Reads      time.Duration // backlog before a new read
	ReadBudget time.Duration // longest read within the limits of its streams; below 0: none
}

// String returns the engine and its load for log lines.
func (o Other) String() string {
	return fmt.Sprintf("%s streams=%d ahead=%s room=%s", o.Name, o.Streams, round(o.Reads), round(o.ReadBudget))
}

// Placed reports whether engines are assigned to the request.
func (t *Ticket) Placed() bool { return t.state == statePlaced }

// Err returns why a ticket that waited was refused, or nil.
func (t *Ticket) Err() error { return t.err }

// PlacedAt returns when engines were assigned to the request.
func (t *Ticket) PlacedAt() time.Time { return t.placedAt }

// Predicted returns the predicted time from placement to the first event.
func (t *Ticket) Predicted() time.Duration { return t.predictedFirstEvent }

// Decision returns the predicted state that the choice was based on.
func (t *Ticket) Decision() Decision { return t.decision }

// Read returns the time to read the prompt on one idle engine.
func (t *Ticket) Read() time.Duration { return t.readAlone }

// Engine returns the name and address of the engine that writes.
func (t *Ticket) Engine() (name, address string) { return t.engines[0].name, t.engines[0].address }

// Helper is an engine that reads a part of a prompt for the writing engine, or reserves
// memory for it.
type Helper struct {
	Name    string
	Address string // host:port
	Tokens  int
}

// Helpers returns the helpers of the request, those that reserve memory first.
func (t *Ticket) Helpers() []Helper {
	var out []Helper
	for i, e := range t.engines[1:] {
		h := Helper{Name: e.name, Address: e.address}
		if t.reserved != nil {
			h.Tokens = t.reserved[i]
		}
		out = append(out, h)
	}
	return out
}

// Settings are the settings and dependencies of a Planner.
type Settings struct {
	Service string
	Domain  string // the entry's failure domain
	Now     func() time.Time
	Rand    func() float64 // returns a number in [0, 1)
	// Entries returns the number of entries that place prompts on the engines; nil: one.
	Entries func() int
	// Cut reports whether an engine can't be connected to. nil: all can.
	Cut func(address string) bool
	// Throttled reports whether an engine takes no further request now. nil: all do. Sent is called
	// for the engine that a request is sent to. It may be nil.
	Throttled func(name string) bool
	Sent      func(name string)
	// Cold reports whether an engine has started lately, so that it reads and reserves memory for other
	// engines only where nothing else fits. nil: none has.
	Cold func(name string) bool
	// OnStaleChange is called when the report of an entry becomes stale, for a reason, or current
	// again, with "". It may be nil.
	OnStaleChange func(entry string, why StaleReason)
}

// Planner places the prompts of one service at one entry. It is not safe for concurrent
// use.
type Planner struct {
	cfg                Settings
	figures            *Figures
	longestGap         time.Duration // longest pause that a route to the service allows
	engines            []*engine     // sorted by name
	domains            int           // failure domains with engines
	leavesRoom         bool          // the request that is being placed leaves slots free for a lost domain
	byName             map[string]*engine
	bounds             *queue.Bounds
	waiting            *queue.Queue[*Ticket]  // by queueKey
	awaitingFirstEvent []*Ticket              // placed; removed once begun, ended or overdue
	suspects           []*engine              // queued for a pace query
	reports            map[string]Report      // by entry
	staleReasons       map[string]StaleReason // by entry; missing or "": current
	nextStaleCheck     time.Time              // when the next report may become stale; zero: none
	otherEntriesRate   float64                // streams that the other entries start, per second
	otherEntriesDue    []time.Time            // due times of the first waiting request of each other entry
	firstEventRatio    estimate.Moving        // actual time to the first event over the predicted one
	changed            bool                   // own sends, paces or the queue changed since the last call of Sends
	counts             Counts
	losses             map[string]*loss // by failure domain
	shares             map[string]share // of own streams that broke off, by ID of the request
}

// Counts are totals of the decisions of a Planner.
type Counts struct {
	Placed  int `json:"placed"`
	Queued  int `json:"queued"`
	Refused int `json:"refused"`
	Expired int `json:"expired"` // refused while waiting
	Helped  int `json:"helped"`  // placed on more than one engine
	Losses  int `json:"losses"`  // failures of engines with own streams; those of a domain at one time count once
	Spread  int `json:"spread"`  // resumed at the engine that all entries' broken streams leave to it
}

// New returns a planner without engines.
func New(cfg Settings, figures *Figures) *Planner {
	b := queue.NewBounds(maxWaiting, maxWaitingBytes)
	return &Planner{
		cfg: cfg, figures: figures, longestGap: defaultLongestGap, byName: map[string]*engine{}, staleReasons: map[string]StaleReason{}, bounds: b, losses: map[string]*loss{}, shares: map[string]share{},
		waiting: queue.New[*Ticket](b), firstEventRatio: estimate.NewMoving(firstEventRatioWindowSamples),
	}
}

// Configure replaces the figures of the engines, and the longest pause between events that a
// route to the service allows; 0 if none names one.
func (p *Planner) Configure(f *Figures, longestGap time.Duration) {
	p.figures = f
	if p.longestGap = longestGap; longestGap <= 0 {
		p.longestGap = defaultLongestGap
	}
	for _, e := range p.engines {
		e.figures = f
	}
}

// SetEngines replaces the engines. The state of an engine is kept while its Born and
// Address stay the same.
func (p *Planner) SetEngines(list []Engine) {
	names := map[string]*engine{}
	for _, c := range list {
		e := p.byName[c.Name]
		if e == nil || e.born != c.Born || e.address != c.Address {
			e = &engine{
				name: c.Name, address: c.Address, born: c.Born, figures: p.figures, circuit: circuit.NewWithin(p.cfg.Rand, maxCircuitOpen),
				observedSlowdown: estimate.NewMoving(slowdownWindowSamples),
			}
		}
		e.domain, e.leaving, e.evacuated = c.Domain, c.Leaving, c.Evacuated // name and address are not written: other goroutines read them through tickets
		names[c.Name] = e
	}
	p.byName = names
	domains := map[string]bool{}
	for _, c := range list {
		domains[c.Domain] = true
	}
	p.domains = len(domains)
	p.engines = slices.SortedFunc(maps.Values(names), func(a, b *engine) int { return strings.Compare(a.name, b.name) })
}

// Waiting returns the number of waiting requests.
func (p *Planner) Waiting() int { return p.waiting.Len() }

// Counts returns the totals since the start.
func (p *Planner) Counts() Counts { return p.counts }

// Submit admits a request and returns its ticket, which is placed or waits. Otherwise it
// returns an Error with a delay for RetryAfter.
func (p *Planner) Submit(j Job) (*Ticket, error) {
	now := p.cfg.Now()
	t := p.newTicket(j)
	if err := p.checkFeasible(t, now); err != nil {
		p.counts.Refused++
		return nil, err
	}
	if p.place(t, p.candidates(now), now) {
		return t, nil
	}
	if p.unplaceable(t, now) {
		p.counts.Refused++
		return nil, refuse("admit", KindTooLate, p.unplaceableRetryAfter(t, now), "no engines could take a read of %s in time", round(t.readAlone))
	}
	if wait := p.backlog(t); now.Add(wait).After(t.waitUntil()) {
		p.counts.Refused++
		return nil, refuse("admit", KindBusy, wait/2, "reads of %s are ahead in the queue", wait)
	}
	if !p.enqueue(t) {
		p.counts.Refused++
		return nil, refuse("admit", KindBusy, p.backlog(t), "%d requests wait", p.bounds.Count())
	}
	p.counts.Queued++
	return t, nil
}

// newTicket returns the ticket of a job that is neither placed nor queued.
func (p *Planner) newTicket(j Job) *Ticket {
	t := &Ticket{job: j, readAlone: p.figures.Read(j.Tokens)}
	if t.bounded() {
		t.placeBy = j.EndsBy.Add(-p.minPartRead(t) - p.figures.Write(j.MaxTokens, p.figures.Pass(1, j.Tokens)))
	}
	return t
}

// checkFeasible refuses a request that doesn't fit into the memory of all usable engines
// together, or can't be answered before its deadline.
func (p *Planner) checkFeasible(t *Ticket, now time.Time) error {
	usable, memoryPerEngine := 0, int((1-reservedMemoryShare)*float64(p.figures.Memory))
	for _, e := range p.engines {
		if t.job.excludes(e) || !p.usable(e, now) {
			continue
		}
		if usable++; t.job.memoryTokens() <= usable*memoryPerEngine {
			return p.checkDeadline(t, now)
		}
	}
	if usable > 0 {
		return refuse("admit", KindTooLarge, maxRetryAfter, "%d tokens are more than %d engines hold", t.job.memoryTokens(), usable)
	}
	return refuse("admit", KindNoEngine, time.Second, "none of %d engines can be used", len(p.engines))
}

// Admits reports whether Submit would place or queue a job. It changes nothing about the job.
func (p *Planner) Admits(j Job) bool {
	now := p.cfg.Now()
	t := p.newTicket(j)
	if p.checkFeasible(t, now) != nil {
		return false
	}
	if !p.unplaceable(t, now) && !now.Add(p.backlog(t)).After(t.waitUntil()) {
		return true
	}
	_, _, ok := p.choose(t, p.candidates(now), now)
	return ok
}

// Stays reports whether an engine for which match returns true is not leaving. It may be unusable at
// the moment, also because it is evacuated.
func (p *Planner) Stays(match func(name, domain string) bool) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return !e.leaving && match(e.name, e.domain) })
}

func (p *Planner) usable(e *engine, now time.Time) bool {
	e.observedSlowdown.Fade(now, slowdownTTL, 1)
	return !e.leaving && !e.evacuated && e.circuit.Allows(now) && (p.cfg.Cut == nil || !p.cfg.Cut(e.address))
}

// backlog returns the time that the engines need for the queued reads before a ticket.
func (p *Planner) backlog(t *Ticket) time.Duration {
	rate := readCapacityShare * float64(max(len(p.engines), 1))
	return time.Duration(float64(p.waiting.Ahead(t.queueKey())) * float64(time.Microsecond) / rate)
}

// queueKey orders the queue by due time, in microseconds. The due time of long prompts is
// later than their target: they yield less weight per second of reading.
func (t *Ticket) queueKey() float64 { return float64(t.due().UnixMicro()) }

func (t *Ticket) due() time.Time { return t.job.Arrived.Add(t.job.Target + t.readAlone/2) }

func (p *Planner) enqueue(t *Ticket) bool {
	t.queueItem = p.waiting.Push(t, t.queueKey(), int(t.readAlone.Microseconds()), t.job.Bytes)
	p.changed = p.changed || t.queueItem != nil
	return t.queueItem != nil
}

// Dispatch places waiting requests where engines have room, those that can still be on
// time first, and refuses those that have waited for too long.
func (p *Planner) Dispatch() {
	if p.waiting.Len() == 0 {
		return
	}
	now := p.cfg.Now()
	p.expire(now)
	candidates := p.candidates(now)
	var late []*queue.Item[*Ticket]
	var placed []*queue.Item[*Ticket]
	for i := range min(p.waiting.Len(), maxTriedPerDispatch) {
		it := p.waiting.At(i)
		switch {
		case it.Value().late(now):
			late = append(late, it)
		case p.place(it.Value(), candidates, now):
			placed = append(placed, it)
		}
	}
	for _, it := range late {
		if p.place(it.Value(), candidates, now) {
			placed = append(placed, it)
		}
	}
	for _, it := range placed {
		p.waiting.Remove(it)
		it.Value().queueItem = nil
		it.Value().notify()
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// late reports whether the target for the first event has passed.
func (t *Ticket) late(now time.Time) bool {
	return now.Sub(t.job.Arrived) > t.job.Target
}

// weight returns the value of an answer to the request's caller: 1, and 1 more for each
// tokensPerWeight tokens of the prompt.
func (t *Ticket) weight() float64 { return 1 + float64(t.job.Tokens)/tokensPerWeight }

func (t *Ticket) notify() {
	if t.job.Notify != nil {
		t.job.Notify()
	}
}

// assign records the chosen engines of a request and its sends to them.
func (p *Planner) assign(t *Ticket, c choice, now time.Time) {
	t.state, t.placedAt, t.predictedFirstEvent, t.reserved, t.decision = statePlaced, now, c.firstEvent, c.reserved, c.decision
	t.engines = append([]*engine{c.writer}, c.helpers...)
	t.sends = nil
	for i, e := range t.engines {
		s := &Send{Engine: e.name, Read: c.partRead, At: now, Due: t.job.Arrived.Add(t.job.Target)}
		if i == 0 {
			s.Context, s.Gap = c.memoryTokens, p.streamPauseLimit(t, c.firstEvent, now)
			s.Weight = t.weight()
			s.Ends = now.Add(c.firstEvent + p.writeTime(t, c.pass))
			if t.late(now) {
				p.markLate(t, s)
			}
		} else if c.reserved != nil {
			s.Context = c.reserved[i-1]
		}
		e.ownSends = append(e.ownSends, s)
		e.circuit.Sent(now)
		t.sends = append(t.sends, s)
	}
	if p.cfg.Sent != nil {
		p.cfg.Sent(c.writer.name)
	}
	p.awaitingFirstEvent = append(p.awaitingFirstEvent, t)
	p.changed = true
	p.counts.Placed++
	if len(t.engines) > 1 {
		p.counts.Helped++
	}
}

// FirstEvent records that the first event came, by which all reads of the request are over.
func (p *Planner) FirstEvent(t *Ticket) {
	if t.state != statePlaced || !t.firstAt.IsZero() {
		return
	}
	now := p.cfg.Now()
	t.firstAt = now
	if t.late(now) {
		p.markLate(t, t.sends[0])
	}
	ratio := now.Sub(t.placedAt).Seconds() / max(t.predictedFirstEvent.Seconds(), minPrediction.Seconds())
	if t.overdue(now) {
		p.suspect(t.engines)
	}
	for i, e := range t.engines {
		t.sends[i].Writing = true
		p.answered(e, t.placedAt)
		e.circuit.Succeeded(now)
		e.observedSlowdown.AddAt(now, ratio/max(p.firstEventRatio.Mean(ratio), 1))
		if i > 0 && t.sends[i].Context == 0 {
			e.remove(t.sends[i])
		}
	}
	p.firstEventRatio.AddAt(now, ratio)
	p.changed = true
}

// MarkLate records that a running stream is late, which raises its pause limit unless it must end
// sooner.
func (p *Planner) MarkLate(t *Ticket) {
	if t.state != statePlaced {
		return
	}
	p.suspect(t.engines[:1])
	p.markLate(t, t.sends[0])
}

// markLate marks the send of a late stream to its writing engine, unless the stream must end sooner:
// then its pause limit stays.
func (p *Planner) markLate(t *Ticket, s *Send) {
	if !t.bounded() {
		s.markLate(p.longestGap)
		p.changed = true
	}
}

// Outcome is the result of a placed request.
type Outcome struct {
	Answered      bool
	Failed        bool   // an engine failed; false where the caller left
	FailedAddress string // address of the failed engine; "": the writing one
}

// Done ends a placed or waiting ticket and frees its engines or its place in the queue.
func (p *Planner) Done(t *Ticket, out Outcome) {
	switch t.state {
	case stateDone:
		return
	case stateWaiting:
		p.waiting.Remove(t.queueItem)
		p.changed = true
		t.err = refuse("wait", KindCallerGone, minRetryAfter, "the caller left")
	case statePlaced:
		p.release(t, out)
	}
	t.state = stateDone
}

func (p *Planner) release(t *Ticket, out Outcome) {
	now := p.cfg.Now()
	if out.Failed && !t.firstAt.IsZero() && (out.FailedAddress == "" || out.FailedAddress == t.engines[0].address) {
		p.recordLoss(t, now)
	}
	for i, e := range t.engines {
		e.remove(t.sends[i])
		switch {
		case out.Failed && (e.address == out.FailedAddress || out.FailedAddress == "" && i == 0):
			e.circuit.Failed(now)
		case out.Answered && i == 0:
			e.circuit.Succeeded(now)
		}
	}
	p.changed = true
}

// Changed reports whether own sends, paces or the queue changed since the last call of
// Sends.
func (p *Planner) Changed() bool { return p.changed }

// Sends returns the own sends, sorted by engine, and resets Changed.
func (p *Planner) Sends() []Send {
	p.changed = false
	var out []Send
	for _, e := range p.engines {
		for _, s := range e.ownSends {
			out = append(out, *s)
		}
	}
	return out
}

// EngineState is the state of an engine in the state dump.
type EngineState struct {
	Name      string  `json:"name"`
	Circuit   string  `json:"circuit"`
	Leaving   bool    `json:"leaving"`
	Evacuated bool    `json:"evacuated"`
	Slow      float64 `json:"slow"`
	Writers   int     `json:"writers"`
	Helping   int     `json:"helping"`
	Memory    int     `json:"memoryTokens"`
	PassMS    int64   `json:"passMs"`
	ReadsMS   int64   `json:"readsMs"`
}

// Engines returns the predicted state of the engines, sorted by name.
func (p *Planner) Engines() []EngineState {
	now := p.cfg.Now()
	out := []EngineState{}
	for _, e := range p.engines {
		l := e.load(now)
		out = append(out, EngineState{
			Name: e.name, Circuit: string(e.circuit.State()), Leaving: e.leaving, Evacuated: e.evacuated, Slow: e.slowdown(now),
			Writers: l.usedSlots, Helping: l.helping, Memory: l.memoryTokens,
			PassMS: l.pass.Milliseconds(), ReadsMS: l.readBacklog.Milliseconds(),
		})
	}
	return out
}
