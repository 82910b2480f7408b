package server

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configrelay"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configwire"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// configLog is what joins the configuration to the log and to other entries.
type configLog struct {
	client    *logservice.Client
	limiter   *logservice.Limiter // shared by all appenders of the entry
	changes   *logservice.Appender
	snapshots *logservice.Appender
	relay     *configrelay.Relay
	peers     atomic.Pointer[peers]
}

// ConfigLogState is the part of the state dump about the ways to the log.
type ConfigLogState struct {
	Changes   logservice.AppenderState `json:"changes"`
	Snapshots logservice.AppenderState `json:"snapshots"`
	Relay     configrelay.State        `json:"relay"`
}

// startConfig starts what follows and changes the configuration.
func (s *Server) startConfig(logger *log.Logger) {
	c := &s.configLog
	c.client = logservice.NewClient(platform.NewStore(s.cfg.Network, strings.TrimPrefix(s.cfg.LogURL, "http://")))
	c.limiter = logservice.NewLimiter(logservice.DefaultEntryAppends)
	c.changes = logservice.NewAppender(logservice.AppenderConfig{Append: c.client.Appends(resource.Stream), Limiter: c.limiter, RetryFor: configrelay.RetryFor})
	c.snapshots = logservice.NewAppender(logservice.AppenderConfig{Append: c.client.Appends(config.SnapshotStream), Limiter: c.limiter})
	c.relay = configrelay.New(configrelay.Seams{
		Read:   c.client.Reads(resource.Stream),
		Append: c.changes.Append,
		Peers:  s.configPeers,
		Rank:   s.readerRank,
		Do:     s.link.Do,
	})
	s.store = config.NewStore(config.Seams{
		Read:           c.relay.Read,
		Append:         c.relay.Append,
		ReadSnapshots:  c.client.Reads(config.SnapshotStream),
		AppendSnapshot: c.snapshots.Append,
		PeerState:      c.relay.PeerState,
		Rank:           s.writerRank,
	}, config.Settings{Retention: s.cfg.LogRetention}, logger)
	s.link.Handle(configwire.ConfigRelayPathPrefix, configrelay.NewServer(configrelay.ServerSeams{
		Records: s.store.Records,
		State:   s.store.Encoded,
		Append:  func(ctx context.Context, rec []byte) (uint64, error) { return c.changes.Append(ctx, rec) },
		Source:  c.relay.Source,
	}))
}

// joinConfig lets the configuration use what is known of the other entries. Until
// then the seeds are asked.
func (s *Server) joinConfig() { s.configLog.peers.Store(s.peers) }

// configPeers returns the entries that the configuration can be had from.
func (s *Server) configPeers() []configrelay.Peer {
	var out []configrelay.Peer
	if p := s.configLog.peers.Load(); p != nil {
		for _, e := range p.Peers() {
			if e.VM() != s.cfg.VM && e.State() != membership.StateGone {
				out = append(out, configrelay.Peer{VM: e.VM(), Address: e.Address(), Own: e.Domain() == s.cfg.FailureDomain})
			}
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, addr := range s.cfg.Seeds {
		if addr != s.PeerAddr() {
			out = append(out, configrelay.Peer{VM: addr, Address: addr})
		}
	}
	return out
}

// readerRank returns this entry's place among the live ones of its failure domain.
func (s *Server) readerRank() (rank, of int) {
	if p := s.configLog.peers.Load(); p != nil {
		return p.Rank()
	}
	return 0, 1
}

// writerRank returns this entry's place among all live entries: the first ones of
// each failure domain come before the second ones.
func (s *Server) writerRank() (rank, of int) {
	p := s.configLog.peers.Load()
	if p == nil {
		return 0, 1
	}
	rank, of = p.Rank()
	domains, before := 1, 0
	for _, d := range p.node.Summaries() {
		domains++
		if d.GetDomain() < s.cfg.FailureDomain {
			before++
		}
	}
	return rank*domains + before, of * domains
}

func (s *Server) stopConfig() {
	s.configLog.changes.Close()
	s.configLog.snapshots.Close()
	s.store.Close()
	s.configLog.relay.Close()
}

func (c *configLog) state() ConfigLogState {
	return ConfigLogState{Changes: c.changes.State(), Snapshots: c.snapshots.State(), Relay: c.relay.State()}
}
