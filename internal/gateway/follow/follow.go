// Package follow tracks a keyed topic of the platform's store: it first reads the newest
// record of each key, then the records after them.
package follow

import (
	"context"
	"errors"
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
	// minPollInterval is how often an entry that does not lead checks for hints from one that
	// does, and reads the store itself if there were none. It is half the time limit for
	// putting a configuration in force.
	minPollInterval = time.Second
	// pollIntervalPerEntry stretches that interval, because calls are priced: all entries
	// together read a topic that nobody announces up to 25 times a second, and the first one
	// that is answered announces it to all.
	pollIntervalPerEntry = 40 * time.Millisecond
	// minSafetyPollInterval is how often such an entry reads the store even while it gets
	// hints, and safetyPollIntervalPerEntry stretches it. The entries that send the hints
	// detect a stuck read of the configuration or the upstreams within 2 s.
	minSafetyPollInterval      = 10 * time.Second
	safetyPollIntervalPerEntry = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. Each call has a
	// price, but after an outage new records are needed within a second.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// stuckReadTimeout is how long a read may go on after another entry has read further.
	// The store answers a read immediately when there is a new record.
	stuckReadTimeout = 500 * time.Millisecond
	// repeatReadAfter is how long after the end of its wait a read without an answer is made again on a
	// new connection: one that went silent gives no other sign. A slow store answers within 240 ms.
	repeatReadAfter = 400 * time.Millisecond
	// maxHintGap is the longest gap between hints while the leading entries reach the
	// store. They send one every 300 ms, and some are lost.
	maxHintGap = 1200 * time.Millisecond
	// maxHintedEntries is how many of the entries that sent the highest hint are remembered, so that
	// another one is asked where one does not answer. Four entries lead.
	maxHintedEntries = 4
	// maxOlderTime is how long answers of an earlier epoch are taken for late ones.
	maxOlderTime = 3 * time.Second
	// outageSpacing is the time after which two outages are weighed apart: registrations that expired in
	// the first are back.
	outageSpacing = 3 * time.Second
	// answerMargin is the longest time that an answer takes beyond the wait for records.
	answerMargin = 600 * time.Millisecond
)

// Seams are the functions through which a follower reads the store, gets records from
// other entries and delivers them.
type Seams struct {
	// Newest returns the newest record of each key and the position to read on from.
	Newest func(ctx context.Context, topic string) ([]platform.Keyed, platform.Position, error)
	// Read returns the records from an offset on and the position to read on from, with the
	// epoch of the answer. It waits up to wait for a record.
	Read func(ctx context.Context, topic string, from uint64, wait time.Duration) ([]platform.Keyed, platform.Position, error)
	// Apply receives records in order, without outdated ones. If snapshot is set, they are the latest
	// of all keys, and keys that are not among them no longer exist.
	Apply func(records []platform.Keyed, snapshot bool)
	// Restored is called before Apply gets the first records after a restore of the store, which
	// are a snapshot up to an offset. Those before it may be of the copy, and of before what was
	// delivered until then. It may be nil.
	Restored func(end uint64)
	// Outdated reports whether r was written before known, a record of the same key that came before
	// it. Both have values. If it is nil, records were written in the order in which they come.
	Outdated func(r, known platform.Keyed) bool
	// History returns the records from one offset up to another that the store still keeps. It is
	// called before records of Newest are delivered, which don't tell what they took back. It may be nil.
	History func(ctx context.Context, topic string, from, until uint64) ([]platform.Keyed, error)
	// Reached is called after each call, with ok set if the store answered. It may be nil.
	// A store that rejects this entry but serves others throughout counts as
	// answering.
	Reached func(ok bool)
	// Uninterrupted is called after Reached(true) if it turns out that the store served other entries
	// throughout the time for which it was reported unreached. It may be nil.
	Uninterrupted func()
	// Silent is called if a read was answered only when it was made again, so that other connections to
	// the store may be silent, too. It may be nil.
	Silent func()
	// Ask returns the newest records of all keys that another entry has, and the position up
	// to which it has read. It may be nil. It is called for the entry with the highest hint,
	// if that is ahead: by an entry that does not lead, since each call to the store has a
	// price, and by one whose calls to the store fail.
	Ask func(ctx context.Context, entry, topic string) ([]platform.Keyed, platform.Position, error)
	// Leads reports whether this entry reads the store with long polls and sends hints to
	// the others. If it is nil, the entry leads.
	Leads func() bool
	// Entries returns the number of entries that share the store. If it is nil, there is one.
	Entries func() int
}

