package group

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// TTL is the time limit of a hold: an entry that dies leaves no hold longer.
	TTL        = 15 * time.Second
	renewEvery = TTL / 3
	// takeTimeout bounds the time to hold all members, so that the first hold
	// does not lapse before the last is taken.
	takeTimeout    = TTL / 2
	releaseTimeout = 2 * time.Second
)

// Calls are the calls of engines that a group makes. The hold's id is the same in
// all calls about it.
type Calls struct {
	Hold    func(ctx context.Context, upstream, hold string, tokens int, ttl time.Duration) error
	Renew   func(ctx context.Context, upstream, hold string, ttl time.Duration) error
	Release func(ctx context.Context, upstream, hold string) error
	// Refused reports whether the error means that the engine answered no.
	Refused func(err error) bool
}

// Held is memory held at all members of a group.
type Held struct {
	calls   Calls
	id      string
	members []string
	tokens  int // at each member
	lapsed  atomic.Int64
	stop    context.CancelFunc
	done    chan struct{}
}

// MemberError is the failure to hold one member.
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

// Take holds all members or none, in the order given, which is the same at every
// entry. It never waits for memory while it holds some, so that two entries can't
// block each other. Its error is a MemberError.
func Take(ctx context.Context, id string, members []string, tokens int, calls Calls) (*Held, error) {
	run, stop := context.WithCancel(context.Background())
	h := &Held{calls: calls, id: id, members: members, tokens: tokens, stop: stop, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for i, m := range members {
		if err := calls.Hold(ctx, m, h.Hold(i), tokens, TTL); err != nil {
			stop()
			h.release(i + 1) // the one that failed too: its answer may be lost
			return nil, &MemberError{upstream: m, err: err}
		}
	}
	go h.renew(run)
	return h, nil
}

// Hold returns the id of the hold at a member. The first member leads: its hold
// becomes the stream's memory.
func (h *Held) Hold(i int) string { return fmt.Sprintf("%s.%d", h.id, i) }

// Size returns the number of members.
func (h *Held) Size() int { return len(h.members) }

// Lapsed returns how many holds ended while the group had them.
func (h *Held) Lapsed() int { return int(h.lapsed.Load()) }

// renew keeps the holds of all members but the leader.
func (h *Held) renew(ctx context.Context) {
	defer close(h.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewEvery):
		}
		for i := 1; i < len(h.members); i++ {
			h.renewMember(ctx, i)
		}
	}
}

// renewMember renews a hold. One that lapsed, as when the entry was paused, is
// taken anew where the memory is still free.
func (h *Held) renewMember(ctx context.Context, i int) {
	err := h.calls.Renew(ctx, h.members[i], h.Hold(i), TTL)
	if err == nil || !h.calls.Refused(err) {
		return // the next round tries again
	}
	if err := h.calls.Hold(ctx, h.members[i], h.Hold(i), h.tokens, TTL); err != nil && !errors.Is(err, context.Canceled) {
		h.lapsed.Add(1)
	}
}

// Close ends the renewals and gives the holds back.
func (h *Held) Close() {
	h.stop()
	<-h.done
	h.release(len(h.members))
}

// release gives back the first n holds. One that can't be reached ends by its time limit.
func (h *Held) release(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for i := range n {
		_ = h.calls.Release(ctx, h.members[i], h.Hold(i)) // its time limit ends it otherwise
	}
}
