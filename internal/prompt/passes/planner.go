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
	// Bounds of what waits at an entry.
	maxWaiting      = 2048
	maxWaitingBytes = 64 << 20
	// readCapacity is the share of the engines' time that reads get beside passes.
	readCapacity = 0.6
	// lookAhead is how many waiting requests are tried at a change.
	lookAhead     = 48
	stretchWindow = 60 // samples
	// maxOpen is the longest time that an engine that fails gets no work: it has a
	// twentieth of the fleet's capacity and may be back within a second.
	maxOpen      = 2 * time.Second
	weightTokens = 10_000
	// likelyShare is the part of its bound that an output has where its caller tells nothing:
	// the users' outputs have a third of it in the median.
	likelyShare = 0.35
	// lateLoss is the share of a request's weight that is lost where it is late:
	// callers count a late answer a quarter.
	lateLoss = 0.75
)

// Engine is an engine as it is configured and registered.
type Engine struct {
	Name    string
	Domain  string
	Address string // host:port
	Born    int64  // changes with each start
	Leaving bool
}

// Job is a prompt to place.
type Job struct {
	ID        string
	Tokens    int
	MaxTokens int
	Likely    int // tokens of output that the caller expects; 0 where it told none
	Bytes     int
	Target    time.Duration // from arrival to the first event, for full value
	Gap       time.Duration // longest pause between events, for full value
	Arrived   time.Time
	Deadline  time.Time
	Leaves    time.Time       // when its caller leaves without an event; zero: at the deadline
	Begun     bool            // its answer has begun: it can't be refused any more
	Ran       bool            // an engine may have run it: a refusal can't say that it did not
	Tried     map[string]bool // engines that it may not go to again
	Notify    func()          // called once where the ticket waited and waits no more
}

func (j *Job) need() int { return j.Tokens + j.MaxTokens }

// likely returns the tokens of output that are planned with. Callers expect the right
// length in the median, and bound it by far more.
func (j *Job) likely() int {
	if j.Likely > 0 {
		return min(j.Likely, j.MaxTokens)
	}
	return int(likelyShare * float64(j.MaxTokens))
}

type state int

const (
	stateWaiting state = iota
	statePlaced
	stateOver
)

// Ticket is a request that was admitted. It belongs to the planner's goroutine.
type Ticket struct {
	job      Job
	read     time.Duration // alone, on one engine
	state    state
	err      error
	item     *queue.Item[*Ticket]
	members  []*engine // the first one writes, the others help it to read
	sends    []*Send
	placedAt time.Time
	firstAt  time.Time
	first    time.Duration // predicted, from placing to the first event
	held     []int         // tokens that the helpers set aside; nil where they need not
	seen     Seen
	turn     turn
}

// Seen is what was predicted of the engine that writes when it was chosen.
type Seen struct {
	Streams int
	Reads   time.Duration // ahead of the request
	Pass    time.Duration
	Memory  int // tokens in use
	Usable  int // engines that could be chosen from
	Others  []Other
}

// Other is an engine that was not chosen.
type Other struct {
	Name    string
	Streams int
	Reads   time.Duration // ahead of a new one
	Room    time.Duration // longest read that harms no stream there; below 0 where any does
}

// String returns the engine with its figures, as a log line has it.
func (o Other) String() string {
	return fmt.Sprintf("%s streams=%d ahead=%s room=%s", o.Name, o.Streams, round(o.Reads), round(o.Room))
}

// Placed reports whether the request has its engines.
func (t *Ticket) Placed() bool { return t.state == statePlaced }

// Err returns why a ticket that waited was refused, or nil.
func (t *Ticket) Err() error { return t.err }

// PlacedAt returns when the request was given its engines.
func (t *Ticket) PlacedAt() time.Time { return t.placedAt }

// Predicted returns the predicted time from placing to the first event.
func (t *Ticket) Predicted() time.Duration { return t.first }

// Seen returns what the choice was made by.
func (t *Ticket) Seen() Seen { return t.seen }

// Read returns the time to read the prompt on one engine alone.
func (t *Ticket) Read() time.Duration { return t.read }

// Engine returns the name and address of the engine that writes.
func (t *Ticket) Engine() (name, address string) { return t.members[0].name, t.members[0].address }

