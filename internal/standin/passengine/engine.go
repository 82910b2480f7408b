// Package passengine simulates model engines that batch in passes: each pass decodes a
// stride of tokens for every running stream and prefills pending prompts. Time comes from
// the caller's clock, so a simulation of hours can run in virtual time.
package passengine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// Clock is the source of time of an engine.
type Clock struct {
	Now   func() time.Time
	After func(d time.Duration, do func()) // do must not run concurrently with a method of the engine
}

// Settings describe an engine.
type Settings struct {
	Name    string
	Figures *passes.Figures
	Queue   int           // queued requests at most, besides the running ones
	Lag     time.Duration // age of reports
	Stall   time.Duration // delay after which work that depends on a dead helper is cut off
	MaxHold time.Duration // longest time limit of a reservation
}

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	cfg   Settings
	clock Clock

	queue      []*Request // by urgency, then by arrival
	running    []*Request // by arrival
	parts      []*part    // to prefill for requests of other engines, by arrival
	tickets    []*ticket  // by arrival
	busy       bool       // a pass is running
	dead       bool
	generation int           // number of deaths; a pass scheduled before the last one is dropped
	slowdown   float64       // actual over declared pass time
	reports    []timedReport // oldest first
	use        Use
}

// Use is an engine's busy time and its counts of preempted and rejected requests.
type Use struct {
	Reading   time.Duration // spent on prefill
	Writing   time.Duration // spent on decoding
	Preempted int
	Rejected  int
}

// Add adds the use of another engine or another run.
func (u *Use) Add(o Use) {
	u.Reading += o.Reading
	u.Writing += o.Writing
	u.Preempted += o.Preempted
	u.Rejected += o.Rejected
}

// part is a share of a prompt that one engine prefills.
type part struct {
	req       *Request
	remaining time.Duration // prefill time left
	total     time.Duration // whole prefill time
	size      int           // tokens
}

// New returns an idle engine.
func New(cfg Settings, clock Clock) *Engine { return &Engine{cfg: cfg, clock: clock, slowdown: 1} }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Use returns the engine's use so far.
func (e *Engine) Use() Use { return e.use }

// Load returns the number of running and queued requests.
func (e *Engine) Load() int { return len(e.running) + len(e.queue) }

// Slow multiplies the time of the passes that start from now on by the factor.
func (e *Engine) Slow(factor float64) { e.slowdown = factor }

// Open queues a request. It returns an error of KindGone, KindFull, KindHelper or
// KindInvalid when the request will not run.
func (e *Engine) Open(r *Request) error {
	need := r.Prompt + r.Received
	switch {
	case e.dead:
		return fail("open", KindGone, nil)
	case need > e.cfg.Figures.Memory+r.reservedTokens() || e.Load() >= e.cfg.Figures.Slots+e.cfg.Queue:
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
		h.claim(r)
	}
	e.startPass()
	return nil
}

// Cancel ends a request whose caller disconnected, without calling Cut. A request that
// no engine has opened yet is not changed.
func (e *Engine) Cancel(r *Request) {
	if !r.ended && r.Opened() {
		r.end()
		e.startPass()
	}
}

// Die ends the engine and cuts off its work: its own requests at once, and requests of
// other engines that depend on it after the stall delay.
func (e *Engine) Die() {
	e.dead, e.busy = true, false
	e.generation++
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

// Restart restarts a dead engine with no requests and no reservations.
func (e *Engine) Restart() { e.dead = false }

func (e *Engine) enqueue(r *Request) {
	at, _ := slices.BinarySearchFunc(e.queue, r, func(o, r *Request) int {
		return cmp.Or(cmp.Compare(o.Urgency, r.Urgency), o.arrived.Compare(r.arrived), -1)
	})
	e.queue = slices.Insert(e.queue, at, r)
}

// used returns the tokens of memory taken by running requests and by held reservations.
func (e *Engine) used() int {
	n := 0
	for _, r := range e.running {
		n += r.localTokens()
	}
	for _, t := range e.tickets {
		if t.state != Waiting {
			n += t.tokens
		}
	}
	return n
}

// admit moves requests from the queue to a free slot while there is memory. Waiting
// reservations have precedence.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.cfg.Figures.Slots && !e.hasWaitingReservation() {
		r := e.queue[0]
		if e.used()+r.localTokens() > e.cfg.Figures.Memory {
			return
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.splitPrefill(e)
	}
}

// startPass starts a pass unless one is running or there is no work.
func (e *Engine) startPass() {
	if e.busy || e.dead {
		return
	}
	e.grant()
	e.admit()
	decoders, context, hops := e.decoders()
	chunks, prefillTime := e.planPrefill(len(decoders) > 0)
	if len(decoders) == 0 && len(chunks) == 0 {
		return
	}
	decodeTime := e.cfg.Figures.Pass(max(1, len(decoders)), context) + time.Duration(e.cfg.Figures.Stride)*hops
	passTime := time.Duration(e.slowdown * float64(decodeTime+prefillTime))
	e.busy = true
	generation := e.generation
	e.clock.After(passTime, func() {
		if generation != e.generation {
			return
		}
		e.use.Reading += time.Duration(e.slowdown * float64(prefillTime))
		e.use.Writing += time.Duration(e.slowdown * float64(decodeTime))
		e.finishPass(decoders, chunks)
	})
}

