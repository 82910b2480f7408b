// Package events lets virtual time pass from event to event, in one goroutine.
package events

import (
	"container/heap"
	"time"
)

// Loop is virtual time: what is due next happens next.
type Loop struct {
	now  time.Time
	due  queue
	made int
}

// New returns a loop whose time begins at a moment.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the time.
func (l *Loop) Now() time.Time { return l.now }

// After lets something happen later.
func (l *Loop) After(d time.Duration, do func()) {
	l.made++
	heap.Push(&l.due, event{at: l.now.Add(max(0, d)), seq: l.made, do: do})
}

// Run lets time pass until nothing is due.
func (l *Loop) Run() {
	for len(l.due) > 0 {
		l.next()
	}
}

// RunFor lets so much time pass.
func (l *Loop) RunFor(d time.Duration) {
	end := l.now.Add(d)
	for len(l.due) > 0 && !l.due[0].at.After(end) {
		l.next()
	}
	l.now = end
}

func (l *Loop) next() {
	e := heap.Pop(&l.due).(event)
	l.now = e.at
	e.do()
}

type event struct {
	at  time.Time
	seq int // events of the same moment happen in the order in which they were made
	do  func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; the heap calls it.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event; the heap calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{} // its closure may hold much
	*q = (*q)[:last]
	return e
}
