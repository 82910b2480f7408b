// Package slots limits the long prefills that run at an upstream at once. The entry that owns
// the upstream grants slots for them as leases. The state is soft: a slot expires unless it is
// renewed, and without a reachable owner prefills start without one, subject to the
// upstream's own limits.
package slots

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/slotwire"
)

const (
	renewInterval = leaseDuration / 3
	callTimeout   = 300 * time.Millisecond
)

// Kind classifies the errors of this package.
type Kind string

// KindBusy is the kind of errors for an upstream whose slots are all held.
const KindBusy Kind = "busy"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("slots")

// busyError is the cause of an error of KindBusy.
type busyError struct{ retryAfter time.Duration }

// Error returns the time within which a slot becomes free.
func (e *busyError) Error() string { return fmt.Sprintf("free within %s", e.retryAfter) }

// RetryAfter returns the time within which a slot becomes free, from an error of KindBusy. It
// returns 0 for other errors.
func RetryAfter(err error) time.Duration {
	var busy *busyError
	if errors.As(err, &busy) {
		return busy.retryAfter
	}
	return 0
}

// Seams are the settings of Slots and the functions of the membership that they call.
type Seams struct {
	// Self identifies this process by VM and incarnation. It is the prefix of slot ids.
	Self string
	// Owner returns the address of an upstream's owner, or "" if none is reachable, and
	// whether it is this entry.
	Owner func(upstream string) (address string, self bool)
	Link  *link.Link
}

// Slots acquires slots and, for the upstreams that this entry owns, grants them. It is safe
// for concurrent use.
type Slots struct {
	seams Seams
	done  chan struct{}

	mu        sync.Mutex
	leases    *leaseTable
	clients   map[string]slotwire.Slots
	requested int64
	unasked   int64 // granted because no owner answered
	refused   int64
	renewing  sync.WaitGroup
}

// New returns Slots and registers their service on the link.
func New(seams Seams) *Slots {
	s := &Slots{
		seams: seams, done: make(chan struct{}), leases: newLeaseTable(time.Now), clients: map[string]slotwire.Slots{},
	}
	srv := slotwire.NewSlotsServer(s)
	seams.Link.Handle(srv.PathPrefix(), srv)
	return s
}

// Close stops the renewals. The slots held expire at their owners.
func (s *Slots) Close() {
	close(s.done)
	s.renewing.Wait()
}

// Slot acquires a slot at the upstream and renews it until release is called. It returns an
// error of KindBusy if others hold the slots. release may be called more than once.
func (s *Slots) Slot(ctx context.Context, upstream string) (release func(), err error) {
	s.mu.Lock()
	s.requested++
	r := &slotwire.SlotRequest{Upstream: upstream, Id: fmt.Sprintf("%s/%d", s.seams.Self, s.requested)}
	s.mu.Unlock()
	if err := s.acquire(ctx, r); err != nil {
		return nil, err
	}
	released := make(chan struct{})
	s.renewing.Go(func() { s.renew(r, released) })
	return sync.OnceFunc(func() { close(released) }), nil
}

// acquire requests a slot from the upstream's owner. Without an answer it grants the slot.
func (s *Slots) acquire(ctx context.Context, r *slotwire.SlotRequest) error {
	reply, err := s.call(ctx, r, slotwire.Slots.Take)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.unasked++ // the upstream's own limits apply
		return nil
	case !reply.GetGranted():
		s.refused++
		retryAfter := time.Duration(reply.GetRetryMs()) * time.Millisecond
		return fault.New(&class, "take", KindBusy, &busyError{retryAfter: retryAfter})
	default:
		return nil
	}
}

type method func(slotwire.Slots, context.Context, *slotwire.SlotRequest) (*slotwire.SlotReply, error)

var errNoOwner = errors.New("no owner is reachable")

func (s *Slots) call(ctx context.Context, r *slotwire.SlotRequest, rpc method) (*slotwire.SlotReply, error) {
	address, self := s.seams.Owner(r.GetUpstream())
	switch {
	case self:
		return rpc(s, ctx, r)
	case address == "":
		return nil, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc(s.client(address), ctx, r)
}

func (s *Slots) client(address string) slotwire.Slots {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := s.clients[address]
	if client == nil {
		client = slotwire.NewSlotsProtobufClient("http://"+address, s.seams.Link)
		s.clients[address] = client
	}
	return client
}

// renew renews a slot until it is released, which also makes it known to a new owner. A
// refused renewal is ignored, since the slot's prefill is already running.
func (s *Slots) renew(r *slotwire.SlotRequest, released <-chan struct{}) {
	for {
		select {
		case <-time.After(renewInterval):
			_, _ = s.call(context.Background(), r, slotwire.Slots.Take) // retried at the next renewal
		case <-released:
			_, _ = s.call(context.Background(), r, slotwire.Slots.Release) // without it the slot expires
			return
		case <-s.done:
			return
		}
	}
}

// Take grants or renews a slot. It implements slotwire.Slots.
func (s *Slots) Take(_ context.Context, r *slotwire.SlotRequest) (*slotwire.SlotReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.leases.acquire(r.GetUpstream(), r.GetId())
	return &slotwire.SlotReply{Granted: ok, RetryMs: uint32(retryAfter.Milliseconds())}, nil
}

// Release releases a slot. It implements slotwire.Slots.
func (s *Slots) Release(_ context.Context, r *slotwire.SlotRequest) (*slotwire.SlotReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.release(r.GetUpstream(), r.GetId())
	return &slotwire.SlotReply{Granted: true}, nil
}

// State is the part of the state dump for Slots.
type State struct {
	Given   int   `json:"given"`   // slots held that this entry granted as owner
	Taken   int64 `json:"taken"`   // slots requested by this entry since its start
	Refused int64 `json:"refused"` // requests of Taken that the owner refused
	Unasked int64 `json:"unasked"` // requests of Taken granted because no owner answered
}

// State returns the part of the state dump for Slots.
func (s *Slots) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Given: s.leases.count(), Taken: s.requested, Refused: s.refused, Unasked: s.unasked}
}