// Helper is an engine that helps to read a prompt, and sets memory aside for it
// where Tokens is not 0.
type Helper struct {
	Name    string
	Address string // host:port
	Tokens  int
}

// Helpers returns the engines that help to read, those that set memory aside first.
func (t *Ticket) Helpers() []Helper {
	var out []Helper
	for i, e := range t.members[1:] {
		h := Helper{Name: e.name, Address: e.address}
		if t.held != nil {
			h.Tokens = t.held[i]
		}
		out = append(out, h)
	}
	return out
}

// Settings are a planner's surroundings.
type Settings struct {
	Service string
	Domain  string // the entry's failure domain
	Now     func() time.Time
	Rand    func() float64 // 0 to 1
	// Entries returns how many entries place prompts on the engines; nil means one.
	Entries func() int
	// Cut reports whether an engine can't be connected to; nil where none is known.
	Cut func(address string) bool
	// Doubted is called where the belief in an entry's sends changes; "" means that they
	// count in full. It may be nil.
	Doubted func(entry string, why Doubt)
}

// Planner places the prompts of one service at one entry. It belongs to one
// goroutine at a time.
type Planner struct {
	cfg       Settings
	figures   *Figures
	engines   []*engine // by name
	byName    map[string]*engine
	bounds    *queue.Bounds
	waiting   *queue.Queue[*Ticket] // by the time at which they have to start
	unbegun   []*Ticket             // placed, until it is seen that they began, ended or are late
	suspects  []*engine             // to be asked how fast they are
	reports   map[string]Report     // by entry
	doubts    map[string]Doubt      // by entry; none or "" where it is believed
	doubtAt   time.Time             // when the next of them is doubted; zero: none
	othersDue []time.Time           // of the first request that waits at each other entry
	stretch   estimate.Moving       // time to the first event over the prediction
	changed   bool                  // own sends, or what waits, changed since they were last told
	counts    Counts
}

// Counts are totals of a planner's decisions.
type Counts struct {
	Placed  int `json:"placed"`
	Queued  int `json:"queued"`
	Refused int `json:"refused"`
	Expired int `json:"expired"` // refused after a wait
	Helped  int `json:"helped"`  // placed on more than one engine
}

// New returns a planner without engines.
func New(cfg Settings, figures *Figures) *Planner {
	b := queue.NewBounds(maxWaiting, maxWaitingBytes)
	return &Planner{
		cfg: cfg, figures: figures, byName: map[string]*engine{}, doubts: map[string]Doubt{}, bounds: b,
		waiting: queue.New[*Ticket](b), stretch: estimate.NewMoving(stretchWindow),
	}
}

// Configure replaces the figures.
func (p *Planner) Configure(f *Figures) {
	p.figures = f
	for _, e := range p.engines {
		e.figures = f
	}
}

// SetEngines replaces the engines. What is known of those that stay is kept.
func (p *Planner) SetEngines(list []Engine) {
	names := map[string]*engine{}
	for _, c := range list {
		e := p.byName[c.Name]
		if e == nil || e.born != c.Born || e.address != c.Address {
			e = &engine{
				name: c.Name, address: c.Address, born: c.Born, figures: p.figures, circuit: circuit.NewWithin(p.cfg.Rand, maxOpen),
				slow: estimate.NewMoving(slowWindow),
			}
		}
		e.domain, e.leaving = c.Domain, c.Leaving // its name and address are read by tickets' owners
		names[c.Name] = e
	}
	p.byName = names
	p.engines = slices.SortedFunc(maps.Values(names), func(a, b *engine) int { return strings.Compare(a.name, b.name) })
}

// Waiting returns how many requests wait.
func (p *Planner) Waiting() int { return p.waiting.Len() }

// Counts returns the totals.
func (p *Planner) Counts() Counts { return p.counts }

