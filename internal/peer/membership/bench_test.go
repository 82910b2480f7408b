package membership

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/limits"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// The target of a node and a failure domain.
const (
	targetEntries   = 79
	targetUpstreams = 280
	targetBytes     = 4096 // bytes a second
	targetCPU       = 1.6  // percent of a core
	targetMemory    = 128  // MB
	targetDeath     = 3 * time.Second
	targetLeave     = 3 * time.Second
	// targetFalse is how many false suspicions there may be in falseHours node-hours.
	targetFalse = 1.0
	falseHours  = 10_000
	benchLoss   = 0.01
	// restartLimit is within what a change of configuration may take.
	restartLimit = 10 * time.Second
	configEvery  = 4 * time.Second // 21,000 changes a day

	// What a poll of an upstream by its owner costs.
	pollEvery = 2 * time.Second
	pollBytes = 400
	// exchangeCost is both ends of a heartbeat with sockets.
	exchangeCost = 200 * time.Microsecond
	// entryMemory is what a node keeps of another one.
	entryMemory = 1000 // bytes
)

// busyDemands reports demands that change all the time.
func busyDemands(busy int, vm string) func(*memberwire.Report) {
	r := rand.New(rand.NewPCG(1, xxh3.HashString(vm)))
	return func(rep *memberwire.Report) {
		for range min(busy, 3) {
			rep.Demands = append(rep.Demands, &memberwire.Demand{
				Workspace: r.Uint32(), Requests: uint32(r.IntN(100)), Tokens: uint32(r.IntN(100)), Used: uint32(r.IntN(100)), Wanted: uint32(r.IntN(100)),
			})
		}
	}
}

// busyLoads reports loads that change all the time.
func busyLoads(busy int, vm string) func(*memberwire.Report, int) {
	r := rand.New(rand.NewPCG(2, xxh3.HashString(vm)))
	return func(rep *memberwire.Report, left int) {
		for range busy {
			if left <= 0 {
				return
			}
			rep.Loads = append(rep.Loads, &memberwire.Load{
				Upstream: r.Uint32(), Queued: uint32(r.IntN(100)), Running: uint32(r.IntN(50)),
				PrefillK: uint32(r.IntN(2000)), UsedK: uint32(r.IntN(400)), TotalK: 480,
			})
		}
	}
}

func spent(nodes []*Node) (out []int64) {
	for _, n := range nodes {
		c := n.cfg.Link.Counters()
		out = append(out, c.Sent()+c.Received()+n.cfg.Spent())
	}
	return out
}

// cost is what control costs a node.
type cost struct {
	bytes, most int64   // a second, on average and at the node that spends most
	exchanges   float64 // a second that a node starts
}

// controlCost measures a failure domain whose reports change all the time, or where
// only heartbeats and changes of the configuration go.
func controlCost(t *testing.T, entries, upstreams int, busy bool) (c cost) {
	const seconds = 16
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stopAll()
		if busy {
			m.busy = max(1, upstreams/entries)
		}
		m.polled = polls(entries, upstreams) * pollBytes
		nodes := m.fleet(entries)
		time.Sleep(8 * time.Second)
		before, calls := spent(nodes), m.count()
		for i := range seconds {
			if i%int(configEvery/time.Second) == 0 {
				m.setOffset(uint64(i + 1))
			}
			time.Sleep(time.Second)
		}
		c.exchanges = float64(m.count()-calls) / 2 / seconds / float64(entries)
		for i, after := range spent(nodes) {
			rate := (after - before[i]) / seconds
			c.bytes, c.most = c.bytes+rate, max(c.most, rate)
		}
		c.bytes /= int64(entries)
	})
	return c
}

// polls returns the polls a second of an entry that owns its part of the upstreams.
func polls(entries, upstreams int) float64 {
	return float64(upstreams) / float64(entries) / pollEvery.Seconds()
}

// TestBenchControl prints what control costs. The bytes are counted. Processor time
// is the counted exchanges and polls times exchangeCost, and memory is entryMemory
// for each entry: figures of BenchmarkExchangeOverLoopback and BenchmarkNodeMemory.
func TestBenchControl(t *testing.T) {
	for _, size := range [][2]int{{4, 14}, {16, 57}, {targetEntries, targetUpstreams}} {
		for _, load := range []string{"quiet", "busy"} {
			entries, upstreams := size[0], size[1]
			c := controlCost(t, entries, upstreams, load == "busy")
			cpu := (c.exchanges + polls(entries, upstreams)) * exchangeCost.Seconds() * 100
			memory := float64(entries) * entryMemory / 1e6
			fmt.Printf("control entries=%d upstreams=%d load=%s bytes_per_s=%d most_bytes_per_s=%d exchanges_per_s=%.2f cpu_percent=%.3f memory_mb=%.2f\n",
				entries, upstreams, load, c.bytes, c.most, c.exchanges, cpu, memory)
			if c.most > targetBytes || cpu > targetCPU || memory > targetMemory {
				t.Errorf("%d entries: %d bytes a second, %.3f%% of a core, %.2f MB", entries, c.most, cpu, memory)
			}
		}
	}
}

