package bench

import (
	"slices"
	"time"
)

// Manner of a modelled engine.
const (
	prefillRate    = 25_000 // tokens a second
	engineMemory   = 440_000
	chunkTokens    = 1024 // prefill tokens of a step
	stepBase       = 18 * time.Millisecond
	stepPerStream  = 150 * time.Microsecond
	stepPerContext = 8 * time.Nanosecond // for each token of memory in use
	blockTokens    = 256                 // tokens of a block of the prefix cache
	hintLag        = time.Second
	hintGap        = 5 // every fifth hint is lost
)

// load is a report of an engine, as it was at a time.
type load struct {
	at            time.Duration
	running       int
	queued        int
	prefillTokens int
	memoryUsed    int
	dead          bool
}

// part is what one engine does for a request: all of it, or a share of its
// prefill where a group runs it.
type part struct {
	req      *request
	priority int
	seq      int
	todo     int // prompt tokens still to be prefilled
	reserve  int
	leader   bool // decodes
	admitted bool
}

// engine models continuous batching with chunked prefill: each step takes a chunk
// of prefill by priority and gives every decoding stream a token, so that prefill
// slows decode.
type engine struct {
	id       int
	domain   int
	sim      *sim
	dead     bool
	slow     float64
	epoch    int     // changes when the engine dies
	parts    []*part // by priority, then arrival
	used     int
	cache    []cached // oldest first
	told     int
	stepping bool
	chunks   []chunk
	decoders []*part
}

type cached struct {
	prefix int
	tokens int
}

type chunk struct {
	part *part
	n    int
}

func (e *engine) add(p *part) {
	i, _ := slices.BinarySearchFunc(e.parts, p, func(a, b *part) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.seq - b.seq
	})
	e.parts = slices.Insert(e.parts, i, p)
	e.kick()
}

func (e *engine) remove(p *part) {
	if i := slices.Index(e.parts, p); i >= 0 {
		e.parts = slices.Delete(e.parts, i, i+1)
		if p.admitted {
			e.used -= p.reserve
		}
	}
	e.kick()
}

func (e *engine) kick() {
	if !e.stepping && !e.dead {
		e.startStep()
	}
}

func (e *engine) admit() {
	for _, p := range e.parts {
		if p.admitted {
			continue
		}
		if e.used+p.reserve > engineMemory {
			return // a smaller one does not overtake
		}
		p.admitted = true
		e.used += p.reserve
		p.todo -= min(e.match(p.req), max(p.todo-1, 0))
		e.shrink()
	}
}

func (e *engine) match(r *request) int {
	if i := slices.IndexFunc(e.cache, func(c cached) bool { return c.prefix == r.prefix }); r.prefix != 0 && i >= 0 {
		c := e.cache[i]
		e.cache = append(slices.Delete(e.cache, i, i+1), c)
		return min(c.tokens, r.prefixTokens)
	}
	return 0
}

func (e *engine) store(r *request) {
	if r.prefix == 0 || e.match(r) > 0 {
		return
	}
	e.cache = append(e.cache, cached{prefix: r.prefix, tokens: r.prefixTokens})
	e.tell(r.prefix)
	e.shrink()
}

// tell publishes a cached prefix late and with gaps. An eviction is never told.
func (e *engine) tell(prefix int) {
	if e.told++; e.told%hintGap == 0 {
		return
	}
	e.sim.after(hintLag, func() { e.sim.hints[e.id][prefix] = true })
}

func (e *engine) shrink() {
	total := 0
	for _, c := range e.cache {
		total += c.tokens
	}
	for len(e.cache) > 0 && e.used+total > engineMemory {
		total -= e.cache[0].tokens
		e.cache = e.cache[1:]
	}
}

func (e *engine) startStep() {
	e.admit()
	e.chunks, e.decoders = e.chunks[:0], e.decoders[:0]
	budget := chunkTokens
	for _, p := range e.parts {
		if !p.admitted {
			continue
		}
		if p.todo > 0 && budget > 0 {
			n := min(p.todo, budget)
			budget -= n
			e.chunks = append(e.chunks, chunk{p, n})
		}
		if p.leader && p.req.left == 0 {
			e.decoders = append(e.decoders, p)
		}
	}
	if len(e.chunks)+len(e.decoders) == 0 {
		return
	}
	e.stepping = true
	d := stepBase + time.Duration(len(e.decoders))*stepPerStream + time.Duration(e.used)*stepPerContext +
		time.Duration(chunkTokens-budget)*(time.Second/prefillRate)
	d = time.Duration(float64(d) * e.slow)
	epoch := e.epoch
	e.sim.after(d, func() {
		if e.epoch == epoch {
			e.endStep(d)
		}
	})
}

func (e *engine) endStep(took time.Duration) {
	for _, p := range e.decoders {
		if p.req.state != stateSent {
			continue
		}
		e.sim.res.gap(took)
		e.sim.token(p.req)
	}
	for _, c := range e.chunks {
		p := c.part
		if p.req.state != stateSent {
			continue
		}
		if p.todo -= c.n; p.todo == 0 {
			e.store(p.req)
			if p.req.left--; p.req.left == 0 {
				e.sim.token(p.req)
				p.req.engines[0].kick() // a leader that waited for the others decodes now
			}
		}
	}
	e.stepping = false
	e.kick()
}

func (e *engine) load() load {
	l := load{at: e.sim.now, memoryUsed: e.used, dead: e.dead}
	for _, p := range e.parts {
		if p.admitted {
			l.running++
		} else {
			l.queued++
		}
		l.prefillTokens += p.todo
	}
	return l
}

func (e *engine) die() {
	e.dead, e.stepping, e.cache = true, false, nil
	e.epoch++
	for _, p := range slices.Clone(e.parts) {
		e.sim.end(p.req, reasonLost)
	}
}

func (e *engine) restart() { e.dead = false }
