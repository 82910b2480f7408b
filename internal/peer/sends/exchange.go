// Package sends tells the other entries what this entry has sent to engines, at
// each change, and keeps what they tell. A message holds all that its sender has
// under way, so one that is lost or late harms until the next one only.
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
	// settle is how long changes are gathered before they are told: well under a pass.
	settle = 3 * time.Millisecond
	// repeatEvery repeats what has not changed, for messages that were lost.
	repeatEvery = 300 * time.Millisecond
	// silentAfter is the silence after which an entry is taken to be gone: ten repeats.
	silentAfter = 3 * time.Second
	// startOver is the silence after which a message with an earlier start is believed: the
	// clock was set back before the entry started again. Three repeats of its earlier life
	// would have come by then.
	startOver = 3 * repeatEvery
	// probeEvery is how often an entry that is silent is told anything.
	probeEvery = time.Second
	maxMessage = 60_000 // bytes, below the limit of a datagram
)

// Seams are what an exchange asks of the rest of the entry.
type Seams struct {
	// Own returns what this entry tells: its sends, what engines told it and what waits.
	Own func() passes.Report
	// Tell takes in what another entry told; nothing where it is gone.
	Tell func(entry string, r passes.Report)
	// Peers returns the addresses of the other entries.
	Peers func() []string
	// Offsets returns how far this entry has read the store's topics; nil where the
	// others are not told. Hint takes in what another entry tells.
	Offsets func() []uint64
	Hint    func(entry string, offsets []uint64)
	Log     *log.Logger
}

// Exchange tells and listens. Its methods may be called from any goroutine.
type Exchange struct {
	conn  net.PacketConn
	self  string // own address
	seams Seams
	start uint64
	kick  chan struct{}
	stop  chan struct{}
	done  sync.WaitGroup

	mu      sync.Mutex
	peers   map[string]*peer // by address
	leaving bool
	count   uint64
	sent    uint64 // bytes
}

type peer struct {
	start   uint64
	count   uint64
	heard   time.Time
	told    time.Time
	live    bool
	leaving bool
	left    time.Time // when it was first heard to leave
}

// New starts an exchange over the connection. Close ends both.
func New(conn net.PacketConn, start time.Time, seams Seams) *Exchange {
	x := &Exchange{
		conn: conn, self: conn.LocalAddr().String(), seams: seams, start: uint64(start.UnixNano()),
		kick: make(chan struct{}, 1), stop: make(chan struct{}), peers: map[string]*peer{},
	}
	x.done.Add(2)
	go x.tell()
	go x.listen()
	return x
}

// Changed makes the exchange tell what is under way soon.
func (x *Exchange) Changed() {
	select {
	case x.kick <- struct{}{}:
	default: // it will tell anyway
	}
}

// Leave tells the others that this entry is leaving.
func (x *Exchange) Leave() {
	x.mu.Lock()
	x.leaving = true
	x.mu.Unlock()
	x.Changed()
}

// Close ends the exchange.
func (x *Exchange) Close() {
	close(x.stop)
	_ = x.conn.Close() // ends the listener
	x.done.Wait()
}

// Rank returns this entry's place among those that were heard lately, in an order
// that all entries share.
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

// Staying reports whether another entry is heard that is not leaving. Where none is, left is
// when the first of those that are leaving began to; zero where there is none.
func (x *Exchange) Staying() (staying bool, left time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		switch {
		case !p.live:
		case !p.leaving:
			return true, time.Time{}
		case left.IsZero() || p.left.Before(left):
			left = p.left
		}
	}
	return false, left
}

// Sent returns the bytes sent.
func (x *Exchange) Sent() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

func (x *Exchange) tell() {
	defer x.done.Done()
	for {
		changed := true
		select {
		case <-x.stop:
			return
		case <-x.kick:
			select {
			case <-time.After(settle):
			case <-x.stop:
				return
			}
		case <-time.After(repeatEvery):
			changed = false
		}
		x.round(time.Now(), changed)
	}
}

func (x *Exchange) round(now time.Time, changed bool) {
	x.silence(now)
	own := x.seams.Own()
	offsets := x.seams.Offsets()
	x.mu.Lock()
	x.count++
	m := message{start: x.start, count: x.count, leaving: x.leaving, sends: own.Sends, paces: own.Paces, waits: own.Waits, offsets: offsets}
	x.mu.Unlock()
	b := m.encode(now)
	if len(b) > maxMessage {
		x.seams.Log.Warn("More is under way than a message holds; the others are not told.", "bytes", len(b), "sends", len(own.Sends))
		return
	}
	for _, addr := range x.seams.Peers() {
		if x.due(addr, now, changed) {
			x.send(addr, b)
		}
	}
}

// peer returns what is known of the entry at an address. The lock is held.
func (x *Exchange) peer(addr string) *peer {
	p := x.peers[addr]
	if p == nil {
		p = &peer{}
		x.peers[addr] = p
	}
	return p
}

// due reports whether an entry is told now: a silent one only now and then.
func (x *Exchange) due(addr string, now time.Time, changed bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(addr)
	every := probeEvery
	if p.live {
		every = repeatEvery
	}
	if !(p.live && changed) && now.Sub(p.told) < every {
		return false
	}
	p.told = now
	return true
}

func (x *Exchange) send(addr string, b []byte) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = x.conn.WriteTo(b, to)
	}
	if err != nil {
		x.seams.Log.Debug("An entry can't be told what is under way.", "entry", addr, "err", err)
	}
	x.mu.Lock()
	x.sent += uint64(len(b))
	x.mu.Unlock()
}

// silence forgets what entries told that were not heard for long.
func (x *Exchange) silence(now time.Time) {
	var gone []string
	x.mu.Lock()
	for addr, p := range x.peers {
		if p.live && now.Sub(p.heard) > silentAfter {
			p.live = false
			gone = append(gone, addr)
		}
	}
	x.mu.Unlock()
	for _, addr := range gone {
		x.seams.Log.Warn("An entry is silent; what it has under way is forgotten.", "entry", addr, "after", silentAfter)
		x.seams.Tell(addr, passes.Report{})
	}
}

func (x *Exchange) listen() {
	defer x.done.Done()
	b := make([]byte, maxMessage)
	for {
		n, from, err := x.conn.ReadFrom(b)
		if err != nil {
			select {
			case <-x.stop:
				return
			case <-time.After(settle):
				continue // an answer that a port is closed ends no listening
			}
		}
		now := time.Now()
		m, err := decode(b[:n], now)
		if err != nil {
			x.seams.Log.Warn("A message could not be read.", "from", from.String(), "err", err)
			continue
		}
		if x.fresh(from.String(), &m, now) {
			x.seams.Tell(from.String(), passes.Report{Sends: m.sends, Paces: m.paces, Waits: m.waits})
			if len(m.offsets) > 0 {
				x.seams.Hint(from.String(), m.offsets)
			}
		}
	}
}

// fresh reports whether a message is newer than what its sender told before.
func (x *Exchange) fresh(addr string, m *message, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(addr)
	switch {
	case m.start == p.start && m.count <= p.count:
		return false
	case m.start < p.start && now.Sub(p.heard) <= startOver:
		return false // sent before it started again
	}
	if !p.live || m.start != p.start {
		x.Changed() // it knows nothing of this entry's sends
		x.seams.Log.Info("An entry is heard.", "entry", addr, "restarted", p.start != 0 && m.start != p.start)
	}
	if m.leaving && !p.leaving {
		p.left = now
	}
	p.start, p.count, p.heard, p.live, p.leaving = m.start, m.count, now, true, m.leaving
	return true
}
