package sends

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	localDelay  = 300 * time.Microsecond
	domainDelay = 1400 * time.Microsecond
	// arrival is the longest time from a change to its arrival at all entries: the delay of the
	// batch and the one that may be in progress, a hop to another failure domain and one within
	// it, and the interval at which the relay passes on.
	arrival = 2*flushDelay + passOnInterval + domainDelay + localDelay
)

// mesh is a set of exchanges on a network in memory.
type mesh struct {
	domains int
	list    []*meshEntry
	byAddr  map[string]*meshEntry

	mu      sync.Mutex
	lost    map[string]bool // addresses whose datagrams are lost, both ways
	crossed int             // datagrams between failure domains
}

// meshEntry is an entry of a mesh.
type meshEntry struct {
	*Exchange
	mesh    *mesh
	peer    Peer
	in      chan datagram
	closed  chan struct{}
	mu      sync.Mutex
	report  passes.Report
	reports map[string]passes.Report
	known   []Peer
}

type datagram struct {
	from net.Addr
	data []byte
}

func newMesh(t *testing.T, entries, domains int) *mesh {
	t.Helper()
	m := &mesh{domains: domains, byAddr: map[string]*meshEntry{}, lost: map[string]bool{}}
	for i := range entries {
		m.list = append(m.list, &meshEntry{
			mesh: m, in: make(chan datagram, 4096), closed: make(chan struct{}), reports: map[string]passes.Report{},
			peer: Peer{Address: fmt.Sprintf("10.%d.0.%d:7000", i%domains, 1+i/domains), Domain: fmt.Sprint(i % domains)},
		})
	}
	for _, e := range m.list {
		m.byAddr[e.peer.Address] = e
	}
	for _, e := range m.list {
		for _, o := range m.list {
			if o != e {
				e.known = append(e.known, o.peer)
			}
		}
		e.Exchange = New(e, time.Now(), Seams{
			Domain: e.peer.Domain, Report: e.own, OnReport: e.received, Peers: e.others,
			Positions: func() ([]platform.Position, time.Time) { return nil, time.Time{} }, OnPositions: func(string, []platform.Position, time.Time) {}, Log: log.New(io.Discard),
		})
		t.Cleanup(e.Exchange.Close)
	}
	return m
}

func (e *meshEntry) own() passes.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

func (e *meshEntry) received(from string, r passes.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports[from] = r
}

func (e *meshEntry) others() []Peer { return e.known }

// change gives the entry a report of n sends, each at an engine of its own.
func (e *meshEntry) change(n int) {
	e.mu.Lock()
	e.report = passes.Report{}
	for i := range n {
		e.report.Sends = append(e.report.Sends, passes.Send{Engine: fmt.Sprintf("i-%08x", i), Read: time.Second, Context: 1000, Gap: time.Second, At: time.Now(), Due: time.Now()})
	}
	e.mu.Unlock()
	e.Changed()
}

// has reports whether the entry has a report of n sends from another one.
func (e *meshEntry) has(from *meshEntry, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reports[from.peer.Address].Sends) == n
}

// without returns the entries that have no report of n sends from the given one.
func (m *mesh) without(from *meshEntry, n int) []string {
	var out []string
	for _, e := range m.list {
		if e != from && !e.has(from, n) {
			out = append(out, e.peer.Address)
		}
	}
	return out
}

func (m *mesh) lose(addr string, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[addr] = lost
}

// takeCrossed returns the number of datagrams between failure domains since the last call.
func (m *mesh) takeCrossed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.crossed
	m.crossed = 0
	return n
}

// The methods of net.PacketConn.

func (e *meshEntry) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-e.in:
		return copy(p, d.data), d.from, nil
	case <-e.closed:
		return 0, nil, net.ErrClosed
	}
}

func (e *meshEntry) WriteTo(p []byte, to net.Addr) (int, error) {
	m, data := e.mesh, append([]byte(nil), p...)
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.byAddr[to.String()]
	if m.lost[o.peer.Address] || m.lost[e.peer.Address] {
		return len(p), nil
	}
	delay := localDelay
	if o.peer.Domain != e.peer.Domain {
		delay = domainDelay
		m.crossed++
	}
	time.AfterFunc(delay, func() {
		select {
		case o.in <- datagram{e.LocalAddr(), data}:
		case <-o.closed:
		}
	})
	return len(p), nil
}

func (e *meshEntry) Close() error {
	close(e.closed)
	return nil
}

func (e *meshEntry) LocalAddr() net.Addr {
	addr, _ := net.ResolveUDPAddr("udp", e.peer.Address) // a literal address always resolves
	return addr
}

func (*meshEntry) SetDeadline(time.Time) error      { return nil }
func (*meshEntry) SetReadDeadline(time.Time) error  { return nil }
func (*meshEntry) SetWriteDeadline(time.Time) error { return nil }

