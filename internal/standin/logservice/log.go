// Package logservice is a stand-in for the platform's append-only log service.
// It keeps records in memory and has switches for outage, delay, lost answers,
// expired records and a new epoch.
package logservice

import (
	"context"
	"sync"
	"time"
)

const (
	// DefaultAppendsPerSecond is the rate limit over all streams.
	DefaultAppendsPerSecond = 400
	// MaxRead is the largest number of records that one read returns.
	MaxRead = 1000
	// MaxWait is the longest time that a read waits for a record.
	MaxWait = 30 * time.Second
)

// Record is one record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Bounds are the ends of a stream. Earliest is the first offset still kept
// and Next the offset of the next record. Offsets start at 1.
type Bounds struct {
	Epoch    string `json:"epoch"`
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// Log is the log service. All its methods may be called from any goroutine.
type Log struct {
	mu       sync.Mutex
	streams  map[string]*stream
	epoch    string
	outage   bool
	delay    time.Duration
	loseNext int
	rate     float64
	credit   float64
	credited time.Time
	appends  uint64
	keep     time.Duration
}

type stream struct {
	records  []Record
	earliest uint64
	next     uint64
	grown    chan struct{}
}

// NewLog returns an empty log that keeps every record.
func NewLog() *Log {
	return &Log{
		streams: map[string]*stream{},
		epoch:   "1",
		rate:    DefaultAppendsPerSecond,
		credit:  DefaultAppendsPerSecond,
	}
}

// SetOutage makes every call fail until it is called with false.
func (l *Log) SetOutage(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = down
	for _, s := range l.streams {
		s.wake()
	}
}

// SetDelay makes every call take at least d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetRate sets the appends allowed a second over all streams.
func (l *Log) SetRate(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.credit = perSecond, perSecond
}

// SetRetention sets how long a record is kept. Zero keeps every record.
func (l *Log) SetRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = d
}

// LoseAnswers makes the next n appends take effect without an answer.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseNext = n
}

// Expire drops the records of the stream before the offset.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).expire(before)
}

// Reset drops all streams and starts a new epoch, as a restored service would.
func (l *Log) Reset(epoch string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.streams
	l.streams, l.epoch = map[string]*stream{}, epoch
	for _, s := range old {
		s.wake()
	}
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds the records as one group and returns the offset of the first.
func (l *Log) Append(ctx context.Context, name string, data [][]byte) (first uint64, b Bounds, err error) {
	if err := l.wait(ctx); err != nil {
		return 0, Bounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, Bounds{}, fail("append", KindUnavailable, nil)
	}
	if !l.take() {
		return 0, Bounds{}, fail("append", KindRateLimited, nil)
	}
	s := l.stream(name)
	first = s.next
	for _, d := range data {
		s.records = append(s.records, Record{Offset: s.next, Time: time.Now(), Data: append([]byte(nil), d...)})
		s.next++
	}
	l.appends++
	s.wake()
	if l.loseNext > 0 {
		l.loseNext--
		return 0, Bounds{}, fail("append", KindAnswerLost, nil)
	}
	return first, l.bounds(s), nil
}

// Read returns up to max records from the offset on. With none there it waits
// up to wait for one and may then return none.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) ([]Record, Bounds, error) {
	if err := l.wait(ctx); err != nil {
		return nil, Bounds{}, err
	}
	limit = min(max(limit, 1), MaxRead)
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		recs, b, grown, err := l.read(name, from, limit)
		if err != nil || len(recs) > 0 {
			return recs, b, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil, b, nil
		case <-ctx.Done():
			return nil, b, ctx.Err()
		}
	}
}

// Bounds returns the ends of the stream.
func (l *Log) Bounds(ctx context.Context, name string) (Bounds, error) {
	if err := l.wait(ctx); err != nil {
		return Bounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return Bounds{}, fail("bounds", KindUnavailable, nil)
	}
	return l.bounds(l.stream(name)), nil
}

func (l *Log) read(name string, from uint64, limit int) ([]Record, Bounds, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, Bounds{}, nil, fail("read", KindUnavailable, nil)
	}
	s := l.stream(name)
	if l.keep > 0 {
		s.expireOlder(time.Now().Add(-l.keep))
	}
	b := l.bounds(s)
	if from < s.earliest {
		return nil, b, nil, fail("read", KindGone, nil)
	}
	if from >= s.next {
		return nil, b, s.grown, nil
	}
	i := int(from - s.earliest)
	n := min(limit, len(s.records)-i)
	return append([]Record(nil), s.records[i:i+n]...), b, s.grown, nil
}

func (l *Log) wait(ctx context.Context) error {
	l.mu.Lock()
	d := l.delay
	l.mu.Unlock()
	if d == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// take spends one append of the rate limit.
func (l *Log) take() bool {
	now := time.Now()
	if !l.credited.IsZero() {
		l.credit = min(l.rate, l.credit+now.Sub(l.credited).Seconds()*l.rate)
	}
	l.credited = now
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{earliest: 1, next: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) bounds(s *stream) Bounds {
	return Bounds{Epoch: l.epoch, Earliest: s.earliest, Next: s.next}
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *stream) expire(before uint64) {
	before = min(before, s.next)
	if before <= s.earliest {
		return
	}
	s.records = append([]Record(nil), s.records[before-s.earliest:]...)
	s.earliest = before
}

func (s *stream) expireOlder(t time.Time) {
	before := s.earliest
	for _, r := range s.records {
		if !r.Time.Before(t) {
			break
		}
		before = r.Offset + 1
	}
	s.expire(before)
}
