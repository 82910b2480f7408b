// Package work runs background tasks on a bounded number of workers.
package work

import (
	"context"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFull is the kind of a task that found no place in the queue.
	KindFull Kind = "queue full"
	// KindClosed is the kind of a task given to a closed pool.
	KindClosed Kind = "closed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("work")

// Pool runs tasks. Its methods may be called from any goroutine. It ends through
// its context and not through pond's Stop, which uses a pool of the whole process.
type Pool struct {
	pool pond.Pool
	stop context.CancelFunc

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a pool with the number of workers and of tasks that may wait.
func New(workers, queue int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		pool: pond.NewPool(workers, pond.WithContext(ctx), pond.WithQueueSize(queue), pond.WithNonBlocking(true)),
		stop: cancel,
	}
}

// Go runs the task when a worker is free. A full queue refuses it.
func (p *Pool) Go(task func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fault.New(&class, "go", KindClosed, nil)
	}
	p.running.Add(1)
	err := p.pool.Go(func() {
		defer p.running.Done()
		task()
	})
	if err != nil {
		p.running.Done()
		return fault.New(&class, "go", KindFull, err)
	}
	return nil
}

// Close takes no more tasks and waits for those that were taken.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.running.Wait()
	p.stop()
}
