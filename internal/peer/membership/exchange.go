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
	// Maximum size of each part of a message, in bytes.
	maxPeerBytes    = 1200
	maxReportBytes  = 400
	maxSummaryBytes = 600
	maxLoadBytes    = 150
	// Loads are sent only while more than loadsMinBudgetBytes are left, because
	// demands take precedence.
	loadsMinBudgetBytes = budgetBurstBytes / 4
	// catchUpWindow is the age of the oldest records sent to an entry without a recent
	// exchange, unless it asks for a full sync.
	catchUpWindow = 5 * time.Second
)

// cursor tracks the exchanges with another entry: how far it has read this entry's
// feeds, and how far this entry has read its feeds.
type cursor struct {
	incarnation     uint64 // of the other entry
	selfUnsent      bool   // this entry's own record has not been sent to it
	overBudget      bool   // it has used up its byte budget
	fullSync        bool   // it has answered a request for all its records
	acked, received positions
	lastExchange    time.Time
}

// positions holds one position for each feed.
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

// target is an entry to call. The VM is empty if only the address is known.
type target struct {
	vm          string
	address     string
	incarnation uint64
}

// cursorOf returns the cursor of an entry. If it is new or had no exchange for
// catchUpWindow, it starts with the records of that window: neighbors in the ring
// then ask for a full sync.
func (n *Node) cursorOf(vm string, incarnation uint64) *cursor {
	now := n.now()
	c := n.cursors[vm]
	if c == nil || c.incarnation != incarnation {
		c = &cursor{incarnation: incarnation, selfUnsent: true}
		n.cursors[vm] = c
	}
	if now.Sub(c.lastExchange) >= catchUpWindow {
		old := now.Add(-catchUpWindow)
		c.fullSync = false
		c.acked = positions{
			max(c.acked.peers, n.table.feed.before(old)),
			max(c.acked.reports, n.reports.before(old)),
			max(c.acked.summaries, n.summaries.before(old)),
			max(c.acked.loads, n.loads.before(old)),
		}
	}
	return c
}

// compose returns a message with the records that the reader has not acknowledged,
// and the feed positions that it covers. Reports, summaries and loads are left out
// while either side is over its byte budget.
func (n *Node) compose(c *cursor, reader string) (*memberwire.Message, positions) {
	m := &memberwire.Message{Vm: n.cfg.VM, Domain: n.cfg.Domain, Incarnation: n.cfg.Incarnation}
	next := c.acked
	m.Peers, next.peers = n.table.feed.after(c.acked.peers, reader, maxPeerBytes)
	if c.selfUnsent {
		m.Peers = append(m.Peers, n.table.self)
	}
	// A reader that is not live here always gets its own record, because only the
	// reader itself can refute it.
	if p, known := n.table.feed.get(reader); known && p.GetState() != memberwire.State_LIVE {
		m.Peers = append(m.Peers, p)
	}
	left := n.budgetLeft()
	m.Saving = left <= 0
	if !m.GetSaving() && !c.overBudget {
		m.Reports, next.reports = n.reports.after(c.acked.reports, reader, min(left, maxReportBytes))
		m.Summaries, next.summaries = n.summaries.after(c.acked.summaries, reader, min(left, maxSummaryBytes))
	}
	if left > loadsMinBudgetBytes && !c.overBudget {
		m.Loads, next.loads = n.loads.after(c.acked.loads, reader, min(left, maxLoadBytes))
	}
	return m, next
}

// mergeMessage merges the records of a message and requests a push if an entry or
// upstream changed to a state other than live.
func (n *Node) mergeMessage(m *memberwire.Message) {
	push := false
	for _, p := range m.GetPeers() {
		if n.table.merge(p, m.GetVm()) && p.GetState() != memberwire.State_LIVE {
			push = true
		}
	}
	for _, r := range m.GetReports() {
		n.mergeReport(n.reports, r, m.GetVm())
	}
	for _, r := range m.GetLoads() {
		n.mergeReport(n.loads, r, m.GetVm())
	}
	for _, s := range m.GetSummaries() {
		n.mergeSummary(s, m.GetVm())
	}
	if push {
		n.requestPush()
	}
}

