package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	maxPrefixes  = 256 // kept of an engine
	toldPrefixes = 8   // of a report
	prefixAge    = 5 * time.Minute
	// prefixLeft is the budget from which prefixes are told: they come last.
	prefixLeft = 6 << 10 // bytes
)

// prefixes are the beginnings of prompts that an engine has likely cached. They
// are hints: what is told is old, and the engine evicts without notice.
type prefixes struct {
	hits map[uint32]int // of this entry's prompts
	seen map[uint32]time.Time
}

// note records that a prompt with the prefix ran at the engine, or was told to.
func (p *prefixes) note(prefix uint32, hits int, now time.Time) {
	if p.seen == nil {
		p.hits, p.seen = map[uint32]int{}, map[uint32]time.Time{}
	}
	if _, known := p.seen[prefix]; !known && len(p.seen) >= maxPrefixes {
		p.evict()
	}
	p.hits[prefix] += hits
	p.seen[prefix] = now
}

func (p *prefixes) evict() {
	oldest, at := uint32(0), time.Time{}
	for prefix, t := range p.seen {
		if at.IsZero() || t.Before(at) {
			oldest, at = prefix, t
		}
	}
	delete(p.seen, oldest)
	delete(p.hits, oldest)
}

// Hit notes that a prompt with the prefix ran at the engine.
func (e *Engine) Hit(prefix uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.note(prefix, 1, time.Now())
}

// learn notes that another entry tells of the prefix at the engine.
func (e *Engine) learn(prefix uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.note(prefix, 0, now)
}

// Cached reports whether the engine has likely cached the prefix.
func (e *Engine) Cached(prefix uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known := e.prefixes.seen[prefix]
	return known && time.Since(at) < prefixAge
}

type ranked struct {
	wire *memberwire.Prefix
	hits int
}

// top returns the engine's prefixes with hits of this entry's prompts.
func (e *Engine) top() []ranked {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []ranked
	for prefix, hits := range e.prefixes.hits {
		if hits > 0 && time.Since(e.prefixes.seen[prefix]) < prefixAge {
			out = append(out, ranked{&memberwire.Prefix{Upstream: e.hash, Prefix: prefix}, hits})
		}
	}
	return out
}

// topPrefixes returns the prefixes with most hits over the engines.
func topPrefixes(engines []*Engine) []*memberwire.Prefix {
	var all []ranked
	for _, e := range engines {
		all = append(all, e.top()...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(b.hits, a.hits),
			cmp.Compare(a.wire.GetUpstream(), b.wire.GetUpstream()), cmp.Compare(a.wire.GetPrefix(), b.wire.GetPrefix()),
		)
	})
	var out []*memberwire.Prefix
	for _, r := range all[:min(len(all), toldPrefixes)] {
		out = append(out, r.wire)
	}
	return out
}

// sorted returns the engines by name.
func (f *Fleet) sorted() []*Engine {
	return slices.SortedFunc(maps.Values(f.engines), func(a, b *Engine) int {
		return strings.Compare(a.client.Name(), b.client.Name())
	})
}
