package membership

import (
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// Peer is what this entry knows about an entry, possibly itself.
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

// Address returns the host:port at which other entries call it.
func (p Peer) Address() string { return p.address }

// Incarnation returns the incarnation of the process, or 0 if it is unknown.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// State returns the entry's state.
func (p Peer) State() State { return p.state }

// Offset returns the last reported offset of the configuration in force there.
func (p Peer) Offset() uint64 { return p.offset }

// Peers returns the known entries of the own failure domain, and the contacts of
// the other ones.
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

// live returns the names of the live entries of the failure domain, in order. While
// this entry is isolated that is only itself.
func (n *Node) live() []string {
	if n.isolated() {
		return []string{n.cfg.VM}
	}
	return n.table.live()
}

// stateOf returns the state of an entry and its start, adjusted by isolation and by
// the VM list.
func (n *Node) stateOf(p *memberwire.Peer) (State, time.Time) {
	state, since := n.table.state(p)
	switch {
	case p.GetName() == n.cfg.VM:
	case state == StateLive && n.isolated():
		return StateSuspect, n.lastContact
	case state == StateLive && n.table.listedAsLeaving(p.GetName()):
		return StateLeaving, since
	}
	return state, since
}

// otherDomains returns the summaries of the other failure domains that are younger
// than summaryMaxAge, sorted by domain.
func (n *Node) otherDomains() []*memberwire.Summary {
	var out []*memberwire.Summary
	for _, it := range n.summaries.items {
		if n.now().Sub(it.storedAt) < summaryMaxAge {
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

// Summaries returns the recent summaries of the other failure domains, sorted by
// domain.
func (n *Node) Summaries() []*memberwire.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.otherDomains()
}

// Owns reports whether this entry is the owner of an upstream of a failure domain.
// Two entries may own the same upstream for a few seconds, or for as long as they
// are partitioned. Upstreams of a failure domain without a live entry are owned by
// entries of another domain.
func (n *Node) Owns(upstream, domain string) bool {
	return n.Owner(upstream, domain) == n.cfg.VM
}

// Owner returns the VM of the upstream's owner, or "" if the owner is not in the own
// failure domain or a newer process of this VM exists.
func (n *Node) Owner(upstream, domain string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if domain != n.cfg.Domain && !n.isFallbackOwner(upstream, domain) || n.table.superseded {
		return ""
	}
	if n.isolated() {
		return n.cfg.VM
	}
	if now := n.now(); n.settledGen != n.table.feed.gen || now.Sub(n.settledAt) >= settledCacheTTL {
		n.settledNames, n.settledGen, n.settledAt = n.table.settled(), n.table.feed.gen, now
	}
	return owner(n.settledNames, upstream)
}

// Address returns the address of a reachable entry of the own failure domain, or ""
// if it is unknown, suspect or gone.
func (n *Node) Address(vm string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.table.feed.get(vm)
	if !known || p.GetState() == memberwire.State_SUSPECT || p.GetState() == memberwire.State_GONE {
		return ""
	}
	return p.GetAddress()
}

// isFallbackOwner reports whether the own failure domain owns the upstream of a
// domain that has no recent summary. It returns false shortly after the start, when
// summaries may not have arrived yet.
func (n *Node) isFallbackOwner(upstream, domain string) bool {
	if n.now().Sub(n.started) < 2*summaryMaxAge {
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
// left, was replaced, or has been unreachable for goneAfter. Entries of other
// failure domains and unknown entries are not known to be gone.
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

// Rank returns this entry's index, from 0, in the sorted names of the live entries
// of its failure domain, and their number. An entry that is leaving ranks last and
// is counted too.
func (n *Node) Rank() (rank, of int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.live()
	if i := slices.Index(live, n.cfg.VM); i >= 0 {
		return i, len(live)
	}
	return len(live), len(live) + 1 // this entry is leaving
}

// InForce counts the live entries, and those that have at least this configuration
// offset in force. Other failure domains are counted by their recent summaries.
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

// SetUpstream records the state of an upstream as its owner, this entry, sees it.
func (n *Node) SetUpstream(name string, state State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := upstreamPrefix + name
	protoState := memberwire.State_LIVE
	switch state {
	case StateSuspect:
		protoState = memberwire.State_SUSPECT
	case StateLeaving:
		protoState = memberwire.State_LEAVING
	case StateGone:
		protoState = memberwire.State_GONE
	}
	_, known := n.table.feed.get(key)
	switch {
	case !known && protoState == memberwire.State_LIVE:
		return // unknown upstreams count as live
	case !known:
		n.table.put(&memberwire.Peer{Name: name, Upstream: true, State: protoState}, n.cfg.VM)
	case !n.table.setState(key, protoState):
		return
	}
	if protoState != memberwire.State_LIVE {
		n.requestPush()
	}
}

// Upstream returns the state of an upstream: what its owner reports unless that is
// live, else leaving if the VM list says so, else live.
func (n *Node) Upstream(name string) State {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.table.feed.get(upstreamPrefix + name)
	switch {
	case known && p.GetState() != memberwire.State_LIVE:
		state, _ := n.table.state(p)
		return state
	case n.table.listedAsLeaving(name):
		return StateLeaving
	default:
		return StateLive
	}
}

// OutOfReach returns how many entries of the own failure domain may still be serving
// although this entry doesn't see them as live.
func (n *Node) OutOfReach() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.table.live()) - len(n.live()) + n.table.outOfReach()
}

// EntryCounts returns the numbers of entries among which limits are shared: reach
// counts the reachable ones of the own failure domain, this one included, and known
// all that may be serving in any failure domain, unreachable ones included.
func (n *Node) EntryCounts() (reach, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reach = len(n.live())
	if n.table.self.GetState() != memberwire.State_LIVE {
		reach = 1 // the others no longer count this entry
	}
	known = len(n.table.live()) + n.table.outOfReach()
	for _, it := range n.summaries.items {
		if n.now().Sub(it.storedAt) < recordTTL {
			known += int(it.val.GetKnown())
		}
	}
	return reach, max(known, reach, n.expectedEntries())
}

// expectedEntries returns the number of entries to assume: the seeds and this entry
// until another entry has been contacted, then 1.
func (n *Node) expectedEntries() int {
	if len(n.cursors) > 0 {
		return 1
	}
	return len(n.cfg.Seeds) + 1
}

// Reports returns the newest reports, with offsets and demands, of the other live
// entries of the failure domain.
func (n *Node) Reports() []*memberwire.Report { return n.liveReports(n.reports) }

// Loads returns the newest reports of upstream loads and cached prefixes of the
// other live entries of the failure domain.
func (n *Node) Loads() []*memberwire.Report { return n.liveReports(n.loads) }

// liveReports returns the reports of the other live entries, without those of an
// earlier incarnation.
func (n *Node) liveReports(f *feed[*memberwire.Report]) []*memberwire.Report {
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
