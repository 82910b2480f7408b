package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	// snapshotRetentionDivisor divides the log's retention: a snapshot is due when
	// the oldest record that a new entry needs is older than the quotient.
	snapshotRetentionDivisor = 16
	// snapshotEveryRecords is the number of records after the newest snapshot that
	// makes another one due.
	snapshotEveryRecords = 4096
	// maxStaggerRank is the highest rank with a delay of its own, which higher ranks
	// share. A rank waits longer by its fraction of maxStaggerRank.
	maxStaggerRank = 8
	// staggerRecordsPerRank is the number of additional records that each rank
	// waits for.
	staggerRecordsPerRank = 128
	// maxRecordsPerRead is the maximum number of records that Records returns.
	maxRecordsPerRead = 1000
	// checksPerSnapshotInterval is the number of checks in the time after which a
	// snapshot is due.
	checksPerSnapshotInterval = 32

	minCheckInterval = time.Second
	maxCheckInterval = time.Minute
	snapshotTimeout  = 30 * time.Second // for one check and write
)

// MinRetention and MaxRetention are the limits of the log retention setting.
const (
	MinRetention = 2 * time.Minute
	MaxRetention = 366 * 24 * time.Hour
)

// snapshotWriter writes snapshots before the oldest record that a new entry needs
// expires. Writes are staggered by the entry's rank, and an entry checks for a
// newer snapshot before it writes one, so that usually a single entry writes.
type snapshotWriter struct {
	store *Store
	ctx   context.Context // cancelled by close
	stop  context.CancelFunc
	done  chan struct{}

	mu           sync.Mutex
	newestOffset uint64    // offset of the newest known snapshot
	oldestChunk  time.Time // when the oldest chunk of that snapshot was written
	stats        SnapshotState
}

// SnapshotState is the snapshot part of the state dump.
type SnapshotState struct {
	Offset  uint64 `json:"offset"`  // of the newest known snapshot
	Written uint64 `json:"written"` // number written by this entry
	Bytes   int    `json:"bytes"`   // size of the last snapshot written
	Error   string `json:"error,omitempty"`
}

func newSnapshotWriter(s *Store) *snapshotWriter {
	ctx, cancel := context.WithCancel(context.Background())
	return &snapshotWriter{store: s, ctx: ctx, stop: cancel, done: make(chan struct{})}
}

func (w *snapshotWriter) close() {
	w.stop()
	<-w.done
}

func (w *snapshotWriter) state() SnapshotState {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Offset = w.newestOffset
	return stats
}

// observe records a snapshot that is in the log.
func (w *snapshotWriter) observe(f storedSnapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.offset > w.newestOffset || f.offset == w.newestOffset && f.time.After(w.oldestChunk) {
		w.newestOffset, w.oldestChunk = f.offset, f.time
	}
}

func (w *snapshotWriter) run() {
	defer close(w.done)
	s := w.store
	if s.seams.ReadSnapshots == nil || s.seams.AppendSnapshot == nil {
		return
	}
	checkInterval := min(max(s.settings.Retention/snapshotRetentionDivisor/checksPerSnapshotInterval, minCheckInterval), maxCheckInterval)
	for {
		select {
		case <-time.After(checkInterval/2 + rand.N(checkInterval/2+1)):
		case <-w.ctx.Done():
			return
		}
		if w.due(time.Now()) {
			w.recordResult(w.writeIfDue(w.ctx))
		}
	}
}

// recordResult records the result of an attempt and logs the first of consecutive
// failures.
func (w *snapshotWriter) recordResult(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil || w.ctx.Err() != nil {
		w.stats.Error = ""
		return
	}
	if w.stats.Error == "" {
		w.store.log.Warn("Failed to write a snapshot; retrying.", "err", err)
	}
	w.stats.Error = err.Error()
}

// due reports whether this entry should write a snapshot, given the snapshots it
// knows.
func (w *snapshotWriter) due(now time.Time) bool {
	applied := w.store.View().Offset()
	oldest, known := w.oldestNeeded(applied)
	if applied == 0 || !known {
		return false
	}
	rank := 0
	if w.store.seams.Rank != nil {
		rank, _ = w.store.seams.Rank()
	}
	rank = min(rank, maxStaggerRank)
	interval := w.store.settings.Retention / snapshotRetentionDivisor
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(oldest) >= interval+interval*time.Duration(rank)/maxStaggerRank ||
		applied-w.newestOffset >= uint64(snapshotEveryRecords+rank*staggerRecordsPerRank)
}

