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

// configLog connects the configuration store to the log service and to the relay
// through other entries.
type configLog struct {
	client    *logservice.Client
	limiter   *logservice.Limiter // shared by all appenders of this entry
	changes   *logservice.Appender
	snapshots *logservice.Appender
	relay     *configrelay.Relay
	peers     atomic.Pointer[peers]
}

// ConfigLogState is the state of the log appenders and the relay in the state dump.
type ConfigLogState struct {
	Changes   logservice.AppenderState `json:"changes"`
	Snapshots logservice.AppenderState `json:"snapshots"`
	Relay     configrelay.State        `json:"relay"`
}

// startConfig starts the configuration store with its appenders and relay, and
// registers the relay server for other entries.
func (s *Server) startConfig(logger *log.Logger) {
	c := &s.configLog
	c.client = logservice.NewClient(platform.NewStore(s.cfg.Network, strings.TrimPrefix(s.cfg.LogURL, "http://"), logger))
	c.limiter = logservice.NewLimiter(logservice.DefaultEntryAppends)
	c.changes = logservice.NewAppender(logservice.AppenderConfig{Append: c.client.Appends(resource.Stream), Limiter: c.limiter, RetryFor: configrelay.DirectAppendRetry})
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

// useConfigPeers makes the membership view available to the configuration relay. Before
// that the relay falls back to the seed addresses.
func (s *Server) useConfigPeers() { s.configLog.peers.Store(s.peers) }

// configPeers returns the entries that can relay the configuration: the known members
// other than this entry, or the seeds if there are none.
func (s *Server) configPeers() []configrelay.Peer {
	var out []configrelay.Peer
	if p := s.configLog.peers.Load(); p != nil {
		for _, e := range p.Peers() {
			if e.VM() != s.cfg.VM && e.State() != membership.StateGone {
				out = append(out, configrelay.Peer{VM: e.VM(), Address: e.Address(), SameDomain: e.Domain() == s.cfg.FailureDomain})
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

// readerRank returns this entry's rank among the live entries of its failure domain
// and their number.
func (s *Server) readerRank() (rank, of int) {
	if p := s.configLog.peers.Load(); p != nil {
		return p.Rank()
	}
	return 0, 1
}

// writerRank returns this entry's rank among all live entries, ordered by the rank
// within the failure domain and then by domain name, and an estimate of their number.
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
