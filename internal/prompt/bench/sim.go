// Package bench compares scheduling policies in a discrete-event simulation of engines and
// entries. It runs the scheduler package and simple baselines on the same arrivals in
// virtual time.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	localHop     = 500 * time.Microsecond // one way, within a failure domain
	remoteHop    = time.Millisecond       // one way, to another failure domain
	pollInterval = time.Second
	tickInterval = 50 * time.Millisecond
)

type state int

const (
	stateWaiting state = iota
	stateSent
	stateDone
)

// reason is why a request ended at its engines.
type reason int

const (
	reasonDone       reason = iota // the answer is complete
	reasonTimeout                  // the caller's patience ended
	reasonLost                     // an engine crashed while it ran a part
	reasonNotStarted               // an engine was down or full: nothing ran
)

// request is a prompt of a trace with its state in the simulation.
type request struct {
	id           int
	entry        int
	workspace    int
	arrive       time.Duration
	patience     time.Duration
	prompt       int
	output       int
	maxTokens    int
	prefix       int // shared prefix; 0 means none
	prefixTokens int

	state        state
	parts        []*part
	engines      []*engine
	prefillsLeft int // parts whose prefill is not complete
	produced     int // output tokens
	firstTokenAt time.Duration
	attempts     int
}

func (r *request) need() int { return r.prompt + r.maxTokens }

func (r *request) deadline() time.Duration { return r.arrive + r.patience }

// policy makes the scheduling decisions of one entry.
type policy interface {
	arrive(r *request)
	report(engine int, l load)
	firstToken(r *request)
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
	now        time.Duration
	seq        int
	parts      int
	events     eventHeap
	engines    []*engine
	entries    []policy
	domains    int
	r          *rand.Rand
	res        *result
	unfinished int // requests that are not done
	// hints are the prefixes that each engine has published as cached.
	hints []map[int]bool
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, fn})
}

func (s *sim) domainOf(entry int) int { return entry % s.domains }

func (s *sim) hopDelay(entry int, e *engine) time.Duration {
	if s.domainOf(entry) == e.domain {
		return localHop
	}
	return remoteHop
}

// run simulates a trace until all requests are done.
func run(sc scenario, trace []request, newPolicy func(s *sim, entry int) policy) *result {
	s := &sim{domains: sc.dep.domains, r: rand.New(rand.NewPCG(sc.seed, 7)), res: newResult(sc, trace), unfinished: len(trace)}
	for i := range sc.dep.engines {
		s.hints = append(s.hints, map[int]bool{})
		s.engines = append(s.engines, &engine{id: i, domain: i % sc.dep.domains, sim: s, slowdown: 1})
	}
	for i := range sc.dep.entries {
		s.entries = append(s.entries, newPolicy(s, i))
	}
	for i := range s.entries {
		s.startEntry(i, sc.reportLag)
	}
	for i := range trace {
		r := &trace[i]
		s.after(r.arrive, func() { s.entries[r.entry].arrive(r) })
		s.after(r.deadline(), func() { s.timeout(r) })
	}
	for _, f := range sc.faults {
		s.after(f.at, func() { f.do(s) })
	}
	for s.unfinished > 0 && len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		s.now = ev.at
		ev.fn()
	}
	return s.res
}

func (s *sim) startEntry(i int, reportLag time.Duration) {
	var tick func()
	tick = func() {
		s.entries[i].tick()
		s.after(tickInterval, tick)
	}
	s.after(time.Duration(s.r.Int64N(int64(tickInterval))), tick)
	for _, e := range s.engines {
		var poll func()
		poll = func() {
			l := e.load()
			s.after(reportLag, func() { s.entries[i].report(e.id, l) })
			s.after(pollInterval/2+time.Duration(s.r.Int64N(int64(pollInterval))), poll)
		}
		s.after(time.Duration(s.r.Int64N(int64(pollInterval))), poll)
	}
}

// send sends a request to an engine, or to a group whose first member decodes.
func (s *sim) send(r *request, members []int, priority int) {
	r.attempts++
	d := time.Duration(0)
	for _, m := range members {
		d = max(d, s.hopDelay(r.entry, s.engines[m]))
	}
	s.after(d, func() { s.deliver(r, members, priority) })
}

func (s *sim) deliver(r *request, members []int, priority int) {
	if r.state == stateDone {
		return
	}
	share := (r.need() + len(members) - 1) / len(members)
	for _, m := range members {
		e := s.engines[m]
		if e.down || len(members) > 1 && e.memoryUsed+share > engineMemory {
			s.after(s.hopDelay(r.entry, e), func() {
				if r.state != stateDone {
					s.entries[r.entry].ended(r, reasonNotStarted)
				}
			})
			return
		}
	}
	r.state, r.prefillsLeft, r.parts, r.engines = stateSent, len(members), nil, nil
	for i, m := range members {
		s.parts++
		p := &part{req: r, priority: priority, seq: s.parts, prefillLeft: (r.prompt + len(members) - 1) / len(members), memory: share, leader: i == 0}
		e := s.engines[m]
		if len(members) > 1 {
			p.admitted = true
			e.memoryUsed += share
			e.evictPrefixes()
		}
		r.parts, r.engines = append(r.parts, p), append(r.engines, e)
	}
	for i, e := range r.engines {
		e.add(r.parts[i])
	}
}

// token records the next token of a request.
func (s *sim) token(r *request) {
	r.produced++
	if r.produced == 1 {
		r.firstTokenAt = s.now + s.hopDelay(r.entry, r.engines[0])
		s.after(s.hopDelay(r.entry, r.engines[0]), func() {
			if r.state == stateSent {
				s.entries[r.entry].firstToken(r)
			}
		})
	}
	if r.produced >= r.output {
		s.end(r, reasonDone)
	}
}

// end removes a request from its engines and reports the reason to its policy.
func (s *sim) end(r *request, why reason) {
	if r.state == stateDone {
		return
	}
	r.state = stateDone
	s.unfinished--
	s.res.ended(r, why)
	for i, e := range r.engines {
		e.remove(r.parts[i])
	}
	s.entries[r.entry].ended(r, why)
}

func (s *sim) timeout(r *request) {
	switch r.state {
	case stateDone:
	case stateSent:
		s.end(r, reasonTimeout)
	case stateWaiting:
		r.state = stateDone
		s.unfinished--
		s.res.ended(r, reasonTimeout)
		s.entries[r.entry].leave(r)
	}
}

// refuse ends a request that has not run.
func (s *sim) refuse(r *request) {
	if r.state != stateDone {
		r.state = stateDone
		s.unfinished--
		s.res.refused(r)
	}
}
