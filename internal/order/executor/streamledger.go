package executor

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

// streamLedger guards the ledger of one stream, which the log's follower updates
// and calls wait on.
type streamLedger struct {
	index int // of the stream

	mu       sync.Mutex
	ledger   *ledger.Ledger
	changed  chan struct{} // closed and replaced at each update
	caughtUp bool          // the stream was read to its end at least once
}

func newStreamLedger(index int, window time.Duration) *streamLedger {
	return &streamLedger{index: index, ledger: ledger.New(window), changed: make(chan struct{})}
}

func (s *streamLedger) update(apply func(l *ledger.Ledger)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(s.ledger)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the status of a key and a channel that is closed at the next update.
func (s *streamLedger) get(workspace string, key uuid.UUID) (ledger.Status, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Get(workspace, key), s.changed
}

func (s *streamLedger) floor() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Floor()
}

func (s *streamLedger) newest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Newest()
}

// ready reports whether the stream was read to its end at least once.
func (s *streamLedger) ready(atEnd func(stream int) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = s.caughtUp || atEnd(s.index)
	return s.caughtUp
}

// awaitOffset waits until the offset is applied. It reports false if the context is
// done before.
func (s *streamLedger) awaitOffset(ctx context.Context, offset uint64) bool {
	for {
		s.mu.Lock()
		applied, changed := s.ledger.Offset() >= offset, s.changed
		s.mu.Unlock()
		if applied {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
