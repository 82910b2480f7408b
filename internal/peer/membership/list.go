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
	// The list is long: all entries of a failure domain read it once in
	// listPerEntry together, each in its own time, and tell each other.
	listPerEntry = 5 * time.Second
	// hintAge is how long a hint of the list counts that nobody has read again.
	hintAge = 5 * time.Minute

	hintPrefix = "list:" // of the names of hints
)

// follow reads the VM list.
func (n *Node) follow(ctx context.Context, r *rand.Rand) {
	for {
		if vms, err := n.cfg.List(ctx); err == nil {
			n.hints(vms)
		}
		n.mu.Lock()
		every := listPerEntry * time.Duration(max(1, len(n.table.live())))
		n.mu.Unlock()
		if !pause.For(ctx, jitter(r, every)) {
			return
		}
	}
}

// hints takes in the list. It lags: it may name VMs that are gone and lack those
// that are new. What an entry says of itself goes before.
func (n *Node) hints(vms []vmlist.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed, covers := map[string]bool{}, false
	for _, vm := range vms {
		listed[vm.Name] = true
		n.hint(vm)
		p, known := n.table.feed.get(vm.Name)
		covers = covers || known && vm.Name != n.cfg.VM && p.GetState() == memberwire.State_LIVE
	}
	for _, p := range n.table.entries() {
		// A VM that the list has dropped is not cut off but has ended.
		if covers && p.GetState() == memberwire.State_SUSPECT && !listed[p.GetName()] && n.listed[p.GetName()] {
			n.table.set(p.GetName(), memberwire.State_GONE)
			n.urgent()
		}
		if listed[p.GetName()] {
			n.listed[p.GetName()] = true
		}
	}
}

func (n *Node) hint(vm vmlist.VM) {
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
		n.urgent()
	case vm.State == vmlist.StateLeaving && old.GetState() != memberwire.State_LEAVING:
		n.table.set(key(old), memberwire.State_LEAVING)
		n.urgent()
	case vm.State == vmlist.StateLive && known && old.GetState() == memberwire.State_LEAVING:
		n.table.set(key(old), memberwire.State_LIVE)
	}
}

// hinted reports whether the list said that the VM is leaving.
func (t *table) hinted(vm string) bool {
	p, known := t.feed.get(upstreamPrefix + hintPrefix + vm)
	return known && p.GetState() == memberwire.State_LEAVING &&
		t.now().Sub(t.since[upstreamPrefix+hintPrefix+vm]) < hintAge
}
