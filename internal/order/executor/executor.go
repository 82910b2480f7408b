// Package executor executes orders at most once. It appends an intent to the
// log, reads it back, sends the order only where its own intent is the first of
// the key, and appends the outcome. docs/design/orders.md goes through the
// interleavings.
package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	// MaxWindow is the longest time for which a key is known.
	MaxWindow = 24 * time.Hour
	// AppendGap is the least time between two append calls of a stream at an entry.
	AppendGap = 150 * time.Millisecond
	// retentionMargin is how much longer than the window the log keeps a record:
	// more than the time between two marks and the clocks' margins.
	retentionMargin = 2 * time.Hour
	// maxAhead is how far a key's time may be ahead of this entry's clock.
	maxAhead = time.Minute
	// sendWithin is the largest age of an attempt that still sends.
	sendWithin = 15 * time.Second
	// settleWait is how long an append without an answer is looked for in the log
	// before it is voided.
	settleWait = time.Second
	// voidWait bounds the time that a caller waits for a void to be recorded.
	voidWait = 2 * time.Second
	// wholeAnswer is how long an answer that is too long for the log stays in memory,
	// for the calls that waited for it.
	wholeAnswer = 5 * time.Second
	// pendingLimit is the age of an intent at which its holder counts as lost.
	pendingLimit = 11 * time.Minute
	// lostCheck is the time between two looks at whether a holder is lost.
	lostCheck = time.Second
)

// WindowFor returns how long keys are known where the log keeps its records for
// the given time.
func WindowFor(retention time.Duration) time.Duration {
	return min(MaxWindow, max(retention-retentionMargin, retention/2))
}

// Seams are the executor's ways out.
type Seams struct {
	Now func() time.Time
	// Append appends a record and returns its offset. An error of the log
	// service's KindUnavailable or KindRateLimited says that it took no effect and
	// will take none; after any other it may have, or may yet.
	Append func(ctx context.Context, stream int, record []byte) (uint64, error)
	// AtEnd reports whether the stream was read and folded up to its end.
	AtEnd func(stream int) bool
	// Fetch reads the record at an offset again.
	Fetch func(ctx context.Context, stream int, offset uint64) ([]byte, error)
	// Lost reports whether an entry's incarnation is known to be gone. May be nil.
	Lost func(vm string, incarnation uint64) bool
}

// Order is one call of a service that may not be repeated.
type Order struct {
	Workspace   string
	Key         uuid.UUID
	Fingerprint ledger.Fingerprint
}

// Send sends the order once. Where it fails, sent tells whether a byte of it may
// have left.
type Send func(ctx context.Context) (answer *ledger.StoredAnswer, sent bool, err error)

type flightKey struct {
	workspace string
	key       uuid.UUID
}

// flight is an attempt of this entry that runs, or whose outcome is not in the log yet.
type flight struct {
	fingerprint ledger.Fingerprint
	done        chan struct{} // closed when answer and err are set

	mu     sync.Mutex
	answer *ledger.StoredAnswer
	err    error
}

func (f *flight) end(answer *ledger.StoredAnswer, err error) {
	f.trim(answer)
	f.err = err
	close(f.done)
}

// trim replaces the answer, by what the log keeps of it.
func (f *flight) trim(answer *ledger.StoredAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// result returns what came of a flight that has ended.
func (f *flight) result() (*ledger.StoredAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer, f.err
}

// Executor executes orders. Its methods may be called from any goroutine.
type Executor struct {
	seams       Seams
	vm          string
	incarnation uint64
	window      time.Duration
	log         *log.Logger
	shelves     [ledger.Streams]*shelf
	recorder    *recorder
	marks       chan struct{} // done channel of the marker
	stop        context.CancelFunc
	attempts    atomic.Uint64
	counts      counts

	mu      sync.Mutex
	flights map[flightKey]*flight
}

// New starts an executor of the entry. Close ends it.
func New(vm string, incarnation uint64, window time.Duration, seams Seams, logger *log.Logger) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		seams: seams, vm: vm, incarnation: incarnation, window: window,
		log: logger.WithPrefix("order"), stop: cancel,
		marks: make(chan struct{}), flights: map[flightKey]*flight{},
	}
	for i := range x.shelves {
		x.shelves[i] = newShelf(i, window)
	}
	x.recorder = newRecorder(ctx, x.record)
	go x.keepMarked(ctx)
	return x
}

// Close ends the executor. Records that were not appended are given up; Drain
// waits for them.
func (x *Executor) Close() {
	x.stop()
	<-x.marks
	x.recorder.close()
}

// Apply folds records of a stream in order of offset.
func (x *Executor) Apply(stream int, recs []logservice.Record) {
	x.shelves[stream].change(func(l *ledger.Ledger) {
		for _, r := range recs {
			if err := l.Apply(r.Offset, r.Time, r.Data); err != nil {
				x.log.Error("A record can't be decoded and is passed over.", "offset", r.Offset, "err", err)
			}
		}
	})
}

// Skip notes that the records of a stream up to the offset are gone.
func (x *Executor) Skip(stream int, offset uint64) {
	x.shelves[stream].change(func(l *ledger.Ledger) { l.Skip(offset) })
}

