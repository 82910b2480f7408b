package logservice

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// FollowWait is how long a read waits for a record. A longer wait would delay the
	// detection of a connection that no longer responds.
	FollowWait = 3 * time.Second
	// slowReadDelay is the time beyond the wait after which a read counts as slow.
	slowReadDelay = time.Second

	followMinBackoff = 100 * time.Millisecond
	followMaxBackoff = 2 * time.Second
)

// FollowerConfig holds the settings and dependencies of a Follower.
type FollowerConfig struct {
	Stream string // for log lines
	From   uint64 // last offset that the initial state contains
	Epoch  string // epoch of the log of the initial state; "" if unknown
	// Start, if set, loads initial state before the first read. It returns the state's
	// offset and the epoch of its log, or zero values if there is none.
	Start func(ctx context.Context) (offset uint64, epoch string)
	// Read returns the records starting at the offset and waits for one if there is none.
	Read func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error)
	// Fold applies records. It is called on the follower's goroutine, in offset order
	// and once per record.
	Fold func([]Record)
	// Restore loads newer state if the log no longer keeps the next record. It returns
	// the offset that the new state contains.
	Restore func(ctx context.Context, b Bounds) (uint64, error)
	// Jitter randomizes the delay before a retry. If nil, half of the delay is random.
	Jitter func(time.Duration) time.Duration
	Log    *log.Logger
}

// Follower reads one stream and applies its records through Fold. It is safe for
// concurrent use.
type Follower struct {
	cfg  FollowerConfig
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	state FollowerState
	err   error
}

// FollowerState is the state of a Follower in the state dump.
type FollowerState struct {
	Offset      uint64        `json:"offset"` // last offset applied
	End         uint64        `json:"end"`    // last offset of the log at the last read
	Epoch       string        `json:"epoch"`
	Healthy     bool          `json:"healthy"`
	Error       string        `json:"error,omitempty"`
	FailingFor  time.Duration `json:"failingForNs,omitempty"`
	SlowReads   uint64        `json:"slowReads"`
	Restores    uint64        `json:"restores"` // restores because records were gone
	reads       uint64        // successful reads
	failedSince time.Time
}

// NewFollower starts a Follower. The caller must Close it.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, stop: cancel, done: make(chan struct{})}
	f.state.Offset, f.state.End, f.state.Epoch = cfg.From, cfg.From, cfg.Epoch
	go f.run(ctx)
	return f
}

// Close stops the follower and waits for its goroutine.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Offset returns the last offset applied. It never decreases.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Offset
}

// Healthy reports whether the last read succeeded.
func (f *Follower) Healthy() bool { return f.State().Healthy }

// Ready reports whether the stream has been read or initial state has been loaded.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Epoch != ""
}

// State returns the follower's current state.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state
	st.Healthy = f.err == nil && st.reads > 0
	if f.err != nil {
		st.Error = f.err.Error()
		st.FailingFor = time.Since(st.failedSince)
	}
	return st
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	f.loadInitial(ctx)
	retry, wait := newBackoff(followMinBackoff, followMaxBackoff, f.cfg.Jitter), FollowWait
	for ctx.Err() == nil {
		err := f.poll(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		if err != nil {
			pause.For(ctx, retry.delay())
			wait = 0 // detect the end of an outage without waiting for a record
			continue
		}
		retry.reset()
		wait = FollowWait
	}
}

func (f *Follower) loadInitial(ctx context.Context) {
	if f.cfg.Start == nil {
		return
	}
	offset, epoch := f.cfg.Start(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > f.state.Offset {
		f.state.Offset, f.state.Epoch = offset, epoch
		f.state.End = max(f.state.End, offset)
	}
}

// poll reads once and applies the records.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	applied, start := f.Offset(), time.Now()
	recs, b, err := f.cfg.Read(ctx, applied+1, wait)
	if time.Since(start) > wait+slowReadDelay {
		f.mu.Lock()
		f.state.SlowReads++
		f.mu.Unlock()
	}
	if fault.Is(err, KindGone) {
		return f.restore(ctx, b)
	}
	if err != nil {
		return err
	}
	if err := f.checkBounds(b, applied); err != nil {
		return err
	}
	recs, err = unapplied(recs, applied)
	if err != nil {
		return f.restore(ctx, b)
	}
	if len(recs) > 0 {
		f.cfg.Fold(recs)
		f.advance(recs[len(recs)-1].Offset)
	}
	return nil
}

var (
	errEpoch     = errors.New("the log has another epoch than the one followed; it is not followed")
	errTruncated = errors.New("the log ends before the offset applied; it is not followed")
	errGap       = errors.New("records are missing")
	errNotNewer  = errors.New("the restored state is not newer than the current one")
)

// checkBounds returns an error of KindEpoch if the log is not the one followed so far. The
// epoch to follow is that of the initial state or else that of the first read.
func (f *Follower) checkBounds(b Bounds, applied uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state.Epoch != "" && b.Epoch != f.state.Epoch:
		return fail("follow", KindEpoch, fmt.Errorf("%w: %q, not %q", errEpoch, b.Epoch, f.state.Epoch))
	case b.Next <= applied:
		return fail("follow", KindEpoch, fmt.Errorf("%w: next is %d, applied is %d", errTruncated, b.Next, applied))
	}
	f.state.Epoch = b.Epoch
	f.state.End = max(f.state.End, b.Next-1)
	return nil
}

// unapplied drops records already applied and returns errGap if one is missing.
func unapplied(recs []Record, applied uint64) ([]Record, error) {
	for len(recs) > 0 && recs[0].Offset <= applied {
		recs = recs[1:]
	}
	for i, r := range recs {
		if r.Offset != applied+1+uint64(i) {
			return nil, errGap
		}
	}
	return recs, nil
}

// restore loads state that contains the records that the log no longer keeps.
func (f *Follower) restore(ctx context.Context, b Bounds) error {
	applied := f.Offset()
	if b.Epoch != "" {
		if err := f.checkBounds(b, applied); err != nil {
			return err
		}
	}
	offset, err := f.cfg.Restore(ctx, b)
	if err != nil {
		return fail("restore", KindGone, err)
	}
	if offset <= applied {
		return fail("restore", KindGone, errNotNewer)
	}
	f.advance(offset)
	f.mu.Lock()
	f.state.Restores++
	f.mu.Unlock()
	return nil
}

func (f *Follower) advance(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Offset = max(f.state.Offset, offset)
	f.state.End = max(f.state.End, f.state.Offset)
}

// recordResult records the result of a poll and logs changes between success and failure.
func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.state.reads++
		if f.err != nil {
			f.cfg.Log.Info("The log stream can be followed again.", "stream", f.cfg.Stream, "failed_for", time.Since(f.state.failedSince))
		}
	case f.err == nil:
		f.state.failedSince = time.Now()
		f.cfg.Log.Warn("Failed to follow the log stream; serving with the last known state.", "stream", f.cfg.Stream, "err", err)
	}
	f.err = err
}
