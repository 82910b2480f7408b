// Package store stands in for the platform's store: topics of records with offsets,
// keyed topics, long reads, retention and trimming, and ways to fail: outage, delay,
// rate limit, answers that are lost, a new epoch.
// It keeps everything in memory; Handler serves the published calls over HTTP.
package store

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// DefaultAppendsPerSecond is the rate limit over all topics.
	DefaultAppendsPerSecond = 400
	// maxWait is the longest time that a read waits for a record.
	maxWait = 30 * time.Second
	// keyedPrefix begins the names of topics that keep the newest record of each key.
	keyedPrefix = "keyed."
)

// Record is one record of a topic.
type Record struct {
	Offset uint64
	Time   time.Time // when it was appended; not told over HTTP
	Data   []byte
}

// Bounds are the ends of a topic. First is the first offset still kept and Next the
// offset of the next record. Offsets start at 0.
type Bounds struct {
	Epoch string // changes with Reset; not told over HTTP
	First uint64
	Next  uint64
}

// Store is the platform's store. All its methods may be called from any goroutine.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	epoch    string
	outage   bool
	delay    time.Duration
	loseNext int
	rate     float64
	credit   float64
	credited time.Time
	appends  uint64
	calls    int
	keep     time.Duration
}

type topic struct {
	records []Record
	newest  map[string]keyed // of a keyed topic
	first   uint64
	next    uint64
	grown   chan struct{}
}

// New returns an empty store that keeps every record.
func New() *Store {
	return &Store{
		topics: map[string]*topic{},
		epoch:  "1",
		rate:   DefaultAppendsPerSecond,
		credit: DefaultAppendsPerSecond,
	}
}

// SetOutage makes every call fail until it is called with false.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, t := range s.topics {
		t.wake()
	}
}

// SetDelay makes every call take at least d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetRate sets the appends allowed a second over all topics.
func (s *Store) SetRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate, s.credit = perSecond, perSecond
}

// SetRetention sets how long a record is kept. Zero keeps every record.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = d
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Expire drops the records of the topic before the offset.
func (s *Store) Expire(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).expire(before)
}

// Trim drops all records of the topic; a keyed one keeps the newest of each key.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.expire(t.next)
	t.wake()
}

// Reset drops all topics and starts a new epoch, as a restored store would.
func (s *Store) Reset(epoch string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.topics
	s.topics, s.epoch = map[string]*topic{}, epoch
	for _, t := range old {
		t.wake()
	}
}

// Appends returns the number of append calls that took effect.
func (s *Store) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Calls returns how many calls came over HTTP.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Append adds the records as one group and returns the offset of the first.
func (s *Store) Append(ctx context.Context, name string, data [][]byte) (first uint64, b Bounds, err error) {
	if err := s.wait(ctx); err != nil {
		return 0, Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 0, Bounds{}, fail("append", KindUnavailable, nil)
	}
	if !s.take() {
		return 0, Bounds{}, fail("append", KindRateLimited, nil)
	}
	t := s.topic(name)
	first = t.next
	for _, d := range data {
		t.add(d)
	}
	s.appends++
	t.wake()
	if s.loseNext > 0 {
		s.loseNext--
		return 0, Bounds{}, fail("append", KindAnswerLost, nil)
	}
	return first, s.bounds(t), nil
}

// Read returns records from the offset on, at most so many bytes of them but for the
// first. With none there it waits up to wait for one and may then return none.
func (s *Store) Read(ctx context.Context, name string, from uint64, most int, wait time.Duration) ([]Record, Bounds, error) {
	if err := s.wait(ctx); err != nil {
		return nil, Bounds{}, err
	}
	end, stop := pause.Limit(min(wait, maxWait))
	defer stop()
	for {
		recs, b, grown, err := s.read(name, from, most)
		if err != nil || len(recs) > 0 || wait <= 0 {
			return recs, b, err
		}
		select {
		case <-grown:
		case <-end:
			return nil, b, nil
		case <-ctx.Done():
			return nil, b, ctx.Err()
		}
	}
}

// Bounds returns the ends of the topic.
func (s *Store) Bounds(ctx context.Context, name string) (Bounds, error) {
	if err := s.wait(ctx); err != nil {
		return Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return Bounds{}, fail("bounds", KindUnavailable, nil)
	}
	return s.bounds(s.topic(name)), nil
}

func (s *Store) read(name string, from uint64, most int) ([]Record, Bounds, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, Bounds{}, nil, fail("read", KindUnavailable, nil)
	}
	t := s.topic(name)
	if s.keep > 0 {
		t.expireOlder(time.Now().Add(-s.keep))
	}
	b := s.bounds(t)
	if from < t.first {
		return nil, b, nil, fail("read", KindGone, nil)
	}
	if from >= t.next {
		return nil, b, t.grown, nil
	}
	recs := t.records[from-t.first:]
	n, size := 1, len(recs[0].Data)
	for n < len(recs) && size+len(recs[n].Data) <= most {
		size += len(recs[n].Data)
		n++
	}
	return append([]Record(nil), recs[:n]...), b, t.grown, nil
}

func (s *Store) wait(ctx context.Context) error {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	pause.For(ctx, d)
	return ctx.Err()
}

// take spends one append of the rate limit.
func (s *Store) take() bool {
	now := time.Now()
	if !s.credited.IsZero() {
		s.credit = min(s.rate, s.credit+now.Sub(s.credited).Seconds()*s.rate)
	}
	s.credited = now
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{grown: make(chan struct{})}
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
		t.note(r)
	}
}

func (t *topic) wake() {
	close(t.grown)
	t.grown = make(chan struct{})
}

func (t *topic) expire(before uint64) {
	before = min(before, t.next)
	if before <= t.first {
		return
	}
	t.records = append([]Record(nil), t.records[before-t.first:]...)
	t.first = before
}

func (t *topic) expireOlder(at time.Time) {
	before := t.first
	for _, r := range t.records {
		if !r.Time.Before(at) {
			break
		}
		before = r.Offset + 1
	}
	t.expire(before)
}