// noticed returns when each node first sees the VM in another state than live.
func noticed(nodes []*Node, vms []string, limit time.Duration) []time.Duration {
	begun := time.Now()
	var out []time.Duration
	seen := map[string]bool{}
	for time.Since(begun) < limit && len(seen) < len(nodes)*len(vms) {
		for _, n := range nodes {
			for _, vm := range vms {
				n.mu.Lock()
				p, _ := n.table.feed.get(vm)
				news := p.GetState() != memberwire.State_LIVE
				n.mu.Unlock()
				if k := n.cfg.VM + " " + vm; news && !seen[k] {
					seen[k] = true
					out = append(out, time.Since(begun))
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for len(out) < len(nodes)*len(vms) {
		out = append(out, limit)
	}
	return out
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(50 * time.Millisecond)
}

// noticeTimes measures an event several times in a failure domain of the target's size.
func noticeTimes(t *testing.T, entries, times int, event func(m *mesh, nodes []*Node, i int) (seers []*Node, vms []string)) []time.Duration {
	var all []time.Duration
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 2)
		defer m.stopAll()
		m.loss = benchLoss
		nodes := m.fleet(entries)
		time.Sleep(8 * time.Second)
		for i := range times {
			seers, vms := event(m, nodes, i)
			all = append(all, noticed(seers, vms, time.Minute)...)
			time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
		}
	})
	return all
}

func TestBenchNotice(t *testing.T) {
	without := func(nodes []*Node, gone int) []*Node { return slices.Concat(nodes[:1], nodes[gone+1:]) }
	death := func(m *mesh, nodes []*Node, i int) ([]*Node, []string) {
		m.kill(nodes[i+1])
		return without(nodes, i+1), []string{name(i + 1)}
	}
	leave := func(_ *mesh, nodes []*Node, i int) ([]*Node, []string) {
		nodes[i+1].Leave()
		return without(nodes, i+1), []string{name(i + 1)}
	}
	partition := func(m *mesh, nodes []*Node, _ int) ([]*Node, []string) {
		half := len(nodes) / 2
		m.split(nodes[:half], nodes[half:], true)
		var vms []string
		for _, n := range nodes[half:] {
			vms = append(vms, n.cfg.VM)
		}
		return nodes[:half], vms
	}
	for _, f := range []struct {
		name            string
		entries, events int
		event           func(*mesh, []*Node, int) ([]*Node, []string)
		limit           time.Duration
	}{
		{"death", 16, 12, death, targetDeath},
		{"death", targetEntries, 2, death, targetDeath},
		{"leave", 16, 12, leave, targetLeave},
		{"leave", targetEntries, 2, leave, targetLeave},
		{"partition", targetEntries, 1, partition, 0},
	} {
		d := noticeTimes(t, f.entries, f.events, f.event)
		p99 := quantile(d, 0.99)
		fmt.Printf("notice event=%s entries=%d events=%d loss=%g p50_ms=%d p99_ms=%d most_ms=%d\n", f.name, f.entries, f.events,
			benchLoss, quantile(d, 0.5).Milliseconds(), p99.Milliseconds(), quantile(d, 1).Milliseconds())
		if f.limit > 0 && p99 > f.limit {
			t.Errorf("%s: noticed after %s, more than %s", f.name, p99, f.limit)
		}
	}
}

// falseSuspicions counts the live entries that would be suspected in so many
// node-hours. Only probes whose first try is lost are run through the decision.
func falseSuspicions(hours, tries, helpers int, loss float64) (probes, suspected int) {
	r := rand.New(rand.NewPCG(3, 3))
	exchange := (1 - loss) * (1 - loss)
	seconds := float64(hours) * time.Hour.Seconds()
	probes = int(seconds * (1.5/beatEvery.Seconds() + 1/randomEvery.Seconds()))
	for range int(float64(probes) * (1 - exchange)) {
		first := true
		ok := reached(tries,
			func() bool {
				if first {
					first = false
					return false
				}
				return r.Float64() < exchange
			},
			func() func() bool {
				return func() bool {
					ok := false
					for range helpers { // a helper's answer takes two exchanges
						ok = r.Float64() < exchange*exchange || ok
					}
					return ok
				}
			})
		if !ok {
			suspected++
		}
	}
	return probes, suspected
}

func TestBenchFalseSuspicions(t *testing.T) {
	for _, way := range []struct{ tries, helpers int }{{directTries, reachHelpers}, {directTries, 0}, {3, reachHelpers}, {3, 0}} {
		probes, n := falseSuspicions(falseHours, way.tries, way.helpers, benchLoss)
		fmt.Printf("suspicions node_hours=%d loss=%g tries=%d helpers=%d probes=%d false=%d\n",
			falseHours, benchLoss, way.tries, way.helpers, probes, n)
		if way.tries == directTries && way.helpers == reachHelpers && float64(n) >= targetFalse {
			t.Errorf("%d false suspicions in %d node-hours", n, falseHours)
		}
	}
}

// BenchmarkExchange is the processor time of a heartbeat at both ends together,
// with the records that one of 79 entries carries, without sockets.
func BenchmarkExchange(b *testing.B) {
	m := newMesh(b, 1)
	m.instant = true
	m.busy = targetUpstreams / targetEntries
	nodes := filled(m, targetEntries)
	defer m.stopAll()
	to := target{vm: nodes[1].cfg.VM, address: nodes[1].cfg.Address, incarnation: nodes[1].cfg.Incarnation}
	b.ReportAllocs()
	for b.Loop() {
		nodes[0].publish()
		if err := nodes[0].exchange(b.Context(), to, false); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkExchangeOverLoopback is the same with HTTP over loopback sockets.
func BenchmarkExchangeOverLoopback(b *testing.B) {
	m := newMesh(b, 1)
	m.instant = true
	nodes := filled(m, targetEntries)
	defer m.stopAll()
	n := nodes[1]
	srv := httptest.NewServer(n.cfg.Link)
	defer srv.Close()
	nodes[0].cfg.Link = link.New(netio.TCP(), nodes[0].cfg.VM, "shared-key")
	to := target{vm: n.cfg.VM, address: srv.Listener.Addr().String(), incarnation: n.cfg.Incarnation}
	b.ReportAllocs()
	for b.Loop() {
		nodes[0].publish()
		if err := nodes[0].exchange(b.Context(), to, false); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNodeMemory is the heap of a node that knows 79 entries.
func BenchmarkNodeMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := newMesh(b, 1)
		m.instant = true
		m.busy = targetUpstreams / targetEntries
		nodes := filled(m, targetEntries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(nodes))/1e6, "MB/node")
		m.stopAll()
	}
}

// filled returns nodes that know each other, without waiting for heartbeats.
func filled(m *mesh, entries int) []*Node {
	var nodes []*Node
	for i := range entries {
		nodes = append(nodes, m.start(name(i), "a"))
	}
	for _, a := range nodes {
		a.publish()
	}
	for _, a := range nodes {
		for _, b := range nodes {
			a.mu.Lock()
			p, r := a.table.self, a.reports.items[a.cfg.VM].val
			a.mu.Unlock()
			if a != b {
				b.mu.Lock()
				b.table.merge(p, a.cfg.VM)
				b.takeReport(b.reports, r, a.cfg.VM)
				b.cursorOf(a.cfg.VM, a.cfg.Incarnation)
				b.mu.Unlock()
			}
		}
	}
	return nodes
}

// countedInForce returns when each entry knows that all have a change in force.
func countedInForce(t *testing.T, entries, busy int) (all []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 4)
		defer m.stopAll()
		m.busy = busy
		nodes := m.fleet(entries)
		time.Sleep(12 * time.Second)
		m.setOffset(7)
		begun := time.Now()
		for left := nodes; len(left) > 0 && time.Since(begun) < time.Minute; time.Sleep(400 * time.Millisecond) {
			left = slices.DeleteFunc(slices.Clone(left), func(n *Node) bool {
				done := n.InForce(7).Seen == entries
				if done {
					all = append(all, time.Since(begun))
				}
				return done
			})
		}
	})
	return all
}

