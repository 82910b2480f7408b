package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// holdFor is how long memory is set aside at a time: an entry that dies leaves it
	// unused no longer than engines may keep it.
	holdFor = 3500 * time.Millisecond
	// holdRenew leaves two tries before the hold is over.
	holdRenew = 1200 * time.Millisecond
	// orderLimit bounds an order's answer, which takes a few milliseconds.
	orderLimit = 500 * time.Millisecond
	// holdRetry is about a pass: sooner an engine has no more memory free.
	holdRetry = 60 * time.Millisecond
	// releaseTries bounds the tries to give memory back; then the hold runs out.
	releaseTries = 4
)

// held is memory that is set aside for a prompt at several engines.
type held struct {
	s      *Server
	id     string // of the request
	writer string // address of the engine that it is sent to
	list   []platform.Reservation
	heard  atomic.Bool // something came from the writer since the last renewal
	stop   context.CancelFunc
	done   chan struct{}
}

// reserve sets memory aside at all engines, or at none.
func (s *Server) reserve(ctx context.Context, id, writer string, list []platform.Reservation) (*held, error) {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, r := range list {
		wg.Go(func() { errs[i] = s.engines.Reserve(ctx, r, holdFor, orderLimit) })
	}
	wg.Wait()
	s.holds.Add(1)
	own, cancel := context.WithCancel(context.Background())
	h := &held{s: s, id: id, writer: writer, list: list, stop: cancel, done: make(chan struct{})}
	if err := errors.Join(errs...); err != nil {
		close(h.done)
		h.release()
		s.log.Warn("Memory was not set aside.", "id", id, "engines", len(list), "err", err)
		return nil, fail("reserve", KindHold, err)
	}
	s.log.Info("Memory is set aside.", "id", id, "engines", len(list))
	go h.renew(own)
	return h, nil
}

// renew keeps the memory until it is released. It lets it run out where nothing comes from
// the engine that writes and that can't be connected to: it may be gone without notice.
func (h *held) renew(ctx context.Context) {
	defer close(h.done)
	t := time.NewTicker(holdRenew)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if !h.heard.Swap(false) && !h.s.reach.Try(ctx, h.writer) {
			h.s.log.Warn("Memory is not renewed: the engine that writes can't be connected to.", "id", h.id, "address", h.writer)
			return
		}
		for _, r := range h.list {
			if err := h.s.engines.Reserve(ctx, r, holdFor, orderLimit); err != nil && ctx.Err() == nil {
				h.s.log.Warn("Memory was not renewed.", "id", h.id, "engine", r.Instance, "err", err)
			}
		}
	}
}

// release gives the memory back in the background.
func (h *held) release() {
	h.stop()
	h.s.parts.Go(func() {
		defer h.s.holds.Add(-1)
		<-h.done
		for _, r := range h.list {
			h.releaseOne(r)
		}
	})
}

func (h *held) releaseOne(r platform.Reservation) {
	for range releaseTries {
		err := h.s.engines.Release(context.Background(), r, orderLimit)
		if err == nil {
			return
		}
		h.s.log.Warn("Memory was not given back.", "id", h.id, "engine", r.Instance, "err", err)
		time.Sleep(holdRetry)
	}
}
