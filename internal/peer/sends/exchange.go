// Package sends reports this entry's prompts in flight to the other entries over UDP, at
// each change and at regular intervals, and receives their reports. A message holds the
// sender's complete state, so a lost or late one has no effect beyond the next message.
package sends

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
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
	// probeInterval is how often a message is sent to an entry that is down.
	probeInterval   = time.Second
	maxMessageBytes = 60_000 // below the size limit of a UDP datagram
)

// Seams are the callbacks and settings of an Exchange.
type Seams struct {
	// Report returns this entry's report: its sends, the paces that engines reported to it and
	// the requests that wait.
	Report func() passes.Report
	// OnReport receives another entry's report, by its address; an empty one when it is down.
	OnReport func(entry string, r passes.Report)
	// Peers returns the addresses of the other entries.
	Peers func() []string
	// Offsets returns how far this entry has read each of the store's topics, or nil to leave
	// the offsets out of the message. OnOffsets receives another entry's offsets.
	Offsets   func() []uint64
	OnOffsets func(entry string, offsets []uint64)
	Log       *log.Logger
}

// Exchange sends this entry's reports and receives those of others. It is safe for
// concurrent use.
type Exchange struct {
	conn  net.PacketConn
	self  string // this entry's address
	seams Seams
	start uint64
	wake  chan struct{}
	stop  chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	peers     map[string]*peer // by address
	leaving   bool
	seq       uint64
	sentBytes uint64
}

type peer struct {
	start        uint64
	seq          uint64
	lastReceived time.Time
	lastSent     time.Time
	live         bool
	leaving      bool
	leavingSince time.Time // when its first message with the leaving flag arrived
}

// New starts an exchange over conn. The start time identifies this process to the other
// entries. Close stops the exchange and closes conn.
func New(conn net.PacketConn, start time.Time, seams Seams) *Exchange {
	x := &Exchange{
		conn: conn, self: conn.LocalAddr().String(), seams: seams, start: uint64(start.UnixNano()),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), peers: map[string]*peer{},
	}
	x.done.Add(2)
	go x.sendLoop()
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

// SentBytes returns the number of bytes sent.
func (x *Exchange) SentBytes() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sentBytes
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
	offsets := x.seams.Offsets()
	x.mu.Lock()
	x.seq++
	m := message{start: x.start, seq: x.seq, leaving: x.leaving, sends: report.Sends, paces: report.Paces, waits: report.Waits, offsets: offsets}
	x.mu.Unlock()
	b := m.encode(now)
	if len(b) > maxMessageBytes {
		x.seams.Log.Warn("Report exceeds the message size limit; not sent to other entries.", "bytes", len(b), "sends", len(report.Sends))
		return
	}
	for _, addr := range x.seams.Peers() {
		if x.shouldSend(addr, now, changed) {
			x.send(addr, b)
		}
	}
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

// shouldSend reports whether a message to an entry is due, and records it as sent. An entry
// that is down gets one only at each probeInterval.
func (x *Exchange) shouldSend(addr string, now time.Time, changed bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(addr)
	interval := probeInterval
	if p.live {
		interval = repeatInterval
	}
	if !(p.live && changed) && now.Sub(p.lastSent) < interval {
		return false
	}
	p.lastSent = now
	return true
}

func (x *Exchange) send(addr string, b []byte) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = x.conn.WriteTo(b, to)
	}
	if err != nil {
		x.seams.Log.Debug("Sending the report to an entry failed.", "entry", addr, "err", err)
	}
	x.mu.Lock()
	x.sentBytes += uint64(len(b))
	x.mu.Unlock()
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
	b := make([]byte, maxMessageBytes)
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
		now := time.Now()
		m, err := decode(b[:n], now)
		if err != nil {
			x.seams.Log.Warn("Received a malformed message.", "from", from.String(), "err", err)
			continue
		}
		if x.accept(from.String(), &m, now) {
			x.seams.OnReport(from.String(), passes.Report{Sends: m.sends, Paces: m.paces, Waits: m.waits})
			if len(m.offsets) > 0 {
				x.seams.OnOffsets(from.String(), m.offsets)
			}
		}
	}
}

// accept reports whether a message is newer than its sender's last one, and updates the
// sender's state if so.
func (x *Exchange) accept(addr string, m *message, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(addr)
	switch {
	case m.start == p.start && m.seq <= p.seq:
		return false
	case m.start < p.start && now.Sub(p.lastReceived) <= restartTimeout:
		return false // sent before the entry restarted
	}
	if !p.live || m.start != p.start {
		x.Changed() // the entry has no report of this one yet
		x.seams.Log.Info("Entry is up.", "entry", addr, "restarted", p.start != 0 && m.start != p.start)
	}
	if m.leaving && !p.leaving {
		p.leavingSince = now
	}
	p.start, p.seq, p.lastReceived, p.live, p.leaving = m.start, m.seq, now, true, m.leaving
	return true
}