// decoders returns the decoding requests, the tokens of context that a step processes at
// this engine, and the time that exchanges with helpers add to a step.
func (e *Engine) decoders() (list []*Request, context int, hops time.Duration) {
	for _, r := range e.running {
		if r.decoding {
			list = append(list, r)
			context += r.stepContext()
			if len(r.Helpers) > 0 {
				hops += e.cfg.Figures.PerHop
			}
		}
	}
	for _, t := range e.tickets {
		if t.state == Used && t.user.decoding {
			context += t.tokens
		}
	}
	return list, context, hops
}

// chunk is what one pass prefills of a part.
type chunk struct {
	part     *part
	duration time.Duration
}

// planPrefill returns what the next pass prefills, and its time: parts for other engines
// first, then those of its own requests, by arrival. A pass that also decodes prefills at
// most Chunk tokens in each of its Stride steps.
func (e *Engine) planPrefill(decodes bool) ([]chunk, time.Duration) {
	budget := e.cfg.Figures.Chunk * e.cfg.Figures.Stride
	var (
		out   []chunk
		total time.Duration
	)
	list := slices.Clone(e.parts)
	for _, r := range e.running {
		if r.ownPart != nil {
			list = append(list, r.ownPart)
		}
	}
	for _, p := range list {
		c := chunk{part: p, duration: p.remaining}
		if decodes && e.cfg.Figures.Chunk > 0 {
			tokens := int(float64(p.size) * float64(p.remaining) / float64(max(p.total, 1)))
			if budget <= 0 {
				break
			}
			if tokens > budget {
				c.duration = time.Duration(float64(p.remaining) * float64(budget) / float64(tokens))
			}
			budget -= tokens
		}
		out = append(out, c)
		total += c.duration
	}
	return out, total
}

// finishPass applies the results of a pass and starts the next passes.
func (e *Engine) finishPass(decoders []*Request, chunks []chunk) {
	e.busy = false
	for _, r := range decoders {
		r.decode()
	}
	var started []*Engine
	for _, c := range chunks {
		c.part.remaining -= c.duration
		if r := c.part.req; c.part.remaining <= 0 && !r.ended && e.removePart(c.part) {
			if r.partsLeft--; r.partsLeft == 0 {
				r.startDecoding()
				started = append(started, r.engine)
			}
		}
	}
	e.preempt()
	for _, o := range append(started, e) {
		o.startPass()
	}
}

// removePart removes a prefilled part and reports whether its request still needed it.
func (e *Engine) removePart(p *part) bool {
	if p.req.ownPart == p && p.req.engine == e {
		p.req.ownPart = nil
		return true
	}
	at := slices.Index(e.parts, p)
	if at >= 0 {
		e.parts = slices.Delete(e.parts, at, at+1)
	}
	return at >= 0
}

// preempt requeues the newest requests while memory is exceeded. They are prefilled again.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.used() > e.cfg.Figures.Memory {
		r := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.use.Preempted++
		r.resetPrefill()
		e.enqueue(r)
	}
}

// removeRequest removes a finished request.
func (e *Engine) removeRequest(r *Request) {
	same := func(o *Request) bool { return o == r }
	e.queue, e.running = slices.DeleteFunc(e.queue, same), slices.DeleteFunc(e.running, same)
}

// Report is the state of an engine at an earlier time.
type Report struct {
	Waiting            int     // queued requests
	Running            int     // running requests
	Used               int     // tokens of memory
	Total              int     // tokens of memory
	Pace               float64 // actual over declared pass time
	Tickets            []Ticket
	ReservationWaiting bool // a reservation waits for memory
}

type timedReport struct {
	at     time.Time
	report Report
}

// Report returns the newest report that is at least as old as the engine's lag, or the
// oldest one. Reports are recorded by calls of Report only.
func (e *Engine) Report() (Report, error) {
	if e.dead {
		return Report{}, fail("report", KindGone, nil)
	}
	now := e.clock.Now()
	r := Report{Waiting: len(e.queue), Running: len(e.running), Used: e.used(), Total: e.cfg.Figures.Memory, Pace: e.slowdown, Tickets: e.Tickets(), ReservationWaiting: e.hasWaitingReservation()}
	e.reports = append(e.reports, timedReport{at: now, report: r})
	newest := 0
	for i, s := range e.reports {
		if now.Sub(s.at) >= e.cfg.Lag {
			newest = i
		}
	}
	e.reports = e.reports[newest:]
	return e.reports[0].report, nil
}
