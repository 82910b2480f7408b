package server

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// leaveNotice is how long a leaving entry still accepts requests, so that callers
	// can learn that it leaves before it rejects them.
	leaveNotice = 2 * time.Second
	// handoverTimeout bounds the wait for streams to deliver the error that tells callers
	// to resume at another entry.
	handoverTimeout   = 3 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// Shutdown stops the entry gracefully. It accepts requests for leaveNotice,
// then rejects new ones and waits up to the drain limit, or until ctx ends, for those
// in progress. Callers of streams still open then are told to resume at another entry.
// It returns an error of KindDrain if requests were still in progress at that point.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	s.peers.leave()
	s.log.Info("Leaving.", "in_progress", s.inFlight.Load(), "drain", s.cfg.Drain)
	pause.For(ctx, leaveNotice)
	s.refusing.Store(true)
	s.drain(ctx, s.cfg.Drain)
	left := s.inFlight.Load()
	handedOver := 0
	if left > 0 {
		handedOver = s.openai.Handover()
		s.drain(context.WithoutCancel(ctx), handoverTimeout)
	}
	cut := s.inFlight.Load()
	s.stop()
	if left > 0 {
		s.log.Warn("Stopped with requests in progress.", "left", left, "handed_over", handedOver, "cut", cut)
		return fail("shutdown", KindDrain, fmt.Errorf("%d requests in progress: %d handed over, %d cut", left, handedOver, cut))
	}
	s.log.Info("Stopped with nothing in progress.")
	return nil
}

// drain waits until no request is in progress, the limit passes or ctx ends.
func (s *Server) drain(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
}
