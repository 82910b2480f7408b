package openai

import "sync/atomic"

// byteBudget limits the total bytes of the prompts in memory. It is safe for concurrent
// use.
type byteBudget struct {
	limit   atomic.Int64 // bytes
	used    atomic.Int64
	refused atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	b := &byteBudget{}
	b.limit.Store(limit)
	return b
}

// acquire reserves n bytes and reports whether they fit. A refusal is counted.
func (b *byteBudget) acquire(n int64) bool {
	if b.used.Add(n) <= b.limit.Load() {
		return true
	}
	b.used.Add(-n)
	b.refused.Add(1)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }
