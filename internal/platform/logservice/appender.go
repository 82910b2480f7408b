package logservice

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// DefaultQueueRecords is the default number of records that may wait to be appended.
	DefaultQueueRecords = 4096
	// DefaultRetryFor is how long a failed append that took no effect is retried by default.
	DefaultRetryFor = 2 * time.Second

	maxGroupRecords  = 512     // records
	maxGroupBytes    = 1 << 20 // bytes
	appendMinBackoff = 50 * time.Millisecond
	appendMaxBackoff = time.Second
	// callTimeout bounds an append call in addition to the store client's own timeout.
	callTimeout = 5 * time.Second
)

// AppenderConfig holds the settings and dependencies of an Appender. Zero values of
// Queue and RetryFor select the defaults; a nil Limiter means no limit.
type AppenderConfig struct {
	// Append appends records as one group and returns the offset of the first. It must
	// return an error of KindUnavailable or KindRateLimited only if nothing was appended.
	Append   func(ctx context.Context, records [][]byte) (uint64, error)
	Limiter  *Limiter // shared by all appenders of the entry
	Queue    int      // records; further ones are rejected
	RetryFor time.Duration
	// Jitter randomizes the delay before a retry. If nil, half of the delay is random.
	Jitter func(time.Duration) time.Duration
	// Gap is the minimum interval between append calls. Records that arrive within it
	// share the next call; the first record after an idle period is sent at once.
	Gap time.Duration
}

// Appender batches the records of concurrent callers into append calls to one stream:
// records that arrive during a call form the next group. It is safe for concurrent use.
type Appender struct {
	cfg      AppenderConfig
	queue    chan *pending
	stop     context.CancelFunc
	done     chan struct{}
	lastCall time.Time // start of the last call; accessed by run only

	groups, records, unknown, refused atomic.Uint64
}

// States of a pending record.
const (
	stateWaiting   int32 = iota // not appended
	stateSent                   // possibly appended
	stateCancelled              // the caller has stopped waiting; not sent any more
)

