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
	// maxUnrecorded bounds the records that wait for the log.
	maxUnrecorded = 4096
	recordTimeout = 5 * time.Second
	recordFirst   = 200 * time.Millisecond
	recordMax     = 10 * time.Second
	// MarkEvery is the longest time that a stream stays without a record while
	// the log can be reached.
	MarkEvery = time.Hour
	markCheck = 10 * time.Minute
)

// recorder appends records that no caller waits for, until the log has them.
type recorder struct {
	ctx     context.Context
	record  func(ctx context.Context, r *ledger.Record) bool
	waiting atomic.Int64
	dropped atomic.Uint64

	mu     sync.Mutex // orders adding before closing
	closed bool
	wg     sync.WaitGroup
}

func newRecorder(ctx context.Context, record func(context.Context, *ledger.Record) bool) *recorder {
	return &recorder{ctx: ctx, record: record}
}

// add appends the record in the background and calls then when the log has it,
// or when it is given up: then others see the order as unknown.
func (r *recorder) add(rec *ledger.Record, then func()) {
	if !r.start(func() {
		defer r.waiting.Add(-1)
		defer then()
		r.keepTrying(rec)
	}) {
		r.dropped.Add(1)
		then()
	}
}

// start reports false where the recorder is full or closed.
func (r *recorder) start(task func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.waiting.Load() >= maxUnrecorded {
		return false
	}
	r.waiting.Add(1)
	r.wg.Go(task)
	return true
}

func (r *recorder) keepTrying(rec *ledger.Record) {
	delay := recordFirst
	for !r.record(r.ctx, rec) {
		select {
		case <-time.After(delay/2 + rand.N(delay/2+1)):
		case <-r.ctx.Done():
			return
		}
		delay = min(2*delay, recordMax)
	}
}

// close takes no more records and waits for those that wait, whose context ended.
func (r *recorder) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wg.Wait()
}

// record appends a record and waits until it is folded here. It reports false
// where it has to be tried again; a record that is there twice changes nothing.
func (x *Executor) record(ctx context.Context, r *ledger.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	s := x.shelf(r.Workspace, uuid.UUID(r.Key))
	if st, _ := s.get(r.Workspace, uuid.UUID(r.Key)); st.State() != ledger.StateNone && st.State() != ledger.StatePending {
		return true // ended already
	}
	offset, err := x.append(ctx, s.stream, r)
	return err == nil && s.await(ctx, offset)
}

func (x *Executor) append(ctx context.Context, stream int, r *ledger.Record) (uint64, error) {
	b, err := ledger.Encode(r)
	if err != nil {
		return 0, err
	}
	return x.seams.Append(ctx, stream, b)
}

// Drain waits until the log has all records, or the context ends.
func (x *Executor) Drain(ctx context.Context) {
	for x.recorder.waiting.Load() > 0 {
		select {
		case <-time.After(recordFirst / 4):
		case <-ctx.Done():
			return
		}
	}
}

// keepMarked appends a mark to a stream that had no record for long, so that an
// entry that starts when older records are gone learns from its time how old
// those may be.
func (x *Executor) keepMarked(ctx context.Context) {
	defer close(x.marks)
	for {
		select {
		case <-time.After(markCheck/2 + rand.N(markCheck)):
		case <-ctx.Done():
			return
		}
		for _, s := range x.shelves {
			if s.ready(x.seams.AtEnd) && x.seams.Now().Sub(s.newest()) > MarkEvery-markCheck {
				_, _ = x.append(ctx, s.stream, ledger.Mark()) // the next check tries again
			}
		}
	}
}
