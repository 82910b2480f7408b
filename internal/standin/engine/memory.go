package engine

import (
	"container/list"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// maxEvents is the number of cache events kept.
const maxEvents = 4096

// Event lists blocks that were stored in the prefix cache or evicted from it.
type Event struct {
	Seq     uint64    `json:"seq"`
	Time    time.Time `json:"time"`
	Stored  []uint64  `json:"stored,omitempty"`
	Evicted []uint64  `json:"evicted,omitempty"`
}

// HoldRequest is a request to reserve memory until TTL has passed. Renew restarts the TTL.
type HoldRequest struct {
	Hold   string        `json:"hold"`
	Owner  Owner         `json:"owner"`
	Tokens int           `json:"tokens"`
	TTL    time.Duration `json:"ttl_ns"`
}

// HoldInfo describes a hold.
type HoldInfo struct {
	Hold    string    `json:"hold"`
	Owner   Owner     `json:"owner"`
	Tokens  int       `json:"tokens"`
	Expires time.Time `json:"expires"`
}

// KV is an exported prefix, as the hashes of its blocks.
type KV struct {
	Model  string   `json:"model"`
	Blocks []uint64 `json:"blocks"`
}

type hold struct {
	req     HoldRequest
	expires time.Time
}

// prefixCache is an LRU cache of block hashes.
type prefixCache struct {
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		el := c.blocks[b]
		if el == nil {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

// shrink evicts the least recently used blocks until the cache fits in the tokens.
func (c *prefixCache) shrink(tokens int, evicted func([]uint64)) {
	var out []uint64
	for len(c.blocks)*blockTokens > tokens && c.order.Len() > 0 {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		out = append(out, b)
	}
	if len(out) > 0 {
		evicted(out)
	}
}

// store adds blocks and returns those that were not cached.
func (c *prefixCache) store(blocks []uint64) (stored []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- { // reversed, so that the first block of a prefix is evicted last
		b := blocks[i]
		if el := c.blocks[b]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	return stored
}

// blockHashes returns the hash of each whole block, chained with the blocks before it.
func blockHashes(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/BlockBytes)
	var prev uint64
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		prev = xxh3.HashStringSeed(prompt[:BlockBytes], prev)
		out = append(out, prev)
	}
	return out
}

func (e *Engine) storeBlocks(blocks []uint64) {
	if stored := e.cache.store(blocks); len(stored) > 0 {
		e.recordEvent(Event{Stored: stored})
	}
	e.cache.shrink(e.cfg.Memory-e.used, e.recordEviction)
}

func (e *Engine) recordEviction(blocks []uint64) { e.recordEvent(Event{Evicted: blocks}) }

func (e *Engine) recordEvent(ev Event) {
	e.eventSeq++
	if e.cfg.EventGap > 0 && e.eventSeq%uint64(e.cfg.EventGap) == 0 {
		return
	}
	ev.Seq, ev.Time = e.eventSeq, time.Now()
	e.events = append(e.events, ev)
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[len(e.events)-maxEvents:])
	}
}

// Events returns the published cache events from the sequence number on. Events are
// published EventLag after their time.
func (e *Engine) Events(from uint64) ([]Event, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, fail("events", KindDead, nil)
	}
	cutoff := time.Now().Add(-e.cfg.EventLag)
	out := []Event{}
	for _, ev := range e.events {
		if ev.Seq >= from && !ev.Time.After(cutoff) {
			out = append(out, ev)
		}
	}
	return out, nil
}

// Hold reserves memory until the request's TTL has passed.
func (e *Engine) Hold(req HoldRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.dead:
		return fail("hold", KindDead, nil)
	case req.Hold == "" || req.Tokens < 1 || req.TTL <= 0 || req.TTL > MaxHoldTTL:
		return fail("hold", KindInvalid, fmt.Errorf("hold, tokens and a time limit up to %s are needed", MaxHoldTTL))
	case e.holds[req.Hold] != nil:
		return fail("hold", KindConflict, fmt.Errorf("hold %q", req.Hold))
	case e.leaving || e.used+req.Tokens > e.cfg.Memory:
		return fail("hold", KindFull, fmt.Errorf("%d of %d tokens used", e.used, e.cfg.Memory))
	}
	e.holds[req.Hold] = &hold{req: req, expires: time.Now().Add(req.TTL)}
	e.used += req.Tokens
	e.cache.shrink(e.cfg.Memory-e.used, e.recordEviction)
	e.wakeUp()
	return e.loseAnswer("hold")
}

// Renew restarts the TTL of a hold. It caps ttl to MaxHoldTTL.
func (e *Engine) Renew(id string, ttl time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.holds[id]
	switch {
	case e.dead:
		return fail("renew", KindDead, nil)
	case h == nil:
		return fail("renew", KindNotFound, fmt.Errorf("hold %q", id))
	}
	h.expires = time.Now().Add(min(ttl, MaxHoldTTL))
	return nil
}

// Release ends a hold. Releasing an unknown hold is not an error.
func (e *Engine) Release(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return fail("release", KindDead, nil)
	}
	e.release(id)
	e.wakeUp()
	return e.loseAnswer("release")
}

func (e *Engine) release(id string) bool {
	h := e.holds[id]
	if h == nil {
		return false
	}
	delete(e.holds, id)
	e.used -= h.req.Tokens
	return true
}

// Holds returns the engine's holds, sorted by id.
func (e *Engine) Holds() ([]HoldInfo, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, fail("holds", KindDead, nil)
	}
	e.expire(time.Now())
	out := make([]HoldInfo, 0, len(e.holds))
	for id, h := range e.holds {
		out = append(out, HoldInfo{Hold: id, Owner: h.req.Owner, Tokens: h.req.Tokens, Expires: h.expires})
	}
	slices.SortFunc(out, func(a, b HoldInfo) int { return strings.Compare(a.Hold, b.Hold) })
	return out, nil
}

// Export returns the prefix of a stream whose prefill is complete.
func (e *Engine) Export(id string) (KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	switch {
	case e.dead:
		return KV{}, fail("export", KindDead, nil)
	case s == nil || s.prefillLeft > 0:
		return KV{}, fail("export", KindNotFound, fmt.Errorf("stream %q", id))
	}
	return KV{Model: s.req.Model, Blocks: slices.Clone(s.blocks)}, nil
}

// Import stores an exported prefix in the prefix cache.
func (e *Engine) Import(kv KV) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.dead:
		return fail("import", KindDead, nil)
	case !e.orders.serves(kv.Model):
		return fail("import", KindNotFound, fmt.Errorf("model %q", kv.Model))
	}
	e.storeBlocks(kv.Blocks)
	return nil
}
