package group

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// TTL is the time after which a hold expires unless it is renewed, as when its entry
	// crashes.
	TTL           = 15 * time.Second
	renewInterval = TTL / 3
	// acquireTimeout bounds the time to hold all members, so that the first hold does
	// not expire before the last one is acquired.
	acquireTimeout = TTL / 2
	releaseTimeout = 2 * time.Second
)

// Calls are the calls to engines that a group makes. All calls for a hold pass the same
// id.
type Calls struct {
	Hold    func(ctx context.Context, upstream, hold string, tokens int, ttl time.Duration) error
	Renew   func(ctx context.Context, upstream, hold string, ttl time.Duration) error
	Release func(ctx context.Context, upstream, hold string) error
	// Refused reports whether the error is a refusal by the engine.
	Refused func(err error) bool
}

// Lease is memory held at all members of a group. It is renewed until Close.
type Lease struct {
	calls   Calls
	id      string
	members []string
	tokens  int // at each member
	lapsed  atomic.Int64
	stop    context.CancelFunc
	done    chan struct{}
}

// MemberError is a failure to hold memory at one member.
type MemberError struct {
	upstream string
	err      error
}

// Upstream returns the member's name.
func (e *MemberError) Upstream() string { return e.upstream }

// Error returns the member's name and the cause.
func (e *MemberError) Error() string { return e.upstream + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *MemberError) Unwrap() error { return e.err }

// Acquire holds memory at all members or at none, in the order given, which has to be the
// same at every entry. It never waits for memory while it holds some, so that entries
// can't deadlock. Its error is a *MemberError.
func Acquire(ctx context.Context, id string, members []string, tokens int, calls Calls) (*Lease, error) {
	renewCtx, stop := context.WithCancel(context.Background())
	l := &Lease{calls: calls, id: id, members: members, tokens: tokens, stop: stop, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for i, m := range members {
		if err := calls.Hold(ctx, m, l.Hold(i), tokens, TTL); err != nil {
			stop()
			l.release(i + 1) // including the failed one: the hold may exist although its answer was lost
			return nil, &MemberError{upstream: m, err: err}
		}
	}
	go l.renew(renewCtx)
	return l, nil
}

// Hold returns the id of the hold at member i. Member 0 is the leader: the stream that is
// opened there takes over its hold.
func (l *Lease) Hold(i int) string { return fmt.Sprintf("%s.%d", l.id, i) }

// Size returns the number of members.
func (l *Lease) Size() int { return len(l.members) }

// Lapsed returns how many times a hold expired and could not be acquired again.
func (l *Lease) Lapsed() int { return int(l.lapsed.Load()) }

// renew renews the holds of all members but the leader.
func (l *Lease) renew(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
		for i := 1; i < len(l.members); i++ {
			l.renewMember(ctx, i)
		}
	}
}

// renewMember renews a hold. A hold that expired, as when the entry was paused, is
// acquired again if the memory is still free.
func (l *Lease) renewMember(ctx context.Context, i int) {
	err := l.calls.Renew(ctx, l.members[i], l.Hold(i), TTL)
	if err == nil || !l.calls.Refused(err) {
		return // the next round tries again
	}
	if err := l.calls.Hold(ctx, l.members[i], l.Hold(i), l.tokens, TTL); err != nil && !errors.Is(err, context.Canceled) {
		l.lapsed.Add(1)
	}
}

// Close stops the renewals and releases the holds.
func (l *Lease) Close() {
	l.stop()
	<-l.done
	l.release(len(l.members))
}

// release releases the first n holds. Errors are ignored: those holds expire after TTL.
func (l *Lease) release(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for i := range n {
		_ = l.calls.Release(ctx, l.members[i], l.Hold(i))
	}
}
