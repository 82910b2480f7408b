// Package work provides a worker pool with a bounded queue.
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
	// KindFull means that the queue is full.
	KindFull Kind = "queue full"
	// KindClosed means that the pool is closed.
	KindClosed Kind = "closed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("work")

// Pool runs tasks on its workers. It is safe for concurrent use. It stops by its context
// and not by pond's Stop, which runs on a pool that the whole process shares.
type Pool struct {
	pool pond.Pool
	stop context.CancelFunc

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a pool with the number of workers and the capacity of its queue.
func New(workers, queue int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		pool: pond.NewPool(workers, pond.WithContext(ctx), pond.WithQueueSize(queue), pond.WithNonBlocking(true)),
		stop: cancel,
	}
}

// Go queues the task for the next free worker. It fails with KindFull if the queue is full
// and with KindClosed after Close.
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

// Close rejects further tasks and waits for the accepted ones.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.running.Wait()
	p.stop()
}
