package openai

import "sync/atomic"

// budget bounds the bytes of the prompts that the entry holds at once.
type budget struct {
	limit   atomic.Int64 // bytes
	used    atomic.Int64
	refused atomic.Int64
}

func newBudget(limit int64) *budget {
	b := &budget{}
	b.limit.Store(limit)
	return b
}

// take reports whether n bytes more fit, and takes them.
func (b *budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit.Load() {
		return true
	}
	b.used.Add(-n)
	b.refused.Add(1)
	return false
}

func (b *budget) giveBack(n int64) { b.used.Add(-n) }
