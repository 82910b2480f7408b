package membership

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// Peer is what this entry knows of an entry, itself included.
type Peer struct {
	vm          string
	domain      string
	address     string
	incarnation uint64
	state       State
	since       time.Time
	offset      uint64
}

// VM returns the entry's VM.
func (p Peer) VM() string { return p.vm }

// Domain returns the entry's failure domain.
func (p Peer) Domain() string { return p.domain }

// Address returns host:port for other entries.
func (p Peer) Address() string { return p.address }

// Incarnation returns the incarnation of the process. It is 0 where it is not known.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// State returns the entry's state.
func (p Peer) State() State { return p.state }

// Offset returns the offset of the configuration in force there as last reported.
func (p Peer) Offset() uint64 { return p.offset }

// Peers returns the entries of the own failure domain, and some of the others.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Peer
	for _, p := range n.table.entries() {
		state, since := n.stateOf(p)
		out = append(out, Peer{
			vm: p.GetName(), domain: n.cfg.Domain, address: p.GetAddress(), incarnation: p.GetIncarnation(),
			state: state, since: since, offset: n.offsetOf(p.GetName()),
		})
	}
	for _, s := range n.otherDomains() {
		for _, c := range s.GetContacts() {
			out = append(out, Peer{
				vm: c.GetVm(), domain: s.GetDomain(), address: c.GetAddress(), incarnation: c.GetIncarnation(), state: StateLive,
			})
		}
	}
	return out
}

// live returns the names of the entries that count as live: where no call succeeds
// any more, this one alone.
func (n *Node) live() []string {
	if n.isolated() {
		return []string{n.cfg.VM}
	}
	return n.table.live()
}

func (n *Node) stateOf(p *memberwire.Peer) (State, time.Time) {
	state, since := n.table.state(p)
	switch {
	case p.GetName() == n.cfg.VM:
	case state == StateLive && n.isolated():
		return StateSuspect, n.contacted
	case state == StateLive && n.table.hinted(p.GetName()):
		return StateLeaving, since
	}
	return state, since
}

// otherDomains returns the summaries of the other failure domains that are fresh, by name.
func (n *Node) otherDomains() []*memberwire.Summary {
	var out []*memberwire.Summary
	for _, it := range n.summaries.items {
		if n.now().Sub(it.at) < summaryStale {
			out = append(out, it.val)
		}
	}
	slices.SortFunc(out, func(a, b *memberwire.Summary) int {
		if a.GetDomain() < b.GetDomain() {
			return -1
		}
		return 1
	})
	return out
}

// Summaries returns the fresh summaries of the other failure domains, by name.
func (n *Node) Summaries() []*memberwire.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.otherDomains()
}

// Owns reports whether this entry is the owner of an upstream of a failure domain.
// Two entries may own an upstream at once for some seconds, or as long as they are
// cut off from each other. A failure domain without a live entry is looked after
// by another one.
func (n *Node) Owns(upstream, domain string) bool {
	return n.Owner(upstream, domain) == n.cfg.VM
}

// Owner returns the VM of the upstream's owner as far as it is in the own failure
// domain, or "".
func (n *Node) Owner(upstream, domain string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if domain != n.cfg.Domain && !n.standsIn(upstream, domain) || n.table.superseded {
		return ""
	}
	if n.isolated() {
		return n.cfg.VM
	}
	if now := n.now(); n.settledGen != n.table.feed.gen || now.Sub(n.settledAt) >= settledFor {
		n.settled, n.settledGen, n.settledAt = n.table.settled(), n.table.feed.gen, now
	}
	return owner(n.settled, upstream)
}

// Address returns the address of an entry of the own failure domain that can be
// reached, or "".
func (n *Node) Address(vm string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.table.feed.get(vm)
	if !known || p.GetState() == memberwire.State_SUSPECT || p.GetState() == memberwire.State_GONE {
		return ""
	}
	return p.GetAddress()
}

// standsIn reports whether the own failure domain looks after the upstream of one
// that has not been heard of.
func (n *Node) standsIn(upstream, domain string) bool {
	if n.now().Sub(n.started) < 2*summaryStale {
		return false
	}
	domains := []string{n.cfg.Domain}
	for _, s := range n.otherDomains() {
		if s.GetDomain() == domain {
			return false
		}
		domains = append(domains, s.GetDomain())
	}
	return owner(domains, upstream) == n.cfg.Domain
}

