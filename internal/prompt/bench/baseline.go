package bench

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxAttempts = 3
	groupRetry  = 500 * time.Millisecond
	groupShare  = 0.95 // of an engine's memory
	poolLong    = 3    // one engine in so many is kept for long prompts
)

// manner is how a baseline treats what arrives.
type manner struct {
	name    string
	pick    func(b *baseline, r *request) (engine int, ok bool)
	queued  bool // waits at the entry for an idle engine
	compare func(a, b *request) int
}

var baselines = []manner{
	{name: "round_robin", pick: (*baseline).next},
	{name: "least_outstanding", pick: (*baseline).least},
	{name: "first_come_first_served", pick: (*baseline).idle, queued: true, compare: func(a, b *request) int { return a.id - b.id }},
	{name: "shortest_first", pick: (*baseline).idle, queued: true, compare: func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.prompt, b.prompt), a.id-b.id)
	}},
	{name: "separate_pools", pick: (*baseline).pool},
}

// baseline is a simple policy of one entry. Its prompts have no priority at the
// engines, and nothing is refused while an engine is in sight.
type baseline struct {
	manner
	sim         *sim
	entry       int
	turn        int
	outstanding []int // tokens of own requests, by engine
	prefill     []int // tokens of own requests before their first token
	loads       []load
	queue       []*request
	groups      []*request // wait for memory
	sent        map[*request][]int
	nextGroups  time.Duration
}

func newBaseline(m manner) func(s *sim, entry int) policy {
	return func(s *sim, entry int) policy {
		n := len(s.engines)
		return &baseline{
			manner: m, sim: s, entry: entry, outstanding: make([]int, n), prefill: make([]int, n),
			loads: make([]load, n), sent: map[*request][]int{},
		}
	}
}

func (b *baseline) arrive(r *request) {
	switch {
	case r.need() > engineMemory:
		b.groups = append(b.groups, r)
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

func (b *baseline) next(*request) (int, bool) {
	for range b.outstanding {
		b.turn++
		if e := b.turn % len(b.outstanding); !b.loads[e].dead {
			return e, true
		}
	}
	return 0, false
}

func (b *baseline) least(*request) (int, bool) { return b.leastOf(0, len(b.outstanding)) }

func (b *baseline) pool(r *request) (int, bool) {
	n := len(b.outstanding)
	if r.prompt > mediumTokens {
		return b.leastOf(n-n/poolLong, n)
	}
	return b.leastOf(0, n-n/poolLong)
}

func (b *baseline) leastOf(from, to int) (int, bool) {
	best := -1
	for e := from; e < to; e++ {
		if !b.loads[e].dead && (best < 0 || b.outstanding[e] < b.outstanding[best]) {
			best = e
		}
	}
	return best, best >= 0
}

// idle returns an engine without prefill work that has memory for the request.
func (b *baseline) idle(r *request) (int, bool) {
	start := b.sim.r.IntN(len(b.loads))
	for i := range b.loads {
		e := (start + i) % len(b.loads)
		l := b.loads[e]
		drained := int((b.sim.now - l.at).Seconds() * prefillRate)
		if !l.dead && b.prefill[e] == 0 && l.prefillTokens <= drained && max(l.memoryUsed, b.outstanding[e])+r.need() <= engineMemory {
			return e, true
		}
	}
	return 0, false
}

// dispatch sends what it can in order: the first that can't go blocks the rest.
func (b *baseline) dispatch() {
	for len(b.queue) > 0 && b.place(b.queue[0]) {
		b.queue = b.queue[1:]
	}
}

func (b *baseline) placeGroups() {
	if b.sim.now < b.nextGroups {
		return
	}
	b.nextGroups = b.sim.now + groupRetry
	for _, r := range slices.Clone(b.groups) {
		if members := b.members(r); members != nil {
			b.groups = slices.DeleteFunc(b.groups, func(q *request) bool { return q == r })
			b.send(r, members)
		}
	}
}

// members returns the smallest group of one failure domain with the memory.
func (b *baseline) members(r *request) []int {
	n := int(float64(r.need())/(groupShare*engineMemory)) + 1
	for d := range b.sim.domains {
		domain := (d + b.sim.domainOf(b.entry)) % b.sim.domains
		var fits []int
		for e := domain; e < len(b.loads); e += b.sim.domains {
			if !b.loads[e].dead && b.loads[e].memoryUsed+r.need()/n < engineMemory {
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

func (b *baseline) first(r *request) {
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
	case why != reasonUnsent:
	case r.need() > engineMemory:
		b.groups = append(b.groups, r)
	case r.attempts >= maxAttempts:
		b.sim.refuse(r)
	default:
		b.loads[members[0]].dead = true
		b.arrive(r)
	}
	if b.queued {
		b.dispatch()
	}
}

func (b *baseline) leave(r *request) {
	b.queue = slices.DeleteFunc(b.queue, func(q *request) bool { return q == r })
	b.groups = slices.DeleteFunc(b.groups, func(q *request) bool { return q == r })
}

func (b *baseline) tick() {
	if b.queued {
		b.dispatch()
	}
	b.placeGroups()
}
