// Package store is an in-memory fake of the platform's store for tests. It has topics of
// records with offsets, keyed topics, long polling, retention and trimming, and injects
// faults: outages, latency, rate limits, lost responses, a new epoch, a restore from a copy. Handler
// serves its HTTP API.
package store

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// DefaultAppendsPerSecond is the initial rate limit over all topics.
	DefaultAppendsPerSecond = 400
	// maxWait bounds how long a read waits for a record.
	maxWait = 30 * time.Second
	// keyedPrefix starts the names of keyed topics, which keep the newest record of each key.
	keyedPrefix = "keyed."
)

// Record is one record of a topic.
type Record struct {
	Offset uint64
	Time   time.Time // when it was appended; not part of the HTTP API
	Data   []byte
}

// Bounds is the offset range of a topic. First is the earliest retained offset and Next the
// offset of the next record. Offsets start at 0.
type Bounds struct {
	Epoch string // changes with Reset and Restore
	First uint64
	Next  uint64
}

// Store is a fake of the platform's store. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	topics        map[string]*topic
	epoch         string
	outage        bool
	latency       time.Duration
	answersToLose int
	rate          float64
	tokens        float64
	refilledAt    time.Time
	appends       uint64
	calls         int
	retention     time.Duration
}

type topic struct {
	records []Record
	newest  map[string]keyed // nil unless the topic is keyed
	first   uint64
	next    uint64
	changed chan struct{} // closed and replaced on each notify
}

// New returns an empty store without a retention limit.
func New() *Store {
	return &Store{
		topics: map[string]*topic{},
		epoch:  "1",
		rate:   DefaultAppendsPerSecond,
		tokens: DefaultAppendsPerSecond,
	}
}

// SetOutage starts or ends an outage, during which every call fails.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, t := range s.topics {
		t.notify()
	}
}

// SetDelay sets the latency added to every call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetRate sets the rate limit of appends over all topics.
func (s *Store) SetRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate, s.tokens = perSecond, perSecond
}

// SetRetention sets how long a record is retained. Zero retains every record.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// LoseAnswers makes the next n appends take effect and loses their responses.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Expire deletes the records of the topic before the offset.
func (s *Store) Expire(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).expire(before)
}

// Trim deletes all records of the topic; a keyed topic retains the newest value of each key.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.expire(t.next)
	t.notify()
}

// Reset deletes all topics and starts a new epoch, as a restored store would.
func (s *Store) Reset(epoch string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.topics
	s.topics, s.epoch = map[string]*topic{}, epoch
	for _, t := range old {
		t.notify()
	}
}

// Copy is the state of a store at some moment.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the store for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{cloneTopics(s.topics)}
}

// Restore makes the store what it was when it was copied, in the next epoch. What was written
// since is lost, and its offsets are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.Atoi(s.epoch)
	if err != nil {
		panic(err) // a test has set an epoch that is no number
	}
	old := s.topics
	s.topics, s.epoch = cloneTopics(c.topics), strconv.Itoa(n+1)
	for _, t := range old {
		t.notify()
	}
}

func cloneTopics(list map[string]*topic) map[string]*topic {
	out := make(map[string]*topic, len(list))
	for name, t := range list {
		out[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest), first: t.first, next: t.next, changed: make(chan struct{})}
	}
	return out
}

// Appends returns the number of append calls that took effect.
func (s *Store) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Calls returns the number of HTTP requests received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Append appends the records in one step and returns the offset of the first. A lost
// response is an error of KindAnswerLost.
func (s *Store) Append(ctx context.Context, name string, data [][]byte) (first uint64, b Bounds, err error) {
	if err := s.applyLatency(ctx); err != nil {
		return 0, Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 0, Bounds{}, fail("append", KindUnavailable, nil)
	}
	if !s.takeToken() {
		return 0, Bounds{}, fail("append", KindRateLimited, nil)
	}
	t := s.topic(name)
	first = t.next
	for _, d := range data {
		t.add(d)
	}
	s.appends++
	t.notify()
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, Bounds{}, fail("append", KindAnswerLost, nil)
	}
	return first, s.bounds(t), nil
}

// Read returns records from the offset on. Their size is at most maxBytes, except that the
// first record is always returned. If there is none, Read waits for one up to wait, and
// then returns none.
func (s *Store) Read(ctx context.Context, name string, from uint64, maxBytes int, wait time.Duration) ([]Record, Bounds, error) {
	if err := s.applyLatency(ctx); err != nil {
		return nil, Bounds{}, err
	}
	end, stop := pause.Limit(min(wait, maxWait))
	defer stop()
	for {
		recs, b, changed, err := s.read(name, from, maxBytes)
		if err != nil || len(recs) > 0 || wait <= 0 {
			return recs, b, err
		}
		select {
		case <-changed:
		case <-end:
			return nil, b, nil
		case <-ctx.Done():
			return nil, b, ctx.Err()
		}
	}
}

// Bounds returns the offset range of the topic.
func (s *Store) Bounds(ctx context.Context, name string) (Bounds, error) {
	if err := s.applyLatency(ctx); err != nil {
		return Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return Bounds{}, fail("bounds", KindUnavailable, nil)
	}
	return s.bounds(s.topic(name)), nil
}

func (s *Store) read(name string, from uint64, maxBytes int) ([]Record, Bounds, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, Bounds{}, nil, fail("read", KindUnavailable, nil)
	}
	t := s.topic(name)
	if s.retention > 0 {
		t.expireOlderThan(time.Now().Add(-s.retention))
	}
	b := s.bounds(t)
	if from < t.first || from > t.next {
		return nil, b, nil, fail("read", KindGone, nil)
	}
	if from >= t.next {
		return nil, b, t.changed, nil
	}
	recs := t.records[from-t.first:]
	n, size := 1, len(recs[0].Data)
	for n < len(recs) && size+len(recs[n].Data) <= maxBytes {
		size += len(recs[n].Data)
		n++
	}
	return append([]Record(nil), recs[:n]...), b, t.changed, nil
}

func (s *Store) applyLatency(ctx context.Context) error {
	s.mu.Lock()
	d := s.latency
	s.mu.Unlock()
	pause.For(ctx, d)
	return ctx.Err()
}

// takeToken takes a token for one append from the rate limiter.
func (s *Store) takeToken() bool {
	now := time.Now()
	if !s.refilledAt.IsZero() {
		s.tokens = min(s.rate, s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate)
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		if strings.HasPrefix(name, keyedPrefix) {
			t.newest = map[string]keyed{}
		}
		s.topics[name] = t
	}
	return t
}

func (s *Store) bounds(t *topic) Bounds {
	return Bounds{Epoch: s.epoch, First: t.first, Next: t.next}
}

func (t *topic) add(data []byte) {
	r := Record{Offset: t.next, Time: time.Now(), Data: append([]byte(nil), data...)}
	t.records = append(t.records, r)
	t.next++
	if t.newest != nil {
		t.updateNewest(r)
	}
}

// notify wakes the reads that wait for a change of the topic.
func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *topic) expire(before uint64) {
	before = min(before, t.next)
	if before <= t.first {
		return
	}
	t.records = append([]Record(nil), t.records[before-t.first:]...)
	t.first = before
}

func (t *topic) expireOlderThan(cutoff time.Time) {
	before := t.first
	for _, r := range t.records {
		if !r.Time.Before(cutoff) {
			break
		}
		before = r.Offset + 1
	}
	t.expire(before)
}