// oldestNeeded returns the time of the oldest record that a new entry needs: the oldest
// chunk of the newest snapshot, or the first record if there is no snapshot.
func (w *snapshotWriter) oldestNeeded(applied uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newestOffset > 0 {
		return w.oldestChunk, true
	}
	if first, ok := w.store.firstRecord(); ok {
		return first, true
	}
	return time.Time{}, applied > 0 // the state came from a peer: check the log now
}

// firstRecord returns the time of the oldest record in the history.
func (s *Store) firstRecord() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return time.Time{}, false
	}
	return s.records[0].Time, true
}

// writeIfDue reads the newest snapshot from the log and writes a newer one if that
// is still due.
func (w *snapshotWriter) writeIfDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	f, _, err := newestSnapshot(ctx, w.store.seams.ReadSnapshots)
	if err != nil && !fault.Is(err, KindNoSnapshot) && !fault.Is(err, logservice.KindGone) {
		return err
	}
	if err == nil {
		w.observe(f)
		if !w.due(time.Now()) {
			return nil
		}
	}
	return w.write(ctx)
}

func (w *snapshotWriter) write(ctx context.Context) error {
	p, err := w.store.Encoded(0)
	if err != nil {
		return err
	}
	chunks, err := encodeChunks(p.Epoch, p.Offset, p.State)
	if err != nil {
		return err
	}
	start := time.Now()
	for _, c := range chunks {
		if _, err := w.store.seams.AppendSnapshot(ctx, c); err != nil {
			return err // a later attempt writes the chunk again; duplicates are harmless
		}
	}
	w.observe(storedSnapshot{offset: p.Offset, time: start})
	w.mu.Lock()
	w.stats.Written++
	w.stats.Bytes = len(p.State)
	w.mu.Unlock()
	w.store.log.Info("Wrote a snapshot.", "offset", p.Offset, "bytes", len(p.State), "chunks", len(chunks))
	return nil
}

// Encoded returns the state of this entry as a snapshot. State is empty if the entry
// has nothing beyond the offset; for an offset of 0 it is always set.
func (s *Store) Encoded(beyond uint64) (PeerState, error) {
	epoch := s.follower.State().Epoch
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold.Offset() <= beyond && beyond > 0 {
		return PeerState{Epoch: epoch, Offset: s.fold.Offset()}, nil
	}
	if s.encoded.Offset == s.fold.Offset() && len(s.encoded.State) > 0 {
		s.encoded.Epoch = epoch
		return s.encoded, nil
	}
	frozen := s.fold.Freeze()
	s.mu.Unlock()
	state, err := frozen.Encode()
	s.mu.Lock()
	if err != nil {
		return PeerState{}, err
	}
	p := PeerState{Epoch: epoch, Offset: frozen.Offset(), State: state}
	if p.Offset >= s.encoded.Offset {
		s.encoded = p
	}
	return p, nil
}

// Records returns the records from the offset on that this entry has applied. If
// there are none it waits for up to the given time. The bounds are those of the
// retained records; an offset before them is an error of KindExpired.
func (s *Store) Records(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	end, stop := pause.Limit(wait)
	defer stop()
	for {
		recs, b, updated := s.recordsFrom(from)
		if from < b.Earliest && from < b.Next {
			return nil, b, fail("read", KindExpired, nil)
		}
		if len(recs) > 0 || wait <= 0 {
			return recs, b, nil
		}
		select {
		case <-updated:
		case <-end:
			return nil, b, nil
		case <-ctx.Done():
			return nil, b, ctx.Err()
		}
	}
}

func (s *Store) recordsFrom(from uint64) ([]logservice.Record, logservice.Bounds, <-chan struct{}) {
	epoch := s.follower.State().Epoch
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.fold.Offset() + 1
	b := logservice.Bounds{Epoch: epoch, Earliest: next, Next: next}
	if len(s.records) > 0 {
		b.Earliest = s.records[0].Offset
	}
	if from < b.Earliest || from >= next {
		return nil, b, s.updated
	}
	recs := s.records[from-b.Earliest:]
	return append([]logservice.Record(nil), recs[:min(len(recs), maxRecordsPerRead)]...), b, s.updated
}
