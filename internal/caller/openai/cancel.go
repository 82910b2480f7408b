package openai

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	cancelCallTimeout      = 2 * time.Second // time limit of one call
	cancelMinBackoff       = 100 * time.Millisecond
	cancelMaxBackoff       = 2 * time.Second
	cancelGiveUpAfter      = 2 * time.Minute
	cancelWorkersPerEngine = 8     // concurrent calls to one engine
	maxPendingCancels      = 16384 // unconfirmed cancels of all engines
	cancelDrainTimeout     = 3 * time.Second
	// cancelReleaseAfter is how long a run's other resources, such as memory at a
	// group's engines, stay held while its engine does not confirm the cancel.
	cancelReleaseAfter = 5 * time.Second
)

// cancelJob is a stream to be cancelled at its engine.
type cancelJob struct {
	engine   string
	stream   string
	call     func(ctx context.Context) error
	done     func() // called once, on confirmation, after cancelReleaseAfter or when given up
	since    time.Time
	released bool // done was called before the confirmation
}

// canceller retries cancels until the engine confirms them. Each engine has its own
// queue, so that a slow one does not delay others. Streams whose cancel is given up
// are left to the orphan collector.
type canceller struct {
	log     *log.Logger
	metrics tally.Scope
	closing chan struct{}

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
	return &canceller{log: logger, metrics: metrics, closing: make(chan struct{}), engines: map[string]*cancelQueue{}, delayed: map[*cancelJob]*time.Timer{}}
}

// add queues a job whose first call is made after the delay. A job above
// maxPendingCancels, or after close, is given up at once.
func (c *canceller) add(j *cancelJob, delay time.Duration) {
	j.since = time.Now()
	j.done = sync.OnceFunc(j.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.waiting >= maxPendingCancels {
		c.giveUp(j)
		return
	}
	c.waiting++
	if delay > 0 {
		c.delayed[j] = time.AfterFunc(delay, func() { c.enqueueDelayed(j) })
		return
	}
	c.enqueue(j)
}

func (c *canceller) enqueueDelayed(j *cancelJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.delayed[j]; !ok {
		return
	}
	delete(c.delayed, j)
	c.enqueue(j)
}

// enqueue appends a job to its engine's queue. The caller must hold mu.
func (c *canceller) enqueue(j *cancelJob) {
	q := c.engines[j.engine]
	if q == nil {
		q = &cancelQueue{}
		c.engines[j.engine] = q
	}
	q.jobs = append(q.jobs, j)
	if q.workers < cancelWorkersPerEngine {
		q.workers++
		c.workers.Add(1)
		go c.work(j.engine, q)
	}
}

// giveUp counts and releases a job that is not retried. The caller must hold mu.
func (c *canceller) giveUp(j *cancelJob) {
	c.givenUp++
	c.metrics.Counter("cancels_given_up").Inc(1)
	go j.done() // it may block on calls to the engines of a group
}

func (c *canceller) work(name string, q *cancelQueue) {
	defer c.workers.Done()
	for {
		j, pause := c.dequeue(name, q)
		if j == nil {
			return
		}
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-c.closing: // make one last call without the backoff
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelCallTimeout)
		err := j.call(ctx)
		cancel()
		c.finishJob(q, j, err)
	}
}

func (c *canceller) dequeue(name string, q *cancelQueue) (*cancelJob, time.Duration) {
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

func (c *canceller) finishJob(q *cancelQueue, j *cancelJob, err error) {
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
	case c.closed || took > cancelGiveUpAfter:
		c.waiting--
		c.giveUp(j)
		c.log.Warn("An engine did not confirm a cancel.", "engine", j.engine, "stream", j.stream, "err", err)
	default:
		if took > cancelReleaseAfter && !j.released {
			j.released = true
			go j.done()
		}
		q.backoff = min(max(2*q.backoff, cancelMinBackoff), cancelMaxBackoff)
		q.jobs = append(q.jobs, j)
	}
}

// close calls the engines of all unconfirmed cancels once more, without delay, and
// waits up to cancelDrainTimeout.
func (c *canceller) close() {
	c.mu.Lock()
	c.closed = true
	for j, timer := range c.delayed {
		timer.Stop()
		c.enqueue(j)
	}
	clear(c.delayed)
	c.mu.Unlock()
	close(c.closing)
	ended := make(chan struct{})
	go func() {
		c.workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(cancelDrainTimeout):
	}
}

// CancelState is the canceller's part of the state dump.
type CancelState struct {
	Waiting int   `json:"waiting"` // not yet confirmed by an engine
	GivenUp int64 `json:"givenUp"` // left to the orphan collector
}

func (c *canceller) state() CancelState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CancelState{Waiting: c.waiting, GivenUp: c.givenUp}
}
