// Package passengine stands in for model engines that work in passes: each pass writes
// a stride of tokens for all its streams, and reads what waits in between. Its time is
// its caller's, so that hours pass in a moment.
package passengine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// Clock is the time that an engine lives in.
type Clock struct {
	Now   func() time.Time
	After func(d time.Duration, do func()) // do must not run beside a method of the engine
}

// Settings describe an engine.
type Settings struct {
	Name    string
	Figures *passes.Figures
	Queue   int           // requests that wait beside those that run
	Lag     time.Duration // of what it reports
	Stall   time.Duration // until work that depends on a dead helper is cut off
	MaxHold time.Duration // longest time of a reservation
}

// Engine is an engine. It belongs to one goroutine at a time.
type Engine struct {
	cfg   Settings
	clock Clock

	queue   []*Request // by urgency, then by arrival
	running []*Request // by arrival
	parts   []*part    // to read for requests of other engines, by arrival
	tickets []*ticket  // by arrival
	busy    bool       // a pass runs
	dead    bool
	life    int     // counts deaths: what was planned before one is void
	slow    float64 // times longer than declared
	past    []stamped
	use     Use
}

// Use is what became of an engine's time, and what it did twice.
type Use struct {
	Reading   time.Duration
	Writing   time.Duration
	Preempted int
	Rejected  int
}

// Add takes in what became of another engine's time, or of another day's.
func (u *Use) Add(o Use) {
	u.Reading += o.Reading
	u.Writing += o.Writing
	u.Preempted += o.Preempted
	u.Rejected += o.Rejected
}

// part is a share of a prompt that is read at an engine.
type part struct {
	req  *Request
	left time.Duration
	all  time.Duration
	size int // tokens
}

// New returns an engine without work.
func New(cfg Settings, clock Clock) *Engine { return &Engine{cfg: cfg, clock: clock, slow: 1} }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Use returns what became of the engine's time so far.
func (e *Engine) Use() Use { return e.use }

// Load returns how many requests run and wait.
func (e *Engine) Load() int { return len(e.running) + len(e.queue) }

// Slow makes the passes that start from now on so many times longer.
func (e *Engine) Slow(factor float64) { e.slow = factor }

// Open gives the engine a request. An error means that it will not run.
func (e *Engine) Open(r *Request) error {
	need := r.Prompt + r.Had
	switch {
	case e.dead:
		return fail("open", KindGone, nil)
	case need > e.cfg.Figures.Memory+r.ticketed() || e.Load() >= e.cfg.Figures.Slots+e.cfg.Queue:
		e.use.Rejected++
		return fail("open", KindFull, fmt.Errorf("%d requests, %d tokens", e.Load(), e.used()))
	}
	if err := r.checkHelpers(e); err != nil {
		e.use.Rejected++
		return err
	}
	r.engine, r.arrived, r.context = e, e.clock.Now(), need
	e.enqueue(r)
	for i := range r.Helpers {
		h := &r.Helpers[i]
		h.take(r)
	}
	e.start()
	return nil
}

// Cancel ends a request whose caller left. One that no engine has yet is not changed.
func (e *Engine) Cancel(r *Request) {
	if !r.over && r.Opened() {
		r.end()
		e.start()
	}
}

// Die ends the engine with all that it runs: its own streams at once, what depends on
// it at other engines after their stall.
func (e *Engine) Die() {
	e.dead, e.busy = true, false
	e.life++
	for _, r := range slices.Concat(e.running, e.queue) {
		r.CutOff()
	}
	for _, p := range e.parts {
		e.clock.After(e.cfg.Stall, p.req.CutOff)
	}
	for _, t := range e.tickets {
		if t.user != nil {
			e.clock.After(e.cfg.Stall, t.user.CutOff)
		}
	}
	e.queue, e.running, e.parts, e.tickets = nil, nil, nil, nil
}

// Restart lets a dead engine start again, without anything that it had.
func (e *Engine) Restart() { e.dead = false }

func (e *Engine) enqueue(r *Request) {
	at, _ := slices.BinarySearchFunc(e.queue, r, func(o, r *Request) int {
		return cmp.Or(cmp.Compare(o.Urgency, r.Urgency), o.arrived.Compare(r.arrived), -1)
	})
	e.queue = slices.Insert(e.queue, at, r)
}

// used returns the tokens of memory that requests and reservations have.
func (e *Engine) used() int {
	n := 0
	for _, r := range e.running {
		n += r.here()
	}
	for _, t := range e.tickets {
		if t.state != Waiting {
			n += t.tokens
		}
	}
	return n
}

// admit lets requests run while there are slots and memory.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.cfg.Figures.Slots && !e.reservationWaits() {
		r := e.queue[0]
		if e.used()+r.here() > e.cfg.Figures.Memory {
			return
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.share(e)
	}
}