// mergeReport stores a report if it is newer than the known one of that VM.
func (n *Node) mergeReport(f *feed[*memberwire.Report], r *memberwire.Report, from string) {
	if r.GetVm() == n.cfg.VM {
		return
	}
	if it := f.items[r.GetVm()]; it != nil {
		order := cmp.Or(cmp.Compare(r.GetIncarnation(), it.val.GetIncarnation()), cmp.Compare(r.GetVersion(), it.val.GetVersion()))
		if order == 0 {
			it.addSource(from)
		}
		if order <= 0 {
			return
		}
	}
	f.put(r.GetVm(), r, from, n.now())
}

// mergeSummary stores the summary of another failure domain if it is newer than the
// known one.
func (n *Node) mergeSummary(s *memberwire.Summary, from string) {
	old, known := n.summaries.get(s.GetDomain())
	if s.GetDomain() == n.cfg.Domain || known && s.GetTimeMs() <= old.GetTimeMs() {
		return
	}
	n.summaries.put(s.GetDomain(), s, from, n.now())
	for _, c := range s.GetContacts() {
		n.addContact(s.GetDomain(), c.GetVm(), c.GetAddress())
	}
}

// Exchange handles a heartbeat: it merges the records of m and returns those that
// the caller has not acknowledged.
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
	if ack := fromWire(m.GetAck()); !c.selfUnsent {
		c.acked = positions{
			max(c.acked.peers, ack.peers), max(c.acked.reports, ack.reports), max(c.acked.summaries, ack.summaries),
			max(c.acked.loads, ack.loads),
		}
	}
	if m.GetFull() {
		c.acked = positions{}
	}
	c.overBudget, c.lastExchange = m.GetSaving(), n.now()
	n.mergeMessage(m)
	reply, next := n.compose(c, m.GetVm())
	c.selfUnsent = false
	reply.To = next.wire()
	return reply, nil
}

// exchange sends a heartbeat to an entry and merges its reply. With full it asks for
// all records if it has not done so yet.
func (n *Node) exchange(ctx context.Context, to target, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m, next := n.newRequest(to, full)
	reply, err := n.client(to.address).Exchange(ctx, m)
	if err != nil {
		return fail("exchange", KindUnreachable, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContact = n.now()
	return n.handleReply(to, m, next, reply)
}

// newRequest composes a message to an entry. It also returns the feed positions to
// take as acknowledged once the entry replies.
func (n *Node) newRequest(to target, full bool) (*memberwire.Message, positions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &cursor{selfUnsent: true}
	if to.vm != "" {
		c = n.cursorOf(to.vm, to.incarnation)
	}
	if full && !c.fullSync {
		c.acked = positions{}
	}
	m, next := n.compose(c, to.vm)
	m.Ack = c.received.wire()
	m.Full = full && !c.fullSync
	return m, next
}

// handleReply merges the reply to the message m. It returns an error if the reply is
// from another failure domain or from another VM than expected.
func (n *Node) handleReply(to target, m *memberwire.Message, next positions, reply *memberwire.Message) error {
	if reply.GetDomain() != n.cfg.Domain {
		n.addContact(reply.GetDomain(), reply.GetVm(), to.address)
		return fail("exchange", KindOtherDomain, nil)
	}
	if reply.GetVm() == n.cfg.VM && reply.GetIncarnation() == n.cfg.Incarnation {
		return nil // the seed address is this entry's own
	}
	c := n.cursorOf(reply.GetVm(), reply.GetIncarnation())
	c.selfUnsent, c.overBudget, c.lastExchange = false, reply.GetSaving(), n.now()
	c.fullSync = c.fullSync || m.GetFull()
	c.acked, c.received = next, fromWire(reply.GetTo())
	n.mergeMessage(reply)
	if to.vm != "" && reply.GetVm() != to.vm {
		if n.table.markReplaced(to.vm, to.incarnation) {
			n.requestPush()
		}
		return fail("exchange", KindReplaced, fmt.Errorf("%s answers at the address of %s", reply.GetVm(), to.vm))
	}
	return nil
}

// Reach handles an indirect probe: it exchanges with the requested entry on behalf
// of the caller.
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
