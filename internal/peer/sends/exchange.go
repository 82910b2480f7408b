// Package sends reports this entry's prompts in flight to the other entries over UDP, at
// each change and at regular intervals, and receives their reports. A message holds the
// sender's complete state, or the changes since the last such message, so a lost or late one
// has no effect beyond the next complete one.
//
// A message goes to one entry of each failure domain, the relay, which passes it on within its
// domain, together with what else came within passOnInterval. So the bytes between failure
// domains grow with the number of domains, and the datagrams with that of the entries, not with
// its square. Repeats take another relay than the reports of changes: a relay that fails holds
// up a report until the next repeat only.
package sends

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/throttle"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// flushDelay is how long changes are batched before a message is sent: well below the
	// duration of an engine's pass.
	flushDelay = 3 * time.Millisecond
	// repeatInterval is how often an unchanged report is resent, to make up for lost messages.
	repeatInterval = 300 * time.Millisecond
	// peerTimeout is the silence after which an entry is considered down: ten repeat intervals.
	peerTimeout = 3 * time.Second
	// restartTimeout is the silence after which a message with an earlier start time is
	// accepted, as the entry's clock may have been set back before a restart. If the process
	// with the later start time still ran, it would have sent three messages by then.
	restartTimeout = 3 * repeatInterval
	// cutOffTimeout is how long an entry that is down may still serve in another part of a partition.
	cutOffTimeout = time.Minute
	// probeInterval is how often a message is sent to an entry that is down.
	probeInterval = time.Second
	// passOnInterval is the shortest time between datagrams with which a relay passes messages
	// on: well below the duration of an engine's pass.
	passOnInterval = 8 * time.Millisecond
	// relayGroups is the number of relays of a failure domain. Each sender is in one of the
	// groups.
	relayGroups = 2
	// relayTimeout is the silence after which an entry is no longer chosen as a relay: three
	// repeats of it were lost.
	relayTimeout = time.Second
	// maxMessageBytes is the size limit of a message. A datagram holds 65,507 bytes, among
	// them the envelope of a relayed message.
	maxMessageBytes = 60_000
	// maxDatagramBytes is the size limit of a datagram.
	maxDatagramBytes = 65_507
)

// Peer is another entry.
type Peer struct {
	Address string // host:port for messages
	Domain  string // its failure domain
}

// Seams are the callbacks and settings of an Exchange.
type Seams struct {
	Domain string // this entry's failure domain
	// Report returns this entry's report: its sends, the paces that engines reported to it and
	// the requests that wait.
	Report func() passes.Report
	// OnReport receives another entry's report, by its address; an empty one when it is down.
	OnReport func(entry string, r passes.Report)
	// Peers returns the other entries.
	Peers func() []Peer
	// Positions returns how far this entry has read each of the store's topics, or nil to leave
	// that out of the message, and since when the store has answered this entry, or zero if that
	// is not known. OnPositions receives those of another entry. If it runs an earlier version, its
	// positions are in no epoch, and the time is zero.
	Positions   func() (list []platform.Position, served time.Time)
	OnPositions func(entry string, list []platform.Position, served time.Time)
	// Held returns what this entry knows of segments on which upstreams crash. OnHeld receives what
	// another entry knows. nil: nothing.
	Held   func() quarantine.Report
	OnHeld func(r quarantine.Report)
	// Rates returns the rates that upstreams named to this entry. OnRates receives what another
	// entry heard. nil: none.
	Rates   func() []throttle.Rate
	OnRates func(list []throttle.Rate)
	// Loads returns this entry's loads of plain servers. OnLoads receives those of another entry. nil:
	// none.
	Loads   func() []capacity.Load
	OnLoads func(entry string, list []capacity.Load)
	// CutOff reports whether this entry connects to no upstream. nil: it is not.
	CutOff func() bool
	Log    *log.Logger
}

