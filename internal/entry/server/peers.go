package server

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/limits"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/slots"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/spill"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

// peers bundles the membership and the state shared with other entries. Its methods
// are dependencies of other components.
type peers struct {
	node     *membership.Node
	limiter  *limits.Limiter
	slots    *slots.Slots
	spill    *spill.Budget
	upstream func(name string) *resource.Upstream
	domain   string
}

// startPeers starts the membership protocol and the components built on it.
func (s *Server) startPeers(logger *log.Logger) {
	p := &peers{
		domain:   s.cfg.FailureDomain,
		upstream: func(name string) *resource.Upstream { return s.store.View().Upstream(name) },
	}
	s.peers = p
	p.limiter = limits.New(limits.Seams{
		EntryCounts: func() (reach, known int) { return p.node.EntryCounts() },
		Reports:     func() []*memberwire.Report { return p.node.Reports() },
		Owns:        func(key string) bool { return p.node.Owns(key, p.domain) },
	})
	p.node = membership.New(membership.Config{
		VM:          s.cfg.VM,
		Domain:      s.cfg.FailureDomain,
		Address:     s.PeerAddr(),
		Incarnation: s.incarnation,
		Seeds:       s.cfg.Seeds,
		Link:        s.link,
		List:        vmlist.NewClient(s.cfg.Network, s.cfg.VMListURL).VMs,
		Offset:      func() uint64 { return s.store.View().Offset() },
		Report:      p.limiter.Report,
		Loads:       func(r *memberwire.Report, left int) { s.fleet.Report(r, left) },
		Spent:       func() int64 { return s.fleet.PollBytes() },
		Spare:       func() []*memberwire.Spare { return s.fleet.Spare(s.cfg.FailureDomain) },
		RandSeed:    s.incarnation,
		Log:         logger,
		Scope:       s.metrics.Scope(),
	})
	p.slots = slots.New(slots.Seams{
		Self: fmt.Sprintf("%s/%d", s.cfg.VM, s.incarnation), Owner: p.slotOwner, Link: s.link,
	})
	p.spill = spill.New(spill.Seams{Summaries: p.node.Summaries, Entries: func() int {
		_, live := p.node.Rank()
		return live
	}})
	s.fleet = fleet.New(s.cfg.Network, fleet.Seams{
		View: s.store.View, Owns: p.Owns, Loads: p.node.Loads, State: p.node.Upstream, SetState: p.node.SetUpstream,
	}, logger)
	p.node.Start()
}

// VM returns the name of the entry's VM.
func (s *Server) VM() string { return s.cfg.VM }

// InForce returns the number of live entries known to have applied the configuration
// offset.
func (s *Server) InForce(offset uint64) int { return s.peers.InForce(offset).Seen }

// leave announces to the other entries that this one is leaving.
func (p *peers) leave() { p.node.Leave() }

func (p *peers) stop() {
	p.slots.Close()
	p.node.Close()
}

// slotOwner returns the address of the entry that grants slots for an upstream, or
// self if that is this entry. The address is empty if the upstream is not configured.
func (p *peers) slotOwner(upstream string) (address string, self bool) {
	if p.Owns(upstream) {
		return "", true
	}
	u := p.upstream(upstream)
	if u == nil {
		return "", false
	}
	return p.node.Address(p.node.Owner(upstream, u.Spec().FailureDomain)), false
}

// Owns reports whether this entry owns the configured upstream.
func (p *peers) Owns(upstream string) bool {
	u := p.upstream(upstream)
	return u != nil && p.node.Owns(upstream, u.Spec().FailureDomain)
}

// OwnerGone reports whether that incarnation of the entry is known to be gone.
func (p *peers) OwnerGone(vm string, incarnation uint64) bool {
	return p.node.OwnerGone(vm, incarnation)
}

// Rank returns this entry's rank among the live entries of its failure domain and
// their number.
func (p *peers) Rank() (rank, of int) { return p.node.Rank() }

// InForce counts the live entries that have applied the configuration offset.
func (p *peers) InForce(offset uint64) resource.InForce { return p.node.InForce(offset) }

// Peers returns the known entries.
func (p *peers) Peers() []membership.Peer { return p.node.Peers() }

// Limit charges a request of the given number of tokens to this entry's share of the
// workspace's limits. If the share is used up it returns false and the time after
// which a retry may succeed.
func (p *peers) Limit(workspace string, spec resource.Limits, tokens int) (release func(), retryAfter time.Duration, ok bool) {
	return p.limiter.Limit(workspace, spec, tokens)
}

// Slot acquires a slot for a long prefill at the upstream. It returns an error of
// slots.KindBusy with a slots.RetryAfter if no slot is free.
func (p *peers) Slot(ctx context.Context, upstream string, _ int) (release func(), err error) {
	return p.slots.Slot(ctx, upstream)
}

// Spill reports whether a prompt of the given number of tokens may run at the
// upstream: always within this entry's failure domain, and in another one only within
// the spare capacity that it reports.
func (p *peers) Spill(upstream, deployment string, tokens int) bool {
	u := p.upstream(upstream)
	if u == nil {
		return false
	}
	domain := u.Spec().FailureDomain
	return domain == p.domain || p.spill.Take(domain, deployment, tokens)
}

// peersState is the state of the membership, slots and spilling in the state dump.
type peersState struct {
	membership.Dump
	Slots slots.State `json:"slots"`
	Spill spill.State `json:"spill"`
}

func (p *peers) state() peersState {
	return peersState{Dump: p.node.Dump(), Slots: p.slots.State(), Spill: p.spill.State()}
}
