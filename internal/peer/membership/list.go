package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

const (
	// The VM list is long, so the entries of a failure domain share the reading: each
	// reads it once per listIntervalPerEntry times their number and passes changes on.
	listIntervalPerEntry = 5 * time.Second
	// hintTTL is how long the list's mark of a VM as leaving counts.
	hintTTL = 5 * time.Minute

	hintPrefix = "list:" // prefix of the names of records taken from the VM list
)

// vmListLoop periodically fetches and applies the VM list.
func (n *Node) vmListLoop(ctx context.Context, r *rand.Rand) {
	for {
		if vms, err := n.cfg.List(ctx); err == nil {
			n.applyVMList(vms)
		}
		n.mu.Lock()
		interval := listIntervalPerEntry * time.Duration(max(1, len(n.table.live())))
		n.mu.Unlock()
		if !pause.For(ctx, jitter(r, interval)) {
			return
		}
	}
}

// applyVMList applies the VM list as a hint. The list lags behind: it may contain
// VMs that are gone and miss new ones, so an entry's own record takes precedence.
func (n *Node) applyVMList(vms []vmlist.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed, covered := map[string]bool{}, false
	for _, vm := range vms {
		listed[vm.Name] = true
		n.applyListedVM(vm)
		p, known := n.table.feed.get(vm.Name)
		covered = covered || known && vm.Name != n.cfg.VM && p.GetState() == memberwire.State_LIVE
	}
	for _, p := range n.table.entries() {
		// A suspect VM that disappears from the list has ended and is not just unreachable.
		// The list must contain another live entry to count.
		if covered && p.GetState() == memberwire.State_SUSPECT && !listed[p.GetName()] && n.everListed[p.GetName()] {
			n.table.setState(p.GetName(), memberwire.State_GONE)
			n.requestPush()
		}
		if listed[p.GetName()] {
			n.everListed[p.GetName()] = true
		}
	}
}

// applyListedVM records a VM of the list as a contact, and a change of its leaving
// mark as a record that is passed on to the other entries.
func (n *Node) applyListedVM(vm vmlist.VM) {
	if vm.State == vmlist.StateLive && vm.Name != n.cfg.VM {
		n.addContact(vm.FailureDomain, vm.Name, vm.Address)
	}
	if vm.FailureDomain != n.cfg.Domain {
		return
	}
	name := hintPrefix + vm.Name
	old, known := n.table.feed.get(upstreamPrefix + name)
	switch {
	case vm.State == vmlist.StateLeaving && !known:
		n.table.put(&memberwire.Peer{Name: name, Upstream: true, State: memberwire.State_LEAVING}, n.cfg.VM)
		n.requestPush()
	case vm.State == vmlist.StateLeaving && old.GetState() != memberwire.State_LEAVING:
		n.table.setState(recordKey(old), memberwire.State_LEAVING)
		n.requestPush()
	case vm.State == vmlist.StateLive && known && old.GetState() == memberwire.State_LEAVING:
		n.table.setState(recordKey(old), memberwire.State_LIVE)
	}
}

// listedAsLeaving reports whether the VM list marked the VM as leaving within
// hintTTL.
func (t *table) listedAsLeaving(vm string) bool {
	p, known := t.feed.get(upstreamPrefix + hintPrefix + vm)
	return known && p.GetState() == memberwire.State_LEAVING &&
		t.now().Sub(t.since[upstreamPrefix+hintPrefix+vm]) < hintTTL
}