type pending struct {
	record   []byte
	deadline time.Time // end of the retries
	state    atomic.Int32
	answer   chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// NewAppender starts an Appender. The caller must Close it.
func NewAppender(cfg AppenderConfig) *Appender {
	if cfg.Queue == 0 {
		cfg.Queue = DefaultQueueRecords
	}
	if cfg.RetryFor == 0 {
		cfg.RetryFor = DefaultRetryFor
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Appender{cfg: cfg, queue: make(chan *pending, cfg.Queue), stop: cancel, done: make(chan struct{})}
	go a.run(ctx)
	return a
}

// Close stops the appender and waits for its goroutine. Append calls whose record was
// not sent return an error of KindUnavailable, those in flight one of KindUnknown.
func (a *Appender) Close() {
	a.stop()
	<-a.done
}

var (
	errFull     = errors.New("the queue of records is full")
	errStopping = errors.New("the appender is stopping")
)

// Append appends one record and returns its offset. An error of KindUnavailable or
// KindRateLimited means that the record was not and will not be appended; one of
// KindUnknown means that it may have been appended or may still be.
func (a *Appender) Append(ctx context.Context, record []byte) (uint64, error) {
	p := &pending{record: record, deadline: time.Now().Add(a.cfg.RetryFor), answer: make(chan appendResult, 1)}
	select {
	case a.queue <- p:
	default:
		a.refused.Add(1)
		return 0, fail("append", KindRateLimited, errFull)
	}
	select {
	case r := <-p.answer:
		return r.offset, r.err
	case <-ctx.Done():
		return p.cancel(ctx.Err())
	case <-a.done:
		return p.cancel(errStopping)
	}
}

// cancel cancels a record that has not been sent. If it has been sent its result is
// returned if available, and an error of KindUnknown otherwise.
func (p *pending) cancel(cause error) (uint64, error) {
	if p.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return 0, fail("append", KindUnavailable, cause)
	}
	p.state.CompareAndSwap(stateSent, stateCancelled)
	select {
	case r := <-p.answer:
		return r.offset, r.err
	default:
		return 0, fail("append", KindUnknown, cause)
	}
}

// AppenderState is the state of an Appender in the state dump.
type AppenderState struct {
	Queued  int    `json:"queued"`  // records
	Groups  uint64 `json:"groups"`  // successful append calls
	Records uint64 `json:"records"` // records appended by those calls
	Unknown uint64 `json:"unknown"` // records with an unknown outcome
	Refused uint64 `json:"refused"` // records rejected without effect
}

// State returns the appender's current state.
func (a *Appender) State() AppenderState {
	return AppenderState{
		Queued: len(a.queue), Groups: a.groups.Load(), Records: a.records.Load(),
		Unknown: a.unknown.Load(), Refused: a.refused.Load(),
	}
}

func (a *Appender) run(ctx context.Context) {
	defer close(a.done)
	wait := newBackoff(appendMinBackoff, appendMaxBackoff, a.cfg.Jitter)
	var group []*pending
	for ctx.Err() == nil {
		if len(group) == 0 {
			select {
			case p := <-a.queue:
				group = append(group, p)
			case <-ctx.Done():
				continue
			}
		}
		group = a.attempt(ctx, group, wait)
	}
	for _, p := range group {
		p.reply(0, fail("append", KindUnavailable, errStopping))
	}
}

// attempt makes one append call and returns the records that are to be retried.
func (a *Appender) attempt(ctx context.Context, group []*pending, wait *backoff) []*pending {
	if gap := a.cfg.Gap - time.Since(a.lastCall); gap > 0 && !pause.For(ctx, gap) {
		return group
	}
	if a.cfg.Limiter != nil && a.cfg.Limiter.Wait(ctx) != nil {
		return group
	}
	a.lastCall = time.Now()
	group = a.markSent(a.fillGroup(group))
	if len(group) == 0 {
		return nil
	}
	records := make([][]byte, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	first, err := a.cfg.Append(call, records)
	cancel()
	if !NoEffect(err) {
		a.complete(group, first, err)
		wait.reset()
		return nil
	}
	if a.cfg.Limiter != nil && fault.Is(err, KindRateLimited) {
		a.cfg.Limiter.OnRateLimited()
	}
	group = a.requeue(group, err)
	pause.For(ctx, wait.delay())
	return group
}

// NoEffect reports whether err means that the append took no effect.
func NoEffect(err error) bool {
	return fault.Is(err, KindUnavailable) || fault.Is(err, KindRateLimited)
}

// fillGroup adds queued records to the group, up to its maximum size.
func (a *Appender) fillGroup(group []*pending) []*pending {
	size := 0
	for _, p := range group {
		size += len(p.record)
	}
	for len(group) < maxGroupRecords && size < maxGroupBytes {
		select {
		case p := <-a.queue:
			group = append(group, p)
			size += len(p.record)
		default:
			return group
		}
	}
	return group
}

// markSent marks the records as sent and drops cancelled ones.
func (a *Appender) markSent(group []*pending) []*pending {
	kept := group[:0]
	for _, p := range group {
		if p.state.CompareAndSwap(stateWaiting, stateSent) {
			kept = append(kept, p)
		} else {
			a.refused.Add(1)
		}
	}
	return kept
}

func (a *Appender) complete(group []*pending, first uint64, err error) {
	if err != nil {
		a.unknown.Add(uint64(len(group)))
		err = asUnknown(err)
	} else {
		a.groups.Add(1)
		a.records.Add(uint64(len(group)))
	}
	for i, p := range group {
		p.reply(first+uint64(i), err)
	}
}

// asUnknown wraps err in an error of KindUnknown unless it is one already.
func asUnknown(err error) error {
	if fault.Is(err, KindUnknown) {
		return err
	}
	return fail("append", KindUnknown, err)
}

// requeue keeps the records that may be retried and answers the expired ones with err.
func (a *Appender) requeue(group []*pending, err error) []*pending {
	kept, now := group[:0], time.Now()
	for _, p := range group {
		switch {
		case !p.state.CompareAndSwap(stateSent, stateWaiting):
			a.refused.Add(1)
		case now.Before(p.deadline):
			kept = append(kept, p)
		default:
			a.refused.Add(1)
			p.reply(0, err)
		}
	}
	return kept
}

// reply delivers the result. It never blocks, even if the caller stopped waiting.
func (p *pending) reply(offset uint64, err error) {
	if err != nil {
		offset = 0
	}
	p.answer <- appendResult{offset, err}
}
