// Package slots lets long prompts take turns at an upstream: its owner entry gives
// out the right to start a long prefill there. The state is soft: a slot ends by
// itself, and where no owner can be asked the upstream's own limits decide.
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
	renewEvery  = lifetime / 3
	callTimeout = 300 * time.Millisecond
)

// Kind classifies the errors of this package.
type Kind string

// KindBusy is the kind of a slot that others hold.
const KindBusy Kind = "busy"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("slots")

// busyError is the cause of an error of KindBusy.
type busyError struct{ retryAfter time.Duration }

// Error tells when the slot is free at the latest.
func (e *busyError) Error() string { return fmt.Sprintf("free within %s", e.retryAfter) }

// RetryAfter returns when a slot that an error of KindBusy refused is free at the latest.
func RetryAfter(err error) time.Duration {
	var busy *busyError
	if errors.As(err, &busy) {
		return busy.retryAfter
	}
	return 0
}

// Seams are what slots need of the membership.
type Seams struct {
	// Self names this process: VM and incarnation.
	Self string
	// Owner returns the address of an upstream's owner, "" where there is none in
	// reach, and whether it is this entry.
	Owner func(upstream string) (address string, self bool)
	Link  *link.Link
}

// Slots takes slots and, as owner, gives them out. Its methods may be called from
// any goroutine.
type Slots struct {
	seams Seams
	done  chan struct{}

	mu       sync.Mutex
	book     *book
	clients  map[string]slotwire.Slots
	taken    int64
	ungiven  int64 // granted since nobody could be asked
	refused  int64
	renewing sync.WaitGroup
}

// New returns slots that serve their calls on the link.
func New(seams Seams) *Slots {
	s := &Slots{
		seams: seams, done: make(chan struct{}), book: newBook(time.Now), clients: map[string]slotwire.Slots{},
	}
	srv := slotwire.NewSlotsServer(s)
	seams.Link.Handle(srv.PathPrefix(), srv)
	return s
}

// Close ends the renewals.
func (s *Slots) Close() {
	close(s.done)
	s.renewing.Wait()
}

// Slot takes a slot at the upstream. It returns an error of KindBusy where others
// hold it. The release function may be called more than once.
func (s *Slots) Slot(ctx context.Context, upstream string) (release func(), err error) {
	s.mu.Lock()
	s.taken++
	r := &slotwire.SlotRequest{Upstream: upstream, Id: fmt.Sprintf("%s/%d", s.seams.Self, s.taken)}
	s.mu.Unlock()
	if err := s.ask(ctx, r); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	s.renewing.Go(func() { s.renew(r, ended) })
	return sync.OnceFunc(func() { close(ended) }), nil
}

// ask takes or renews a slot.
func (s *Slots) ask(ctx context.Context, r *slotwire.SlotRequest) error {
	reply, err := s.call(ctx, r, slotwire.Slots.Take)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.ungiven++ // the upstream's own limits decide
		return nil
	case !reply.GetGranted():
		s.refused++
		wait := time.Duration(reply.GetRetryMs()) * time.Millisecond
		return fault.New(&class, "take", KindBusy, &busyError{retryAfter: wait})
	default:
		return nil
	}
}

type method func(slotwire.Slots, context.Context, *slotwire.SlotRequest) (*slotwire.SlotReply, error)

var errNoOwner = errors.New("no owner in reach")

func (s *Slots) call(ctx context.Context, r *slotwire.SlotRequest, call method) (*slotwire.SlotReply, error) {
	address, self := s.seams.Owner(r.GetUpstream())
	switch {
	case self:
		return call(s, ctx, r)
	case address == "":
		return nil, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(s.client(address), ctx, r)
}

func (s *Slots) client(address string) slotwire.Slots {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = slotwire.NewSlotsProtobufClient("http://"+address, s.seams.Link)
		s.clients[address] = c
	}
	return c
}

// renew keeps a slot until it is released. A new owner learns of it by that. A slot
// that was lost is not given back: its prefill runs already.
func (s *Slots) renew(r *slotwire.SlotRequest, ended <-chan struct{}) {
	for {
		select {
		case <-time.After(renewEvery):
			_, _ = s.call(context.Background(), r, slotwire.Slots.Take) // repeated soon
		case <-ended:
			_, _ = s.call(context.Background(), r, slotwire.Slots.Release) // it ends by itself, too
			return
		case <-s.done:
			return
		}
	}
}

// Take serves a request for a slot.
func (s *Slots) Take(_ context.Context, r *slotwire.SlotRequest) (*slotwire.SlotReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, ok := s.book.take(r.GetUpstream(), r.GetId())
	return &slotwire.SlotReply{Granted: ok, RetryMs: uint32(after.Milliseconds())}, nil
}

// Release serves the end of a slot.
func (s *Slots) Release(_ context.Context, r *slotwire.SlotRequest) (*slotwire.SlotReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.release(r.GetUpstream(), r.GetId())
	return &slotwire.SlotReply{Granted: true}, nil
}

// State is the slots' part of the state dump.
type State struct {
	Given   int   `json:"given"`   // by this entry as owner, now
	Taken   int64 `json:"taken"`   // asked for by this entry, since its start
	Refused int64 `json:"refused"` // of these
	Unasked int64 `json:"unasked"` // of these, granted since no owner answered
}

// State returns the slots' part of the state dump.
func (s *Slots) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Given: s.book.count(), Taken: s.taken, Refused: s.refused, Unasked: s.ungiven}
}
