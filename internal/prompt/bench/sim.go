// Package bench measures policies for prompts in virtual time: an event-driven
// model of engines and entries that drives the decision code of the entries and
// simple baselines over the same arrivals.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	hopInside  = 500 * time.Microsecond // one way, within a failure domain
	hopBetween = time.Millisecond       // one way, to another failure domain
	pollEvery  = time.Second
	tickEvery  = 50 * time.Millisecond
)

type state int

const (
	stateWaiting state = iota
	stateSent
	stateOver
)

// reason says why a request left its engines.
type reason int

const (
	reasonDone   reason = iota // the answer is whole
	reasonCut                  // the caller's patience ended
	reasonLost                 // an engine died with a part of it
	reasonUnsent               // no engine took it: nothing ran
)

// request is one prompt of a trace and what became of it.
type request struct {
	id           int
	entry        int
	workspace    int
	arrive       time.Duration
	patience     time.Duration
	prompt       int
	output       int
	maxTokens    int
	prefix       int // 0 shares no prefix
	prefixTokens int

	state    state
	parts    []*part
	engines  []*engine
	left     int // parts whose prefill is not over
	produced int
	first    time.Duration
	attempts int
}

func (r *request) need() int { return r.prompt + r.maxTokens }

func (r *request) deadline() time.Duration { return r.arrive + r.patience }

// policy is the decision code of one entry.
type policy interface {
	arrive(r *request)
	report(engine int, l load)
	first(r *request)
	ended(r *request, why reason)
	leave(r *request) // the caller's patience ended before it was sent
	tick()
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	ev := old[len(old)-1]
	*h = old[:len(old)-1]
	return ev
}

type sim struct {
	now     time.Duration
	seq     int
	parts   int
	events  eventHeap
	engines []*engine
	entries []policy
	domains int
	r       *rand.Rand
	res     *result
	open    int // requests that are not over
	// hints are the prefixes that engines told to have cached, by engine.
	hints []map[int]bool
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, fn})
}

func (s *sim) domainOf(entry int) int { return entry % s.domains }

func (s *sim) hop(entry int, e *engine) time.Duration {
	if s.domainOf(entry) == e.domain {
		return hopInside
	}
	return hopBetween
}

// run plays a trace to its end.
func run(sc scenario, trace []request, newPolicy func(s *sim, entry int) policy) *result {
	s := &sim{domains: sc.dep.domains, r: rand.New(rand.NewPCG(sc.seed, 7)), res: newResult(sc, trace), open: len(trace)}
	for i := range sc.dep.engines {
		s.hints = append(s.hints, map[int]bool{})
		s.engines = append(s.engines, &engine{id: i, domain: i % sc.dep.domains, sim: s, slow: 1})
	}
	for i := range sc.dep.entries {
		s.entries = append(s.entries, newPolicy(s, i))
	}
	for i := range s.entries {
		s.startEntry(i, sc.lag)
	}
	for i := range trace {
		r := &trace[i]
		s.after(r.arrive, func() { s.entries[r.entry].arrive(r) })
		s.after(r.deadline(), func() { s.timeout(r) })
	}
	for _, f := range sc.faults {
		s.after(f.at, func() { f.do(s) })
	}
	for s.open > 0 && len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		s.now = ev.at
		ev.fn()
	}
	return s.res
}

func (s *sim) startEntry(i int, lag time.Duration) {
	var tick func()
	tick = func() {
		s.entries[i].tick()
		s.after(tickEvery, tick)
	}
	s.after(time.Duration(s.r.Int64N(int64(tickEvery))), tick)
	for _, e := range s.engines {
		var poll func()
		poll = func() {
			l := e.load()
			s.after(lag, func() { s.entries[i].report(e.id, l) })
			s.after(pollEvery/2+time.Duration(s.r.Int64N(int64(pollEvery))), poll)
		}
		s.after(time.Duration(s.r.Int64N(int64(pollEvery))), poll)
	}
}

// send sends a request to an engine, or to a group whose first member leads.
func (s *sim) send(r *request, members []int, priority int) {
	r.attempts++
	d := time.Duration(0)
	for _, m := range members {
		d = max(d, s.hop(r.entry, s.engines[m]))
	}
	s.after(d, func() { s.deliver(r, members, priority) })
}

func (s *sim) deliver(r *request, members []int, priority int) {
	if r.state == stateOver {
		return
	}
	share := (r.need() + len(members) - 1) / len(members)
	for _, m := range members {
		e := s.engines[m]
		if e.dead || len(members) > 1 && e.used+share > engineMemory {
			s.after(s.hop(r.entry, e), func() {
				if r.state != stateOver {
					s.entries[r.entry].ended(r, reasonUnsent)
				}
			})
			return
		}
	}
	r.state, r.left, r.parts, r.engines = stateSent, len(members), nil, nil
	for i, m := range members {
		s.parts++
		p := &part{req: r, priority: priority, seq: s.parts, todo: (r.prompt + len(members) - 1) / len(members), reserve: share, leader: i == 0}
		e := s.engines[m]
		if len(members) > 1 {
			p.admitted = true
			e.used += share
			e.shrink()
		}
		r.parts, r.engines = append(r.parts, p), append(r.engines, e)
	}
	for i, e := range r.engines {
		e.add(r.parts[i])
	}
}

// token gives a request its next token.
func (s *sim) token(r *request) {
	r.produced++
	if r.produced == 1 {
		r.first = s.now + s.hop(r.entry, r.engines[0])
		s.after(s.hop(r.entry, r.engines[0]), func() {
			if r.state == stateSent {
				s.entries[r.entry].first(r)
			}
		})
	}
	if r.produced >= r.output {
		s.end(r, reasonDone)
	}
}

// end takes a request off its engines.
func (s *sim) end(r *request, why reason) {
	if r.state == stateOver {
		return
	}
	r.state = stateOver
	s.open--
	s.res.ended(r, why)
	for i, e := range r.engines {
		e.remove(r.parts[i])
	}
	s.entries[r.entry].ended(r, why)
}

func (s *sim) timeout(r *request) {
	switch r.state {
	case stateOver:
	case stateSent:
		s.end(r, reasonCut)
	case stateWaiting:
		r.state = stateOver
		s.open--
		s.res.ended(r, reasonCut)
		s.entries[r.entry].leave(r)
	}
}

// refuse ends a request of which nothing ran.
func (s *sim) refuse(r *request) {
	if r.state != stateOver {
		r.state = stateOver
		s.open--
		s.res.refused(r)
	}
}
