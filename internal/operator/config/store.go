// Package config maintains an entry's configuration: it follows the configuration
// stream of the log, applies its changes and publishes the current view.
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
	maxHistoryCount = 4096    // number of outcomes and of records
	maxHistoryBytes = 8 << 20 // total size of the records
)

// Seams are the store's connections to the log and to other entries. Read and Append
// are required. Without ReadSnapshots and AppendSnapshot no snapshots are written, and
// without PeerState no state is fetched from other entries.
type Seams struct {
	Read           readFunc
	Append         func(ctx context.Context, record []byte) (uint64, error)
	ReadSnapshots  readFunc
	AppendSnapshot func(ctx context.Context, record []byte) (uint64, error)
	// PeerState returns the newest state of another entry, or an empty one if none
	// is beyond the offset.
	PeerState func(ctx context.Context, beyond uint64) (PeerState, error)
	// Rank returns the rank of this entry among the live entries, from 0, and their
	// number. Without it the rank is 0.
	Rank func() (rank, of int)
	// Jitter randomizes the delay before a read is retried. By default half of the
	// delay is random.
	Jitter func(time.Duration) time.Duration
}

// PeerState is the state of another entry.
type PeerState struct {
	Epoch  string
	Offset uint64
	State  []byte // encoded like a snapshot
}

// Settings are the store's settings.
type Settings struct {
	Retention time.Duration // how long the log retains a record
}

// Store follows the configuration stream. It is safe for concurrent use.
type Store struct {
	seams          Seams
	settings       Settings
	log            *log.Logger
	view           atomic.Pointer[resource.View]
	follower       *logservice.Follower
	snapshotWriter *snapshotWriter
	source         atomic.Value // string: origin of the last state that was loaded

	mu            sync.Mutex
	fold          *resource.Fold
	outcomes      []resource.Outcome  // the newest, in offset order
	outcomesAfter uint64              // all outcomes after this offset are retained
	records       []logservice.Record // the newest, without gaps
	recordBytes   int                 // total size of records
	updated       chan struct{}       // closed and replaced when the state changes
	encoded       PeerState           // the last encoded state
}

// NewStore returns a store that follows the configuration stream until Close.
func NewStore(seams Seams, settings Settings, logger *log.Logger) *Store {
	s := &Store{
		seams:    seams,
		settings: settings,
		log:      logger.WithPrefix("config"),
		fold:     resource.NewFold(),
		updated:  make(chan struct{}),
	}
	s.snapshotWriter = newSnapshotWriter(s)
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
	go s.snapshotWriter.run()
	return s
}

// Close stops the store and waits until it has stopped.
func (s *Store) Close() {
	s.snapshotWriter.close()
	s.follower.Close()
}

// View returns the current configuration of this entry.
func (s *Store) View() *resource.View { return s.view.Load() }

// apply applies records and publishes the new view.
func (s *Store) apply(recs []logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range recs {
		c, err := resource.DecodeChange(r.Data)
		if err != nil {
			s.log.Error("Skipping a record that can't be decoded.", "offset", r.Offset, "err", err)
			s.fold.Skip(r.Offset)
			continue
		}
		if out, ok := s.fold.Apply(r.Offset, c); ok {
			s.outcomes = append(s.outcomes, out)
		}
	}
	s.appendHistory(recs)
	s.view.Store(s.fold.View())
	close(s.updated)
	s.updated = make(chan struct{})
}

// appendHistory adds records to the history and trims the history to its limits.
func (s *Store) appendHistory(recs []logservice.Record) {
	s.records = append(s.records, recs...)
	for _, r := range recs {
		s.recordBytes += len(r.Data)
	}
	n := max(0, len(s.records)-maxHistoryCount)
	for i := range s.records {
		if i >= n && s.recordBytes <= maxHistoryBytes {
			break
		}
		s.recordBytes -= len(s.records[i].Data)
		n = max(n, i+1)
	}
	if n > 0 {
		s.records = append([]logservice.Record(nil), s.records[n:]...)
	}
	if n := len(s.outcomes) - maxHistoryCount; n > 0 {
		s.outcomesAfter = s.outcomes[n-1].Offset()
		s.outcomes = append([]resource.Outcome(nil), s.outcomes[n:]...)
	}
}

// replaceState replaces the state and clears the history. It reports false if the
// fold is not newer than the current state.
func (s *Store) replaceState(fold *resource.Fold) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fold.Offset() <= s.fold.Offset() {
		return false
	}
	s.fold = fold
	s.outcomesAfter = fold.Offset()
	s.outcomes, s.records, s.recordBytes = nil, nil, 0
	s.view.Store(fold.View())
	close(s.updated)
	s.updated = make(chan struct{})
	return true
}

// Since returns the outcomes after the offset, and a channel that is closed when
// there may be more. It reports false if not all of these outcomes are retained.
func (s *Store) Since(offset uint64) ([]resource.Outcome, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomesSince(offset), s.updated, offset >= s.outcomesAfter
}

// outcomesSince returns the retained outcomes after the offset, or nil if not all are retained. s.mu is
// held.
func (s *Store) outcomesSince(offset uint64) []resource.Outcome {
	if offset < s.outcomesAfter {
		return nil
	}
	for i, out := range s.outcomes {
		if out.Offset() > offset {
			return append([]resource.Outcome(nil), s.outcomes[i:]...)
		}
	}
	return nil
}

// progress returns the outcomes after the offset and the fate of the change with the id as of one state:
// a change that was applied has both. The channel is closed when the state changes.
func (s *Store) progress(offset uint64, id string) (outs []resource.Outcome, fate resource.Fate, known bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fate, known = s.fold.Fate(id)
	return s.outcomesSince(offset), fate, known, s.updated
}

// Earliest returns the offset after which all outcomes are retained.
func (s *Store) Earliest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomesAfter
}

// Fate returns the fate of the change with the id, if this entry knows it.
func (s *Store) Fate(id string) (resource.Fate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Fate(id)
}

// Ready reports whether the log was read or a state was loaded at least once.
func (s *Store) Ready() bool { return s.follower.Ready() }

// Healthy reports whether the log can be followed, directly or through another entry.
func (s *Store) Healthy() bool { return s.follower.Healthy() }

// State is the configuration part of the state dump.
type State struct {
	logservice.FollowerState
	Source   string        `json:"source"` // origin of the last state that was loaded: log, snapshot or peer
	Snapshot SnapshotState `json:"snapshot"`
}

// State returns the store's state for the state dump.
func (s *Store) State() State {
	return State{FollowerState: s.follower.State(), Source: s.source.Load().(string), Snapshot: s.snapshotWriter.state()}
}
