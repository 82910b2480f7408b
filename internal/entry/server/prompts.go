package server

import (
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// prefixBlockCounts are the prefix lengths, in blocks, that are tracked in the engines'
// prefix caches, longest first.
var prefixBlockCounts = []int{256, 64, 16, 4}

// startPrompts creates the placer of prompts.
func (s *Server) startPrompts(owner engine.Owner, logger *log.Logger) {
	s.placer = placement.New(owner, s.cfg.FailureDomain, s.fleet, placement.Seams{
		View:    s.store.View,
		Slot:    s.peers.Slot,
		Cached:  s.cachedBlocks,
		Ran:     s.markPrefilled,
		Entries: func() int { return s.peers.InForce(0).Of },
		Metrics: s.metrics.Scope(),
	}, logger)
}

// cachedBlocks returns the number of leading blocks that the engine has probably cached.
func (s *Server) cachedBlocks(upstream string, blocks []uint64) int {
	e := s.fleet.Engine(upstream)
	if e == nil {
		return 0
	}
	for _, n := range prefixBlockCounts {
		if len(blocks) >= n && e.Cached(uint32(blocks[n-1])) {
			return n
		}
	}
	return 0
}

// markPrefilled records that the engine has prefilled the blocks.
func (s *Server) markPrefilled(upstream string, blocks []uint64) {
	e := s.fleet.Engine(upstream)
	if e == nil {
		return
	}
	for _, n := range prefixBlockCounts {
		if len(blocks) >= n {
			e.RecordPrefix(uint32(blocks[n-1]))
		}
	}
}
