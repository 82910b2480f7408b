// Package executor executes orders at most once. It appends an intent to the
// log, reads it back, sends the order only if its own intent is the first of the
// key, and appends the outcome. docs/design/orders.md covers the interleavings.
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
	// MaxWindow is the longest time for which keys are remembered.
	MaxWindow = 24 * time.Hour
	// AppendGap is the minimum interval between an entry's append calls to a stream.
	AppendGap = 150 * time.Millisecond
	// retentionMargin is how much longer than the window the log keeps a record. It
	// exceeds MarkInterval plus the margins for clock differences.
	retentionMargin = 2 * time.Hour
	// maxKeyAhead is how far a key's time may be ahead of this entry's clock.
	maxKeyAhead = time.Minute
	// maxSendAge is the age up to which an attempt may still send.
	maxSendAge = 15 * time.Second
	// intentWait is how long to wait for an intent to show up in the log, after its
	// append got no answer, before voiding it.
	intentWait = time.Second
	// voidTimeout limits how long a caller waits for a void to be recorded.
	voidTimeout = 2 * time.Second
	// fullAnswerTTL is how long an answer that is too long for the log stays in
	// memory for the calls that waited for it.
	fullAnswerTTL = 5 * time.Second
	// maxPendingAge is the age of an intent from which its holder counts as lost.
	maxPendingAge = 11 * time.Minute
	// lostCheckInterval is how often a waiting call checks whether the holder is lost.
	lostCheckInterval = time.Second
)

// WindowFor returns how long keys are remembered if the log keeps records for the
// given time.
func WindowFor(retention time.Duration) time.Duration {
	return min(MaxWindow, max(retention-retentionMargin, retention/2))
}

// Seams are the executor's dependencies: the clock, the log and membership.
type Seams struct {
	Now func() time.Time
	// Append appends a record and returns its offset. An error of the log
	// service's KindUnavailable or KindRateLimited means that the record was not
	// appended and won't be; after any other error it may be, even later.
	Append func(ctx context.Context, stream int, record []byte) (uint64, error)
	// AtEnd reports whether the stream has been read and applied up to its end.
	AtEnd func(stream int) bool
	// Fetch returns the record at an offset.
	Fetch func(ctx context.Context, stream int, offset uint64) ([]byte, error)
	// Lost reports whether an entry's incarnation is known to be gone. May be nil.
	Lost func(vm string, incarnation uint64) bool
}

// Order is a service call that must not be repeated.
type Order struct {
	Workspace   string
	Key         uuid.UUID
	Fingerprint ledger.Fingerprint
}

// Send sends the order once. On failure, sent reports whether any byte of it may
// have been sent.
type Send func(ctx context.Context) (answer *ledger.StoredAnswer, sent bool, err error)

type flightKey struct {
	workspace string
	key       uuid.UUID
}

// flight is an attempt of this entry that is running or whose outcome is not in
// the log yet. Other calls with its key share its result.
type flight struct {
	fingerprint ledger.Fingerprint
	done        chan struct{} // closed when answer and err are set

	mu     sync.Mutex
	answer *ledger.StoredAnswer
	err    error
}

func (f *flight) finish(answer *ledger.StoredAnswer, err error) {
	f.setAnswer(answer)
	f.err = err
	close(f.done)
}

// setAnswer replaces the answer.
func (f *flight) setAnswer(answer *ledger.StoredAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// result returns the result of a finished flight.
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
	streams     [ledger.Streams]*streamLedger
	recorder    *recorder
	marksDone   chan struct{} // closed when appendMarks returns
	stop        context.CancelFunc
	attempts    atomic.Uint64
	counts      counts

	mu      sync.Mutex
	flights map[flightKey]*flight
}

// New starts the executor of an entry. Close stops it.
func New(vm string, incarnation uint64, window time.Duration, seams Seams, logger *log.Logger) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		seams: seams, vm: vm, incarnation: incarnation, window: window,
		log: logger.WithPrefix("order"), stop: cancel,
		marksDone: make(chan struct{}), flights: map[flightKey]*flight{},
	}
	for i := range x.streams {
		x.streams[i] = newStreamLedger(i, window)
	}
	x.recorder = newRecorder(ctx, x.tryRecord)
	go x.appendMarks(ctx)
	return x
}

// Close stops the executor and drops the records that were not appended yet; call
// Drain first to wait for them.
func (x *Executor) Close() {
	x.stop()
	<-x.marksDone
	x.recorder.close()
}

// Apply applies records of a stream, which must be in order of offset.
func (x *Executor) Apply(stream int, recs []logservice.Record) {
	x.streams[stream].update(func(l *ledger.Ledger) {
		for _, r := range recs {
			if err := l.Apply(r.Offset, r.Time, r.Data); err != nil {
				x.log.Error("Skipping a record that can't be decoded.", "offset", r.Offset, "err", err)
			}
		}
	})
}

// Skip advances a stream past records that the log has deleted.
func (x *Executor) Skip(stream int, offset uint64) {
	x.streams[stream].update(func(l *ledger.Ledger) { l.Skip(offset) })
}

