// Package config keeps an entry's configuration: it follows the configuration's
// stream of the log, folds it and publishes the view that everything else reads.
package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	readWait     = 10 * time.Second
	retryFirst   = 100 * time.Millisecond
	retryMax     = 5 * time.Second
	submitWait   = 10 * time.Second
	historyLimit = 4096
)

// Seams are the store's ways to the log.
type Seams struct {
	Read   func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)
	Append func(ctx context.Context, record []byte) (uint64, error)
}

// LogSeams returns the seams to the configuration's stream of a log service.
func LogSeams(c *logservice.Client) Seams {
	return Seams{
		Read: func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
			return c.Read(ctx, resource.Stream, from, wait)
		},
		Append: func(ctx context.Context, record []byte) (uint64, error) {
			return c.Append(ctx, resource.Stream, [][]byte{record})
		},
	}
}

// Store follows the configuration. Its methods may be called from any goroutine.
type Store struct {
	seams Seams
	log   *log.Logger
	view  atomic.Pointer[resource.View]
	done  chan struct{}
	stop  context.CancelFunc

	mu      sync.Mutex
	history []resource.Outcome // the newest outcomes, in order of offset
	grown   chan struct{}
	epoch   string
	lastErr error
}

// NewStore starts following. Close ends it.
func NewStore(seams Seams, logger *log.Logger) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		seams: seams,
		log:   logger.WithPrefix("config"),
		done:  make(chan struct{}),
		stop:  cancel,
		grown: make(chan struct{}),
	}
	fold := resource.NewFold()
	s.view.Store(fold.View())
	go s.follow(ctx, fold)
	return s
}

// Close stops following and waits for it.
func (s *Store) Close() {
	s.stop()
	<-s.done
}

// View returns the configuration in force at this entry.
func (s *Store) View() *resource.View { return s.view.Load() }

func (s *Store) follow(ctx context.Context, fold *resource.Fold) {
	defer close(s.done)
	delay, wait := retryFirst, readWait
	for ctx.Err() == nil {
		recs, bounds, err := s.seams.Read(ctx, fold.Offset()+1, wait)
		if err == nil {
			err = s.checkBounds(bounds, fold.Offset())
		}
		s.noteError(ctx, err)
		if err != nil {
			sleep(ctx, jitter(delay))
			delay, wait = min(delay*2, retryMax), 0 // the end of an outage shows at once
			continue
		}
		delay, wait = retryFirst, readWait
		s.fold(fold, recs)
	}
}

var errBehind = errors.New("the log ends before the offset applied, or has another epoch; it is not followed")

// checkBounds refuses a log that is another one than what was applied.
func (s *Store) checkBounds(b logservice.Bounds, applied uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == "" {
		s.epoch = b.Epoch
	}
	if b.Epoch != s.epoch || b.Next <= applied {
		return fail("follow", KindUnavailable, errBehind)
	}
	return nil
}

func (s *Store) noteError(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil && (err == nil) != (s.lastErr == nil) {
		if err != nil {
			s.log.Warn("The log can't be read; serving with the configuration at hand.", "err", err)
		} else {
			s.log.Info("The log can be read again.")
		}
	}
	s.lastErr = err
}

func (s *Store) fold(fold *resource.Fold, recs []logservice.Record) {
	if len(recs) == 0 {
		return
	}
	outcomes := make([]resource.Outcome, 0, len(recs))
	for _, r := range recs {
		c, err := resource.DecodeChange(r.Data)
		if err != nil {
			s.log.Error("A record can't be decoded and is passed over.", "offset", r.Offset, "err", err)
		}
		if out, ok := fold.Apply(r.Offset, c); ok {
			outcomes = append(outcomes, out)
		}
	}
	s.view.Store(fold.View())
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

// Ready reports whether the log was read, or its records came, at least once.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch != ""
}

// State is the store's part of the state dump.
type State struct {
	Offset  uint64 `json:"offset"`
	Epoch   string `json:"epoch"`
	Healthy bool   `json:"healthy"`
	Error   string `json:"error,omitempty"`
}

// State returns the store's state.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Offset: s.View().Offset(), Epoch: s.epoch, Healthy: s.lastErr == nil}
	if s.lastErr != nil {
		st.Error = s.lastErr.Error()
	}
	return st
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