// TestBenchInForce measures how long a report takes to all entries, by the offset
// that it carries. Shares of limits count on it.
func TestBenchInForce(t *testing.T) {
	for _, size := range []struct{ entries, busy int }{{4, 0}, {4, 3}, {16, 0}, {16, 3}, {targetEntries, 0}, {targetEntries, 3}} {
		all := countedInForce(t, size.entries, size.busy)
		load := "quiet"
		if size.busy > 0 {
			load = "busy"
		}
		if len(all) < size.entries {
			t.Fatalf("%d of %d entries know", len(all), size.entries)
		}
		p99, settle := quantile(all, 0.99), limits.SettleTime(size.entries)
		fmt.Printf("spread entries=%d load=%s p50_ms=%d p99_ms=%d settle_ms=%d\n", size.entries, load,
			quantile(all, 0.5).Milliseconds(), p99.Milliseconds(), settle.Milliseconds())
		if p99 > settle {
			t.Errorf("%d entries: a report takes %s, more than the %s that shares wait", size.entries, p99, settle)
		}
	}
}

// TestBenchRestart measures how long it takes until all entries, started at once
// with one seed, know each other, and what the seed spends meanwhile.
func TestBenchRestart(t *testing.T) {
	for _, entries := range []int{4, 16, targetEntries} {
		var took time.Duration
		var seed int64
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, 6)
			m.loss = benchLoss
			defer m.stopAll()
			begun := time.Now()
			nodes := m.fleet(entries)
			if err := agree(nodes, restartLimit); err != nil {
				t.Error(err)
			}
			took, seed = time.Since(begun), spent(nodes[:1])[0]
		})
		fmt.Printf("restart entries=%d loss=%g agree_ms=%d seed_bytes=%d\n", entries, benchLoss, took.Milliseconds(), seed)
	}
}
