package membership

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	// Largest parts of a message, in bytes.
	peerBytes    = 1200
	reportBytes  = 400
	summaryBytes = 600
	loadBytes    = 150
	// loadLeft is the budget from which loads are told: demands go first.
	loadLeft = budgetBurst / 4
	// newsAge is how far back an entry that is no neighbour is told the news.
	newsAge = 5 * time.Second
)

// cursor is how far another entry has read this one's feeds, and the reverse.
type cursor struct {
	incarnation uint64 // of the other entry
	fresh       bool   // it has not been told of this entry yet
	saving      bool   // its budget is spent
	full        bool   // it was asked for all its records
	sent, got   positions
	touched     time.Time
}

// positions are those in the feeds of peers, reports, summaries and loads.
type positions struct{ peers, reports, summaries, loads uint64 }

func fromWire(p *memberwire.Positions) positions {
	return positions{p.GetPeers(), p.GetReports(), p.GetSummaries(), p.GetLoads()}
}

func (p positions) wire() *memberwire.Positions {
	if p == (positions{}) {
		return nil
	}
	return &memberwire.Positions{Peers: p.peers, Reports: p.reports, Summaries: p.summaries, Loads: p.loads}
}

// target is an entry to call. Its VM is empty where only the address is known.
type target struct {
	vm          string
	address     string
	incarnation uint64
}

// cursorOf returns the cursor of an entry. One that is new, or that was not in
// touch for some seconds, starts with the news of the last seconds: neighbours
// in the ring ask for all records then.
func (n *Node) cursorOf(vm string, incarnation uint64) *cursor {
	now := n.now()
	c := n.cursors[vm]
	if c == nil || c.incarnation != incarnation {
		c = &cursor{incarnation: incarnation, fresh: true}
		n.cursors[vm] = c
	}
	if now.Sub(c.touched) >= newsAge {
		old := now.Add(-newsAge)
		c.full = false
		c.sent = positions{
			max(c.sent.peers, n.table.feed.before(old)),
			max(c.sent.reports, n.reports.before(old)),
			max(c.sent.summaries, n.summaries.before(old)),
			max(c.sent.loads, n.loads.before(old)),
		}
	}
	return c
}

// compose returns what the other entry has not confirmed, and the positions that
// it reaches. Reports wait while the budget of one of the
// two is spent.
func (n *Node) compose(c *cursor, reader string) (*memberwire.Message, positions) {
	m := &memberwire.Message{Vm: n.cfg.VM, Domain: n.cfg.Domain, Incarnation: n.cfg.Incarnation}
	to := c.sent
	m.Peers, to.peers = n.table.feed.after(c.sent.peers, reader, peerBytes)
	if c.fresh {
		m.Peers = append(m.Peers, n.table.self)
	}
	// Whoever is not live here has to hear of it, or it would never answer.
	if p, known := n.table.feed.get(reader); known && p.GetState() != memberwire.State_LIVE {
		m.Peers = append(m.Peers, p)
	}
	left := n.budgetLeft()
	m.Saving = left <= 0
	if !m.GetSaving() && !c.saving {
		m.Reports, to.reports = n.reports.after(c.sent.reports, reader, min(left, reportBytes))
		m.Summaries, to.summaries = n.summaries.after(c.sent.summaries, reader, min(left, summaryBytes))
	}
	if left > loadLeft && !c.saving {
		m.Loads, to.loads = n.loads.after(c.sent.loads, reader, min(left, loadBytes))
	}
	return m, to
}

// take merges what another entry told and reports whether some of it is urgent.
func (n *Node) take(m *memberwire.Message) {
	urgent := false
	for _, p := range m.GetPeers() {
		if n.table.merge(p, m.GetVm()) && p.GetState() != memberwire.State_LIVE {
			urgent = true
		}
	}
	for _, r := range m.GetReports() {
		n.takeReport(n.reports, r, m.GetVm())
	}
	for _, r := range m.GetLoads() {
		n.takeReport(n.loads, r, m.GetVm())
	}
	for _, s := range m.GetSummaries() {
		n.takeSummary(s, m.GetVm())
	}
	if urgent {
		n.urgent()
	}
}