// OwnerGone reports whether the incarnation of an entry is known to be gone: it
// left, was replaced, or could not be reached for some seconds. An entry of
// another failure domain, or one never heard of, is not known to be gone.
func (n *Node) OwnerGone(vm string, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.table.feed.get(vm)
	switch {
	case !known || p.GetIncarnation() < incarnation:
		return false
	case p.GetIncarnation() > incarnation:
		return true
	default:
		state, _ := n.table.state(p)
		return state == StateGone && vm != n.cfg.VM
	}
}

// Rank returns this entry's rank among the live ones of its failure domain.
func (n *Node) Rank() (rank, of int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.live()
	if i := slices.Index(live, n.cfg.VM); i >= 0 {
		return i, len(live)
	}
	return len(live), len(live) + 1 // leaving
}

// InForce counts the live entries that have the configuration's offset in force.
// For other failure domains it is what their newest summaries say.
func (n *Node) InForce(offset uint64) resource.InForce {
	n.mu.Lock()
	defer n.mu.Unlock()
	var f resource.InForce
	for _, name := range n.live() {
		f.Of++
		if n.offsetOf(name) >= offset {
			f.Seen++
		}
	}
	for _, s := range n.otherDomains() {
		f.Of += int(s.GetLive())
		seen := uint32(0)
		for _, c := range s.GetOffsets() {
			if c.GetOffset() >= offset {
				seen = max(seen, c.GetEntries())
			}
		}
		f.Seen += int(seen)
	}
	return f
}

// SetUpstream records what an owner saw of an upstream of its failure domain.
func (n *Node) SetUpstream(name string, state State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := upstreamPrefix + name
	wire := memberwire.State_LIVE
	switch state {
	case StateSuspect:
		wire = memberwire.State_SUSPECT
	case StateLeaving:
		wire = memberwire.State_LEAVING
	case StateGone:
		wire = memberwire.State_GONE
	}
	_, known := n.table.feed.get(k)
	switch {
	case !known && wire == memberwire.State_LIVE:
		return // what is not known counts as live
	case !known:
		n.table.put(&memberwire.Peer{Name: name, Upstream: true, State: wire}, n.cfg.VM)
	case !n.table.set(k, wire):
		return
	}
	if wire != memberwire.State_LIVE {
		n.urgent()
	}
}

// Upstream returns the state of an upstream as its owner or the VM list told it.
func (n *Node) Upstream(name string) State {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.table.feed.get(upstreamPrefix + name)
	switch {
	case known && p.GetState() != memberwire.State_LIVE:
		state, _ := n.table.state(p)
		return state
	case n.table.hinted(name):
		return StateLeaving
	default:
		return StateLive
	}
}

// OutOfReach returns how many entries of the own failure domain may be serving that
// are not live as seen from here.
func (n *Node) OutOfReach() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.table.live()) - len(n.live()) + n.table.outOfReach()
}

// Shares returns how many entries can be reached, this one included, and how many
// may be serving in all failure domains, those that are cut off included.
func (n *Node) Shares() (reach, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reach = len(n.live())
	if n.table.self.GetState() != memberwire.State_LIVE {
		reach = 1 // the others share without it
	}
	known = len(n.table.live()) + n.table.outOfReach()
	for _, it := range n.summaries.items {
		if n.now().Sub(it.at) < forgetAfter {
			known += int(it.val.GetKnown())
		}
	}
	return reach, max(known, reach, n.expected())
}

// expected returns how many entries there are at least, by the settings, until
// another one was met.
func (n *Node) expected() int {
	if len(n.cursors) > 0 {
		return 1
	}
	return len(n.cfg.Seeds) + 1
}

// Reports returns the newest offsets and demands of the other live entries of the
// failure domain.
func (n *Node) Reports() []*memberwire.Report { return n.others(n.reports) }

// Loads returns the newest loads and prefixes that the other live entries of the
// failure domain tell.
func (n *Node) Loads() []*memberwire.Report { return n.others(n.loads) }

func (n *Node) others(f *feed[*memberwire.Report]) []*memberwire.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*memberwire.Report
	for _, name := range n.live() {
		p, _ := n.table.feed.get(name)
		if r, known := f.get(name); known && name != n.cfg.VM && r.GetIncarnation() == p.GetIncarnation() {
			out = append(out, r)
		}
	}
	return out
}