// start starts a pass where there is work and none runs.
func (e *Engine) start() {
	if e.busy || e.dead {
		return
	}
	e.grant()
	e.admit()
	writers, context, hops := e.writers()
	taken, reading := e.reads(len(writers) > 0)
	if len(writers) == 0 && len(taken) == 0 {
		return
	}
	write := e.cfg.Figures.Pass(max(1, len(writers)), context) + time.Duration(e.cfg.Figures.Stride)*hops
	took := time.Duration(e.slow * float64(write+reading))
	e.busy = true
	life := e.life
	e.clock.After(took, func() {
		if life != e.life {
			return
		}
		e.use.Reading += time.Duration(e.slow * float64(reading))
		e.use.Writing += time.Duration(e.slow * float64(write))
		e.finish(writers, taken)
	})
}

// writers returns the requests that write, the tokens of context that a step costs the
// engine, and what helpers add to it.
func (e *Engine) writers() (list []*Request, context int, hops time.Duration) {
	for _, r := range e.running {
		if r.writing {
			list = append(list, r)
			context += r.stepContext()
			if len(r.Helpers) > 0 {
				hops += e.cfg.Figures.PerHop
			}
		}
	}
	for _, t := range e.tickets {
		if t.state == Used && t.user.writing {
			context += t.tokens
		}
	}
	return list, context, hops
}

// portion is what a pass reads of a part.
type portion struct {
	part *part
	time time.Duration
}

// reads returns what the next pass reads: parts for other engines first, then those of
// its own requests, by arrival. A pass that writes has so many steps of so many tokens.
func (e *Engine) reads(writes bool) ([]portion, time.Duration) {
	room := e.cfg.Figures.Chunk * e.cfg.Figures.Stride
	var (
		out []portion
		sum time.Duration
	)
	list := slices.Clone(e.parts)
	for _, r := range e.running {
		if r.own != nil {
			list = append(list, r.own)
		}
	}
	for _, p := range list {
		b := portion{part: p, time: p.left}
		if writes && e.cfg.Figures.Chunk > 0 {
			tokens := int(float64(p.size) * float64(p.left) / float64(max(p.all, 1)))
			if room <= 0 {
				break
			}
			if tokens > room {
				b.time = time.Duration(float64(p.left) * float64(room) / float64(tokens))
			}
			room -= tokens
		}
		out = append(out, b)
		sum += b.time
	}
	return out, sum
}

// finish ends a pass.
func (e *Engine) finish(writers []*Request, taken []portion) {
	e.busy = false
	for _, r := range writers {
		r.write()
	}
	var begun []*Engine
	for _, b := range taken {
		b.part.left -= b.time
		if r := b.part.req; b.part.left <= 0 && !r.over && e.drop(b.part) {
			if r.partsLeft--; r.partsLeft == 0 {
				r.begin()
				begun = append(begun, r.engine)
			}
		}
	}
	e.preempt()
	for _, o := range append(begun, e) {
		o.start()
	}
}

// drop forgets a part that is read, and reports whether it was still wanted.
func (e *Engine) drop(p *part) bool {
	if p.req.own == p && p.req.engine == e {
		p.req.own = nil
		return true
	}
	at := slices.Index(e.parts, p)
	if at >= 0 {
		e.parts = slices.Delete(e.parts, at, at+1)
	}
	return at >= 0
}

// preempt puts the newest requests back while memory runs out. They are read again.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.used() > e.cfg.Figures.Memory {
		r := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.use.Preempted++
		r.putBack()
		e.enqueue(r)
	}
}

// remove forgets a request that is over.
func (e *Engine) remove(r *Request) {
	gone := func(o *Request) bool { return o == r }
	e.queue, e.running = slices.DeleteFunc(e.queue, gone), slices.DeleteFunc(e.running, gone)
}

// Report is what an engine tells of itself, as of a while ago.
type Report struct {
	Waiting  int
	Running  int
	Used     int     // tokens of memory
	Total    int     // tokens of memory
	Pace     float64 // over 1: slower than declared
	Tickets  []Ticket
	Reserves bool // a reservation waits for memory
}

type stamped struct {
	at     time.Time
	report Report
}

// Report returns the newest report that is as old as the engine's lag. Reports are taken
// when somebody asks.
func (e *Engine) Report() (Report, error) {
	if e.dead {
		return Report{}, fail("report", KindGone, nil)
	}
	now := e.clock.Now()
	r := Report{Waiting: len(e.queue), Running: len(e.running), Used: e.used(), Total: e.cfg.Figures.Memory, Pace: e.slow, Tickets: e.Tickets(), Reserves: e.reservationWaits()}
	e.past = append(e.past, stamped{at: now, report: r})
	newest := 0
	for i, s := range e.past {
		if now.Sub(s.at) >= e.cfg.Lag {
			newest = i
		}
	}
	e.past = e.past[newest:]
	return e.past[0].report, nil
}