// Submit admits a request or refuses it at once. The ticket is placed or waits.
func (p *Planner) Submit(j Job) (*Ticket, error) {
	now := p.cfg.Now()
	t := &Ticket{job: j, read: p.figures.Read(j.Tokens)}
	if err := p.possible(t, now); err != nil {
		p.counts.Refused++
		return nil, err
	}
	if p.place(t, p.look(now), now) {
		return t, nil
	}
	if p.lost(t, now) {
		p.counts.Refused++
		return nil, refuse("admit", KindTooLate, p.lull(t, now), "no engines could take a read of %s in time", round(t.read))
	}
	if wait := p.backlog(t); now.Add(wait).After(t.giveUp()) {
		p.counts.Refused++
		return nil, refuse("admit", KindBusy, wait/2, "reads of %s are ahead in the queue", wait)
	}
	if !p.push(t) {
		p.counts.Refused++
		return nil, refuse("admit", KindBusy, p.backlog(t), "%d requests wait", p.bounds.Count())
	}
	p.counts.Queued++
	return t, nil
}

// possible refuses a request that the engines which can be used don't hold, or can't
// answer in time. It looks at as many of them as hold it.
func (p *Planner) possible(t *Ticket, now time.Time) error {
	usable, each := 0, int((1-keepMemory)*float64(p.figures.Memory))
	for _, e := range p.engines {
		if t.job.Tried[e.name] || !p.usable(e, now) {
			continue
		}
		if usable++; t.job.need() <= usable*each {
			return p.endsInTime(t, now)
		}
	}
	if usable > 0 {
		return refuse("admit", KindTooLarge, maxRetryAfter, "%d tokens are more than %d engines hold", t.job.need(), usable)
	}
	return refuse("admit", KindNoEngine, time.Second, "none of %d engines can be used", len(p.engines))
}

func (p *Planner) usable(e *engine, now time.Time) bool {
	e.slow.Fade(now, slowFor, 1)
	return !e.leaving && e.circuit.Allows(now) && (p.cfg.Cut == nil || !p.cfg.Cut(e.address))
}

// backlog returns the time that the engines need for the reads that wait and go first.
func (p *Planner) backlog(t *Ticket) time.Duration {
	rate := readCapacity * float64(max(len(p.engines), 1))
	return time.Duration(float64(p.waiting.Ahead(t.key())) * float64(time.Microsecond) / rate)
}

// key orders what waits by the time at which it is due, and puts back what takes
// long to read: a second of reading yields the less the longer a prompt is.
func (t *Ticket) key() float64 { return float64(t.due().UnixMicro()) }

func (t *Ticket) due() time.Time { return t.job.Arrived.Add(t.job.Target + t.read/2) }

func (p *Planner) push(t *Ticket) bool {
	t.item = p.waiting.Push(t, t.key(), int(t.read.Microseconds()), t.job.Bytes)
	p.changed = p.changed || t.item != nil
	return t.item != nil
}

