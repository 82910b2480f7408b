package server

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/weightstore"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/owner"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/rollout"
)

// engineOrders reconciles engines with the declared deployments.
type engineOrders struct {
	appender *logservice.Appender
	follower *logservice.Follower
	tracker  *owner.Tracker
	driver   *rollout.Driver
}

// startEngineOrders starts the components that claim upstreams and send orders to
// their engines.
func (s *Server) startEngineOrders(logger *log.Logger) {
	e := &engineOrders{}
	e.appender = logservice.NewAppender(logservice.AppenderConfig{
		Append:  s.configLog.client.Appends(owner.Stream),
		Limiter: s.configLog.limiter,
	})
	e.tracker = owner.NewTracker(owner.Holder{VM: s.cfg.VM, Incarnation: s.incarnation},
		owner.Seams{Now: time.Now, Append: e.appender.Append}, logger)
	e.follower = logservice.NewFollower(logservice.FollowerConfig{
		Stream: owner.Stream,
		Read:   s.configLog.client.Reads(owner.Stream),
		Fold:   e.tracker.Apply,
		Restore: func(_ context.Context, b logservice.Bounds) (uint64, error) {
			e.tracker.Skip(b.Earliest - 1)
			return b.Earliest - 1, nil
		},
		Log: logger.WithPrefix("owner"),
	})
	e.driver = rollout.New(rollout.Seams{
		Now:         time.Now,
		View:        s.store.View,
		Owns:        func(upstream string) bool { return s.peers.Owns(upstream) && s.engineClient(upstream) != nil },
		State:       s.engineState,
		Order:       s.engineOrder,
		ReserveRead: weightstore.NewClient(s.cfg.Network, s.cfg.WeightStoreURL).Reserve,
		Pause:       rollout.JitteredInterval,
	}, e.tracker, logger)
	s.engines = e
}

var errNoEngine = errors.New("the engine is not configured")

func (s *Server) engineState(ctx context.Context, upstream string) (engine.State, error) {
	c := s.engineClient(upstream)
	if c == nil {
		return engine.State{}, fail("engine state", KindMissing, errNoEngine)
	}
	return c.State(ctx)
}

func (s *Server) engineOrder(ctx context.Context, upstream string, o engine.Order) error {
	c := s.engineClient(upstream)
	if c == nil {
		return fail("engine order", KindMissing, errNoEngine)
	}
	return c.Order(ctx, o)
}

func (s *Server) stopEngineOrders() {
	s.engines.driver.Close()
	s.engines.appender.Close()
	s.engines.follower.Close()
}
