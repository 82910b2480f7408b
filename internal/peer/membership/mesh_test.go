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

// mesh is a simulated network that carries calls between nodes in memory, with delay,
// loss, cut links and paused nodes.
type mesh struct {
	t    testing.TB
	seed uint64
	key  string // shared key of entries started from now on
	loss float64
	// instant turns off the network delay, for benchmarks in real time.
	instant bool

	mu                 sync.Mutex
	rands              map[string]*rand.Rand
	nodes              map[string]*Node // by address
	cuts               map[[2]string]bool
	paused             map[string]chan struct{} // by address
	vmList             []vmlist.VM
	lastIncarnation    uint64
	messages           int     // requests and replies sent
	pollBytesPerSecond float64 // traffic of an entry for polling its upstreams
	offset             uint64
	spare              map[string][]*memberwire.Spare // by failure domain
	churn              int                            // number of loads that change in each report; above 0 demands change too
}

func newMesh(t testing.TB, seed uint64) *mesh {
	return &mesh{
		t: t, seed: seed, key: "shared-key", rands: map[string]*rand.Rand{}, nodes: map[string]*Node{},
		cuts: map[[2]string]bool{}, paused: map[string]chan struct{}{}, spare: map[string][]*memberwire.Spare{},
	}
}

// start starts an entry whose address is its name.
func (m *mesh) start(vm, domain string, seeds ...string) *Node {
	return m.startAt(vm, vm, domain, seeds...)
}

// startAt starts an entry at an address.
func (m *mesh) startAt(vm, address, domain string, seeds ...string) *Node {
	m.mu.Lock()
	m.lastIncarnation++
	incarnation := m.lastIncarnation
	m.mu.Unlock()
	start := time.Now()
	n := New(Config{
		VM: vm, Domain: domain, Address: address, Incarnation: incarnation, Seeds: seeds, RandSeed: m.seed + xxh3.HashString(vm),
		Link: link.NewOver(vm, m.key, func(r *http.Request) (*http.Response, error) { return m.roundTrip(address, r) }),
		List: func(context.Context) ([]vmlist.VM, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return slices.Clone(m.vmList), nil
		},
		Offset: func() uint64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.offset
		},
		Report: randomDemands(m.churn, vm),
		Loads:  randomLoads(m.churn, vm),
		Spent:  func() int64 { return int64(m.pollBytesPerSecond * time.Since(start).Seconds()) },
		Spare:  func() []*memberwire.Spare { return m.spare[domain] },
		Log:    log.New(io.Discard), Scope: tally.NoopScope,
	})
	m.mu.Lock()
	m.nodes[address] = n
	m.mu.Unlock()
	n.Start()
	return n
}

// startEntries starts entries in one failure domain with the first one as their seed.
func (m *mesh) startEntries(count int) []*Node {
	var out []*Node
	for i := range count {
		out = append(out, m.start(name(i), "a", name(0)))
	}
	return out
}

func name(i int) string { return fmt.Sprintf("entry-%02d", i) }

// crash stops an entry without announcing it.
func (m *mesh) crash(n *Node) {
	m.mu.Lock()
	delete(m.nodes, n.cfg.Address)
	m.mu.Unlock()
	n.stop()
	<-n.done
}

// stopAll resumes the paused entries and stops all.
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
		m.crash(n)
	}
}

// setCut cuts or restores the link between two addresses in one direction.
func (m *mesh) setCut(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[[2]string{from, to}] = cut
}

// setPartition cuts or restores all links between the two groups.
func (m *mesh) setPartition(a, b []*Node, cut bool) {
	for _, x := range a {
		for _, y := range b {
			m.setCut(x.cfg.Address, y.cfg.Address, cut)
			m.setCut(y.cfg.Address, x.cfg.Address, cut)
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

func (m *mesh) messageCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.messages
}

func (m *mesh) setOffset(offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offset = offset
}

func (m *mesh) setList(vms ...vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vmList = vms
}

// deliver simulates a message in one direction and reports whether it arrives.
func (m *mesh) deliver(from, to string) bool {
	m.mu.Lock()
	r := m.rands[from+to]
	if r == nil {
		r = rand.New(rand.NewPCG(m.seed, xxh3.HashString(from+"\x00"+to)))
		m.rands[from+to] = r
	}
	delay := 200*time.Microsecond + time.Duration(r.Int64N(int64(300*time.Microsecond)))
	m.messages++
	lost := r.Float64() < m.loss || m.cuts[[2]string{from, to}]
	m.mu.Unlock()
	if !m.instant {
		time.Sleep(delay)
	}
	return !lost
}

// waitResumed waits until the address is not paused. It returns false if the context
// ends first.
func (m *mesh) waitResumed(ctx context.Context, address string) bool {
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

// roundTrip carries a request and its reply. A call that is lost, or whose receiver
// is not running, blocks until its context ends.
func (m *mesh) roundTrip(from string, r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	m.waitResumed(context.Background(), from)
	if !m.deliver(from, to) || !m.waitResumed(r.Context(), to) {
		<-r.Context().Done()
		m.waitResumed(context.Background(), from)
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
	if !m.deliver(to, from) {
		<-r.Context().Done()
	}
	m.waitResumed(context.Background(), from)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

// stateSeenBy returns the state of the VM at the node, or "" if it is unknown.
func stateSeenBy(n *Node, vm string) State {
	for _, p := range n.Peers() {
		if p.VM() == vm {
			return p.State()
		}
	}
	return ""
}

// awaitState waits until every node other than the VM itself sees it in the state.
func awaitState(nodes []*Node, vm string, want State, limit time.Duration) error {
	start := time.Now()
	for {
		mismatch := ""
		for _, n := range nodes {
			if n.cfg.VM != vm && stateSeenBy(n, vm) != want {
				mismatch = fmt.Sprintf("%s sees %s as %q after %s", n.cfg.VM, vm, stateSeenBy(n, vm), time.Since(start))
			}
		}
		if mismatch == "" {
			return nil
		}
		if time.Since(start) >= limit {
			return fmt.Errorf("%s", mismatch)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitAgreement waits until every node sees exactly these nodes as live.
func awaitAgreement(nodes []*Node, limit time.Duration) error {
	start := time.Now()
	for {
		err := checkLive(nodes)
		if err == nil || time.Since(start) >= limit {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkLive returns an error unless every node sees exactly these nodes as live.
func checkLive(nodes []*Node) error {
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
			return fmt.Errorf("%s sees %v as live, want %v", n.cfg.VM, got, want)
		}
	}
	return nil
}
