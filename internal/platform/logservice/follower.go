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
	// FollowWait is how long a read waits for a record. It bounds how long a
	// connection that went silent stays unnoticed.
	FollowWait = 3 * time.Second
	// slowRead is the time beyond its wait that makes a read slow.
	slowRead = time.Second

	followFirstWait = 100 * time.Millisecond
	followMaxWait   = 2 * time.Second
)

// FollowerConfig holds the settings and seams of a follower.
type FollowerConfig struct {
	Stream string // for log lines
	From   uint64 // last offset that the state at hand contains
	Epoch  string // of the log that the state came from; "" where not known
	// Start, where it is set, supplies state before the first read: its offset and
	// the epoch of its log, or zero values where there is none.
	Start func(ctx context.Context) (offset uint64, epoch string)
	// Read returns the records from the offset on and waits for one if none is there.
	Read func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error)
	// Fold takes records in order of offset, each once, on the follower's goroutine.
	Fold func([]Record)
	// Restore supplies state when the log no longer keeps the next record. It
	// returns the offset that the new state contains.
	Restore func(ctx context.Context, b Bounds) (uint64, error)
	// Jitter changes the delay before a retry; without it half is random.
	Jitter func(time.Duration) time.Duration
	Log    *log.Logger
}

// Follower reads one stream and hands its records to a fold. Its methods may be
// called from any goroutine.
type Follower struct {
	cfg  FollowerConfig
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	state FollowerState
	err   error
}

// FollowerState is a follower's part of the state dump.
type FollowerState struct {
	Offset      uint64        `json:"offset"` // last one folded
	End         uint64        `json:"end"`    // last one that the log had when it was read
	Epoch       string        `json:"epoch"`
	Healthy     bool          `json:"healthy"`
	Error       string        `json:"error,omitempty"`
	FailingFor  time.Duration `json:"failingForNs,omitempty"`
	SlowReads   uint64        `json:"slowReads"`
	Restores    uint64        `json:"restores"` // times that records were gone
	reads       uint64        // that succeeded
	failedSince time.Time
}

// NewFollower starts a follower. Close ends it.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, stop: cancel, done: make(chan struct{})}
	f.state.Offset, f.state.End, f.state.Epoch = cfg.From, cfg.From, cfg.Epoch
	go f.run(ctx)
	return f
}

// Close ends the follower and waits for it.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Offset returns the last offset folded. It never goes down.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Offset
}

// Healthy reports whether the last read succeeded.
func (f *Follower) Healthy() bool { return f.State().Healthy }

// Ready reports whether the stream was read, or state was given, at least once.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Epoch != ""
}

// State returns the follower's state.
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
	f.start(ctx)
	retry, wait := newBackoff(followFirstWait, followMaxWait, f.cfg.Jitter), FollowWait
	for ctx.Err() == nil {
		err := f.step(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			pause.For(ctx, retry.delay())
			wait = 0 // the end of an outage shows at once
			continue
		}
		retry.reset()
		wait = FollowWait
	}
}

func (f *Follower) start(ctx context.Context) {
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

// step reads once and folds what came.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	applied, start := f.Offset(), time.Now()
	recs, b, err := f.cfg.Read(ctx, applied+1, wait)
	if time.Since(start) > wait+slowRead {
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
	if err := f.check(b, applied); err != nil {
		return err
	}
	recs, err = following(recs, applied)
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
	errEpoch  = errors.New("the log has another epoch than the one followed; it is not followed")
	errBehind = errors.New("the log ends before the offset applied; it is not followed")
	errGap    = errors.New("records are missing")
	errLower  = errors.New("the state offered is not newer than the state at hand")
)

// check refuses a log that is another one than the one followed. The epoch of the
// first log read counts, unless state from a peer or a snapshot named it.
func (f *Follower) check(b Bounds, applied uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state.Epoch != "" && b.Epoch != f.state.Epoch:
		return fail("follow", KindEpoch, fmt.Errorf("%w: %q, not %q", errEpoch, b.Epoch, f.state.Epoch))
	case b.Next <= applied:
		return fail("follow", KindEpoch, fmt.Errorf("%w: next is %d, applied is %d", errBehind, b.Next, applied))
	}
	f.state.Epoch = b.Epoch
	f.state.End = max(f.state.End, b.Next-1)
	return nil
}

// following drops what was applied and refuses a gap.
func following(recs []Record, applied uint64) ([]Record, error) {
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

// restore asks for state that contains the records that are gone.
func (f *Follower) restore(ctx context.Context, b Bounds) error {
	applied := f.Offset()
	if b.Epoch != "" {
		if err := f.check(b, applied); err != nil {
			return err
		}
	}
	offset, err := f.cfg.Restore(ctx, b)
	if err != nil {
		return fail("restore", KindGone, err)
	}
	if offset <= applied {
		return fail("restore", KindGone, errLower)
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

// note keeps the result of a step and logs when it differs from the last one.
func (f *Follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.state.reads++
		if f.err != nil {
			f.cfg.Log.Info("The log can be read again.", "stream", f.cfg.Stream, "failed_for", time.Since(f.state.failedSince))
		}
	case f.err == nil:
		f.state.failedSince = time.Now()
		f.cfg.Log.Warn("The log can't be followed; serving with the state at hand.", "stream", f.cfg.Stream, "err", err)
	}
	f.err = err
}
