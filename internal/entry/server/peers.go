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

// peers is what the entry knows of the other ones. Other parts plug in its methods.
type peers struct {
	node     *membership.Node
	limiter  *limits.Limiter
	slots    *slots.Slots
	spill    *spill.Budget
	upstream func(name string) *resource.Upstream
	domain   string
}

// startPeers starts the membership among the entries.
func (s *Server) startPeers(logger *log.Logger) {
	p := &peers{
		domain:   s.cfg.FailureDomain,
		upstream: func(name string) *resource.Upstream { return s.store.View().Upstream(name) },
	}
	s.peers = p
	p.limiter = limits.New(limits.Seams{
		Shares:  func() (reach, known int) { return p.node.Shares() },
		Reports: func() []*memberwire.Report { return p.node.Reports() },
		Turn:    func(key string) bool { return p.node.Owns(key, p.domain) },
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
		Rand:        s.incarnation,
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

// InForce returns how many live entries are known to have the configuration's
// offset in force.
func (s *Server) InForce(offset uint64) int { return s.peers.InForce(offset).Seen }

// leave tells the other entries that this one gets no new work.
func (p *peers) leave() { p.node.Leave() }

func (p *peers) stop() {
	p.slots.Close()
	p.node.Close()
}

// slotOwner returns the address of the entry that gives out slots at an upstream.
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

// Owns reports whether this entry is the owner of an upstream in force.
func (p *peers) Owns(upstream string) bool {
	u := p.upstream(upstream)
	return u != nil && p.node.Owns(upstream, u.Spec().FailureDomain)
}

// OwnerGone reports whether the incarnation of an entry is known to be gone.
func (p *peers) OwnerGone(vm string, incarnation uint64) bool {
	return p.node.OwnerGone(vm, incarnation)
}

// Rank returns this entry's rank among the live ones of its failure domain.
func (p *peers) Rank() (rank, of int) { return p.node.Rank() }

// InForce counts the live entries that have the configuration's offset in force.
func (p *peers) InForce(offset uint64) resource.InForce { return p.node.InForce(offset) }

// Peers returns the entries that this one knows.
func (p *peers) Peers() []membership.Peer { return p.node.Peers() }

// Limit takes a request of so many tokens from this entry's shares of the
// workspace's limits, or returns false and when a retry may succeed.
func (p *peers) Limit(workspace string, spec resource.Limits, tokens int) (release func(), retryAfter time.Duration, ok bool) {
	return p.limiter.Limit(workspace, spec, tokens)
}

// Slot takes a slot for a long prefill at the upstream. It returns an error of
// slots.KindBusy, with a slots.RetryAfter, where others hold it.
func (p *peers) Slot(ctx context.Context, upstream string, _ int) (release func(), err error) {
	return p.slots.Slot(ctx, upstream)
}

// Spill reports whether a prompt of so many tokens may run at an upstream: always in
// the own failure domain, and in another one within what that can take over.
func (p *peers) Spill(upstream, deployment string, tokens int) bool {
	u := p.upstream(upstream)
	if u == nil {
		return false
	}
	domain := u.Spec().FailureDomain
	return domain == p.domain || p.spill.Take(domain, deployment, tokens)
}

// peersState is the part of the state dump about the other entries.
type peersState struct {
	membership.Dump
	Slots slots.State `json:"slots"`
	Spill spill.State `json:"spill"`
}

func (p *peers) state() peersState {
	return peersState{Dump: p.node.Dump(), Slots: p.slots.State(), Spill: p.spill.State()}
}
