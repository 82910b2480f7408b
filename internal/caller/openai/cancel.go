package openai

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	cancelCall     = 2 * time.Second // time limit of one call
	cancelBackoff  = 100 * time.Millisecond
	cancelSlowest  = 2 * time.Second
	cancelGiveUp   = 2 * time.Minute
	cancelWorkers  = 8     // calls at once to one engine
	maxCancels     = 16384 // cancels that are not confirmed, in all
	cancelsOnClose = 3 * time.Second
	// releaseAfter is how long what a run held elsewhere stays held while its
	// engine confirms no cancel.
	releaseAfter = 5 * time.Second
)

// cancelJob is a stream that an engine has to end.
type cancelJob struct {
	engine string
	stream string
	call   func(ctx context.Context) error
	done   func() // called once: the engine has confirmed, or it takes too long
	since  time.Time
	freed  bool // done was called before the engine confirmed
}

// canceller repeats cancels until the engine confirms them. The cancels of one
// engine wait for no other engine. What it gives up the orphan collection finds.
type canceller struct {
	log     *log.Logger
	metrics tally.Scope
	done    chan struct{}

	mu       sync.Mutex
	engines  map[string]*cancelQueue
	delayed  map[*cancelJob]*time.Timer
	waiting  int
	givenUp  int64
	lastTook time.Duration
	closed   bool
	workers  sync.WaitGroup
}

type cancelQueue struct {
	jobs    []*cancelJob
	workers int
	backoff time.Duration
}

func newCanceller(metrics tally.Scope, logger *log.Logger) *canceller {
	return &canceller{log: logger, metrics: metrics, done: make(chan struct{}), engines: map[string]*cancelQueue{}, delayed: map[*cancelJob]*time.Timer{}}
}

// add takes a job whose first call is made after the delay. A job over the bound
// is given up at once.
func (c *canceller) add(j *cancelJob, delay time.Duration) {
	j.since = time.Now()
	j.done = sync.OnceFunc(j.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.waiting >= maxCancels {
		c.giveUp(j)
		return
	}
	c.waiting++
	if delay > 0 {
		c.delayed[j] = time.AfterFunc(delay, func() { c.due(j) })
		return
	}
	c.enqueue(j)
}

func (c *canceller) due(j *cancelJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.delayed[j]; !ok {
		return
	}
	delete(c.delayed, j)
	c.enqueue(j)
}

// enqueue needs the lock.
func (c *canceller) enqueue(j *cancelJob) {
	q := c.engines[j.engine]
	if q == nil {
		q = &cancelQueue{}
		c.engines[j.engine] = q
	}
	q.jobs = append(q.jobs, j)
	if q.workers < cancelWorkers {
		q.workers++
		c.workers.Add(1)
		go c.work(j.engine, q)
	}
}

// giveUp needs the lock.
func (c *canceller) giveUp(j *cancelJob) {
	c.givenUp++
	c.metrics.Counter("cancels_given_up").Inc(1)
	go j.done() // it may call the engines of a group
}

func (c *canceller) work(name string, q *cancelQueue) {
	defer c.workers.Done()
	for {
		j, pause := c.take(name, q)
		if j == nil {
			return
		}
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-c.done: // one last call
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelCall)
		err := j.call(ctx)
		cancel()
		c.settle(q, j, err)
	}
}

func (c *canceller) take(name string, q *cancelQueue) (*cancelJob, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q.jobs) == 0 {
		q.workers--
		if q.workers == 0 {
			delete(c.engines, name)
		}
		return nil, 0
	}
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	return j, q.backoff
}

func (c *canceller) settle(q *cancelQueue, j *cancelJob, err error) {
	took := time.Since(j.since)
	if err == nil {
		j.done()
		c.metrics.Timer("cancel").Record(took)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.waiting--
		c.lastTook = took
		q.backoff = 0
	case c.closed || took > cancelGiveUp:
		c.waiting--
		c.giveUp(j)
		c.log.Warn("An engine did not confirm a cancel.", "engine", j.engine, "stream", j.stream, "err", err)
	default:
		if took > releaseAfter && !j.freed {
			j.freed = true
			go j.done()
		}
		q.backoff = min(max(2*q.backoff, cancelBackoff), cancelSlowest)
		q.jobs = append(q.jobs, j)
	}
}

// close waits a bounded time for what is not confirmed.
func (c *canceller) close() {
	c.mu.Lock()
	c.closed = true
	for j, timer := range c.delayed {
		timer.Stop()
		c.enqueue(j)
	}
	clear(c.delayed)
	c.mu.Unlock()
	close(c.done)
	ended := make(chan struct{})
	go func() {
		c.workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(cancelsOnClose):
	}
}

// CancelState is the cancels' part of the state dump.
type CancelState struct {
	Waiting int   `json:"waiting"` // not confirmed by an engine
	GivenUp int64 `json:"givenUp"` // left to the collection of orphans
}

func (c *canceller) state() CancelState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CancelState{Waiting: c.waiting, GivenUp: c.givenUp}
}
