package executor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	testWindow = 10 * time.Minute
	logLatency = 4 * time.Millisecond // one way
	answerWait = time.Second          // until a lost answer is noticed
)

// world is a log, a desk and entries in virtual time.
type world struct {
	mu      sync.Mutex
	changed chan struct{}
	streams [ledger.Streams]logStream
	outage  bool
	lose    int             // appends that take effect without an answer
	late    []time.Duration // appends without an answer that take effect after that time
	desk    deskMode
	// deskTime is the time from the execution to the answer.
	deskTime time.Duration
	byKey    map[uuid.UUID][]execution
	nodes    []*node
	faults   []string
	made     uint64 // incarnations
	appends  int
}

type logStream struct {
	records  []logservice.Record
	earliest uint64
}

func (s *logStream) next() uint64 { return s.earliest + uint64(len(s.records)) }

type deskMode int

const (
	deskAnswers deskMode = iota
	deskRefuses          // no connection
	deskLoses            // executes, no answer
	deskDies             // reads the order, does not execute it, no answer
	deskModes
)

type execution struct {
	body   int
	answer string
	call   *call
}

// call is one call of a caller, and what it was told.
type call struct {
	key      uuid.UUID
	body     int
	executed bool
	told     bool
	answer   string
	err      error
}

func newWorld(entries int) *world {
	w := &world{changed: make(chan struct{}), byKey: map[uuid.UUID][]execution{}}
	for i := range w.streams {
		w.streams[i].earliest = 1
	}
	for i := range entries {
		w.nodes = append(w.nodes, w.start(i, 0))
	}
	return w
}

// set changes the world and wakes what waits on it.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.wake()
}

func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) violate(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// node is an entry.
type node struct {
	w           *world
	x           *executor.Executor
	ctx         context.Context
	kill        context.CancelFunc
	followers   sync.WaitGroup
	cut         bool          // off from the log
	deaf        bool          // reads nothing of the log, but can append
	skew        time.Duration // of its clock
	pausedUntil time.Time
	atEnd       [ledger.Streams]bool
	appenders   [ledger.Streams]*logservice.Appender // set where appends are grouped
}

func (w *world) start(i int, skew time.Duration) *node {
	w.made++
	n := &node{w: w, skew: skew}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.x = executor.New(fmt.Sprintf("entry-%d", i), w.made, testWindow, executor.Seams{
		Now:    n.now,
		Append: n.append,
		AtEnd:  n.isAtEnd,
		Fetch:  n.fetch,
	}, log.New(io.Discard))
	for s := range w.streams {
		n.followers.Go(func() { n.follow(s) })
	}
	return n
}

// stop ends the entry at once. It does nothing more that others could see.
func (n *node) stop() {
	n.kill()
	n.followers.Wait()
	for _, a := range n.appenders {
		if a != nil {
			a.Close()
		}
	}
	n.x.Close()
}

func (n *node) now() time.Time {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return time.Now().Add(n.skew)
}

func (n *node) isAtEnd(stream int) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.atEnd[stream]
}

// gate waits while the entry is paused and reports whether it is alive.
func (n *node) gate() bool {
	for {
		n.w.mu.Lock()
		d := time.Until(n.pausedUntil)
		n.w.mu.Unlock()
		if d <= 0 {
			return n.ctx.Err() == nil
		}
		select {
		case <-time.After(d):
		case <-n.ctx.Done():
			return false
		}
	}
}

// rest lets time pass at the entry, and a pause.
func (n *node) rest(d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
	return n.gate()
}

var testClass = errs.Class("test")

func logError(kind logservice.Kind) error { return fault.New(&testClass, "append", kind, nil) }

func (n *node) append(ctx context.Context, stream int, record []byte) (uint64, error) {
	if a := n.appenders[stream]; a != nil {
		return a.Append(ctx, record)
	}
	if !n.rest(logLatency) || ctx.Err() != nil {
		return 0, logError(logservice.KindUnavailable)
	}
	offset, wait, err := n.w.take(n, stream, record)
	if !n.rest(max(wait, logLatency)) && err == nil {
		err = logError(logservice.KindUnknown)
	}
	return offset, err
}

