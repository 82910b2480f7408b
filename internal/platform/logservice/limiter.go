package logservice

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultEntryAppends is the default limit of append calls a second of one entry.
	DefaultEntryAppends = 50
	// minAppendsPerSecond is the lowest rate, in calls a second, after rate-limited calls.
	minAppendsPerSecond = 0.5
	// rateDoublingTime is the time in which a reduced rate doubles.
	rateDoublingTime = 5 * time.Second
	burstCalls       = 10 // calls
)

// Limiter is a token bucket for the append calls of an entry to all streams. Each
// rate-limited call halves the rate, which then recovers exponentially. It is safe for
// concurrent use.
type Limiter struct {
	mu      sync.Mutex
	limit   float64 // maximum rate, in calls a second
	rate    float64 // current rate, in calls a second
	credit  float64 // calls available; negative while callers wait
	updated time.Time
}

// NewLimiter returns a Limiter of perSecond calls a second.
func NewLimiter(perSecond float64) *Limiter {
	return &Limiter{limit: perSecond, rate: perSecond, credit: burstCalls}
}

// Wait blocks until a call is allowed. If ctx ends first it returns the context's error
// and the call must not be made.
func (l *Limiter) Wait(ctx context.Context) error {
	d := l.reserve(time.Now())
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		l.unreserve()
		return ctx.Err()
	}
}

func (l *Limiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.credit--
	if l.credit >= 0 {
		return 0
	}
	return time.Duration(-l.credit / l.rate * float64(time.Second))
}

func (l *Limiter) unreserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit++
}

// advance updates the credit and the rate by the time since the last update.
func (l *Limiter) advance(now time.Time) {
	if !l.updated.IsZero() {
		dt := now.Sub(l.updated).Seconds()
		l.credit = min(burstCalls, l.credit+dt*l.rate)
		l.rate = min(l.limit, l.rate*math.Exp2(dt/rateDoublingTime.Seconds()))
	}
	l.updated = now
}

// OnRateLimited reports that the store rejected a call by its rate limit.
func (l *Limiter) OnRateLimited() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	l.rate = max(minAppendsPerSecond, l.rate/2)
	l.credit = min(l.credit, 0)
}

// Rate returns the current limit in calls a second.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	return l.rate
}

// backoff computes exponentially growing retry delays with jitter.
type backoff struct {
	initial, limit, next time.Duration
	jitter               func(time.Duration) time.Duration
}

// newBackoff returns a backoff. If jitter is nil, half of each delay is random, so that
// entries don't retry at the same time.
func newBackoff(initial, limit time.Duration, jitter func(time.Duration) time.Duration) *backoff {
	if jitter == nil {
		jitter = func(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
	}
	return &backoff{initial: initial, limit: limit, next: initial, jitter: jitter}
}

// delay returns the next delay and doubles the one after it, up to the maximum.
func (b *backoff) delay() time.Duration {
	d := b.next
	b.next = min(2*d, b.limit)
	return b.jitter(d)
}

func (b *backoff) reset() { b.next = b.initial }