// Exchange sends this entry's reports and receives those of others. It is safe for
// concurrent use.
type Exchange struct {
	conn  net.PacketConn
	self  string // this entry's address
	seams Seams
	start uint64
	wake  chan struct{}
	relay chan struct{} // messages to pass on are pending
	stop  chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	pending   []relayed            // to pass on
	peers     map[string]*peer     // by address
	relayedTo map[string]time.Time // by failure domain: when a relay there got the latest message
	leaving   bool
	loadsAt   time.Time // when loads were reported last
	seq       uint64
	whole     wholeState // of this entry, in the latest message that held all
	sent      Traffic
}

// wholeState is the state in a message that held all of it.
type wholeState struct {
	seq   uint64
	at    time.Time // zero: the next message has to hold all
	sends []passes.Send
}

// Traffic counts what an exchange has sent.
type Traffic struct {
	Bytes       uint64
	DomainBytes uint64 // of Bytes, those to other failure domains
}

type peer struct {
	start        uint64
	seq          uint64
	parts        assembly // of the latest message in parts, which later ones may overtake
	whole        wholeState
	lastReceived time.Time
	lastSent     time.Time
	live         bool
	leaving      bool
	cutOff       bool      // connects to no upstream
	leavingSince time.Time // when its first message with the leaving flag arrived
}

// isSilent reports whether the entry has not been heard for longer than some lost repeats explain.
func (p *peer) isSilent(now time.Time) bool { return now.Sub(p.lastReceived) > relayTimeout }

// isOld reports whether a message of the same process, or the part of it, has been received or
// overtaken. Parts of a message may come after later messages, which hold the changes since.
func (p *peer) isOld(m *message) bool {
	switch {
	case m.start != p.start:
		return false
	case m.parts > 1:
		return m.seq <= p.whole.seq || m.seq < p.parts.seq || m.seq == p.parts.seq && p.parts.received[m.part]
	default:
		return m.seq <= p.seq
	}
}

// New starts an exchange over conn. The start time identifies this process to the other
// entries. Close stops the exchange and closes conn.
func New(conn net.PacketConn, start time.Time, seams Seams) *Exchange {
	x := &Exchange{
		conn: conn, self: conn.LocalAddr().String(), seams: seams, start: uint64(start.UnixNano()),
		wake: make(chan struct{}, 1), relay: make(chan struct{}, 1), stop: make(chan struct{}), peers: map[string]*peer{}, relayedTo: map[string]time.Time{},
	}
	x.done.Add(3)
	go x.sendLoop()
	go x.relayLoop()
	go x.receiveLoop()
	return x
}

// Changed schedules a message to the other entries after flushDelay.
func (x *Exchange) Changed() {
	select {
	case x.wake <- struct{}{}:
	default: // a message is scheduled already
	}
}

// Leave announces to the other entries that this entry is shutting down.
func (x *Exchange) Leave() {
	x.mu.Lock()
	x.leaving = true
	x.mu.Unlock()
	x.Changed()
}

// Close stops the exchange and closes its connection.
func (x *Exchange) Close() {
	close(x.stop)
	_ = x.conn.Close() // unblocks receiveLoop
	x.done.Wait()
}

// Rank returns this entry's position among the live entries that are not leaving, ordered
// by the hash of their addresses, so that all entries agree on the order.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	own, rank := xxh3.HashString(x.self), 0
	for addr, p := range x.peers {
		if p.live && !p.leaving && xxh3.HashString(addr) < own {
			rank++
		}
	}
	return rank
}

// Members returns the entries that serve, as far as is known: the live ones that are not leaving,
// and the number of those that were live lately and did not leave.
func (x *Exchange) Members() throttle.Members {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, now := throttle.Members{Self: x.self}, time.Now()
	if !x.leaving {
		m.Live = append(m.Live, x.self)
	}
	for addr, p := range x.peers {
		switch {
		case p.leaving:
		case p.live:
			m.Live = append(m.Live, addr)
		case !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < cutOffTimeout:
			m.Silent++
		}
	}
	return m
}

