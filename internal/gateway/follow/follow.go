// Package follow keeps up with a keyed topic of the platform's store: it takes the
// newest record of each key at first and the records behind them from then on.
package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// checkEvery is how often an entry that does not read with a wait looks whether one
	// that does was heard, and reads itself where none was: half the time in which a
	// configuration has to be in force.
	checkEvery = time.Second
	// safetyEvery is how often it reads whatever it hears: those that it hears find out
	// within 4 s that a read of the configuration or the upstreams got stuck.
	safetyEvery = 10 * time.Second
	// firstRetry and lastRetry bound the wait after a call that failed: calls are
	// priced, and what a store tells after its return is wanted within a second.
	firstRetry = 150 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
	// stuckAfter is how long a read may go on after another entry has read further: the
	// store answers a read at once when there is something new.
	stuckAfter = 500 * time.Millisecond
	// steadyGap is the longest silence of those that lead while they are served: they tell
	// each 300 ms, and messages are lost now and then.
	steadyGap = 1200 * time.Millisecond
)

// Seams are the follower's ways to the store and what takes the records.
type Seams struct {
	Newest func(ctx context.Context, topic string) ([]platform.Keyed, uint64, error)
	Read   func(ctx context.Context, topic string, from uint64, wait time.Duration) ([]platform.Keyed, uint64, error)
	// Apply takes records in order. Where whole, they are the newest of all keys, and
	// keys that are not among them are gone.
	Apply func(records []platform.Keyed, whole bool)
	// Reached is told after each call whether the store answered. It may be nil. A store that
	// turns this entry away and serves others all the while counts as answering.
	Reached func(ok bool)
	// Ask returns the newest records of all keys that another entry has, and the offset that
	// it has read up to; nil where nobody is asked. One that told of more than this entry has
	// is asked by an entry that does not lead, since calls of the store are priced, and by one
	// that the store turns away.
	Ask func(ctx context.Context, entry, topic string) ([]platform.Keyed, uint64, error)
	// Leads reports whether this entry reads with a wait and tells the others how far
	// it is; nil means that it does.
	Leads func() bool
}

// Settings tell how a topic is read.
type Settings struct {
	Topic string
	Wait  time.Duration // of a read for the next record
	Pause time.Duration // between reads that brought something
}

// Follower follows a topic until it is closed.
type Follower struct {
	cfg   Settings
	seams Seams
	log   *log.Logger
	stop  context.CancelFunc
	done  chan struct{}
	kick  chan struct{}

	mu      sync.Mutex
	offset  uint64 // that was read up to
	healthy bool   // the last call was answered
	hinted  uint64 // that others have read up to
	hinter  string // the address of the entry that told so
	records map[string]platform.Keyed
	heard   time.Time // when another entry told how far it is
	steady  time.Time // since when others have told so without a long pause
	replied time.Time // when the store answered last
}

// New starts a follower.
func New(cfg Settings, seams Seams, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, seams: seams, log: logger, stop: cancel, done: make(chan struct{}), kick: make(chan struct{}, 1), records: map[string]platform.Keyed{}}
	go f.run(ctx)
	return f
}

// Close ends the follower.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Topic returns the topic.
func (f *Follower) Topic() string { return f.cfg.Topic }

// Offset returns the offset that was read up to, and whether the store answers.
func (f *Follower) Offset() (offset uint64, healthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset, f.healthy
}

// Newest returns the newest record of each key, and the offset that was read up to.
func (f *Follower) Newest() ([]platform.Keyed, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.records)), f.offset
}

// apply hands records on and keeps them for other entries.
func (f *Follower) apply(records []platform.Keyed, whole bool) {
	f.mu.Lock()
	if whole {
		clear(f.records)
	}
	for _, r := range records {
		if r.Value == nil {
			delete(f.records, r.Key)
		} else {
			f.records[r.Key] = r
		}
	}
	f.mu.Unlock()
	f.seams.Apply(records, whole)
}

// Hint notes that the entry at an address has read up to an offset.
func (f *Follower) Hint(entry string, offset uint64) {
	f.mu.Lock()
	now := time.Now()
	if now.Sub(f.heard) > steadyGap {
		f.steady = now
	}
	f.heard = now
	newer := offset > f.hinted
	if newer {
		f.hinted, f.hinter = offset, entry
	}
	f.mu.Unlock()
	if newer {
		select {
		case f.kick <- struct{}{}:
		default: // it will look anyway
		}
	}
}

// othersServed reports whether the store has answered others all the while since a moment.
func (f *Follower) othersServed(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.heard.IsZero() && time.Since(f.heard) <= steadyGap && !f.steady.After(since)
}

// Answered returns when the store answered last; zero where it never did.
func (f *Follower) Answered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replied
}

