// Package circuit keeps work away from an engine that fails and lets it return
// by a probe.
package circuit

import (
	"time"
)

const (
	failuresToOpen = 2
	minOpen        = 500 * time.Millisecond
	maxOpen        = 30 * time.Second
	// steady is how long an engine works until its earlier failures are forgotten.
	steady = 30 * time.Second
	// probeTimeout is how long a probe may take until another one is let through.
	probeTimeout = 10 * time.Second
)

// State is the state of a circuit.
type State string

// The states of a circuit.
const (
	Closed   State = "closed"    // work goes through
	Open     State = "open"      // no work until a time
	HalfOpen State = "half open" // one probe is on its way
)

// Breaker is the circuit of one engine. It belongs to one goroutine.
type Breaker struct {
	jitter   func() float64 // 0 to 1
	state    State
	failures int // in a row
	wait     time.Duration
	most     time.Duration // that wait grows to
	until    time.Time     // Open: when a probe may go; HalfOpen: when the probe is given up
	changed  time.Time
}

// New returns a closed circuit. Jitter returns numbers from 0 to 1.
func New(jitter func() float64) *Breaker { return NewWithin(jitter, maxOpen) }

// NewWithin returns a closed circuit that opens for no longer than most.
func NewWithin(jitter func() float64, most time.Duration) *Breaker {
	return &Breaker{jitter: jitter, state: Closed, wait: minOpen, most: most}
}

// State returns the state at the time.
func (b *Breaker) State() State { return b.state }

// Allows reports whether work may go to the engine.
func (b *Breaker) Allows(now time.Time) bool {
	return b.state == Closed || !now.Before(b.until)
}

// Sent notes that work goes to the engine: the first after the wait is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.state != Closed {
		b.state, b.until = HalfOpen, now.Add(probeTimeout)
	}
}

// Succeeded notes that the engine did what it was asked. It closes the circuit.
func (b *Breaker) Succeeded(now time.Time) {
	if b.state != Closed {
		b.state, b.changed = Closed, now
	}
	b.failures = 0
	if b.wait > minOpen && now.Sub(b.changed) > steady {
		b.wait, b.changed = max(minOpen, b.wait/2), now
	}
}

// Failed notes that the engine failed. An engine that flaps waits longer each time.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.state == Open || b.state == Closed && b.failures < failuresToOpen {
		return
	}
	b.state, b.changed = Open, now
	b.until = now.Add(time.Duration(float64(b.wait) * (1 + b.jitter()) / 2))
	b.wait = min(2*b.wait, b.most)
}