// Settings configure how a topic is read.
type Settings struct {
	Topic string
	Wait  time.Duration // longest wait of a read for the next record
	Pause time.Duration // between reads that returned records
}

// Follower reads a topic until it is closed. Its methods may be called from any goroutine.
type Follower struct {
	cfg   Settings
	seams Seams
	log   *log.Logger
	stop  context.CancelFunc
	done  chan struct{}
	wake  chan struct{}
	check chan struct{} // the read in progress is to be made again

	mu         sync.Mutex
	position   platform.Position // behind what was delivered
	epoch      uint64            // of the store, as far as is known
	restored   bool              // it has risen since the first read
	delivered  uint64            // epoch of the records that were delivered last
	healthy    bool              // the last call succeeded
	hint       platform.Position // highest one of a hint
	hintFrom   []string          // addresses of the entries that sent it, the next one to ask first
	latest     *latest
	lastHint   time.Time
	hintsSince time.Time // of the first hint since the last gap longer than maxHintGap
	served     span      // in which the store answered this entry without a long gap
	elsewhere  span      // the same for other entries, as far as they have announced it
	unreached  span      // the latest one in which the store did not answer this entry, unless it served others
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// extend joins the span with one that ends later, or replaces it if there is a gap between them.
func (s *span) extend(o span) {
	if s.to.IsZero() || o.from.After(s.to) {
		*s = o
		return
	}
	if o.from.Before(s.from) {
		s.from = o.from
	}
	s.to = o.to
}

// covers reports whether another span lies within this one, whose end may be earlier by a margin.
func (s *span) covers(o span, margin time.Duration) bool {
	return !s.from.IsZero() && !s.from.After(o.from) && !s.to.Add(margin).Before(o.to)
}

// New starts a follower.
func New(cfg Settings, seams Seams, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, seams: seams, log: logger, stop: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1), check: make(chan struct{}, 1), latest: newLatest(seams.Outdated)}
	go f.run(ctx)
	return f
}

// Close stops the follower and waits until it has ended.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Topic returns the topic.
func (f *Follower) Topic() string { return f.cfg.Topic }

// Position returns the position to read on from, and whether the last call to the store
// succeeded.
func (f *Follower) Position() (p platform.Position, healthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.healthy
}

// Hinted returns the highest position that another entry has read up to, and that entry's address.
func (f *Follower) Hinted() (p platform.Position, entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hint, f.hintedEntry()
}

// hintedEntry returns the entry to ask for the records before the highest hint. f.mu must be held.
func (f *Follower) hintedEntry() string {
	if len(f.hintFrom) == 0 {
		return ""
	}
	return f.hintFrom[0]
}

// avoidHinted moves an entry that did not answer behind the others that sent the highest hint.
func (f *Follower) avoidHinted(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hintFrom) > 1 && f.hintFrom[0] == entry {
		f.hintFrom = append(f.hintFrom[1:], entry)
	}
}

// Newest returns the newest record of each key, and the position to read on from.
func (f *Follower) Newest() ([]platform.Keyed, platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest.records(), f.position
}

// apply folds the records before a position, keeps the latest for other entries, and delivers those
// that hold.
func (f *Follower) apply(records []platform.Keyed, next platform.Position, snapshot bool) {
	f.mu.Lock()
	restored := f.restored && next.Epoch > f.delivered
	f.position, f.delivered = next, next.Epoch
	var late []platform.Keyed
	if snapshot {
		records, late = f.latest.replace(records, restored)
	} else {
		records, late = f.latest.add(records)
	}
	f.mu.Unlock()
	f.logLate(late)
	if restored && f.seams.Restored != nil {
		f.seams.Restored(next.Offset)
	}
	f.seams.Apply(records, snapshot)
}

// logLate logs outdated records.
func (f *Follower) logLate(late []platform.Keyed) {
	for _, r := range late {
		f.log.Warn("The store carried out a write late; what was written after it holds.", "topic", f.cfg.Topic, "key", r.Key, "offset", r.Offset)
	}
}

