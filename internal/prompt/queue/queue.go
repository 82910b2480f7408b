// Package queue implements a sorted queue of waiting work, bounded by count and by
// bytes. The key of an item does not change while it waits.
package queue

import (
	"cmp"
	"slices"
)

// Item is an element of a queue.
type Item[T any] struct {
	value T
	key   float64 // lowest first
	seq   uint64  // breaks ties of the key: first come, first served
	work  int     // cost of serving the item, in a unit of the caller
	bytes int
}

// Value returns the value that was pushed.
func (i *Item[T]) Value() T { return i.value }

// Key returns the key that the item is sorted by.
func (i *Item[T]) Key() float64 { return i.key }

// Bounds limits the total size of the queues that share it. It is not safe for
// concurrent use.
type Bounds struct {
	maxCount int
	maxBytes int
	count    int
	bytes    int
}

// NewBounds returns bounds that admit the given number of items and bytes.
func NewBounds(count, bytes int) *Bounds { return &Bounds{maxCount: count, maxBytes: bytes} }

// Count returns the number of items in all queues that share the bounds.
func (b *Bounds) Count() int { return b.count }

// Bytes returns the size of those items.
func (b *Bounds) Bytes() int { return b.bytes }

// Queue is a queue sorted by key. It is not safe for concurrent use.
type Queue[T any] struct {
	bounds *Bounds
	items  []*Item[T]
	seq    uint64
	work   int
}

// New returns an empty queue that counts towards the bounds.
func New[T any](b *Bounds) *Queue[T] { return &Queue[T]{bounds: b} }

// Push adds a value and returns its item, or nil if that would exceed the bounds.
func (q *Queue[T]) Push(v T, key float64, work, bytes int) *Item[T] {
	b := q.bounds
	if b.count >= b.maxCount || b.bytes+bytes > b.maxBytes {
		return nil
	}
	b.count++
	b.bytes += bytes
	q.seq++
	q.work += work
	it := &Item[T]{value: v, key: key, seq: q.seq, work: work, bytes: bytes}
	i, _ := q.find(it)
	q.items = slices.Insert(q.items, i, it)
	return it
}

func (q *Queue[T]) find(it *Item[T]) (int, bool) {
	return slices.BinarySearchFunc(q.items, it, func(a, b *Item[T]) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.seq, b.seq))
	})
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	i, ok := q.find(it)
	if !ok {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.bounds.count--
	q.bounds.bytes -= it.bytes
	q.work -= it.work
	return true
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Work returns the total work of the items.
func (q *Queue[T]) Work() int { return q.work }

// At returns the item at index i, where 0 has the lowest key.
func (q *Queue[T]) At(i int) *Item[T] { return q.items[i] }

// Ahead returns the total work of the items with a lower key.
func (q *Queue[T]) Ahead(key float64) int {
	n := 0
	for _, it := range q.items {
		if it.key >= key {
			break
		}
		n += it.work
	}
	return n
}

// TakeFunc removes the items for which f returns true and returns their values in order.
func (q *Queue[T]) TakeFunc(f func(T) bool) []T {
	var out []T
	q.items = slices.DeleteFunc(q.items, func(it *Item[T]) bool {
		if !f(it.value) {
			return false
		}
		out = append(out, it.value)
		q.bounds.count--
		q.bounds.bytes -= it.bytes
		q.work -= it.work
		return true
	})
	return out
}
