package executor

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

// shelf holds the ledger of one stream for the follower that feeds it and the
// calls that wait on it.
type shelf struct {
	stream int

	mu     sync.Mutex
	ledger *ledger.Ledger
	grown  chan struct{} // closed and replaced at each change
	caught bool          // read up to the end at least once
}

func newShelf(stream int, window time.Duration) *shelf {
	return &shelf{stream: stream, ledger: ledger.New(window), grown: make(chan struct{})}
}

func (s *shelf) change(apply func(l *ledger.Ledger)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(s.ledger)
	close(s.grown)
	s.grown = make(chan struct{})
}

// get returns what is known of a key, and a channel that is closed when more is known.
func (s *shelf) get(workspace string, key uuid.UUID) (ledger.Status, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Get(workspace, key), s.grown
}

func (s *shelf) floor() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Floor()
}

func (s *shelf) newest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Newest()
}

// ready reports whether the stream was read up to its end at least once.
func (s *shelf) ready(atEnd func(stream int) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caught = s.caught || atEnd(s.stream)
	return s.caught
}

// await waits until the offset is folded and reports whether it is.
func (s *shelf) await(ctx context.Context, offset uint64) bool {
	for {
		s.mu.Lock()
		folded, grown := s.ledger.Offset() >= offset, s.grown
		s.mu.Unlock()
		if folded {
			return true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}
