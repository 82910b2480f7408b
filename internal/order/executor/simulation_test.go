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
	answerWait = time.Second          // until the caller of an append notices a lost answer
)

// simulation holds a log, a server that executes orders, and entries, all simulated in
// virtual time.
type simulation struct {
	mu          sync.Mutex
	changed     chan struct{}
	streams     [ledger.Streams]logStream
	outage      bool
	loseAnswers int             // number of next appends that take effect without an answer
	lateAppends []time.Duration // delays after which the next appends take effect, without an answer
	server      serverMode
	// serverDelay is the time from the execution to the answer.
	serverDelay  time.Duration
	executions   map[uuid.UUID][]execution
	nodes        []*node
	violations   []string
	incarnations uint64
	appends      int
}

type logStream struct {
	records  []logservice.Record
	earliest uint64
}

func (s *logStream) next() uint64 { return s.earliest + uint64(len(s.records)) }

type serverMode int

const (
	serverAnswers      serverMode = iota
	serverRefuses                 // no connection
	serverLosesAnswers            // executes, no answer
	serverCrashes                 // reads the order, does not execute it, no answer
	serverModes
)

type execution struct {
	body   int
	answer string
	call   *call
}

// call is a caller's call and its result.
type call struct {
	key      uuid.UUID
	body     int
	executed bool
	returned bool
	answer   string
	err      error
}

func newSimulation(entries int) *simulation {
	sim := &simulation{changed: make(chan struct{}), executions: map[uuid.UUID][]execution{}}
	for i := range sim.streams {
		sim.streams[i].earliest = 1
	}
	for i := range entries {
		sim.nodes = append(sim.nodes, sim.start(i, 0))
	}
	return sim
}

// set changes the state under the lock and wakes the followers.
func (sim *simulation) set(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
	sim.notify()
}

func (sim *simulation) notify() {
	close(sim.changed)
	sim.changed = make(chan struct{})
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// node is a simulated entry.
type node struct {
	sim          *simulation
	x            *executor.Executor
	ctx          context.Context
	kill         context.CancelFunc
	followers    sync.WaitGroup
	partitioned  bool          // can't reach the log
	readsBlocked bool          // can append to the log but not read it
	skew         time.Duration // of its clock
	pausedUntil  time.Time
	atEnd        [ledger.Streams]bool
	appenders    [ledger.Streams]*logservice.Appender // nil if appends are not batched
}

func (sim *simulation) start(i int, skew time.Duration) *node {
	sim.incarnations++
	n := &node{sim: sim, skew: skew}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.x = executor.New(fmt.Sprintf("entry-%d", i), sim.incarnations, testWindow, executor.Seams{
		Now:    n.now,
		Append: n.append,
		AtEnd:  n.isAtEnd,
		Fetch:  n.fetch,
	}, log.New(io.Discard))
	for s := range sim.streams {
		n.followers.Go(func() { n.follow(s) })
	}
	return n
}

// stop ends the entry at once, as a crash does: nothing it does later is visible to
// others.
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
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return time.Now().Add(n.skew)
}

func (n *node) isAtEnd(stream int) bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return n.atEnd[stream]
}