// Staying reports whether another live entry is not leaving. If there is none, leavingSince
// is when the first of the live entries announced that it leaves, or zero without any.
func (x *Exchange) Staying() (staying bool, leavingSince time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		switch {
		case !p.live:
		case !p.leaving:
			return true, time.Time{}
		case leavingSince.IsZero() || p.leavingSince.Before(leavingSince):
			leavingSince = p.leavingSince
		}
	}
	return false, leavingSince
}

// Connected returns the live entries that have been heard lately and connect to upstreams: those that
// stay, and those that are leaving.
func (x *Exchange) Connected() (staying, leaving []Peer) {
	list, now := x.seams.Peers(), time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range list {
		p := x.peers[o.Address]
		switch {
		case p == nil || !p.live || p.cutOff || p.isSilent(now):
		case p.leaving:
			leaving = append(leaving, o)
		default:
			staying = append(staying, o)
		}
	}
	return staying, leaving
}

// Sent returns what was sent so far.
func (x *Exchange) Sent() Traffic {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

func (x *Exchange) sendLoop() {
	defer x.done.Done()
	for {
		changed := true
		select {
		case <-x.stop:
			return
		case <-x.wake:
			select {
			case <-time.After(flushDelay):
			case <-x.stop:
				return
			}
		case <-time.After(repeatInterval):
			changed = false
		}
		x.broadcast(time.Now(), changed)
	}
}

func (x *Exchange) broadcast(now time.Time, changed bool) {
	x.expirePeers(now)
	report := x.seams.Report()
	sortByEngine(report.Sends)
	read, served := x.seams.Positions()
	var held quarantine.Report
	if x.seams.Held != nil {
		held = x.seams.Held()
	}
	var rates []throttle.Rate
	if x.seams.Rates != nil {
		rates = x.seams.Rates()
	}
	cutOff := x.seams.CutOff != nil && x.seams.CutOff()
	loads := x.loads(now, changed)
	x.mu.Lock()
	x.seq++
	m := message{start: x.start, seq: x.seq, leaving: x.leaving, cutOff: cutOff, sends: report.Sends, paces: report.Paces, waits: report.Waits, read: read, served: served, held: held, rates: rates, loads: loads}
	parts := x.encode(&m, changed, now)
	x.mu.Unlock()
	if len(parts) > 1 {
		x.seams.Log.Info("Report sent in parts.", "parts", len(parts), "sends", len(report.Sends))
	}
	for _, r := range x.recipients(now, changed) {
		for _, b := range parts {
			if r.passOn {
				b = askToPassOn(b)
			}
			x.send(r.peer, b)
		}
	}
}

// loads returns the loads of plain servers if they are due: with each repeat, and with messages of
// changes at most every loadInterval.
func (x *Exchange) loads(now time.Time, changed bool) []capacity.Load {
	if x.seams.Loads == nil {
		return nil
	}
	x.mu.Lock()
	due := !changed || now.Sub(x.loadsAt) >= loadInterval
	if due {
		x.loadsAt = now
	}
	x.mu.Unlock()
	if !due {
		return nil
	}
	return x.seams.Loads()
}

// encode encodes a message of this entry's state: all of it for a repeat, and where there was none
// for repeatInterval or the changes since then don't fit into one datagram. x.mu must be held.
func (x *Exchange) encode(m *message, changed bool, now time.Time) [][]byte {
	if changed && now.Sub(x.whole.at) < repeatInterval {
		changes := m.changesSince(x.whole)
		if parts := changes.encode(now, maxMessageBytes); len(parts) == 1 {
			return parts
		}
	}
	x.whole = wholeState{seq: m.seq, at: now, sends: m.sends}
	return m.encode(now, maxMessageBytes)
}

// peer returns the state of the entry at an address. The caller holds the lock.
func (x *Exchange) peer(addr string) *peer {
	p := x.peers[addr]
	if p == nil {
		p = &peer{}
		x.peers[addr] = p
	}
	return p
}

// recipient is an entry that gets a message.
type recipient struct {
	peer   Peer
	passOn bool // it is the relay for its failure domain
}

// recipients returns the entries to which a message is due, and records it as sent to them: the
// relay of each failure domain, and at each probeInterval the entries that are down.
func (x *Exchange) recipients(now time.Time, changed bool) []recipient {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []recipient
	domains := map[string][]Peer{} // live entries
	for _, o := range x.seams.Peers() {
		p := x.peer(o.Address)
		switch {
		case p.live:
			domains[o.Domain] = append(domains[o.Domain], o)
		case now.Sub(p.lastSent) >= probeInterval:
			p.lastSent = now
			out = append(out, recipient{peer: o})
		}
	}
	for domain, list := range domains {
		if changed || now.Sub(x.relayedTo[domain]) >= repeatInterval {
			to := x.relayOf(list, now, changed)
			x.relayedTo[domain], x.peers[to.Address].lastSent = now, now
			out = append(out, recipient{peer: to, passOn: len(list) > 1})
		}
	}
	return out
}

// relayOf returns the entry that passes this entry's messages on to the given live ones of one
// failure domain: the first one by a hash of its address and this entry's group, and for a repeat
// the second one. Entries that are silent or leaving are the last resort. x.mu must be held.
func (x *Exchange) relayOf(list []Peer, now time.Time, changed bool) Peer {
	group := strconv.FormatUint(xxh3.HashString(x.self)%relayGroups, 10)
	lastResort := func(o Peer) int {
		if p := x.peers[o.Address]; p.leaving || p.isSilent(now) {
			return 1
		}
		return 0
	}
	hash := func(o Peer) uint64 { return xxh3.HashString(group + " " + o.Address) }
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(lastResort(a), lastResort(b)), cmp.Compare(hash(a), hash(b)))
	})
	if !changed && len(list) > 1 {
		return list[1]
	}
	return list[0]
}

