package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// leaseTTL is how long memory is reserved at a time. Memory that a crashed entry reserved is
	// blocked at most for this time, and engines limit how long that may be.
	leaseTTL = 3500 * time.Millisecond
	// leaseRenewInterval leaves time for further attempts, leaseRetryDelay apart, before a lease
	// expires: a sound engine may be silent for a second or so.
	leaseRenewInterval = 1200 * time.Millisecond
	leaseRetryDelay    = 300 * time.Millisecond
	// orderTimeout limits a call to reserve or release memory, which takes a few milliseconds.
	orderTimeout = 500 * time.Millisecond
	// reserveRetryDelay is about an engine pass, since no memory is freed any sooner.
	reserveRetryDelay = 60 * time.Millisecond
	// maxReleaseAttempts limits the attempts to release memory, which then expires.
	maxReleaseAttempts = 4
)

// memoryLease is memory reserved for a prompt at several engines.
type memoryLease struct {
	s            *Server
	id           string // of the request
	writer       string // address of the engine that generates the answer
	reservations []platform.Reservation
	calls        context.Context // of the calls that release memory
	writerActive atomic.Bool     // the writer sent data since the last renewal
	stop         context.CancelFunc
	done         chan struct{}
}

// reserve reserves memory at all engines, or at none of them. Its errors are of KindLease.
func (s *Server) reserve(ctx context.Context, id, writer string, reservations []platform.Reservation) (*memoryLease, error) {
	errs := make([]error, len(reservations))
	var wg sync.WaitGroup
	for i, r := range reservations {
		wg.Go(func() { errs[i] = s.workEngines.Reserve(ctx, r, leaseTTL, orderTimeout) })
	}
	wg.Wait()
	s.leases.Add(1)
	calls := context.WithoutCancel(ctx)
	renewCtx, cancel := context.WithCancel(ctx) // nothing is renewed for a caller that left, also while an answer can't be written
	l := &memoryLease{s: s, id: id, writer: writer, reservations: reservations, calls: calls, stop: cancel, done: make(chan struct{})}
	if err := errors.Join(errs...); err != nil {
		close(l.done)
		l.reservations = nil
		for i, r := range reservations {
			if !takesNothingNew(errs[i]) { // that engine got nothing, and gets nothing new
				l.reservations = append(l.reservations, r)
			}
		}
		l.release()
		s.log.Warn("Could not reserve memory at the engines.", "id", id, "engines", len(reservations), "err", err)
		return nil, fail("reserve", KindLease, err)
	}
	s.log.Info("Reserved memory at the engines.", "id", id, "engines", len(reservations))
	go l.renew(renewCtx)
	return l, nil
}

// renew extends the reservations until release. It lets them expire if the writer sends nothing
// and refuses connections, since it may have disappeared without notice. It may also be silent for
// a moment only, so that it is asked again until then.
func (l *memoryLease) renew(ctx context.Context) {
	defer close(l.done)
	renewedAt := make([]time.Time, len(l.reservations)) // before the call, as the engine counts from its arrival
	for i := range renewedAt {
		renewedAt[i] = time.Now()
	}
	t := time.NewTimer(leaseRenewInterval)
	defer t.Stop()
	unreachable := false
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if hasExpired(renewedAt) {
			l.s.log.Warn("A memory lease expired.", "id", l.id, "address", l.writer, "unreachable", unreachable)
			return
		}
		if !l.writerActive.Swap(false) && !l.s.reach.Try(ctx, l.writer) {
			if !unreachable && ctx.Err() == nil { // repeated attempts are logged once
				l.s.log.Warn("The memory lease is not renewed: the engine that generates the answer is unreachable.", "id", l.id, "address", l.writer)
			}
			unreachable = true
			t.Reset(leaseRetryDelay)
			continue
		}
		unreachable = false
		if l.renewAll(ctx, renewedAt) {
			t.Reset(leaseRenewInterval)
		} else {
			t.Reset(leaseRetryDelay)
		}
	}
}

// hasExpired reports whether a reservation has expired. To renew it would reserve other memory, which
// the request doesn't use.
func hasExpired(renewedAt []time.Time) bool {
	return slices.ContainsFunc(renewedAt, func(at time.Time) bool { return time.Since(at) >= leaseTTL })
}

// renewAll extends the reservations, each on its own, so that a silent engine delays no other one. It
// reports whether all were extended.
func (l *memoryLease) renewAll(ctx context.Context, renewedAt []time.Time) bool {
	var (
		wg     sync.WaitGroup
		failed atomic.Bool
	)
	for i, r := range l.reservations {
		wg.Go(func() {
			sentAt := time.Now()
			if err := l.s.engines.Reserve(ctx, r, leaseTTL, orderTimeout); err != nil {
				failed.Store(true)
				if ctx.Err() == nil {
					l.s.log.Warn("Could not renew a memory reservation.", "id", l.id, "engine", r.Instance, "err", err)
				}
				return
			}
			renewedAt[i] = sentAt
		})
	}
	wg.Wait()
	return !failed.Load()
}

// release releases the memory in the background.
func (l *memoryLease) release() {
	l.stop()
	l.s.tasks.Go(func() {
		defer l.s.leases.Add(-1)
		<-l.done
		for _, r := range l.reservations {
			l.releaseOne(r)
		}
	})
}

func (l *memoryLease) releaseOne(r platform.Reservation) {
	for range maxReleaseAttempts {
		err := l.s.engines.Release(l.calls, r, orderTimeout)
		if err == nil {
			return
		}
		l.s.log.Warn("Could not release a memory reservation.", "id", l.id, "engine", r.Instance, "err", err)
		time.Sleep(reserveRetryDelay)
	}
}