// Every entry gets every report at once, whatever their number, and each change crosses to each
// other failure domain once. With more than 64 entries the reports used to stay within the
// failure domain, and entries overbooked engines of the other ones.
func TestReportsReachAllEntries(t *testing.T) {
	for _, entries := range []int{4, 60, 64, 65, 117} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newMesh(t, entries, 5-5/entries) // four entries are in four failure domains
				time.Sleep(probeInterval + arrival)   // until all know each other
				time.Sleep(2 * repeatInterval)
				m.takeCrossed()
				start, changes := time.Now(), 0
				for i, from := range []*meshEntry{m.list[0], m.list[entries/2], m.list[entries-1]} {
					time.Sleep(repeatInterval / 2)
					from.change(i + 1)
					changes++
					time.Sleep(arrival)
					is.Equal(m.without(from, i+1), nil)
				}
				time.Sleep(2 * repeatInterval)
				repeats := int(time.Since(start)/repeatInterval) + 1
				is.True(m.takeCrossed() <= (repeats*entries+changes)*(m.domains-1)) // each message crosses to each other domain once
			})
		})
	}
}

// The relay of a failure domain fails without notice. Reports of changes reach the other entries
// there with the next repeat, by another relay, and at once when its silence was noticed.
func TestReportsOutliveRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMesh(t, 30, 3)
		time.Sleep(2 * probeInterval)
		from := m.list[0]
		var list []Peer
		for _, o := range from.others() {
			if o.Domain == "1" {
				list = append(list, o)
			}
		}
		from.Exchange.mu.Lock()
		relay := from.relayOf(list, time.Now(), true)
		from.Exchange.mu.Unlock()
		m.lose(relay.Address, true)
		from.change(1)
		time.Sleep(repeatInterval + arrival)
		is.Equal(m.without(from, 1), []string{relay.Address})
		time.Sleep(relayTimeout + repeatInterval)
		from.change(2)
		time.Sleep(arrival)
		is.Equal(m.without(from, 2), []string{relay.Address})
		m.lose(relay.Address, false)
		time.Sleep(probeInterval + repeatInterval + arrival)
		is.Equal(m.without(from, 2), nil)
	})
}

// An entry is not taken for dead because of its failure domain: at the start, those of other
// domains used to time out.
func TestEntriesOfOtherDomainsStayLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries = 65
		m := newMesh(t, entries, 5)
		time.Sleep(peerTimeout + probeInterval)
		for _, e := range m.list {
			e.Exchange.mu.Lock()
			for addr, p := range e.peers {
				if !p.live {
					t.Errorf("%s takes %s for down", e.peer.Address, addr)
				}
			}
			e.Exchange.mu.Unlock()
		}
		is.Equal(len(m.list[0].Exchange.peers), entries-1)
	})
}

// A report that is larger than a datagram arrives in parts, with the leaving flag. It used to be
// dropped.
func TestLargeReportArrivesInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMesh(t, 6, 2)
		time.Sleep(2 * probeInterval)
		from := m.list[0]
		const sends = 6000
		is.True(len((&message{start: 1, sends: func() []passes.Send { from.change(sends); return from.own().Sends }()}).encode(time.Now(), maxMessageBytes)) > 1)
		from.Leave()
		time.Sleep(arrival + passOnInterval) // the relay may pass the parts on by two turns
		is.Equal(m.without(from, sends), nil)
		for _, e := range m.list[1:] {
			e.Exchange.mu.Lock()
			is.True(e.Exchange.peers[from.peer.Address].leaving)
			e.Exchange.mu.Unlock()
		}
	})
}

// A datagram that was passed on is never passed on again, whatever it asks for.
func TestRelayedMessageIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	x.seams.Peers = func() []Peer {
		t.Error("the message is passed on")
		return nil
	}
	m := message{start: 1, seq: 1}
	x.receive("10.0.0.2:1", envelop([]relayed{{"10.0.0.1:1", askToPassOn(m.encode(testNow, maxMessageBytes)[0])}}, maxDatagramBytes)[0], testNow)
	is.True(x.peers["10.0.0.1:1"].live)
	is.True(x.peers["10.0.0.2:1"] == nil) // the relay has not reported itself
}

// A program that does not know envelopes takes none for a message.
func TestEnvelopeIsNoMessage(t *testing.T) {
	m := message{start: 1, seq: 1}
	_, err := decode(envelop([]relayed{{"10.0.0.1:1", m.encode(testNow, maxMessageBytes)[0]}}, maxDatagramBytes)[0], testNow)
	is.New(t).True(err != nil && strings.Contains(err.Error(), "malformed"))
}