// Hint records that the entry at an address has read up to a position. A position of an earlier
// epoch than this entry's is ignored, and one without an epoch, as earlier versions send them, is
// taken for the same one until the store is seen to be restored.
func (f *Follower) Hint(entry string, p platform.Position) {
	f.mu.Lock()
	p, ok := f.comparable(p)
	if !ok {
		f.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Sub(f.lastHint) > maxHintGap {
		f.hintsSince = now
	}
	f.lastHint = now
	newer := p.After(f.hint)
	switch {
	case newer:
		f.hint, f.hintFrom = p, []string{entry}
	case p == f.hint && len(f.hintFrom) < maxHintedEntries && !slices.Contains(f.hintFrom, entry):
		f.hintFrom = append(f.hintFrom, entry)
	}
	f.mu.Unlock()
	if newer {
		select {
		case f.wake <- struct{}{}:
		default: // a wake-up is pending
		}
	}
}

// comparable returns another entry's position with its epoch, and whether it may be of use. f.mu
// must be held.
func (f *Follower) comparable(p platform.Position) (platform.Position, bool) {
	if p.Epoch == platform.NoEpoch && f.restored {
		return p, false
	}
	p = p.In(f.epoch)
	return p, p.Epoch >= f.epoch
}

// othersServed reports whether other entries have sent hints without a long gap since a
// time, and so still reach the store.
func (f *Follower) othersServed(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastHint.IsZero() && time.Since(f.lastHint) <= maxHintGap && !f.hintsSince.After(since)
}

// Answered returns when the store last answered, or the zero time if it never did.
func (f *Follower) Answered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served.to
}

// ServedSince returns since when the store has answered this entry without a gap in which registrations
// may have expired, or the zero time if it does not.
func (f *Follower) ServedSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.served.to) > f.maxAnswerGap() {
		return time.Time{}
	}
	return f.served.from
}

// maxAnswerGap returns the longest time between answers while this entry reads without failing.
func (f *Follower) maxAnswerGap() time.Duration { return f.cfg.Wait + f.cfg.Pause + answerMargin }

// ServedElsewhere records that the store has answered another entry since a time; zero if that is not
// known.
func (f *Follower) ServedElsewhere(since time.Time) {
	if since.IsZero() {
		return
	}
	f.mu.Lock()
	f.elsewhere.extend(span{since, time.Now()})
	f.mu.Unlock()
	f.weighOutage()
}

// weighOutage calls Seams.Uninterrupted if the store served others while it did not answer this entry.
func (f *Follower) weighOutage() {
	f.mu.Lock()
	served := !f.unreached.to.IsZero() && f.elsewhere.covers(f.unreached, maxHintGap)
	if served {
		f.unreached = span{}
	}
	f.mu.Unlock()
	if served && f.seams.Uninterrupted != nil {
		f.log.Info("The store served other entries while it did not answer.", "topic", f.cfg.Topic)
		f.seams.Uninterrupted()
	}
}

// reportReached passes the outcome of a call to Seams.Reached, and records when the store
// answered.
func (f *Follower) reportReached(ok bool, p *progress) {
	served := p.known && f.othersServed(p.doubtedSince())
	if f.seams.Reached != nil && !served && (!ok || p.failing) {
		f.seams.Reached(false) // also if the hints stopped in the meantime: no entry reached the store
	}
	if !ok {
		return
	}
	if f.seams.Reached != nil {
		f.seams.Reached(true)
	}
	now := time.Now()
	f.mu.Lock()
	outage := !served && p.failing
	if outage {
		if p.failedAt.Sub(f.unreached.to) > outageSpacing {
			f.unreached.from = p.failedAt
		}
		f.unreached.to = now
	}
	if outage || now.Sub(f.served.to) > f.maxAnswerGap() {
		f.served.from = now
	}
	f.served.to = now
	f.mu.Unlock()
	f.weighOutage()
}

// setHealthy records whether the last call to the store succeeded.
func (f *Follower) setHealthy(healthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthy = healthy
}

// advance moves on to a position, of the same epoch or the one that the topic is to be read in.
func (f *Follower) advance(p *progress, next platform.Position) {
	had := p.next
	p.next = next
	if next.Epoch == had.Epoch {
		return
	}
	f.mu.Lock()
	f.epoch, f.restored = next.Epoch, p.began
	f.mu.Unlock()
	if p.began {
		f.log.Warn("The store was restored; the topic is read anew.", "topic", f.cfg.Topic, "epoch", next.Epoch, "was", had.Epoch, "offset", next.Offset, "had", had.Offset)
	}
}

