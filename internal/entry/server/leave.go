package server

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
)

const (
	// acceptWhileLeaving is how long a leaving entry takes new work, until callers know.
	acceptWhileLeaving = 2 * time.Second
	// handoverTime is how long callers have to take the word that they resume elsewhere.
	handoverTime = 3 * time.Second
	drainPoll    = 50 * time.Millisecond
)

// Shutdown leaves: it takes new work for a little longer, then refuses it,
// finishes what runs within the drain limit, and stops. Callers whose answers are
// not whole by then, or when ctx ends, are told to resume them at another entry.
// It returns an error of KindDrain where there were such callers.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	s.peers.leave()
	s.log.Info("Leaving.", "in_progress", s.busy.Load(), "drain", s.cfg.Drain)
	pause.For(ctx, acceptWhileLeaving)
	s.refusing.Store(true)
	s.drain(ctx, s.cfg.Drain)
	left := s.busy.Load()
	handed := 0
	if left > 0 {
		handed = s.openai.Handover()
		s.drain(context.WithoutCancel(ctx), handoverTime)
	}
	cut := s.busy.Load()
	s.stop()
	if left > 0 {
		s.log.Warn("Stopped with requests in progress.", "left", left, "handed_over", handed, "cut", cut)
		return fail("shutdown", KindDrain, fmt.Errorf("%d requests in progress: %d handed over, %d cut", left, handed, cut))
	}
	s.log.Info("Stopped with nothing in progress.")
	return nil
}

// drain waits until nothing is in progress, the limit passes or ctx ends.
func (s *Server) drain(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for s.busy.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
}