// Dispatch places what waits as far as engines have room, those that can still be
// on time first, and refuses what has waited for too long.
func (p *Planner) Dispatch() {
	if p.waiting.Len() == 0 {
		return
	}
	now := p.cfg.Now()
	p.expire(now)
	view := p.look(now)
	var late []*queue.Item[*Ticket]
	var placed []*queue.Item[*Ticket]
	for i := range min(p.waiting.Len(), lookAhead) {
		it := p.waiting.At(i)
		switch {
		case it.Value().late(now):
			late = append(late, it)
		case p.place(it.Value(), view, now):
			placed = append(placed, it)
		}
	}
	for _, it := range late {
		if p.place(it.Value(), view, now) {
			placed = append(placed, it)
		}
	}
	for _, it := range placed {
		p.waiting.Remove(it)
		it.Value().item = nil
		it.Value().notify()
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// late reports whether the first event can't come within the target any more.
func (t *Ticket) late(now time.Time) bool {
	return now.Sub(t.job.Arrived) > t.job.Target
}

// weight is what the request's caller loses without an answer: a request counts one,
// and so does each ten thousand tokens of its prompt.
func (t *Ticket) weight() float64 { return 1 + float64(t.job.Tokens)/weightTokens }

func (t *Ticket) notify() {
	if t.job.Notify != nil {
		t.job.Notify()
	}
}

// grant gives a request its engines.
func (p *Planner) grant(t *Ticket, c choice, now time.Time) {
	t.state, t.placedAt, t.first, t.held, t.seen = statePlaced, now, c.first, c.held, c.seen
	t.members = append([]*engine{c.writer}, c.helpers...)
	t.sends = nil
	for i, e := range t.members {
		s := &Send{Engine: e.name, Read: c.part, At: now, Due: t.job.Arrived.Add(t.job.Target)}
		if i == 0 {
			s.Context, s.Gap = c.memory, max(t.job.Gap, minGap)
			s.Weight = t.weight()
			s.Ends = now.Add(c.first + p.writing(t, c.pass))
			if t.late(now) {
				s.relax()
			}
		} else if c.held != nil {
			s.Context = c.held[i-1]
		}
		e.own = append(e.own, s)
		e.circuit.Sent(now)
		t.sends = append(t.sends, s)
	}
	p.unbegun = append(p.unbegun, t)
	p.changed = true
	p.counts.Placed++
	if len(t.members) > 1 {
		p.counts.Helped++
	}
}

// FirstEvent notes that the first event came: all reads are over.
func (p *Planner) FirstEvent(t *Ticket) {
	if t.state != statePlaced || !t.firstAt.IsZero() {
		return
	}
	now := p.cfg.Now()
	t.firstAt = now
	if t.late(now) {
		t.sends[0].relax()
	}
	ratio := now.Sub(t.placedAt).Seconds() / max(t.first.Seconds(), minPrediction.Seconds())
	if t.tooLong(now) {
		p.suspect(t.members)
	}
	for i, e := range t.members {
		t.sends[i].Writing = true
		e.circuit.Succeeded(now)
		e.slow.AddAt(now, ratio/max(p.stretch.Mean(ratio), 1))
		if i > 0 && t.sends[i].Context == 0 {
			e.remove(t.sends[i])
		}
	}
	p.stretch.AddAt(now, ratio)
	p.changed = true
}

// Late notes that an answer under way is late already: it allows longer pauses.
func (p *Planner) Late(t *Ticket) {
	if t.state == statePlaced {
		p.suspect(t.members[:1])
		t.sends[0].relax()
		p.changed = true
	}
}

// Outcome tells what became of a placed request.
type Outcome struct {
	Answered bool
	Failed   bool   // an engine failed, rather than the caller having left
	Fault    string // address of the engine that failed; "" means the one that writes
}

// Done ends a ticket, placed or waiting, and frees what it has.
func (p *Planner) Done(t *Ticket, out Outcome) {
	switch t.state {
	case stateOver:
		return
	case stateWaiting:
		p.waiting.Remove(t.item)
		p.changed = true
		t.err = refuse("wait", KindGone, minRetryAfter, "the caller left")
	case statePlaced:
		p.release(t, out)
	}
	t.state = stateOver
}

func (p *Planner) release(t *Ticket, out Outcome) {
	now := p.cfg.Now()
	for i, e := range t.members {
		e.remove(t.sends[i])
		switch {
		case out.Failed && (e.address == out.Fault || out.Fault == "" && i == 0):
			e.circuit.Failed(now)
		case out.Answered && i == 0:
			e.circuit.Succeeded(now)
		}
	}
	p.changed = true
}

// Changed reports whether the own sends, or what waits, changed since Sends was called.
func (p *Planner) Changed() bool { return p.changed }

// Sends returns the own sends, by engine.
func (p *Planner) Sends() []Send {
	p.changed = false
	var out []Send
	for _, e := range p.engines {
		for _, s := range e.own {
			out = append(out, *s)
		}
	}
	return out
}

// EngineState is an engine's part of the state dump.
type EngineState struct {
	Name    string  `json:"name"`
	Circuit string  `json:"circuit"`
	Leaving bool    `json:"leaving"`
	Slow    float64 `json:"slow"`
	Writers int     `json:"writers"`
	Helping int     `json:"helping"`
	Memory  int     `json:"memoryTokens"`
	PassMS  int64   `json:"passMs"`
	ReadsMS int64   `json:"readsMs"`
}

// Engines returns what is predicted of the engines, by name.
func (p *Planner) Engines() []EngineState {
	now := p.cfg.Now()
	out := []EngineState{}
	for _, e := range p.engines {
		l := e.load(now)
		out = append(out, EngineState{
			Name: e.name, Circuit: string(e.circuit.State()), Leaving: e.leaving, Slow: e.slowness(now),
			Writers: l.slots, Helping: l.helping, Memory: l.memory,
			PassMS: l.pass.Milliseconds(), ReadsMS: l.ahead.Milliseconds(),
		})
	}
	return out
}