// reached tells whether the store answers, once a call has ended.
func (f *Follower) reached(ok bool, p *progress) {
	served := p.known && f.othersServed(f.Answered())
	if f.seams.Reached != nil && !served && (!ok || p.lost) {
		f.seams.Reached(false) // also where others fell silent meanwhile: it was away for all
	}
	if !ok {
		return
	}
	if f.seams.Reached != nil {
		f.seams.Reached(true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replied = time.Now()
}

// note keeps how far the follower is, and whether the last call was answered.
func (f *Follower) note(offset uint64, healthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset, f.healthy = offset, healthy
}

// await waits until there is something to read, for an entry that does not lead.
func (f *Follower) await(ctx context.Context, next uint64, last time.Time) {
	for ctx.Err() == nil && !f.seams.Leads() {
		f.mu.Lock()
		due := f.hinted > next || time.Since(f.heard) >= checkEvery && time.Since(last) >= checkEvery || time.Since(last) > safetyEvery
		f.mu.Unlock()
		if due {
			return
		}
		t := time.NewTimer(checkEvery)
		select {
		case <-f.kick:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// progress is how far a follower is with its topic.
type progress struct {
	next  uint64
	known bool // next is an offset to read from
	lost  bool // the last call failed
	retry time.Duration
	last  time.Time // of the last read
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	p := progress{retry: firstRetry}
	for ctx.Err() == nil {
		if f.takeOver(ctx, &p) {
			pause.For(ctx, f.cfg.Pause)
			continue
		}
		delay, err := f.step(ctx, &p)
		if ctx.Err() != nil {
			return
		}
		gone := fault.Is(err, platform.KindTrimmed)
		f.note(p.next, err == nil)
		f.reached(err == nil || gone, &p)
		if err == nil {
			f.answered(&p)
		} else {
			p.known = p.known && !gone
			delay = f.failed(ctx, &p, err)
		}
		if delay > 0 {
			pause.For(ctx, delay)
		}
	}
}

// step reads once, and returns how long to wait before the next time.
func (f *Follower) step(ctx context.Context, p *progress) (delay time.Duration, err error) {
	wait := f.cfg.Wait
	if f.follows(p) || p.lost {
		wait = 0 // of one that is lost, an answer at once tells that the store is back
	}
	p.last = time.Now()
	if p.known {
		p.next, delay, err = f.read(ctx, p.next, wait)
		return delay, err
	}
	p.next, err = f.newest(ctx)
	return f.cfg.Pause, err
}

// follows reports whether the entry reads what those that lead tell of.
func (f *Follower) follows(p *progress) bool {
	return p.known && f.seams.Leads != nil && !f.seams.Leads()
}

// takeOver waits, where the entry does not lead, until there is something to read, and
// reports whether another entry handed it on. The store is then not asked.
func (f *Follower) takeOver(ctx context.Context, p *progress) bool {
	if !f.follows(p) {
		return false
	}
	f.await(ctx, p.next, p.last)
	if p.lost || time.Since(p.last) > safetyEvery {
		return false
	}
	offset, ok := f.ask(ctx, p.next)
	if ok {
		p.next = offset
		f.note(offset, true)
	}
	return ok
}

// answered notes that the store answered.
func (f *Follower) answered(p *progress) {
	if p.lost {
		f.log.Info("The store answers again.", "topic", f.cfg.Topic, "offset", p.next)
	}
	p.known, p.lost, p.retry = true, false, firstRetry
}

// failed notes that it did not, takes over what another entry has read, and returns how
// long to wait before the next try.
func (f *Follower) failed(ctx context.Context, p *progress, err error) time.Duration {
	delay := p.retry/2 + rand.N(p.retry/2)
	p.retry = min(2*p.retry, lastRetry)
	if !p.lost {
		p.lost = true
		f.log.Warn("The store does not answer.", "topic", f.cfg.Topic, "offset", p.next, "err", err)
	}
	if offset, ok := f.ask(ctx, p.next); ok {
		p.next, p.known = offset, true
		f.note(p.next, false)
	}
	return delay
}

// ask takes over what another entry has read, where one has read further than this one.
func (f *Follower) ask(ctx context.Context, next uint64) (offset uint64, ok bool) {
	f.mu.Lock()
	entry, ahead := f.hinter, f.hinted > next
	f.mu.Unlock()
	if f.seams.Ask == nil || !ahead {
		return 0, false
	}
	records, offset, err := f.seams.Ask(ctx, entry, f.cfg.Topic)
	if err != nil || offset <= next {
		f.log.Warn("Another entry does not hand its records on.", "topic", f.cfg.Topic, "entry", entry, "offset", offset, "err", err)
		return 0, false
	}
	f.log.Info("Records are taken over from another entry.", "topic", f.cfg.Topic, "entry", entry, "offset", offset, "had", next, "records", len(records))
	f.apply(records, true)
	return offset, true
}

// unstick ends a read that goes on though another entry has read further.
func (f *Follower) unstick(ctx context.Context, from uint64, end context.CancelFunc) {
	for ctx.Err() == nil {
		f.mu.Lock()
		ahead := f.hinted > from
		f.mu.Unlock()
		if ahead {
			if pause.For(ctx, stuckAfter) {
				end()
			}
			return
		}
		select {
		case <-f.kick:
		case <-ctx.Done():
		}
	}
}

func (f *Follower) newest(ctx context.Context) (uint64, error) {
	records, next, err := f.seams.Newest(ctx, f.cfg.Topic)
	if err != nil {
		return 0, err
	}
	f.apply(records, true)
	return next, nil
}

func (f *Follower) read(ctx context.Context, from uint64, wait time.Duration) (next uint64, delay time.Duration, err error) {
	if f.seams.Ask != nil {
		var end context.CancelFunc
		ctx, end = context.WithCancel(ctx)
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			f.unstick(ctx, from, end)
		}()
		defer func() {
			end()
			<-watched
		}()
	}
	records, next, err := f.seams.Read(ctx, f.cfg.Topic, from, wait)
	if err != nil {
		return from, 0, err
	}
	if len(records) == 0 {
		return next, 0, nil
	}
	f.apply(records, false)
	return next, f.cfg.Pause, nil
}
