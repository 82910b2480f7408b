// Package config keeps an entry's configuration: it follows the configuration's
// stream of the log, folds it and publishes the view that everything else reads.
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	historyLimit = 4096    // outcomes and records
	historyBytes = 8 << 20 // of records
)

// Seams are the store's ways to the log and to other entries. Read and Append are
// needed; without the others there are no snapshots and no state from peers.
type Seams struct {
	Read           readFunc
	Append         func(ctx context.Context, record []byte) (uint64, error)
	ReadSnapshots  readFunc
	AppendSnapshot func(ctx context.Context, record []byte) (uint64, error)
	// PeerState returns the newest state that another entry has, where that is
	// beyond the offset.
	PeerState func(ctx context.Context, beyond uint64) (PeerState, error)
	// Rank returns the place of this entry among the live ones, and their number.
	Rank func() (rank, of int)
	// Jitter changes the delay before a read is tried again; without it half is random.
	Jitter func(time.Duration) time.Duration
}

// PeerState is the state of another entry.
type PeerState struct {
	Epoch  string
	Offset uint64
	State  []byte // as in a snapshot
}

// Settings are the store's settings.
type Settings struct {
	Retention time.Duration // how long the log keeps a record
}

// Store follows the configuration. Its methods may be called from any goroutine.
type Store struct {
	seams    Seams
	settings Settings
	log      *log.Logger
	view     atomic.Pointer[resource.View]
	follower *logservice.Follower
	keeper   *keeper
	source   atomic.Value // string: where the state at the start came from

	mu       sync.Mutex
	fold     *resource.Fold
	outcomes []resource.Outcome  // the newest, in order of offset
	from     uint64              // all outcomes after this offset are kept
	records  []logservice.Record // the newest, without a gap
	bytes    int                 // of records
	grown    chan struct{}
	encoded  PeerState // the last state that was encoded
}

// NewStore starts following. Close ends it.
func NewStore(seams Seams, settings Settings, logger *log.Logger) *Store {
	s := &Store{
		seams:    seams,
		settings: settings,
		log:      logger.WithPrefix("config"),
		fold:     resource.NewFold(),
		grown:    make(chan struct{}),
	}
	s.keeper = newKeeper(s)
	s.source.Store("log")
	s.view.Store(s.fold.View())
	s.follower = logservice.NewFollower(logservice.FollowerConfig{
		Stream:  resource.Stream,
		Start:   s.start,
		Read:    seams.Read,
		Fold:    s.apply,
		Restore: s.restore,
		Jitter:  seams.Jitter,
		Log:     s.log,
	})
	go s.keeper.run()
	return s
}

// Close stops following and waits for it.
func (s *Store) Close() {
	s.keeper.close()
	s.follower.Close()
}

// View returns the configuration in force at this entry.
func (s *Store) View() *resource.View { return s.view.Load() }

// apply folds records and publishes the view.
func (s *Store) apply(recs []logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range recs {
		c, err := resource.DecodeChange(r.Data)
		if err != nil {
			s.log.Error("A record can't be decoded and is passed over.", "offset", r.Offset, "err", err)
			s.fold.Skip(r.Offset)
			continue
		}
		if out, ok := s.fold.Apply(r.Offset, c); ok {
			s.outcomes = append(s.outcomes, out)
		}
	}
	s.keep(recs)
	s.view.Store(s.fold.View())
	close(s.grown)
	s.grown = make(chan struct{})
}

// keep keeps the newest records and outcomes within their bounds.
func (s *Store) keep(recs []logservice.Record) {
	s.records = append(s.records, recs...)
	for _, r := range recs {
		s.bytes += len(r.Data)
	}
	n := max(0, len(s.records)-historyLimit)
	for i := range s.records {
		if i >= n && s.bytes <= historyBytes {
			break
		}
		s.bytes -= len(s.records[i].Data)
		n = max(n, i+1)
	}
	if n > 0 {
		s.records = append([]logservice.Record(nil), s.records[n:]...)
	}
	if n := len(s.outcomes) - historyLimit; n > 0 {
		s.from = s.outcomes[n-1].Offset()
		s.outcomes = append([]resource.Outcome(nil), s.outcomes[n:]...)
	}
}

// adopt replaces the state by a newer one, whole.
func (s *Store) adopt(fold *resource.Fold) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fold.Offset() <= s.fold.Offset() {
		return false
	}
	s.fold = fold
	s.from = fold.Offset()
	s.outcomes, s.records, s.bytes = nil, nil, 0
	s.view.Store(fold.View())
	close(s.grown)
	s.grown = make(chan struct{})
	return true
}

// Since returns the kept outcomes after the offset, and a channel that is closed
// when there are more. It reports false where outcomes after the offset are kept
// no more.
func (s *Store) Since(offset uint64) ([]resource.Outcome, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < s.from {
		return nil, s.grown, false
	}
	for i, out := range s.outcomes {
		if out.Offset() > offset {
			return append([]resource.Outcome(nil), s.outcomes[i:]...), s.grown, true
		}
	}
	return nil, s.grown, true
}

// Earliest returns the offset after which all outcomes are kept.
func (s *Store) Earliest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.from
}

// Fate returns what became of a change, where this entry knows it.
func (s *Store) Fate(id string) (resource.Fate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Fate(id)
}

// Ready reports whether the log was read, or state was given, at least once.
func (s *Store) Ready() bool { return s.follower.Ready() }

// Healthy reports whether the log can be followed, if only through another entry.
func (s *Store) Healthy() bool { return s.follower.Healthy() }

// State is the store's part of the state dump.
type State struct {
	logservice.FollowerState
	Source   string        `json:"source"` // of the state at the start: log, snapshot or peer
	Snapshot SnapshotState `json:"snapshot"`
}

// State returns the store's state.
func (s *Store) State() State {
	return State{FollowerState: s.follower.State(), Source: s.source.Load().(string), Snapshot: s.keeper.state()}
}