func (x *Exchange) send(o Peer, b []byte) {
	to, err := net.ResolveUDPAddr("udp", o.Address)
	if err == nil {
		_, err = x.conn.WriteTo(b, to)
	}
	if err != nil {
		x.seams.Log.Debug("Sending the report to an entry failed.", "entry", o.Address, "err", err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent.Bytes += uint64(len(b))
	if o.Domain != x.seams.Domain {
		x.sent.DomainBytes += uint64(len(b))
	}
}

// passOn keeps a message for the next datagrams of relayLoop.
func (x *Exchange) passOn(origin string, b []byte) {
	x.mu.Lock()
	x.pending = append(x.pending, relayed{origin: origin, data: slices.Clone(b)})
	x.mu.Unlock()
	select {
	case x.relay <- struct{}{}:
	default: // a pass is scheduled already
	}
}

// relayLoop passes pending messages on to the live entries of the own failure domain, which get
// them from no one else. Those that are down get probes of the senders.
func (x *Exchange) relayLoop() {
	defer x.done.Done()
	for {
		select {
		case <-x.relay:
		case <-x.stop:
			return
		}
		x.mu.Lock()
		list := x.pending
		x.pending = nil
		var to []Peer
		for _, o := range x.seams.Peers() {
			if o.Domain == x.seams.Domain && x.peer(o.Address).live {
				to = append(to, o)
			}
		}
		x.mu.Unlock()
		for _, b := range envelop(list, maxDatagramBytes) {
			for _, o := range to {
				x.send(o, b)
			}
		}
		select {
		case <-time.After(passOnInterval):
		case <-x.stop:
			return
		}
	}
}

// expirePeers discards the reports of entries that were silent for longer than peerTimeout.
func (x *Exchange) expirePeers(now time.Time) {
	var expired []string
	x.mu.Lock()
	for addr, p := range x.peers {
		if p.live && now.Sub(p.lastReceived) > peerTimeout {
			p.live = false
			expired = append(expired, addr)
		}
	}
	x.mu.Unlock()
	for _, addr := range expired {
		x.seams.Log.Warn("Entry timed out; its report is discarded.", "entry", addr, "after", peerTimeout)
		x.seams.OnReport(addr, passes.Report{})
	}
}

func (x *Exchange) receiveLoop() {
	defer x.done.Done()
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.conn.ReadFrom(b)
		if err != nil {
			select {
			case <-x.stop:
				return
			case <-time.After(flushDelay):
				continue // e.g. an ICMP port unreachable; keep receiving
			}
		}
		x.receive(from.String(), b[:n], time.Now())
	}
}

// receive handles a datagram: a message of its sender, or those that its sender passes on.
func (x *Exchange) receive(from string, b []byte, now time.Time) {
	list, err := open(b)
	if err != nil {
		x.seams.Log.Warn("Received a malformed message.", "from", from, "err", err)
		return
	}
	if list == nil {
		x.receiveMessage(from, b, true, now)
		return
	}
	for _, r := range list {
		if r.origin != x.self {
			x.receiveMessage(r.origin, r.data, false, now)
		}
	}
}

// receiveMessage handles a message of the entry at an address. Only one that came from it directly
// may be passed on.
func (x *Exchange) receiveMessage(from string, b []byte, direct bool, now time.Time) {
	m, err := decode(b, now)
	if err != nil {
		x.seams.Log.Warn("Received a malformed message.", "from", from, "err", err)
		return
	}
	report, complete, isNew := x.accept(from, &m, now)
	if !isNew {
		return
	}
	if m.passOn && direct {
		x.passOn(from, b)
	}
	if complete {
		x.seams.OnReport(from, report)
	}
	if len(m.read) > 0 {
		x.seams.OnPositions(from, m.read, m.served)
	}
	if x.seams.OnHeld != nil {
		x.seams.OnHeld(m.held)
	}
	if x.seams.OnRates != nil {
		x.seams.OnRates(m.rates)
	}
	if x.seams.OnLoads != nil && len(m.loads) > 0 {
		x.seams.OnLoads(from, m.loads)
	}
}

// accept reports whether a message, or the part of it, is new, and updates its sender's state if
// so. It returns the report once all parts have arrived.
func (x *Exchange) accept(addr string, m *message, now time.Time) (report passes.Report, complete, isNew bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(addr)
	if p.isOld(m) || m.start < p.start && now.Sub(p.lastReceived) <= restartTimeout { // the latter was sent before the entry restarted
		return passes.Report{}, false, false
	}
	if !p.live || m.start != p.start {
		x.whole.at = time.Time{}
		x.Changed() // the entry has no report of this one yet
		x.seams.Log.Info("Entry is up.", "entry", addr, "restarted", p.start != 0 && m.start != p.start)
	}
	if m.start != p.start {
		p.start, p.seq, p.leaving, p.parts, p.whole = m.start, 0, false, assembly{}, wholeState{}
	}
	if m.leaving && !p.leaving {
		p.leavingSince = now
	}
	if m.seq >= p.seq {
		p.cutOff = m.cutOff
	}
	p.seq, p.lastReceived, p.live, p.leaving = max(p.seq, m.seq), now, true, p.leaving || m.leaving
	report, complete = passes.Report{Sends: m.sends, Paces: m.paces, Waits: m.waits}, true
	if m.parts > 1 {
		report, complete = p.parts.add(m)
	}
	switch {
	case !complete:
	case m.base == 0:
		sortByEngine(report.Sends) // parts come in any order
		p.whole = wholeState{seq: m.seq, sends: report.Sends}
	case m.base == p.whole.seq:
		report.Sends = m.applyTo(p.whole.sends)
	default:
		complete = false // the message with the state that this one changes was lost
	}
	return report, complete, true
}
