package server

import (
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/caller/openai"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

// startStreams starts the completion APIs and the collector of orphaned streams.
func (s *Server) startStreams(owner engine.Owner, logger *log.Logger) {
	s.openai = openai.NewHandler(openai.Seams{
		View: s.store.View, Place: s.placer.Place, Hold: s.trackRequest,
		Engine: s.engineClient, Owner: owner, IDKey: s.cfg.PeerKey,
		Limit: s.peers.Limit,
	}, s.metrics.Scope(), logger)
	s.orphans = orphan.NewCollector(orphan.Seams{
		Self: owner, Engines: s.orphanEngines, Serving: s.openai.Streams,
		Owns: s.peers.Owns, OwnerGone: s.peers.OwnerGone,
	}, s.metrics.Scope(), logger)
	s.orphans.Run()
}

func (s *Server) stopStreams() {
	s.orphans.Close()
	s.openai.Close()
}

// engineClient returns the client of an upstream that has deployments, or nil.
func (s *Server) engineClient(name string) *engine.Client {
	u := s.store.View().Upstream(name)
	e := s.fleet.Engine(name)
	if u == nil || e == nil || len(u.Spec().Deployments) == 0 {
		return nil
	}
	return e.Client()
}

func (s *Server) orphanEngines() []orphan.Engine {
	var out []orphan.Engine
	for _, u := range s.store.View().Upstreams() {
		if c := s.engineClient(u.Name()); c != nil {
			out = append(out, orphan.FromClient(c))
		}
	}
	return out
}
