package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const (
	// maxUnrecorded limits the records that wait to be appended.
	maxUnrecorded  = 4096
	recordTimeout  = 5 * time.Second
	minRecordDelay = 200 * time.Millisecond
	maxRecordDelay = 10 * time.Second
	// MarkInterval is the longest time for which a stream gets no record while the
	// log can be reached.
	MarkInterval      = time.Hour
	markCheckInterval = 10 * time.Minute
)

// recorder appends records in the background and retries until the log has them.
type recorder struct {
	ctx       context.Context
	tryRecord func(ctx context.Context, r *ledger.Record) bool
	pending   atomic.Int64
	dropped   atomic.Uint64

	mu     sync.Mutex // keeps start from adding to wg after close
	closed bool
	wg     sync.WaitGroup
}

func newRecorder(ctx context.Context, tryRecord func(context.Context, *ledger.Record) bool) *recorder {
	return &recorder{ctx: ctx, tryRecord: tryRecord}
}

// add appends the record in the background and calls onDone when the log has it or
// when the record is dropped. Other entries see the order of a dropped record as
// unknown.
func (r *recorder) add(rec *ledger.Record, onDone func()) {
	if !r.start(func() {
		defer r.pending.Add(-1)
		defer onDone()
		r.retry(rec)
	}) {
		r.dropped.Add(1)
		onDone()
	}
}

// start runs the task in the background. It reports false if the recorder is full
// or closed.
func (r *recorder) start(task func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.pending.Load() >= maxUnrecorded {
		return false
	}
	r.pending.Add(1)
	r.wg.Go(task)
	return true
}

func (r *recorder) retry(rec *ledger.Record) {
	delay := minRecordDelay
	for !r.tryRecord(r.ctx, rec) {
		select {
		case <-time.After(delay/2 + rand.N(delay/2+1)):
		case <-r.ctx.Done():
			return
		}
		delay = min(2*delay, maxRecordDelay)
	}
}

// close refuses further records and waits for the running tasks, whose context must
// be cancelled first.
func (r *recorder) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wg.Wait()
}

// tryRecord appends a record and waits until it is applied here. It reports false
// if it must be retried; a duplicate of a record has no effect.
func (x *Executor) tryRecord(ctx context.Context, r *ledger.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	s := x.streamOf(r.Workspace, uuid.UUID(r.Key))
	if st, _ := s.get(r.Workspace, uuid.UUID(r.Key)); st.State() != ledger.StateNone && st.State() != ledger.StatePending {
		return true // already ended
	}
	offset, err := x.append(ctx, s.index, r)
	return err == nil && s.awaitOffset(ctx, offset)
}

func (x *Executor) append(ctx context.Context, stream int, r *ledger.Record) (uint64, error) {
	b, err := ledger.Encode(r)
	if err != nil {
		return 0, err
	}
	return x.seams.Append(ctx, stream, b)
}

// Drain waits until the log has all records or the context is done.
func (x *Executor) Drain(ctx context.Context) {
	for x.recorder.pending.Load() > 0 {
		select {
		case <-time.After(minRecordDelay / 4):
		case <-ctx.Done():
			return
		}
	}
}

// appendMarks appends a mark to each stream that has been idle for long. An entry
// that starts after older records were deleted bounds their age by the mark's time.
func (x *Executor) appendMarks(ctx context.Context) {
	defer close(x.marksDone)
	for {
		select {
		case <-time.After(markCheckInterval/2 + rand.N(markCheckInterval)):
		case <-ctx.Done():
			return
		}
		for _, s := range x.streams {
			if s.ready(x.seams.AtEnd) && x.seams.Now().Sub(s.newest()) > MarkInterval-markCheckInterval {
				_, _ = x.append(ctx, s.index, ledger.Mark()) // retried by the next check
			}
		}
	}
}
