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
	// snapshotShare is the share of the retention after which the oldest record
	// that is needed makes a snapshot due.
	snapshotShare = 16
	// snapshotEvery is the number of records after which a snapshot is due.
	snapshotEvery = 4096
	// staggerSteps is the number of ranks that write at different times.
	staggerSteps = 8
	// staggerRecords is the number of records that a rank waits longer than the one before.
	staggerRecords = 128
	// maxRecords is the largest number of records that another entry gets at once.
	maxRecords = 1000
	// checksPerShare is how often within the share of the retention it is looked.
	checksPerShare = 32

	minCheck    = time.Second
	maxCheck    = time.Minute
	keeperLimit = 30 * time.Second // of one look and snapshot
)

// MinRetention and MaxRetention bound the setting of the log's retention.
const (
	MinRetention = 2 * time.Minute
	MaxRetention = 366 * 24 * time.Hour
)

// keeper writes snapshots before the oldest record that a new entry would need
// expires. Entries act in the order of their ranks, and each looks whether
// another one has written before it writes.
type keeper struct {
	store *Store
	ctx   context.Context // ends with the keeper
	stop  context.CancelFunc
	done  chan struct{}

	mu     sync.Mutex
	newest uint64    // offset of the newest snapshot known
	since  time.Time // when the oldest record that is needed was written
	st     SnapshotState
}

// SnapshotState is the part of the state dump about snapshots.
type SnapshotState struct {
	Offset  uint64 `json:"offset"`  // of the newest one known
	Written uint64 `json:"written"` // by this entry
	Bytes   int    `json:"bytes"`   // of the last one written
	Error   string `json:"error,omitempty"`
}

func newKeeper(s *Store) *keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &keeper{store: s, ctx: ctx, stop: cancel, done: make(chan struct{})}
}

func (k *keeper) close() {
	k.stop()
	<-k.done
}

func (k *keeper) state() SnapshotState {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.st
	st.Offset = k.newest
	return st
}

// saw notes a snapshot in the log.
func (k *keeper) saw(f found) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.offset > k.newest || f.offset == k.newest && f.time.After(k.since) {
		k.newest, k.since = f.offset, f.time
	}
}

func (k *keeper) run() {
	defer close(k.done)
	s := k.store
	if s.seams.ReadSnapshots == nil || s.seams.AppendSnapshot == nil {
		return
	}
	every := min(max(s.settings.Retention/snapshotShare/checksPerShare, minCheck), maxCheck)
	for {
		select {
		case <-time.After(every/2 + rand.N(every/2+1)):
		case <-k.ctx.Done():
			return
		}
		if k.due(time.Now()) {
			k.note(k.act(k.ctx))
		}
	}
}

// note keeps the result of an act and logs the first failure of a row.
func (k *keeper) note(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil || k.ctx.Err() != nil {
		k.st.Error = ""
		return
	}
	if k.st.Error == "" {
		k.store.log.Warn("No snapshot could be written; trying again.", "err", err)
	}
	k.st.Error = err.Error()
}

// due reports whether it is this entry's turn, as far as it knows.
func (k *keeper) due(now time.Time) bool {
	applied := k.store.View().Offset()
	oldest, known := k.oldest(applied)
	if applied == 0 || !known {
		return false
	}
	rank := 0
	if k.store.seams.Rank != nil {
		rank, _ = k.store.seams.Rank()
	}
	rank = min(rank, staggerSteps)
	share := k.store.settings.Retention / snapshotShare
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(oldest) >= share+share*time.Duration(rank)/staggerSteps ||
		applied-k.newest >= uint64(snapshotEvery+rank*staggerRecords)
}

// oldest returns the time of the oldest record that a new entry needs: the first
// chunk of the newest snapshot, or the first record where there is none.
func (k *keeper) oldest(applied uint64) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.newest > 0 {
		return k.since, true
	}
	if first, ok := k.store.firstRecord(); ok {
		return first, true
	}
	return time.Time{}, applied > 0 // state from a peer alone: look now
}

// firstRecord returns the time of the oldest record kept here.
func (s *Store) firstRecord() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return time.Time{}, false
	}
	return s.records[0].Time, true
}

// act looks for a newer snapshot and writes one where there is none.
func (k *keeper) act(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keeperLimit)
	defer cancel()
	f, _, err := newestSnapshot(ctx, k.store.seams.ReadSnapshots)
	if err != nil && !fault.Is(err, KindNoSnapshot) && !fault.Is(err, logservice.KindGone) {
		return err
	}
	if err == nil {
		k.saw(f)
		if !k.due(time.Now()) {
			return nil
		}
	}
	return k.write(ctx)
}

func (k *keeper) write(ctx context.Context) error {
	p, err := k.store.Encoded(0)
	if err != nil {
		return err
	}
	chunks, err := encodeChunks(p.Epoch, p.Offset, p.State)
	if err != nil {
		return err
	}
	start := time.Now()
	for _, c := range chunks {
		if _, err := k.store.seams.AppendSnapshot(ctx, c); err != nil {
			return err // a chunk whose answer was lost is written again: a copy is harmless
		}
	}
	k.saw(found{offset: p.Offset, time: start})
	k.mu.Lock()
	k.st.Written++
	k.st.Bytes = len(p.State)
	k.mu.Unlock()
	k.store.log.Info("Wrote a snapshot.", "offset", p.Offset, "bytes", len(p.State), "chunks", len(chunks))
	return nil
}

// Encoded returns the state of this entry, without its content where that is not
// beyond the offset.
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

// Records returns records from the offset on that this entry has folded, and
// waits for one if none is there. The bounds are those of what it can hand on.
func (s *Store) Records(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	end, stop := pause.Limit(wait)
	defer stop()
	for {
		recs, b, grown := s.kept(from)
		if from < b.Earliest && from < b.Next {
			return nil, b, fail("read", KindExpired, nil)
		}
		if len(recs) > 0 || wait <= 0 {
			return recs, b, nil
		}
		select {
		case <-grown:
		case <-end:
			return nil, b, nil
		case <-ctx.Done():
			return nil, b, ctx.Err()
		}
	}
}

func (s *Store) kept(from uint64) ([]logservice.Record, logservice.Bounds, <-chan struct{}) {
	epoch := s.follower.State().Epoch
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.fold.Offset() + 1
	b := logservice.Bounds{Epoch: epoch, Earliest: next, Next: next}
	if len(s.records) > 0 {
		b.Earliest = s.records[0].Offset
	}
	if from < b.Earliest || from >= next {
		return nil, b, s.grown
	}
	recs := s.records[from-b.Earliest:]
	return append([]logservice.Record(nil), recs[:min(len(recs), maxRecords)]...), b, s.grown
}