// pollInterval and safetyPollInterval return how often an entry that does not lead reads the
// store: without hints, and in any case.
func (f *Follower) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(f.entries())*pollIntervalPerEntry)
}

func (f *Follower) safetyPollInterval() time.Duration {
	return max(minSafetyPollInterval, time.Duration(f.entries())*safetyPollIntervalPerEntry)
}

func (f *Follower) entries() int {
	if f.seams.Entries == nil {
		return 1
	}
	return f.seams.Entries()
}

// spreadPoll returns a poll interval between minPollInterval and what makes its mean the given one, for
// a spread from 0 to 1. Of many entries that hear of nobody, the first one polls soon, and announces
// what it reads to the others.
func spreadPoll(mean time.Duration, spread float64) time.Duration {
	return minPollInterval + time.Duration(2*spread*float64(mean-minPollInterval))
}

// awaitRead blocks an entry that does not lead until a hint or a timeout calls for a read. After a
// failed call the store counts as away until it answers, so hints don't put off the next poll.
func (f *Follower) awaitRead(ctx context.Context, p *progress) {
	spread := rand.Float64()
	for ctx.Err() == nil && !f.seams.Leads() {
		f.mu.Lock()
		poll := spreadPoll(f.pollInterval(), spread)
		polls := p.failing || time.Since(f.lastHint) >= poll
		due := f.hint.After(p.next) || polls && time.Since(p.lastCall) >= poll || time.Since(p.lastCall) > f.safetyPollInterval()
		f.mu.Unlock()
		if due {
			return
		}
		t := time.NewTimer(minPollInterval/2 + rand.N(minPollInterval/2)) // entries that lose the hints together don't read together
		select {
		case <-f.wake:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// progress is the state of a follower's loop.
type progress struct {
	next       platform.Position
	known      bool // next is a valid position to read from
	began      bool // the topic was read once
	led        bool // it led at the last call, and since
	failing    bool // the last call failed
	retryDelay time.Duration
	lastCall   time.Time
	failedAt   time.Time // start of the first of the calls that have failed since the last answer
	olderSince time.Time // the store has answered from an earlier epoch since; zero: it does not
}

// doubtedSince returns the time since which the store may not have answered: the start of the first
// call that failed, of those that led to the last one.
func (p *progress) doubtedSince() time.Time {
	if p.failing {
		return p.failedAt
	}
	return p.lastCall
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	p := progress{retryDelay: minRetryDelay}
	for ctx.Err() == nil {
		if f.fetchHinted(ctx, &p) {
			pause.For(ctx, f.cfg.Pause)
			continue
		}
		delay, err := f.step(ctx, &p)
		if ctx.Err() != nil {
			return
		}
		restored, trimmed := errors.Is(err, errRestored), fault.Is(err, platform.KindTrimmed)
		f.setHealthy(err == nil)
		f.reportReached(err == nil || restored || trimmed, &p)
		p.known = p.known && !restored && !trimmed
		switch {
		case err == nil:
			f.succeeded(&p)
		case !restored:
			delay = f.failed(ctx, &p, err)
		}
		if delay > 0 {
			pause.For(ctx, delay)
		}
	}
}

// step makes one call to the store, and returns the delay before the next one.
func (f *Follower) step(ctx context.Context, p *progress) (delay time.Duration, err error) {
	wait := f.cfg.Wait
	leads := f.seams.Leads == nil || f.seams.Leads()
	if !leads || !p.led || p.failing {
		wait = 0 // an immediate answer shows that the store is back, or was restored in the meantime
	}
	p.led = leads
	p.lastCall = time.Now()
	if p.known {
		return f.read(ctx, p, wait)
	}
	return f.cfg.Pause, f.newest(ctx, p)
}

// reliesOnHints reports whether the entry relies on the hints of those that lead.
func (f *Follower) reliesOnHints(p *progress) bool {
	return p.known && f.seams.Leads != nil && !f.seams.Leads()
}

// fetchHinted blocks an entry that does not lead until there is something to read, and
// reports whether another entry supplied it, so that no call to the store is needed.
func (f *Follower) fetchHinted(ctx context.Context, p *progress) bool {
	if !f.reliesOnHints(p) {
		return false
	}
	p.led = false
	f.awaitRead(ctx, p)
	if p.failing || time.Since(p.lastCall) > f.safetyPollInterval() {
		return false
	}
	ok := f.fetch(ctx, p)
	if ok {
		f.setHealthy(true)
	}
	return ok
}

// succeeded records a successful call to the store.
func (f *Follower) succeeded(p *progress) {
	if p.failing {
		f.log.Info("The store answers again.", "topic", f.cfg.Topic, "epoch", p.next.Epoch, "offset", p.next.Offset)
	}
	p.known, p.began, p.failing, p.retryDelay, p.olderSince = true, true, false, minRetryDelay, time.Time{}
}

// failed records a failed call to the store, fetches what another entry has read, and
// returns the delay before the next retry.
func (f *Follower) failed(ctx context.Context, p *progress, err error) time.Duration {
	delay := p.retryDelay/2 + rand.N(p.retryDelay/2)
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	if !p.failing {
		p.failing, p.failedAt = true, p.lastCall
		f.log.Warn("The store does not answer.", "topic", f.cfg.Topic, "epoch", p.next.Epoch, "offset", p.next.Offset, "err", err)
	}
	f.fetch(ctx, p)
	return delay
}

// fetch fetches the records of another entry if one has read further than this one.
func (f *Follower) fetch(ctx context.Context, p *progress) bool {
	f.mu.Lock()
	entry, ahead := f.hintedEntry(), f.hint.After(p.next)
	f.mu.Unlock()
	if f.seams.Ask == nil || !ahead {
		return false
	}
	records, next, err := f.seams.Ask(ctx, entry, f.cfg.Topic)
	f.mu.Lock()
	next, usable := f.comparable(next)
	f.mu.Unlock()
	if err != nil || !usable || !next.After(p.next) {
		f.log.Warn("Could not fetch newer records from another entry.", "topic", f.cfg.Topic, "entry", entry, "epoch", next.Epoch, "offset", next.Offset, "had", p.next.Offset, "err", err)
		f.avoidHinted(entry)
		return false
	}
	f.log.Info("Fetched newer records from another entry.", "topic", f.cfg.Topic, "entry", entry, "epoch", next.Epoch, "offset", next.Offset, "had", p.next.Offset, "records", len(records))
	f.advance(p, next)
	p.known, p.began = true, true
	f.apply(records, next, true)
	return true
}

// cancelStuckRead cancels a read that is still unanswered stuckReadTimeout after another
// entry has read further.
func (f *Follower) cancelStuckRead(ctx context.Context, from platform.Position, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		f.mu.Lock()
		ahead := f.hint.After(from)
		f.mu.Unlock()
		if ahead {
			if pause.For(ctx, stuckReadTimeout) {
				cancel()
			}
			return
		}
		select {
		case <-f.wake:
		case <-ctx.Done():
		}
	}
}

var (
	errRestored = errors.New("the store was restored since the last read")
	errOlder    = errors.New("the store answers from an earlier epoch")
)

func (f *Follower) newest(ctx context.Context, p *progress) error {
	records, next, err := f.seams.Newest(ctx, f.cfg.Topic)
	if err != nil {
		p.next.Offset = 0
		return err
	}
	if next = next.In(p.next.Epoch); next.Epoch < p.next.Epoch {
		return f.older(p, next)
	}
	f.advance(p, next)
	f.foldHistory(ctx, next)
	f.apply(f.dropMalformed(records), next, true)
	return nil
}

// foldHistory folds the records before a position that this entry has not read, since the newest of
// a key may be outdated. After a restore it does nothing: the copy's records are older than those known.
func (f *Follower) foldHistory(ctx context.Context, next platform.Position) {
	f.mu.Lock()
	from, pendingRestore := f.position, f.restored && next.Epoch > f.delivered
	f.mu.Unlock()
	if f.seams.History == nil || pendingRestore {
		return
	}
	if from.Epoch != next.Epoch {
		from.Offset = 0
	}
	records, err := f.seams.History(ctx, f.cfg.Topic, from.Offset, next.Offset)
	if err != nil {
		f.log.Warn("Could not read the records before the newest ones.", "topic", f.cfg.Topic, "from", from.Offset, "offset", next.Offset, "err", err)
	}
	records = f.dropMalformed(records)
	f.mu.Lock()
	_, late := f.latest.add(records)
	f.mu.Unlock()
	f.logLate(late)
}

// older handles an answer of an epoch before the follower's. If the store has given no other for
// maxOlderTime, the follower's epoch is not the store's: the topic is read anew in that of the answer.
func (f *Follower) older(p *progress, next platform.Position) error {
	if p.olderSince.IsZero() {
		p.olderSince = time.Now()
	}
	if time.Since(p.olderSince) < maxOlderTime {
		return errOlder
	}
	p.olderSince = time.Time{}
	f.mu.Lock()
	f.delivered = 0
	if f.hint.Epoch > next.Epoch {
		f.hint, f.hintFrom = platform.Position{}, nil
	}
	f.mu.Unlock()
	f.advance(p, platform.Position{Epoch: next.Epoch})
	return errRestored
}

// read reads on from the position. If the store was restored since, it drops the records, which
// follow others than those before the position, and fails with errRestored.
func (f *Follower) read(ctx context.Context, p *progress, wait time.Duration) (delay time.Duration, err error) {
	from := p.next
	if f.seams.Ask != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.cancelStuckRead(ctx, from, cancel)
		}()
		defer func() {
			cancel()
			<-done
		}()
	}
	records, next, err := f.readRepeatedly(ctx, from.Offset, wait)
	if !isAnswer(err) {
		return 0, err
	}
	next = next.In(from.Epoch)
	switch {
	case next.Epoch < from.Epoch:
		return 0, f.older(p, next)
	case next.Epoch > from.Epoch:
		f.advance(p, platform.Position{Epoch: next.Epoch})
		return 0, errRestored
	case err != nil, len(records) == 0:
		return 0, err
	}
	p.next = next
	f.apply(f.dropMalformed(records), next, false)
	return f.cfg.Pause, nil
}

