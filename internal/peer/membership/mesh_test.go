package membership

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

// mesh carries calls between nodes in memory, with delay, loss, cuts and pauses.
type mesh struct {
	t    testing.TB
	seed uint64
	key  string // of entries that start
	loss float64
	// instant carries without delay, for timed figures.
	instant bool

	mu     sync.Mutex
	rands  map[string]*rand.Rand
	nodes  map[string]*Node // by address
	cuts   map[[2]string]bool
	paused map[string]chan struct{} // by address
	list   []vmlist.VM
	inc    uint64
	calls  int     // messages sent, both ways
	polled float64 // bytes a second that an entry spends on polls of its upstreams
	offset uint64
	spare  map[string][]*memberwire.Spare // by failure domain
	busy   int                            // loads that change in each report; demands change, too, where it is above 0
}

func newMesh(t testing.TB, seed uint64) *mesh {
	return &mesh{
		t: t, seed: seed, key: "shared-key", rands: map[string]*rand.Rand{}, nodes: map[string]*Node{},
		cuts: map[[2]string]bool{}, paused: map[string]chan struct{}{}, spare: map[string][]*memberwire.Spare{},
	}
}

// start starts an entry at the address that is its name.
func (m *mesh) start(vm, domain string, seeds ...string) *Node {
	return m.startAt(vm, vm, domain, seeds...)
}

func (m *mesh) startAt(vm, address, domain string, seeds ...string) *Node {
	m.mu.Lock()
	m.inc++
	inc := m.inc
	m.mu.Unlock()
	begun := time.Now()
	n := New(Config{
		VM: vm, Domain: domain, Address: address, Incarnation: inc, Seeds: seeds, Rand: m.seed + xxh3.HashString(vm),
		Link: link.NewOver(vm, m.key, func(r *http.Request) (*http.Response, error) { return m.carry(address, r) }),
		List: func(context.Context) ([]vmlist.VM, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return slices.Clone(m.list), nil
		},
		Offset: func() uint64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.offset
		},
		Report: busyDemands(m.busy, vm),
		Loads:  busyLoads(m.busy, vm),
		Spent:  func() int64 { return int64(m.polled * time.Since(begun).Seconds()) },
		Spare:  func() []*memberwire.Spare { return m.spare[domain] },
		Log:    log.New(io.Discard), Scope: tally.NoopScope,
	})
	m.mu.Lock()
	m.nodes[address] = n
	m.mu.Unlock()
	n.Start()
	return n
}

// fleet starts entries of one failure domain that know the first one.
func (m *mesh) fleet(count int) []*Node {
	var out []*Node
	for i := range count {
		out = append(out, m.start(name(i), "a", name(0)))
	}
	return out
}

func name(i int) string { return fmt.Sprintf("entry-%02d", i) }

// kill ends an entry without a word.
func (m *mesh) kill(n *Node) {
	m.mu.Lock()
	delete(m.nodes, n.cfg.Address)
	m.mu.Unlock()
	n.stop()
	<-n.done
}

// stopAll ends what still runs.
func (m *mesh) stopAll() {
	m.mu.Lock()
	nodes := make([]*Node, 0, len(m.nodes))
	for _, n := range m.nodes {
		nodes = append(nodes, n)
	}
	for _, c := range m.paused {
		close(c)
	}
	m.paused = map[string]chan struct{}{}
	m.mu.Unlock()
	for _, n := range nodes {
		m.kill(n)
	}
}

func (m *mesh) cut(from, to string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[[2]string{from, to}] = down
}

// split cuts the two parts off from each other, or joins them.
func (m *mesh) split(a, b []*Node, down bool) {
	for _, x := range a {
		for _, y := range b {
			m.cut(x.cfg.Address, y.cfg.Address, down)
			m.cut(y.cfg.Address, x.cfg.Address, down)
		}
	}
}

func (m *mesh) pause(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[address] = make(chan struct{})
}

func (m *mesh) resume(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.paused[address])
	delete(m.paused, address)
}

func (m *mesh) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *mesh) setOffset(offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offset = offset
}

func (m *mesh) setList(vms ...vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = vms
}

// hop takes a message one way and reports whether it arrives.
func (m *mesh) hop(from, to string) bool {
	m.mu.Lock()
	r := m.rands[from+to]
	if r == nil {
		r = rand.New(rand.NewPCG(m.seed, xxh3.HashString(from+"\x00"+to)))
		m.rands[from+to] = r
	}
	delay := 200*time.Microsecond + time.Duration(r.Int64N(int64(300*time.Microsecond)))
	m.calls++
	lost := r.Float64() < m.loss || m.cuts[[2]string{from, to}]
	m.mu.Unlock()
	if !m.instant {
		time.Sleep(delay)
	}
	return !lost
}

// awake waits until the address is not paused or the context ends.
func (m *mesh) awake(ctx context.Context, address string) bool {
	m.mu.Lock()
	c := m.paused[address]
	m.mu.Unlock()
	if c == nil {
		return true
	}
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *mesh) carry(from string, r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	m.awake(context.Background(), from)
	if !m.hop(from, to) || !m.awake(r.Context(), to) {
		<-r.Context().Done()
		m.awake(context.Background(), from)
		return nil, r.Context().Err()
	}
	m.mu.Lock()
	n := m.nodes[to]
	m.mu.Unlock()
	if n == nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	n.cfg.Link.ServeHTTP(rec, r)
	if !m.hop(to, from) {
		<-r.Context().Done()
	}
	m.awake(context.Background(), from)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

// stateAt returns what the node knows of the VM.
func stateAt(n *Node, vm string) State {
	for _, p := range n.Peers() {
		if p.VM() == vm {
			return p.State()
		}
	}
	return ""
}

// await waits until every node but those named sees the VM in the state.
func await(nodes []*Node, vm string, want State, limit time.Duration) error {
	begun := time.Now()
	for {
		missing := ""
		for _, n := range nodes {
			if n.cfg.VM != vm && stateAt(n, vm) != want {
				missing = fmt.Sprintf("%s sees %s as %q after %s", n.cfg.VM, vm, stateAt(n, vm), time.Since(begun))
			}
		}
		if missing == "" {
			return nil
		}
		if time.Since(begun) >= limit {
			return fmt.Errorf("%s", missing)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// agree waits until all nodes see exactly these entries as live.
func agree(nodes []*Node, limit time.Duration) error {
	begun := time.Now()
	for {
		err := sameLive(nodes)
		if err == nil || time.Since(begun) >= limit {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func sameLive(nodes []*Node) error {
	var want []string
	for _, n := range nodes {
		want = append(want, n.cfg.VM)
	}
	slices.Sort(want)
	for _, n := range nodes {
		n.mu.Lock()
		got := n.live()
		n.mu.Unlock()
		if !slices.Equal(got, want) {
			return fmt.Errorf("%s sees %v, not %v", n.cfg.VM, got, want)
		}
	}
	return nil
}
