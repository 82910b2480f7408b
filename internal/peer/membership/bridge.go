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
	maxOffsets   = 4 // of a summary
	maxSpare     = 8 // deployments of a summary
	summaryStale = 15 * time.Second
)

// bridge swaps summaries with the failure domains whose bridge this entry is.
func (n *Node) bridge(ctx context.Context, r *rand.Rand) {
	for pause.For(ctx, jitter(r, bridgeEvery)) {
		for _, to := range n.bridges(r) {
			n.swap(ctx, to)
		}
	}
}

// bridges returns a contact in each failure domain that this entry has to call.
func (n *Node) bridges(r *rand.Rand) []target {
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

func (n *Node) swap(ctx context.Context, to target) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	s, err := n.client(to.address).Bridge(ctx, n.Summary())
	if err != nil {
		return // another contact, or another time
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeSummary(s, "")
}

// Bridge serves the summary of the own failure domain and takes in another one's.
func (n *Node) Bridge(_ context.Context, s *memberwire.Summary) (*memberwire.Summary, error) {
	n.mu.Lock()
	n.takeSummary(s, "")
	n.mu.Unlock()
	return n.Summary(), nil
}

// Summary returns what the own failure domain tells others.
func (n *Node) Summary() *memberwire.Summary {
	spare := n.cfg.Spare()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &memberwire.Summary{
		Domain: n.cfg.Domain,
		TimeMs: uint64(n.now().UnixMilli()),
		Spare:  spare[:min(len(spare), maxSpare)],
	}
	live := n.live()
	s.Live, s.Known = uint32(len(live)), uint32(len(n.table.live())+n.table.outOfReach())
	s.Offsets = n.offsets(live)
	for _, name := range live[:min(len(live), maxContacts/2)] {
		p, _ := n.table.feed.get(name)
		s.Contacts = append(s.Contacts, &memberwire.Contact{Vm: name, Address: p.GetAddress(), Incarnation: p.GetIncarnation()})
	}
	return s
}

// offsets returns how many live entries have at least each of a few offsets.
func (n *Node) offsets(live []string) []*memberwire.OffsetCount {
	var all []uint64
	for _, name := range live {
		all = append(all, n.offsetOf(name))
	}
	if len(all) == 0 {
		return nil // the only entry of the domain is leaving
	}
	slices.Sort(all)
	var out []*memberwire.OffsetCount
	for i := range maxOffsets {
		at := (len(all) - 1) * i / (maxOffsets - 1)
		if at < 0 || i > 0 && all[at] == out[len(out)-1].GetOffset() {
			continue
		}
		first, _ := slices.BinarySearch(all, all[at])
		out = append(out, &memberwire.OffsetCount{Offset: all[at], Entries: uint32(len(all) - first)})
	}
	return out
}

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