// take appends, unless a fault is set.
func (w *world) take(n *node, stream int, record []byte) (uint64, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage || n.cut {
		return 0, 0, logError(logservice.KindUnavailable)
	}
	if len(w.late) > 0 {
		d := w.late[0]
		w.late = w.late[1:]
		time.AfterFunc(d, func() { w.set(func() { w.put(stream, record) }) })
		return 0, answerWait, logError(logservice.KindUnknown)
	}
	offset := w.put(stream, record)
	w.wake()
	if w.lose > 0 {
		w.lose--
		return 0, answerWait, logError(logservice.KindUnknown)
	}
	return offset, 0, nil
}

func (w *world) put(stream int, record []byte) uint64 {
	s := &w.streams[stream]
	offset := s.next()
	s.records = append(s.records, logservice.Record{Offset: offset, Time: time.Now(), Data: record})
	w.appends++
	return offset
}

// expire drops the records that are older than the age.
func (w *world) expire(age time.Duration) {
	for i := range w.streams {
		s := &w.streams[i]
		for len(s.records) > 0 && time.Since(s.records[0].Time) > age {
			s.records = s.records[1:]
			s.earliest++
		}
	}
}

func (n *node) fetch(_ context.Context, stream int, offset uint64) ([]byte, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	s := &n.w.streams[stream]
	if n.w.outage || n.cut || offset < s.earliest || offset >= s.next() {
		return nil, logError(logservice.KindUnavailable)
	}
	return s.records[offset-s.earliest].Data, nil
}

// follow feeds the records of a stream to the entry.
func (n *node) follow(stream int) {
	applied := uint64(0)
	for n.gate() {
		n.w.mu.Lock()
		s, changed := &n.w.streams[stream], n.w.changed
		readable := !n.w.outage && !n.cut && !n.deaf
		var recs []logservice.Record
		if readable && applied+1 < s.earliest {
			applied = s.earliest - 1
			n.w.mu.Unlock()
			n.x.Skip(stream, applied)
			continue
		}
		if readable {
			recs = append(recs, s.records[applied+1-s.earliest:]...)
			n.atEnd[stream] = n.atEnd[stream] || len(recs) == 0
		}
		n.w.mu.Unlock()
		if len(recs) > 0 {
			if n.rest(logLatency) {
				n.x.Apply(stream, recs)
				applied = recs[len(recs)-1].Offset
			}
			continue
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
		}
	}
}

// place makes a call at the entry and notes what it is told.
func (n *node) place(c *call, patience time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, patience)
	defer cancel()
	if !n.gate() {
		return
	}
	o := executor.Order{Workspace: "guild", Key: c.key, Fingerprint: ledger.FingerprintOf([]byte{byte(c.body)})}
	answer, err := n.x.Run(ctx, o, func(ctx context.Context) (*ledger.StoredAnswer, bool, error) { return n.send(ctx, c) })
	if !n.gate() {
		return // the entry died: the caller was told nothing
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	c.told, c.err = true, err
	if err == nil {
		c.answer = string(answer.Body)
	}
}

var errNoAnswer = errors.New("no answer")

func (n *node) send(ctx context.Context, c *call) (*ledger.StoredAnswer, bool, error) {
	if !n.rest(logLatency) {
		return nil, true, errNoAnswer
	}
	answer, sent, err := n.w.execute(c)
	if err != nil && sent {
		<-ctx.Done()
	}
	if !n.rest(n.w.serviceTime()) {
		return nil, true, errNoAnswer
	}
	return answer, sent, err
}

func (w *world) serviceTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return logLatency + w.deskTime
}

func (w *world) execute(c *call) (*ledger.StoredAnswer, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.desk {
	case deskRefuses:
		return nil, false, errNoAnswer
	case deskDies:
		return nil, true, errNoAnswer
	}
	e := execution{body: c.body, answer: fmt.Sprintf("order %d of %s", len(w.byKey[c.key])+1, c.key), call: c}
	w.byKey[c.key] = append(w.byKey[c.key], e)
	c.executed = true
	if n := len(w.byKey[c.key]); n > 1 {
		w.violate("%s was executed %d times", c.key, n)
	}
	if w.desk == deskLoses {
		return nil, true, errNoAnswer
	}
	return &ledger.StoredAnswer{Status: 201, Body: []byte(e.answer)}, true, nil
}
