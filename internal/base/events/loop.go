// Package events schedules callbacks in virtual time and runs them on one goroutine.
package events

import (
	"container/heap"
	"time"
)

// Loop is a discrete-event scheduler: its clock jumps to the time of the next event.
type Loop struct {
	now     time.Time
	pending eventQueue
	lastSeq int
}

// New returns a loop whose clock starts at the given time.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// After schedules fn to run once d has passed. A negative d counts as 0.
func (l *Loop) After(d time.Duration, fn func()) {
	l.lastSeq++
	heap.Push(&l.pending, event{at: l.now.Add(max(0, d)), seq: l.lastSeq, fn: fn})
}

// Run processes events until none is left.
func (l *Loop) Run() {
	for len(l.pending) > 0 {
		l.step()
	}
}

// RunFor processes the events of the next d and advances the clock by d.
func (l *Loop) RunFor(d time.Duration) {
	end := l.now.Add(d)
	for len(l.pending) > 0 && !l.pending[0].at.After(end) {
		l.step()
	}
	l.now = end
}

func (l *Loop) step() {
	e := heap.Pop(&l.pending).(event)
	l.now = e.at
	e.fn()
}

type event struct {
	at  time.Time
	seq int // events at the same time run in the order in which they were scheduled
	fn  func()
}

// eventQueue is a heap.Interface ordered by time, then by sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{} // releases the closure to the garbage collector
	*q = (*q)[:last]
	return e
}