// isAnswer reports whether the store answered a read that returned err.
func isAnswer(err error) bool { return err == nil || fault.Is(err, platform.KindTrimmed) }

// readResult is the result of Seams.Read.
type readResult struct {
	records []platform.Keyed
	next    platform.Position
	err     error
}

// readRepeatedly reads from an offset, and once more without a wait if there is no answer
// repeatReadAfter the end of the wait, or at once if CheckRead is called. It returns the first answer,
// or an error once each read has failed.
func (f *Follower) readRepeatedly(ctx context.Context, from uint64, wait time.Duration) ([]platform.Keyed, platform.Position, error) {
	if wait == 0 {
		return f.seams.Read(ctx, f.cfg.Topic, from, 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	defer reads.Wait()
	defer cancel()
	results := make(chan readResult, 2)
	read := func(wait time.Duration) {
		reads.Go(func() {
			records, next, err := f.seams.Read(ctx, f.cfg.Topic, from, wait)
			results <- readResult{records, next, err}
		})
	}
	select {
	case <-f.check: // of an earlier read
	default:
	}
	read(wait)
	unanswered := time.NewTimer(wait + repeatReadAfter)
	defer unanswered.Stop()
	overdue := false
	select {
	case r := <-results:
		return r.records, r.next, r.err
	case <-unanswered.C:
		overdue = true
	case <-f.check:
	}
	read(0)
	r := <-results
	if !isAnswer(r.err) {
		r = <-results
	}
	if overdue && isAnswer(r.err) {
		f.log.Warn("A read of the store was answered only when it was made again; its connection may be silent.", "topic", f.cfg.Topic, "offset", from)
		if f.seams.Silent != nil {
			f.seams.Silent()
		}
	}
	return r.records, r.next, r.err
}

// CheckRead makes a read that waits for records again, since its connection may be silent.
func (f *Follower) CheckRead() {
	select {
	case f.check <- struct{}{}:
	default: // it is about to be
	}
}

// dropMalformed removes the malformed records, and logs the first of them.
func (f *Follower) dropMalformed(records []platform.Keyed) []platform.Keyed {
	malformed := func(r platform.Keyed) bool { return r.Malformed }
	i := slices.IndexFunc(records, malformed)
	if i < 0 {
		return records
	}
	n, offset := len(records), records[i].Offset
	records = slices.DeleteFunc(records, malformed)
	f.log.Warn("Skipping records that can't be decoded.", "topic", f.cfg.Topic, "records", n-len(records), "offset", offset)
	return records
}
