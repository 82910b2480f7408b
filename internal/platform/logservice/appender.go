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
	// DefaultQueue is the number of records that may wait for an append.
	DefaultQueue = 4096
	// DefaultRetryFor is how long a record that took no effect is tried again.
	DefaultRetryFor = 2 * time.Second

	maxGroup        = 512     // records
	maxGroupBytes   = 1 << 20 // bytes
	appendFirstWait = 50 * time.Millisecond
	appendMaxWait   = time.Second
	// callTimeout bounds an append, beside the store client's own limit.
	callTimeout = 5 * time.Second
)

// AppenderConfig holds the settings and seams of an appender. Zero values of
// Queue and RetryFor stand for the defaults; without a Limiter there is no limit.
type AppenderConfig struct {
	// Append adds records as one group and returns the offset of the first. Its
	// error is of KindUnavailable or KindRateLimited where it took no effect.
	Append   func(ctx context.Context, records [][]byte) (uint64, error)
	Limiter  *Limiter // shared by all appenders of the entry
	Queue    int      // records
	RetryFor time.Duration
	// Jitter changes the delay before a retry; without it half is random.
	Jitter func(time.Duration) time.Duration
	// Gap is the least time from one call to the next. Records that come meanwhile
	// share a call, and the first one after a quiet time does not wait.
	Gap time.Duration
}

// Appender appends the records of many callers to one stream in groups: records
// that come while an append is in flight form the next group. Its methods may be
// called from any goroutine.
type Appender struct {
	cfg   AppenderConfig
	queue chan *pending
	stop  context.CancelFunc
	done  chan struct{}
	last  time.Time // of the goroutine that runs: when the last call started

	groups, records, unknown, refused atomic.Uint64
}

// The states of a pending record.
const (
	stateWaiting   int32 = iota // it took no effect
	stateSent                   // it may have taken effect
	stateWithdrawn              // its caller left; it is not sent any more
)

type pending struct {
	record []byte
	until  time.Time // after it a record that took no effect is refused
	state  atomic.Int32
	answer chan appended
}

type appended struct {
	offset uint64
	err    error
}

// NewAppender starts an appender. Close ends it.
func NewAppender(cfg AppenderConfig) *Appender {
	if cfg.Queue == 0 {
		cfg.Queue = DefaultQueue
	}
	if cfg.RetryFor == 0 {
		cfg.RetryFor = DefaultRetryFor
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Appender{cfg: cfg, queue: make(chan *pending, cfg.Queue), stop: cancel, done: make(chan struct{})}
	go a.run(ctx)
	return a
}

// Close ends the appender and waits for it. Records that were not sent are
// refused as unavailable, and those in flight are unknown.
func (a *Appender) Close() {
	a.stop()
	<-a.done
}

var (
	errFull     = errors.New("the queue of records is full")
	errStopping = errors.New("the appender is stopping")
)

// Append appends one record and returns its offset. An error of KindUnavailable
// or KindRateLimited says that it took no effect and will take none; one of
// KindUnknown that it may have taken effect or may yet do so.
func (a *Appender) Append(ctx context.Context, record []byte) (uint64, error) {
	p := &pending{record: record, until: time.Now().Add(a.cfg.RetryFor), answer: make(chan appended, 1)}
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
		return p.withdraw(ctx.Err())
	case <-a.done:
		return p.withdraw(errStopping)
	}
}

// withdraw takes back a record that was not sent. The outcome of one that was is
// unknown, unless its answer is there already.
func (p *pending) withdraw(cause error) (uint64, error) {
	if p.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		return 0, fail("append", KindUnavailable, cause)
	}
	p.state.CompareAndSwap(stateSent, stateWithdrawn)
	select {
	case r := <-p.answer:
		return r.offset, r.err
	default:
		return 0, fail("append", KindUnknown, cause)
	}
}

// AppenderState is an appender's part of the state dump.
type AppenderState struct {
	Queued  int    `json:"queued"`  // records
	Groups  uint64 `json:"groups"`  // append calls that were answered
	Records uint64 `json:"records"` // appended by them
	Unknown uint64 `json:"unknown"` // records whose answer was lost
	Refused uint64 `json:"refused"` // records that took no effect
}

// State returns the appender's state.
func (a *Appender) State() AppenderState {
	return AppenderState{
		Queued: len(a.queue), Groups: a.groups.Load(), Records: a.records.Load(),
		Unknown: a.unknown.Load(), Refused: a.refused.Load(),
	}
}

func (a *Appender) run(ctx context.Context) {
	defer close(a.done)
	wait := newBackoff(appendFirstWait, appendMaxWait, a.cfg.Jitter)
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
		group = a.try(ctx, group, wait)
	}
	for _, p := range group {
		p.reply(0, fail("append", KindUnavailable, errStopping))
	}
}

// try makes one append call and returns the records that took no effect and are
// to be tried again.
func (a *Appender) try(ctx context.Context, group []*pending, wait *backoff) []*pending {
	if gap := a.cfg.Gap - time.Since(a.last); gap > 0 && !pause.For(ctx, gap) {
		return group
	}
	if a.cfg.Limiter != nil && a.cfg.Limiter.Wait(ctx) != nil {
		return group
	}
	a.last = time.Now()
	group = a.send(a.fill(group))
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
		a.finish(group, first, err)
		wait.reset()
		return nil
	}
	if a.cfg.Limiter != nil && fault.Is(err, KindRateLimited) {
		a.cfg.Limiter.Refused()
	}
	group = a.again(group, err)
	pause.For(ctx, wait.delay())
	return group
}

// NoEffect reports whether the error of an append says that it took no effect.
func NoEffect(err error) bool {
	return fault.Is(err, KindUnavailable) || fault.Is(err, KindRateLimited)
}

// fill adds the records that wait, up to the bounds of a group.
func (a *Appender) fill(group []*pending) []*pending {
	size := 0
	for _, p := range group {
		size += len(p.record)
	}
	for len(group) < maxGroup && size < maxGroupBytes {
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

// send marks the records as sent and leaves out those whose caller left.
func (a *Appender) send(group []*pending) []*pending {
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

func (a *Appender) finish(group []*pending, first uint64, err error) {
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

// asUnknown makes an error that says nothing about the effect one of KindUnknown.
func asUnknown(err error) error {
	if fault.Is(err, KindUnknown) {
		return err
	}
	return fail("append", KindUnknown, err)
}

// again refuses the records whose time is over and keeps the others waiting.
func (a *Appender) again(group []*pending, err error) []*pending {
	kept, now := group[:0], time.Now()
	for _, p := range group {
		switch {
		case !p.state.CompareAndSwap(stateSent, stateWaiting):
			a.refused.Add(1)
		case now.Before(p.until):
			kept = append(kept, p)
		default:
			a.refused.Add(1)
			p.reply(0, err)
		}
	}
	return kept
}

// reply answers the caller, who may have left.
func (p *pending) reply(offset uint64, err error) {
	if err != nil {
		offset = 0
	}
	p.answer <- appended{offset, err}
}
