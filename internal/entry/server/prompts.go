package server

import (
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// startPrompts starts the decisions on prompts.
func (s *Server) startPrompts(owner engine.Owner, logger *log.Logger) {
	s.placer = placement.New(owner, s.cfg.FailureDomain, s.fleet, placement.Seams{
		View:    s.store.View,
		Entries: func() int { return s.peers.InForce(0).Of },
		Metrics: s.metrics.scope,
	}, logger)
}
