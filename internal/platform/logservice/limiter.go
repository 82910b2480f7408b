package logservice

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultEntryAppends is the number of append calls a second that one entry may make.
	DefaultEntryAppends = 50
	// minEntryAppends is the least that answers "rate limited" reduce it to.
	minEntryAppends = 0.5
	// limiterRecovery is the time in which a reduced rate doubles.
	limiterRecovery = 5 * time.Second
	limiterBurst    = 10 // calls
)

// Limiter keeps the append calls of a whole entry, over all of its streams, below
// a rate. An answer "rate limited" halves the rate; it recovers with time. Its
// methods may be called from any goroutine.
type Limiter struct {
	mu       sync.Mutex
	limit    float64 // calls a second when nothing was refused
	rate     float64 // calls a second now
	credit   float64 // calls; negative where callers wait
	credited time.Time
}

// NewLimiter returns a limiter of that many calls a second.
func NewLimiter(perSecond float64) *Limiter {
	return &Limiter{limit: perSecond, rate: perSecond, credit: limiterBurst}
}

// Wait waits until one more call is allowed. It returns the context's error where
// that ends first; the call is then not to be made.
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
		l.giveBack()
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

func (l *Limiter) giveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit++
}

// advance adds the credit and the recovery of the time since the last call.
func (l *Limiter) advance(now time.Time) {
	if !l.credited.IsZero() {
		dt := now.Sub(l.credited).Seconds()
		l.credit = min(limiterBurst, l.credit+dt*l.rate)
		l.rate = min(l.limit, l.rate*math.Exp2(dt/limiterRecovery.Seconds()))
	}
	l.credited = now
}

// Refused tells that the service refused a call by its rate limit.
func (l *Limiter) Refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	l.rate = max(minEntryAppends, l.rate/2)
	l.credit = min(l.credit, 0)
}

// Rate returns the calls a second that are allowed now.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	return l.rate
}

// backoff gives growing delays with jitter between tries.
type backoff struct {
	first, most, next time.Duration
	jitter            func(time.Duration) time.Duration
}

// newBackoff returns a backoff. Without a jitter half of each delay is random, so
// that entries don't try in step.
func newBackoff(first, most time.Duration, jitter func(time.Duration) time.Duration) *backoff {
	if jitter == nil {
		jitter = func(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
	}
	return &backoff{first: first, most: most, next: first, jitter: jitter}
}

// delay returns the next delay.
func (b *backoff) delay() time.Duration {
	d := b.next
	b.next = min(2*d, b.most)
	return b.jitter(d)
}

func (b *backoff) reset() { b.next = b.first }