// awaitResume waits while the entry is paused and reports whether it still runs.
func (n *node) awaitResume() bool {
	for {
		n.sim.mu.Lock()
		d := time.Until(n.pausedUntil)
		n.sim.mu.Unlock()
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

// sleep waits for the duration and then for the end of a pause. It reports whether
// the entry still runs.
func (n *node) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
	return n.awaitResume()
}

var testClass = errs.Class("test")

func logError(kind logservice.Kind) error { return fault.New(&testClass, "append", kind, nil) }

func (n *node) append(ctx context.Context, stream int, record []byte) (uint64, error) {
	if a := n.appenders[stream]; a != nil {
		return a.Append(ctx, record)
	}
	if !n.sleep(logLatency) || ctx.Err() != nil {
		return 0, logError(logservice.KindUnavailable)
	}
	offset, wait, err := n.sim.tryAppend(n, stream, record)
	if !n.sleep(max(wait, logLatency)) && err == nil {
		err = logError(logservice.KindUnknown)
	}
	return offset, err
}

// tryAppend appends the record or injects the fault that is set. It returns how long
// the answer takes in addition to the latency.
func (sim *simulation) tryAppend(n *node, stream int, record []byte) (uint64, time.Duration, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.outage || n.partitioned {
		return 0, 0, logError(logservice.KindUnavailable)
	}
	if len(sim.lateAppends) > 0 {
		d := sim.lateAppends[0]
		sim.lateAppends = sim.lateAppends[1:]
		time.AfterFunc(d, func() { sim.set(func() { sim.store(stream, record) }) })
		return 0, answerWait, logError(logservice.KindUnknown)
	}
	offset := sim.store(stream, record)
	sim.notify()
	if sim.loseAnswers > 0 {
		sim.loseAnswers--
		return 0, answerWait, logError(logservice.KindUnknown)
	}
	return offset, 0, nil
}

func (sim *simulation) store(stream int, record []byte) uint64 {
	s := &sim.streams[stream]
	offset := s.next()
	s.records = append(s.records, logservice.Record{Offset: offset, Time: time.Now(), Data: record})
	sim.appends++
	return offset
}

// expire deletes the records that are older than the age.
func (sim *simulation) expire(age time.Duration) {
	for i := range sim.streams {
		s := &sim.streams[i]
		for len(s.records) > 0 && time.Since(s.records[0].Time) > age {
			s.records = s.records[1:]
			s.earliest++
		}
	}
}

func (n *node) fetch(_ context.Context, stream int, offset uint64) ([]byte, error) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	s := &n.sim.streams[stream]
	if n.sim.outage || n.partitioned || offset < s.earliest || offset >= s.next() {
		return nil, logError(logservice.KindUnavailable)
	}
	return s.records[offset-s.earliest].Data, nil
}

// follow applies the records of a stream at the entry.
func (n *node) follow(stream int) {
	applied := uint64(0)
	for n.awaitResume() {
		n.sim.mu.Lock()
		s, changed := &n.sim.streams[stream], n.sim.changed
		readable := !n.sim.outage && !n.partitioned && !n.readsBlocked
		var recs []logservice.Record
		if readable && applied+1 < s.earliest {
			applied = s.earliest - 1
			n.sim.mu.Unlock()
			n.x.Skip(stream, applied)
			continue
		}
		if readable {
			recs = append(recs, s.records[applied+1-s.earliest:]...)
			n.atEnd[stream] = n.atEnd[stream] || len(recs) == 0
		}
		n.sim.mu.Unlock()
		if len(recs) > 0 {
			if n.sleep(logLatency) {
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

// submit makes a call at the entry and stores its result.
func (n *node) submit(c *call, patience time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, patience)
	defer cancel()
	if !n.awaitResume() {
		return
	}
	o := executor.Order{Workspace: "guild", Key: c.key, Fingerprint: ledger.FingerprintOf([]byte{byte(c.body)})}
	answer, err := n.x.Run(ctx, o, func(ctx context.Context) (*ledger.StoredAnswer, bool, error) { return n.send(ctx, c) })
	if !n.awaitResume() {
		return // the entry crashed and the caller got no result
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	c.returned, c.err = true, err
	if err == nil {
		c.answer = string(answer.Body)
	}
}

var errNoAnswer = errors.New("no answer")

func (n *node) send(ctx context.Context, c *call) (*ledger.StoredAnswer, bool, error) {
	if !n.sleep(logLatency) {
		return nil, true, errNoAnswer
	}
	answer, sent, err := n.sim.execute(c)
	if err != nil && sent {
		<-ctx.Done()
	}
	if !n.sleep(n.sim.answerDelay()) {
		return nil, true, errNoAnswer
	}
	return answer, sent, err
}

func (sim *simulation) answerDelay() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return logLatency + sim.serverDelay
}

func (sim *simulation) execute(c *call) (*ledger.StoredAnswer, bool, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch sim.server {
	case serverRefuses:
		return nil, false, errNoAnswer
	case serverCrashes:
		return nil, true, errNoAnswer
	}
	e := execution{body: c.body, answer: fmt.Sprintf("order %d of %s", len(sim.executions[c.key])+1, c.key), call: c}
	sim.executions[c.key] = append(sim.executions[c.key], e)
	c.executed = true
	if n := len(sim.executions[c.key]); n > 1 {
		sim.violate("%s was executed %d times", c.key, n)
	}
	if sim.server == serverLosesAnswers {
		return nil, true, errNoAnswer
	}
	return &ledger.StoredAnswer{Status: 201, Body: []byte(e.answer)}, true, nil
}
