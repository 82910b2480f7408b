package server

import (
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// prefixBlocks are the lengths at which prefixes are remembered, longest first.
var prefixBlocks = []int{256, 64, 16, 4}

// startPrompts starts the decisions on prompts.
func (s *Server) startPrompts(owner engine.Owner, logger *log.Logger) {
	s.placer = placement.New(owner, s.cfg.FailureDomain, s.fleet, placement.Seams{
		View:    s.store.View,
		Slot:    s.peers.Slot,
		Cached:  s.cachedBlocks,
		Ran:     s.ranBlocks,
		Entries: func() int { return s.peers.InForce(0).Of },
		Metrics: s.metrics.Scope(),
	}, logger)
}

// cachedBlocks returns how many leading blocks an engine has likely cached.
func (s *Server) cachedBlocks(upstream string, blocks []uint64) int {
	e := s.fleet.Engine(upstream)
	if e == nil {
		return 0
	}
	for _, n := range prefixBlocks {
		if len(blocks) >= n && e.Cached(uint32(blocks[n-1])) {
			return n
		}
	}
	return 0
}

// ranBlocks notes that an engine has prefilled the blocks.
func (s *Server) ranBlocks(upstream string, blocks []uint64) {
	e := s.fleet.Engine(upstream)
	if e == nil {
		return
	}
	for _, n := range prefixBlocks {
		if len(blocks) >= n {
			e.RecordPrefix(uint32(blocks[n-1]))
		}
	}
}