func (x *Executor) shelf(workspace string, key uuid.UUID) *shelf {
	return x.shelves[ledger.StreamOf(workspace, key)]
}

// Run executes the order, or returns the answer of the attempt that did. The
// kind of an error tells whether it ran.
func (x *Executor) Run(ctx context.Context, o Order, send Send) (*ledger.StoredAnswer, error) {
	k := flightKey{o.Workspace, o.Key}
	f, leads := x.board(k, o.Fingerprint)
	if !leads {
		return f.join(ctx, o.Fingerprint)
	}
	t := &try{x: x, shelf: x.shelf(o.Workspace, o.Key), order: o, send: send}
	answer, err := t.run(ctx)
	f.end(answer, err)
	if t.unrecorded == nil {
		x.land(k, f)
		return answer, err
	}
	if kept := t.unrecorded.GetAnswer(); kept.GetOmitted() > 0 {
		time.AfterFunc(wholeAnswer, func() { f.trim(kept) })
	}
	x.recorder.add(t.unrecorded, func() { x.land(k, f) })
	return answer, err
}

// board returns the flight of the key, and whether the caller leads it.
func (x *Executor) board(k flightKey, fp ledger.Fingerprint) (f *flight, leads bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f = x.flights[k]; f != nil {
		return f, false
	}
	f = &flight{fingerprint: fp, done: make(chan struct{})}
	x.flights[k] = f
	return f, true
}

func (x *Executor) land(k flightKey, f *flight) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.flights[k] == f {
		delete(x.flights, k)
	}
}

func (x *Executor) flight(k flightKey) *flight {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.flights[k]
}

// join waits for the attempt that another call leads.
func (f *flight) join(ctx context.Context, fp ledger.Fingerprint) (*ledger.StoredAnswer, error) {
	if fp != f.fingerprint {
		return nil, fail("join", KindBodyDiffers, nil)
	}
	select {
	case <-f.done:
		return f.result()
	case <-ctx.Done():
		return nil, fail("join", KindPending, ctx.Err())
	}
}

// check refuses a key that this entry may not know, or whose time has not come.
func (x *Executor) check(s *shelf, key uuid.UUID) error {
	now, at := x.seams.Now(), ledger.KeyTime(key)
	switch {
	case at.After(now.Add(maxAhead)):
		return fail("check key", KindFuture, nil)
	case at.Before(now.Add(-x.window)), at.Before(s.floor()):
		return fail("check key", KindExpired, nil)
	case !s.ready(x.seams.AtEnd):
		return fail("check key", KindNotReady, nil)
	}
	return nil
}

// follow waits for the end of an order whose intent is known.
func (x *Executor) follow(ctx context.Context, s *shelf, o Order) (*ledger.StoredAnswer, error) {
	for {
		st, grown := s.get(o.Workspace, o.Key)
		if st.State() != ledger.StatePending {
			return x.ended(ctx, s, o, st)
		}
		if st.Fingerprint() != o.Fingerprint {
			return nil, fail("follow", KindBodyDiffers, nil)
		}
		if x.isLost(o, st) {
			return nil, fail("follow", KindUnknown, errHolder)
		}
		select {
		case <-grown:
		case <-time.After(lostCheck):
		case <-ctx.Done():
			return nil, fail("follow", KindPending, ctx.Err())
		}
	}
}

var (
	errHolder = errors.New("the entry that executes it is lost")
	errSent   = errors.New("it was sent and no answer came")
)

func (x *Executor) ended(ctx context.Context, s *shelf, o Order, st ledger.Status) (*ledger.StoredAnswer, error) {
	switch {
	case st.State() == ledger.StateNone:
		return nil, fail("follow", KindExpired, nil)
	case st.State() == ledger.StateVoid:
		return nil, fail("follow", KindVoid, nil)
	case st.Fingerprint() != o.Fingerprint:
		return nil, fail("follow", KindBodyDiffers, nil)
	case st.State() == ledger.StateLost:
		return nil, fail("follow", KindUnknown, errSent)
	default:
		return x.stored(ctx, s, st)
	}
}

// stored returns the answer of a done order, from the log where it is not kept.
func (x *Executor) stored(ctx context.Context, s *shelf, st ledger.Status) (*ledger.StoredAnswer, error) {
	if st.Answer() != nil {
		return st.Answer(), nil
	}
	data, err := x.seams.Fetch(ctx, s.stream, st.Offset())
	if err != nil {
		return nil, fail("fetch answer", KindPending, err)
	}
	r, err := ledger.Decode(data)
	if err != nil {
		return nil, fail("fetch answer", KindPending, err)
	}
	return r.Answer, nil
}

// isLost reports whether nobody is going to end a pending order.
func (x *Executor) isLost(o Order, st ledger.Status) bool {
	a := st.Attempt()
	if a.VM == x.vm && a.Incarnation == x.incarnation {
		return x.flight(flightKey{o.Workspace, o.Key}) == nil
	}
	return x.seams.Now().Sub(st.At()) > pendingLimit ||
		x.seams.Lost != nil && x.seams.Lost(a.VM, a.Incarnation)
}