func (x *Executor) streamOf(workspace string, key uuid.UUID) *streamLedger {
	return x.streams[ledger.StreamOf(workspace, key)]
}

// Run executes the order, or returns the answer of the attempt that did. The kind
// of an error tells whether the order ran.
func (x *Executor) Run(ctx context.Context, o Order, send Send) (*ledger.StoredAnswer, error) {
	k := flightKey{o.Workspace, o.Key}
	f, leader := x.acquireFlight(k, o.Fingerprint)
	if !leader {
		return f.wait(ctx, o.Fingerprint)
	}
	t := &try{x: x, stream: x.streamOf(o.Workspace, o.Key), order: o, send: send}
	answer, err := t.run(ctx)
	f.finish(answer, err)
	if t.unrecorded == nil {
		x.removeFlight(k, f)
		return answer, err
	}
	if kept := t.unrecorded.GetAnswer(); kept.GetOmitted() > 0 {
		time.AfterFunc(fullAnswerTTL, func() { f.setAnswer(kept) })
	}
	x.recorder.add(t.unrecorded, func() { x.removeFlight(k, f) })
	return answer, err
}

// acquireFlight returns the flight of the key. The leader, which created it, has to
// execute the order and finish the flight.
func (x *Executor) acquireFlight(k flightKey, fp ledger.Fingerprint) (f *flight, leader bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f = x.flights[k]; f != nil {
		return f, false
	}
	f = &flight{fingerprint: fp, done: make(chan struct{})}
	x.flights[k] = f
	return f, true
}

func (x *Executor) removeFlight(k flightKey, f *flight) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.flights[k] == f {
		delete(x.flights, k)
	}
}

func (x *Executor) findFlight(k flightKey) *flight {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.flights[k]
}

// wait returns the result of the leader's attempt, once it has finished.
func (f *flight) wait(ctx context.Context, fp ledger.Fingerprint) (*ledger.StoredAnswer, error) {
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

// checkKey returns an error for a key that this entry may not know or whose time is
// in the future.
func (x *Executor) checkKey(s *streamLedger, key uuid.UUID) error {
	now, at := x.seams.Now(), ledger.KeyTime(key)
	switch {
	case at.After(now.Add(maxKeyAhead)):
		return fail("check key", KindFuture, nil)
	case at.Before(now.Add(-x.window)), at.Before(s.floor()):
		return fail("check key", KindExpired, nil)
	case !s.ready(x.seams.AtEnd):
		return fail("check key", KindNotReady, nil)
	}
	return nil
}

// follow waits for the result of an order whose intent is known.
func (x *Executor) follow(ctx context.Context, s *streamLedger, o Order) (*ledger.StoredAnswer, error) {
	for {
		st, changed := s.get(o.Workspace, o.Key)
		if st.State() != ledger.StatePending {
			return x.finalResult(ctx, s, o, st)
		}
		if st.Fingerprint() != o.Fingerprint {
			return nil, fail("follow", KindBodyDiffers, nil)
		}
		if x.isLost(o, st) {
			return nil, fail("follow", KindUnknown, errHolderLost)
		}
		select {
		case <-changed:
		case <-time.After(lostCheckInterval):
		case <-ctx.Done():
			return nil, fail("follow", KindPending, ctx.Err())
		}
	}
}

var (
	errHolderLost = errors.New("the entry that executes the order is lost")
	errNoAnswer   = errors.New("the order was sent and got no answer")
)

// finalResult returns the result of an order that is not pending.
func (x *Executor) finalResult(ctx context.Context, s *streamLedger, o Order, st ledger.Status) (*ledger.StoredAnswer, error) {
	switch {
	case st.State() == ledger.StateNone:
		return nil, fail("follow", KindExpired, nil)
	case st.State() == ledger.StateVoid:
		return nil, fail("follow", KindVoid, nil)
	case st.Fingerprint() != o.Fingerprint:
		return nil, fail("follow", KindBodyDiffers, nil)
	case st.State() == ledger.StateLost:
		return nil, fail("follow", KindUnknown, errNoAnswer)
	default:
		return x.storedAnswer(ctx, s, st)
	}
}

// storedAnswer returns the answer of a done order, from the log if the ledger does
// not cache it.
func (x *Executor) storedAnswer(ctx context.Context, s *streamLedger, st ledger.Status) (*ledger.StoredAnswer, error) {
	if st.Answer() != nil {
		return st.Answer(), nil
	}
	data, err := x.seams.Fetch(ctx, s.index, st.Offset())
	if err != nil {
		return nil, fail("fetch answer", KindPending, err)
	}
	r, err := ledger.Decode(data)
	if err != nil {
		return nil, fail("fetch answer", KindPending, err)
	}
	return r.Answer, nil
}

// isLost reports whether the holder of a pending order won't end it any more.
func (x *Executor) isLost(o Order, st ledger.Status) bool {
	a := st.Attempt()
	if a.VM == x.vm && a.Incarnation == x.incarnation {
		return x.findFlight(flightKey{o.Workspace, o.Key}) == nil
	}
	return x.seams.Now().Sub(st.At()) > maxPendingAge ||
		x.seams.Lost != nil && x.seams.Lost(a.VM, a.Incarnation)
}
