// Package circuit implements a circuit breaker, which keeps work away from a failing
// engine until a probe succeeds.
package circuit

import (
	"time"
)

const (
	failuresToOpen = 2 // consecutive failures
	minOpen        = 500 * time.Millisecond
	maxOpen        = 30 * time.Second
	// stableFor is the time that a circuit has to stay closed until a success halves
	// its next open time.
	stableFor = 30 * time.Second
	// probeTimeout is the time after which a probe without a result counts as lost
	// and another one is allowed.
	probeTimeout = 10 * time.Second
)

// State is the state of a circuit.
type State string

// The states of a circuit.
const (
	Closed   State = "closed"    // work is allowed
	Open     State = "open"      // no work until the open time is over
	HalfOpen State = "half open" // one probe is in flight
)

// Breaker is the circuit breaker of one engine. It is not safe for concurrent use.
type Breaker struct {
	jitter   func() float64 // returns 0 to 1
	state    State
	failures int           // consecutive
	wait     time.Duration // next open time, before jitter
	maxWait  time.Duration // bound of wait
	until    time.Time     // Open: when a probe is allowed; HalfOpen: when the probe times out
	changed  time.Time     // last change of the state or reduction of wait
}

// New returns a closed circuit breaker. Jitter returns numbers from 0 to 1.
func New(jitter func() float64) *Breaker { return NewWithin(jitter, maxOpen) }

// NewWithin returns a closed circuit breaker that opens for at most maxWait.
func NewWithin(jitter func() float64, maxWait time.Duration) *Breaker {
	return &Breaker{jitter: jitter, state: Closed, wait: minOpen, maxWait: maxWait}
}

// State returns the current state. An open circuit stays Open until Sent, even if a
// probe is allowed.
func (b *Breaker) State() State { return b.state }

// Allows reports whether work may be sent to the engine.
func (b *Breaker) Allows(now time.Time) bool {
	return b.state == Closed || !now.Before(b.until)
}

// Sent records that work was sent to the engine. Unless the circuit is closed, that
// work is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.state != Closed {
		b.state, b.until = HalfOpen, now.Add(probeTimeout)
	}
}

// Succeeded records a success of the engine, which closes the circuit.
func (b *Breaker) Succeeded(now time.Time) {
	if b.state != Closed {
		b.state, b.changed = Closed, now
	}
	b.failures = 0
	if b.wait > minOpen && now.Sub(b.changed) > stableFor {
		b.wait, b.changed = max(minOpen, b.wait/2), now
	}
}

// Failed records a failure of the engine. The open time doubles each time the circuit
// opens, up to its bound, so that a flapping engine stays out longer each time.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.state == Open || b.state == Closed && b.failures < failuresToOpen {
		return
	}
	b.state, b.changed = Open, now
	b.until = now.Add(time.Duration(float64(b.wait) * (1 + b.jitter()) / 2))
	b.wait = min(2*b.wait, b.maxWait)
}
