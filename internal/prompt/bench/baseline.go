package bench

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxAttempts        = 3
	groupRetryInterval = 500 * time.Millisecond
	groupMemoryShare   = 0.95 // of an engine's memory
	longPoolRatio      = 3    // separate_pools reserves one in longPoolRatio engines for long prompts
)

// strategy defines how a baseline places requests.
type strategy struct {
	name    string
	pick    func(b *baseline, r *request) (engine int, ok bool)
	queued  bool // requests wait at the entry for an idle engine
	compare func(a, b *request) int
}

var baselines = []strategy{
	{name: "round_robin", pick: (*baseline).roundRobin},
	{name: "least_outstanding", pick: (*baseline).leastOutstanding},
	{name: "first_come_first_served", pick: (*baseline).idleEngine, queued: true, compare: func(a, b *request) int { return a.id - b.id }},
	{name: "shortest_first", pick: (*baseline).idleEngine, queued: true, compare: func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.prompt, b.prompt), a.id-b.id)
	}},
	{name: "separate_pools", pick: (*baseline).separatePools},
}

// baseline is a simple policy of one entry. Its prompts have no priority at the engines,
// and requests are refused only if no engine is left to try.
type baseline struct {
	strategy
	sim              *sim
	entry            int
	lastPicked       int
	outstanding      []int  // tokens of own placed requests, by engine
	prefill          []int  // prompt tokens of own requests before their first token, by engine
	loads            []load // last reports, by engine
	queue            []*request
	waitingGroups    []*request         // requests that wait for a group with enough memory
	sent             map[*request][]int // engines of placed requests
	nextGroupAttempt time.Duration
}

func newBaseline(m strategy) func(s *sim, entry int) policy {
	return func(s *sim, entry int) policy {
		n := len(s.engines)
		return &baseline{
			strategy: m, sim: s, entry: entry, outstanding: make([]int, n), prefill: make([]int, n),
			loads: make([]load, n), sent: map[*request][]int{},
		}
	}
}

func (b *baseline) arrive(r *request) {
	switch {
	case r.need() > engineMemory:
		b.waitingGroups = append(b.waitingGroups, r)
	case b.queued:
		i, _ := slices.BinarySearchFunc(b.queue, r, b.compare)
		b.queue = slices.Insert(b.queue, i, r)
		b.dispatch()
	default:
		b.place(r)
	}
}

func (b *baseline) place(r *request) bool {
	e, ok := b.pick(b, r)
	if ok {
		b.send(r, []int{e})
	} else if !b.queued {
		b.sim.refuse(r)
	}
	return ok
}

func (b *baseline) send(r *request, members []int) {
	b.sent[r] = members
	for _, m := range members {
		b.outstanding[m] += r.need() / len(members)
		b.prefill[m] += r.prompt / len(members)
	}
	b.sim.send(r, members, 0)
}

func (b *baseline) roundRobin(*request) (int, bool) {
	for range b.outstanding {
		b.lastPicked++
		if e := b.lastPicked % len(b.outstanding); !b.loads[e].down {
			return e, true
		}
	}
	return 0, false
}

func (b *baseline) leastOutstanding(*request) (int, bool) { return b.leastIn(0, len(b.outstanding)) }

func (b *baseline) separatePools(r *request) (int, bool) {
	n := len(b.outstanding)
	if r.prompt > mediumTokens {
		return b.leastIn(n-n/longPoolRatio, n)
	}
	return b.leastIn(0, n-n/longPoolRatio)
}

func (b *baseline) leastIn(from, to int) (int, bool) {
	best := -1
	for e := from; e < to; e++ {
		if !b.loads[e].down && (best < 0 || b.outstanding[e] < b.outstanding[best]) {
			best = e
		}
	}
	return best, best >= 0
}

// idleEngine returns an engine without a prefill backlog that has memory for the request.
func (b *baseline) idleEngine(r *request) (int, bool) {
	start := b.sim.r.IntN(len(b.loads))
	for i := range b.loads {
		e := (start + i) % len(b.loads)
		l := b.loads[e]
		drained := int((b.sim.now - l.at).Seconds() * prefillRate)
		if !l.down && b.prefill[e] == 0 && l.prefillTokens <= drained && max(l.memoryUsed, b.outstanding[e])+r.need() <= engineMemory {
			return e, true
		}
	}
	return 0, false
}

// dispatch places queued requests in order. One that can't be placed blocks those behind it.
func (b *baseline) dispatch() {
	for len(b.queue) > 0 && b.place(b.queue[0]) {
		b.queue = b.queue[1:]
	}
}

func (b *baseline) placeGroups() {
	if b.sim.now < b.nextGroupAttempt {
		return
	}
	b.nextGroupAttempt = b.sim.now + groupRetryInterval
	for _, r := range slices.Clone(b.waitingGroups) {
		if members := b.members(r); members != nil {
			b.waitingGroups = slices.DeleteFunc(b.waitingGroups, func(q *request) bool { return q == r })
			b.send(r, members)
		}
	}
}

// members returns the smallest group of one failure domain with enough memory, or nil.
func (b *baseline) members(r *request) []int {
	n := int(float64(r.need())/(groupMemoryShare*engineMemory)) + 1
	for d := range b.sim.domains {
		domain := (d + b.sim.domainOf(b.entry)) % b.sim.domains
		var fits []int
		for e := domain; e < len(b.loads); e += b.sim.domains {
			if !b.loads[e].down && b.loads[e].memoryUsed+r.need()/n < engineMemory {
				fits = append(fits, e)
			}
		}
		if len(fits) >= n {
			return fits[:n]
		}
	}
	return nil
}

func (b *baseline) report(engine int, l load) { b.loads[engine] = l }

func (b *baseline) firstToken(r *request) {
	for _, m := range b.sent[r] {
		b.prefill[m] -= r.prompt / len(b.sent[r])
	}
	b.dispatch()
}

func (b *baseline) ended(r *request, why reason) {
	members := b.sent[r]
	for _, m := range members {
		b.outstanding[m] -= r.need() / len(members)
		if r.produced == 0 {
			b.prefill[m] -= r.prompt / len(members)
		}
	}
	delete(b.sent, r)
	switch {
	case why != reasonNotStarted:
	case r.need() > engineMemory:
		b.waitingGroups = append(b.waitingGroups, r)
	case r.attempts >= maxAttempts:
		b.sim.refuse(r)
	default:
		b.loads[members[0]].down = true
		b.arrive(r)
	}
	if b.queued {
		b.dispatch()
	}
}

func (b *baseline) leave(r *request) {
	b.queue = slices.DeleteFunc(b.queue, func(q *request) bool { return q == r })
	b.waitingGroups = slices.DeleteFunc(b.waitingGroups, func(q *request) bool { return q == r })
}

func (b *baseline) tick() {
	if b.queued {
		b.dispatch()
	}
	b.placeGroups()
}