func (n *Node) takeReport(f *feed[*memberwire.Report], r *memberwire.Report, from string) {
	if r.GetVm() == n.cfg.VM {
		return
	}
	if it := f.items[r.GetVm()]; it != nil {
		order := cmp.Or(cmp.Compare(r.GetIncarnation(), it.val.GetIncarnation()), cmp.Compare(r.GetVersion(), it.val.GetVersion()))
		if order == 0 {
			it.told(from)
		}
		if order <= 0 {
			return
		}
	}
	f.put(r.GetVm(), r, from, n.now())
}

func (n *Node) takeSummary(s *memberwire.Summary, from string) {
	old, known := n.summaries.get(s.GetDomain())
	if s.GetDomain() == n.cfg.Domain || known && s.GetTimeMs() <= old.GetTimeMs() {
		return
	}
	n.summaries.put(s.GetDomain(), s, from, n.now())
	for _, c := range s.GetContacts() {
		n.addContact(s.GetDomain(), c.GetVm(), c.GetAddress())
	}
}

// Exchange serves a heartbeat.
func (n *Node) Exchange(ctx context.Context, m *memberwire.Message) (*memberwire.Message, error) {
	if vm := link.Caller(ctx); vm != m.GetVm() {
		return nil, twirp.InvalidArgumentError("vm", "is not the caller")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.GetDomain() != n.cfg.Domain {
		return &memberwire.Message{Vm: n.cfg.VM, Domain: n.cfg.Domain, Incarnation: n.cfg.Incarnation}, nil
	}
	c := n.cursorOf(m.GetVm(), m.GetIncarnation())
	if ack := fromWire(m.GetAck()); !c.fresh {
		c.sent = positions{
			max(c.sent.peers, ack.peers), max(c.sent.reports, ack.reports), max(c.sent.summaries, ack.summaries),
			max(c.sent.loads, ack.loads),
		}
	}
	if m.GetFull() {
		c.sent = positions{}
	}
	c.saving, c.touched = m.GetSaving(), n.now()
	n.take(m)
	reply, to := n.compose(c, m.GetVm())
	c.fresh = false
	reply.To = to.wire()
	return reply, nil
}

// exchange sends a heartbeat to an entry and takes in its answer.
func (n *Node) exchange(ctx context.Context, to target, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m, reached := n.request(to, full)
	reply, err := n.client(to.address).Exchange(ctx, m)
	if err != nil {
		return fail("exchange", KindUnreachable, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacted = n.now()
	return n.answered(to, m, reached, reply)
}

// request composes the message to an entry.
func (n *Node) request(to target, full bool) (*memberwire.Message, positions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &cursor{fresh: true}
	if to.vm != "" {
		c = n.cursorOf(to.vm, to.incarnation)
	}
	if full && !c.full {
		c.sent = positions{}
	}
	m, reached := n.compose(c, to.vm)
	m.Ack = c.got.wire()
	m.Full = full && !c.full
	return m, reached
}

// answered takes in the answer to a message.
func (n *Node) answered(to target, m *memberwire.Message, reached positions, reply *memberwire.Message) error {
	if reply.GetDomain() != n.cfg.Domain {
		n.addContact(reply.GetDomain(), reply.GetVm(), to.address)
		return fail("exchange", KindForeign, nil)
	}
	if reply.GetVm() == n.cfg.VM && reply.GetIncarnation() == n.cfg.Incarnation {
		return nil // a seed that is this entry
	}
	c := n.cursorOf(reply.GetVm(), reply.GetIncarnation())
	c.fresh, c.saving, c.touched = false, reply.GetSaving(), n.now()
	c.full = c.full || m.GetFull()
	c.sent, c.got = reached, fromWire(reply.GetTo())
	n.take(reply)
	if to.vm != "" && reply.GetVm() != to.vm {
		if n.table.replaced(to.vm, to.incarnation) {
			n.urgent()
		}
		return fail("exchange", KindReplaced, fmt.Errorf("%s answers at the address of %s", reply.GetVm(), to.vm))
	}
	return nil
}

// Reach serves an entry that can't reach another one.
func (n *Node) Reach(ctx context.Context, r *memberwire.ReachRequest) (*memberwire.ReachReply, error) {
	n.mu.Lock()
	p, known := n.table.feed.get(r.GetVm())
	n.mu.Unlock()
	if !known {
		return &memberwire.ReachReply{}, nil
	}
	err := n.exchange(ctx, targetOf(p), false)
	return &memberwire.ReachReply{Reached: err == nil}, nil
}

func targetOf(p *memberwire.Peer) target {
	return target{vm: p.GetName(), address: p.GetAddress(), incarnation: p.GetIncarnation()}
}
