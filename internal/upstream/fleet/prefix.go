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
	maxPrefixes         = 256 // per engine
	maxReportedPrefixes = 8   // per report
	prefixTTL           = 5 * time.Minute
	// minPrefixBudget is the report budget above which prefixes are included: loads come
	// first.
	minPrefixBudget = 6 << 10 // bytes
)

// prefixes is the set of prompt prefixes that an engine has probably cached. They are
// only hints: reports of other entries are delayed, and the engine evicts without notice.
type prefixes struct {
	hits     map[uint32]int // number of this entry's prompts
	lastUsed map[uint32]time.Time
}

// add adds hits to the prefix and updates its last use. A full set evicts the least
// recently used prefix.
func (p *prefixes) add(prefix uint32, hits int, now time.Time) {
	if p.lastUsed == nil {
		p.hits, p.lastUsed = map[uint32]int{}, map[uint32]time.Time{}
	}
	if _, known := p.lastUsed[prefix]; !known && len(p.lastUsed) >= maxPrefixes {
		p.evictOldest()
	}
	p.hits[prefix] += hits
	p.lastUsed[prefix] = now
}

// evictOldest removes the least recently used prefix.
func (p *prefixes) evictOldest() {
	oldest, at := uint32(0), time.Time{}
	for prefix, t := range p.lastUsed {
		if at.IsZero() || t.Before(at) {
			oldest, at = prefix, t
		}
	}
	delete(p.lastUsed, oldest)
	delete(p.hits, oldest)
}

// RecordPrefix records that a prompt with the prefix ran at the engine.
func (e *Engine) RecordPrefix(prefix uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.add(prefix, 1, time.Now())
}

// addHint records that another entry reports the prefix as cached at the engine.
func (e *Engine) addHint(prefix uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.add(prefix, 0, now)
}

// Cached reports whether the engine has probably cached the prefix.
func (e *Engine) Cached(prefix uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known := e.prefixes.lastUsed[prefix]
	return known && time.Since(at) < prefixTTL
}

type rankedPrefix struct {
	prefix *memberwire.Prefix
	hits   int
}

// hitPrefixes returns the engine's prefixes that this entry's prompts have hit.
func (e *Engine) hitPrefixes() []rankedPrefix {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []rankedPrefix
	for prefix, hits := range e.prefixes.hits {
		if hits > 0 && time.Since(e.prefixes.lastUsed[prefix]) < prefixTTL {
			out = append(out, rankedPrefix{&memberwire.Prefix{Upstream: e.hash, Prefix: prefix}, hits})
		}
	}
	return out
}

// topPrefixes returns the prefixes with the most hits over all engines, at most
// maxReportedPrefixes.
func topPrefixes(engines []*Engine) []*memberwire.Prefix {
	var all []rankedPrefix
	for _, e := range engines {
		all = append(all, e.hitPrefixes()...)
	}
	slices.SortFunc(all, func(a, b rankedPrefix) int {
		return cmp.Or(
			cmp.Compare(b.hits, a.hits),
			cmp.Compare(a.prefix.GetUpstream(), b.prefix.GetUpstream()), cmp.Compare(a.prefix.GetPrefix(), b.prefix.GetPrefix()),
		)
	})
	var out []*memberwire.Prefix
	for _, r := range all[:min(len(all), maxReportedPrefixes)] {
		out = append(out, r.prefix)
	}
	return out
}

// sorted returns the engines sorted by name.
func (f *Fleet) sorted() []*Engine {
	return slices.SortedFunc(maps.Values(f.engines), func(a, b *Engine) int {
		return strings.Compare(a.client.Name(), b.client.Name())
	})
}
