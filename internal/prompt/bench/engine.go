package bench

import (
	"slices"
	"time"
)

// Parameters of the engine model.
const (
	prefillRate    = 25_000  // tokens per second
	engineMemory   = 440_000 // tokens
	chunkTokens    = 1024    // maximum prefill tokens of a step
	stepBase       = 18 * time.Millisecond
	stepPerStream  = 150 * time.Microsecond
	stepPerContext = 8 * time.Nanosecond // per token of memory in use
	blockTokens    = 256                 // tokens of a block of the prefix cache
	hintDelay      = time.Second         // delay of hints about cached prefixes
	hintLossEvery  = 5                   // one in so many hints is lost
)

// load is the load report of an engine at a time.
type load struct {
	at            time.Duration
	running       int
	queued        int
	prefillTokens int
	memoryUsed    int
	down          bool
}

// part is the work of one engine for a request: all of it, or a share of the prefill if a
// group runs it.
type part struct {
	req         *request
	priority    int
	seq         int
	prefillLeft int  // prompt tokens not prefilled yet
	memory      int  // tokens to reserve
	leader      bool // decodes
	admitted    bool // memory is reserved
}

// engine models continuous batching with chunked prefill: each step prefills a chunk in
// order of priority and decodes a token of every stream, so prefill slows decode.
type engine struct {
	id             int
	domain         int
	sim            *sim
	down           bool
	slowdown       float64
	epoch          int          // incremented on a crash, which cancels the running step
	parts          []*part      // by priority, then arrival
	memoryUsed     int          // tokens, without the cache
	cache          []cacheEntry // least recently used first
	prefixesCached int
	stepping       bool
	chunks         []chunk
	decoders       []*part
}

type cacheEntry struct {
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
	e.startIfIdle()
}

func (e *engine) remove(p *part) {
	if i := slices.Index(e.parts, p); i >= 0 {
		e.parts = slices.Delete(e.parts, i, i+1)
		if p.admitted {
			e.memoryUsed -= p.memory
		}
	}
	e.startIfIdle()
}

func (e *engine) startIfIdle() {
	if !e.stepping && !e.down {
		e.startStep()
	}
}

func (e *engine) admit() {
	for _, p := range e.parts {
		if p.admitted {
			continue
		}
		if e.memoryUsed+p.memory > engineMemory {
			return // admission is in order, even if a smaller part behind would fit
		}
		p.admitted = true
		e.memoryUsed += p.memory
		p.prefillLeft -= min(e.cachedTokens(p.req), max(p.prefillLeft-1, 0))
		e.evictPrefixes()
	}
}

// cachedTokens returns the number of cached tokens of a request's prefix and marks the
// prefix as recently used.
func (e *engine) cachedTokens(r *request) int {
	if i := slices.IndexFunc(e.cache, func(c cacheEntry) bool { return c.prefix == r.prefix }); r.prefix != 0 && i >= 0 {
		c := e.cache[i]
		e.cache = append(slices.Delete(e.cache, i, i+1), c)
		return min(c.tokens, r.prefixTokens)
	}
	return 0
}

func (e *engine) cachePrefix(r *request) {
	if r.prefix == 0 || e.cachedTokens(r) > 0 {
		return
	}
	e.cache = append(e.cache, cacheEntry{prefix: r.prefix, tokens: r.prefixTokens})
	e.publishHint(r.prefix)
	e.evictPrefixes()
}

// publishHint publishes a cached prefix after hintDelay. Some hints are lost, and evictions
// are not published.
func (e *engine) publishHint(prefix int) {
	if e.prefixesCached++; e.prefixesCached%hintLossEvery == 0 {
		return
	}
	e.sim.after(hintDelay, func() { e.sim.hints[e.id][prefix] = true })
}

// evictPrefixes evicts prefixes until the cache fits into the unused memory.
func (e *engine) evictPrefixes() {
	total := 0
	for _, c := range e.cache {
		total += c.tokens
	}
	for len(e.cache) > 0 && e.memoryUsed+total > engineMemory {
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
		if p.prefillLeft > 0 && budget > 0 {
			n := min(p.prefillLeft, budget)
			budget -= n
			e.chunks = append(e.chunks, chunk{p, n})
		}
		if p.leader && p.req.prefillsLeft == 0 {
			e.decoders = append(e.decoders, p)
		}
	}
	if len(e.chunks)+len(e.decoders) == 0 {
		return
	}
	e.stepping = true
	d := stepBase + time.Duration(len(e.decoders))*stepPerStream + time.Duration(e.memoryUsed)*stepPerContext +
		time.Duration(chunkTokens-budget)*(time.Second/prefillRate)
	d = time.Duration(float64(d) * e.slowdown)
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
		e.sim.res.addGap(took)
		e.sim.token(p.req)
	}
	for _, c := range e.chunks {
		p := c.part
		if p.req.state != stateSent {
			continue
		}
		if p.prefillLeft -= c.n; p.prefillLeft == 0 {
			e.cachePrefix(p.req)
			if p.req.prefillsLeft--; p.req.prefillsLeft == 0 {
				e.sim.token(p.req)
				p.req.engines[0].startIfIdle() // the leader may be idle until the last member has prefilled
			}
		}
	}
	e.stepping = false
	e.startIfIdle()
}

func (e *engine) load() load {
	l := load{at: e.sim.now, memoryUsed: e.memoryUsed, down: e.down}
	for _, p := range e.parts {
		if p.admitted {
			l.running++
		} else {
			l.queued++
		}
		l.prefillTokens += p.prefillLeft
	}
	return l
}

func (e *engine) crash() {
	e.down, e.stepping, e.cache = true, false, nil
	e.epoch++
	for _, p := range slices.Clone(e.parts) {
		e.sim.end(p.req, reasonLost)
	}
}

func (e *engine) restart() { e.down = false }
