package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	maxOffsetCounts     = 4 // per summary
	maxSpareDeployments = 8 // per summary
	summaryMaxAge       = 15 * time.Second
)

// bridgeLoop periodically exchanges summaries with the failure domains that this
// entry is responsible for.
func (n *Node) bridgeLoop(ctx context.Context, r *rand.Rand) {
	for pause.For(ctx, jitter(r, bridgeInterval)) {
		for _, to := range n.bridgeTargets(r) {
			n.swapSummaries(ctx, to)
		}
	}
}

// bridgeTargets returns a random contact of each failure domain that this entry is
// responsible for, by rendezvous hashing over the live entries.
func (n *Node) bridgeTargets(r *rand.Rand) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []target
	live := n.live()
	for _, domain := range slices.Sorted(maps.Keys(n.contacts)) {
		contacts := n.contacts[domain]
		if domain != n.cfg.Domain && len(contacts) > 0 && owner(live, "domain/"+domain) == n.cfg.VM {
			out = append(out, contacts[r.IntN(len(contacts))])
		}
	}
	return out
}

// swapSummaries exchanges summaries with an entry of another failure domain.
func (n *Node) swapSummaries(ctx context.Context, to target) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	s, err := n.client(to.address).Bridge(ctx, n.Summary())
	if err != nil {
		return // the next round picks a contact at random again
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeSummary(s, "")
}

// Bridge merges the summary of another failure domain and returns the own one.
func (n *Node) Bridge(_ context.Context, s *memberwire.Summary) (*memberwire.Summary, error) {
	n.mu.Lock()
	n.mergeSummary(s, "")
	n.mu.Unlock()
	return n.Summary(), nil
}

// Summary returns the summary of the own failure domain.
func (n *Node) Summary() *memberwire.Summary {
	spare := n.cfg.Spare()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &memberwire.Summary{
		Domain: n.cfg.Domain,
		TimeMs: uint64(n.now().UnixMilli()),
		Spare:  spare[:min(len(spare), maxSpareDeployments)],
	}
	live := n.live()
	s.Live, s.Known = uint32(len(live)), uint32(len(n.table.live())+n.table.outOfReach())
	s.Offsets = n.offsetCounts(live)
	for _, name := range live[:min(len(live), maxContacts/2)] {
		p, _ := n.table.feed.get(name)
		s.Contacts = append(s.Contacts, &memberwire.Contact{Vm: name, Address: p.GetAddress(), Incarnation: p.GetIncarnation()})
	}
	return s
}

// offsetCounts returns up to maxOffsetCounts offsets in ascending order, each with
// the number of live entries that have at least this offset in force.
func (n *Node) offsetCounts(live []string) []*memberwire.OffsetCount {
	var all []uint64
	for _, name := range live {
		all = append(all, n.offsetOf(name))
	}
	if len(all) == 0 {
		return nil // the domain's only entry is leaving
	}
	slices.Sort(all)
	var out []*memberwire.OffsetCount
	for i := range maxOffsetCounts {
		at := (len(all) - 1) * i / (maxOffsetCounts - 1)
		if at < 0 || i > 0 && all[at] == out[len(out)-1].GetOffset() {
			continue
		}
		first, _ := slices.BinarySearch(all, all[at])
		out = append(out, &memberwire.OffsetCount{Offset: all[at], Entries: uint32(len(all) - first)})
	}
	return out
}

// offsetOf returns the last reported offset of an entry, or 0 if it is unknown.
func (n *Node) offsetOf(vm string) uint64 {
	if vm == n.cfg.VM {
		return n.cfg.Offset()
	}
	p, _ := n.table.feed.get(vm)
	r, known := n.reports.get(vm)
	if !known || r.GetIncarnation() != p.GetIncarnation() {
		return 0
	}
	return r.GetOffset()
}
