// Package config keeps an entry's configuration: it follows the configuration's
// stream of the log, folds it and publishes the view that everything else reads.
package config

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	submitWait   = 10 * time.Second
	historyLimit = 4096
)

// Seams are the store's ways to the log.
type Seams struct {
	Read   func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)
	Append func(ctx context.Context, record []byte) (uint64, error)
}

// Store follows the configuration. Its methods may be called from any goroutine.
type Store struct {
	seams    Seams
	log      *log.Logger
	view     atomic.Pointer[resource.View]
	fold     *resource.Fold // belongs to the follower's goroutine
	follower *logservice.Follower

	mu      sync.Mutex
	history []resource.Outcome // the newest outcomes, in order of offset
	grown   chan struct{}
}

// NewStore starts following. Close ends it.
func NewStore(seams Seams, logger *log.Logger) *Store {
	s := &Store{
		seams: seams,
		log:   logger.WithPrefix("config"),
		fold:  resource.NewFold(),
		grown: make(chan struct{}),
	}
	s.view.Store(s.fold.View())
	s.follower = logservice.NewFollower(logservice.FollowerConfig{
		Stream: resource.Stream,
		Read:   seams.Read,
		Fold:   s.apply,
		Restore: func(context.Context, logservice.Bounds) (uint64, error) {
			return 0, errors.New("there is no other source of state")
		},
		Log: s.log,
	})
	return s
}

// Close stops following and waits for it.
func (s *Store) Close() { s.follower.Close() }

// View returns the configuration in force at this entry.
func (s *Store) View() *resource.View { return s.view.Load() }

func (s *Store) apply(recs []logservice.Record) {
	outcomes := make([]resource.Outcome, 0, len(recs))
	for _, r := range recs {
		c, err := resource.DecodeChange(r.Data)
		if err != nil {
			s.log.Error("A record can't be decoded and is passed over.", "offset", r.Offset, "err", err)
		}
		if out, ok := s.fold.Apply(r.Offset, c); ok {
			outcomes = append(outcomes, out)
		}
	}
	s.view.Store(s.fold.View())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, outcomes...)
	if n := len(s.history) - historyLimit; n > 0 {
		s.history = append([]resource.Outcome(nil), s.history[n:]...)
	}
	close(s.grown)
	s.grown = make(chan struct{})
}

// Submit appends the change and waits until this entry has read it back and
// folded it. The outcome tells what became of it; a rejected change is an error
// of KindRejected beside its outcome.
func (s *Store) Submit(ctx context.Context, c resource.Change) (resource.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	rec, err := resource.EncodeChange(c)
	if err != nil {
		return resource.Outcome{}, err
	}
	from := s.View().Offset()
	if _, err := s.seams.Append(ctx, rec); err != nil && !fault.Is(err, logservice.KindUnknown) {
		return resource.Outcome{}, fail("submit", KindUnavailable, err)
	}
	out, err := s.await(ctx, from, c.ID)
	if err != nil {
		return out, fail("submit", KindUnknown, err)
	}
	if out.Err() != nil {
		return out, fail("submit", KindRejected, out.Err())
	}
	return out, nil
}

func (s *Store) await(ctx context.Context, from uint64, id string) (resource.Outcome, error) {
	for {
		outs, grown := s.Since(from)
		for _, out := range outs {
			from = out.Offset()
			if out.Change().ID == id {
				return out, nil
			}
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return resource.Outcome{}, ctx.Err()
		}
	}
}

// Since returns the kept outcomes after the offset, and a channel that is closed
// when there are more.
func (s *Store) Since(offset uint64) ([]resource.Outcome, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, out := range s.history {
		if out.Offset() > offset {
			return append([]resource.Outcome(nil), s.history[i:]...), s.grown
		}
	}
	return nil, s.grown
}

// Ready reports whether the log was read, or state was given, at least once.
func (s *Store) Ready() bool { return s.follower.Ready() }

// State is the store's part of the state dump.
type State = logservice.FollowerState

// State returns the store's state.
func (s *Store) State() State { return s.follower.State() }
