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

// Targets for each node of a failure domain of targetEntries entries.
const (
	targetEntries        = 79
	targetUpstreams      = 280
	targetBytesPerSecond = 4096
	targetCPUPercent     = 1.6 // of one core
	targetMemoryMB       = 128
	targetCrashDetection = 3 * time.Second
	targetLeaveDetection = 3 * time.Second
	// targetFalseSuspicions is the number of false suspicions in
	// falseSuspicionNodeHours node-hours that is already too many.
	targetFalseSuspicions   = 1.0
	falseSuspicionNodeHours = 10_000
	benchLossRate           = 0.01
	// restartLimit is the time for all entries to agree after a restart. It lies within
	// the time that a configuration change may take.
	restartLimit         = 10 * time.Second
	configChangeInterval = 4 * time.Second // about 21,000 changes per day

	// Cost of polling an upstream by its owner.
	pollInterval = 2 * time.Second
	pollBytes    = 400
	// exchangeCPUTime is the CPU time of a heartbeat over sockets, at both ends together.
	exchangeCPUTime = 200 * time.Microsecond
	// entryMemoryBytes is the memory that a node uses for each entry it knows.
	entryMemoryBytes = 1000
)

// randomDemands returns a report function whose demands change with each report.
func randomDemands(count int, vm string) func(*memberwire.Report) {
	r := rand.New(rand.NewPCG(1, xxh3.HashString(vm)))
	return func(rep *memberwire.Report) {
		for range min(count, 3) {
			rep.Demands = append(rep.Demands, &memberwire.Demand{
				Workspace: r.Uint32(), Requests: uint32(r.IntN(100)), Tokens: uint32(r.IntN(100)), Used: uint32(r.IntN(100)), Wanted: uint32(r.IntN(100)),
			})
		}
	}
}

// randomLoads returns a load function whose loads change with each report.
func randomLoads(count int, vm string) func(*memberwire.Report, int) {
	r := rand.New(rand.NewPCG(2, xxh3.HashString(vm)))
	return func(rep *memberwire.Report, left int) {
		for range count {
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

// spentBytes returns the control bytes of each node so far.
func spentBytes(nodes []*Node) (out []int64) {
	for _, n := range nodes {
		c := n.cfg.Link.Counters()
		out = append(out, c.Sent()+c.Received()+n.cfg.Spent())
	}
	return out
}

// cost is the control traffic of a node, per second.
type cost struct {
	meanBytes, maxBytes int64   // average over the nodes, and of the node with the most
	exchanges           float64 // started by a node
}

// controlCost measures the control traffic of a failure domain, with churn while
// every report changes, else with only heartbeats and configuration changes.
func controlCost(t *testing.T, entries, upstreams int, churn bool) (c cost) {
	const seconds = 16
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stopAll()
		if churn {
			m.churn = max(1, upstreams/entries)
		}
		m.pollBytesPerSecond = pollsPerSecond(entries, upstreams) * pollBytes
		nodes := m.startEntries(entries)
		time.Sleep(8 * time.Second)
		before, messages := spentBytes(nodes), m.messageCount()
		for i := range seconds {
			if i%int(configChangeInterval/time.Second) == 0 {
				m.setOffset(uint64(i + 1))
			}
			time.Sleep(time.Second)
		}
		c.exchanges = float64(m.messageCount()-messages) / 2 / seconds / float64(entries)
		for i, after := range spentBytes(nodes) {
			rate := (after - before[i]) / seconds
			c.meanBytes, c.maxBytes = c.meanBytes+rate, max(c.maxBytes, rate)
		}
		c.meanBytes /= int64(entries)
	})
	return c
}

// pollsPerSecond returns the polls of an entry that owns its share of the upstreams.
func pollsPerSecond(entries, upstreams int) float64 {
	return float64(upstreams) / float64(entries) / pollInterval.Seconds()
}

// TestBenchControl prints the cost of the control traffic. The bytes are counted. The
// CPU time is the counted exchanges and polls times exchangeCPUTime, and the memory is
// entryMemoryBytes per entry, which BenchmarkExchangeOverLoopback and
// BenchmarkNodeMemory measure.
func TestBenchControl(t *testing.T) {
	for _, size := range [][2]int{{4, 14}, {16, 57}, {targetEntries, targetUpstreams}} {
		for _, load := range []string{"quiet", "busy"} {
			entries, upstreams := size[0], size[1]
			c := controlCost(t, entries, upstreams, load == "busy")
			cpu := (c.exchanges + pollsPerSecond(entries, upstreams)) * exchangeCPUTime.Seconds() * 100
			memory := float64(entries) * entryMemoryBytes / 1e6
			fmt.Printf("control entries=%d upstreams=%d load=%s bytes_per_s=%d most_bytes_per_s=%d exchanges_per_s=%.2f cpu_percent=%.3f memory_mb=%.2f\n",
				entries, upstreams, load, c.meanBytes, c.maxBytes, c.exchanges, cpu, memory)
			if c.maxBytes > targetBytesPerSecond || cpu > targetCPUPercent || memory > targetMemoryMB {
				t.Errorf("%d entries are over a target: %d bytes/s, %.3f%% of a core, %.2f MB", entries, c.maxBytes, cpu, memory)
			}
		}
	}
}

// detectionTimes returns how long each node takes to see each VM in a state other
// than live, or limit if it doesn't.
func detectionTimes(nodes []*Node, vms []string, limit time.Duration) []time.Duration {
	start := time.Now()
	var out []time.Duration
	seen := map[string]bool{}
	for time.Since(start) < limit && len(seen) < len(nodes)*len(vms) {
		for _, n := range nodes {
			for _, vm := range vms {
				n.mu.Lock()
				p, _ := n.table.feed.get(vm)
				detected := p.GetState() != memberwire.State_LIVE
				n.mu.Unlock()
				if k := n.cfg.VM + " " + vm; detected && !seen[k] {
					seen[k] = true
					out = append(out, time.Since(start))
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

// measureDetection triggers an event several times in a failure domain of the given
// size and returns all detection times.
func measureDetection(t *testing.T, entries, repeats int, event func(m *mesh, nodes []*Node, i int) (observers []*Node, vms []string)) []time.Duration {
	var all []time.Duration
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 2)
		defer m.stopAll()
		m.loss = benchLossRate
		nodes := m.startEntries(entries)
		time.Sleep(8 * time.Second)
		for i := range repeats {
			observers, vms := event(m, nodes, i)
			all = append(all, detectionTimes(observers, vms, time.Minute)...)
			time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
		}
	})
	return all
}

func TestBenchNotice(t *testing.T) {
	without := func(nodes []*Node, gone int) []*Node { return slices.Concat(nodes[:1], nodes[gone+1:]) }
	crash := func(m *mesh, nodes []*Node, i int) ([]*Node, []string) {
		m.crash(nodes[i+1])
		return without(nodes, i+1), []string{name(i + 1)}
	}
	leave := func(_ *mesh, nodes []*Node, i int) ([]*Node, []string) {
		nodes[i+1].Leave()
		return without(nodes, i+1), []string{name(i + 1)}
	}
	partition := func(m *mesh, nodes []*Node, _ int) ([]*Node, []string) {
		half := len(nodes) / 2
		m.setPartition(nodes[:half], nodes[half:], true)
		var vms []string
		for _, n := range nodes[half:] {
			vms = append(vms, n.cfg.VM)
		}
		return nodes[:half], vms
	}
	for _, c := range []struct {
		name            string
		entries, events int
		event           func(*mesh, []*Node, int) ([]*Node, []string)
		limit           time.Duration
	}{
		{"death", 16, 12, crash, targetCrashDetection},
		{"death", targetEntries, 2, crash, targetCrashDetection},
		{"leave", 16, 12, leave, targetLeaveDetection},
		{"leave", targetEntries, 2, leave, targetLeaveDetection},
		{"partition", targetEntries, 1, partition, 0},
	} {
		times := measureDetection(t, c.entries, c.events, c.event)
		p99 := quantile(times, 0.99)
		fmt.Printf("notice event=%s entries=%d events=%d loss=%g p50_ms=%d p99_ms=%d most_ms=%d\n", c.name, c.entries, c.events,
			benchLossRate, quantile(times, 0.5).Milliseconds(), p99.Milliseconds(), quantile(times, 1).Milliseconds())
		if c.limit > 0 && p99 > c.limit {
			t.Errorf("%s: p99 detection time is %s, limit %s", c.name, p99, c.limit)
		}
	}
}

// falseSuspicions simulates the probes of live entries for a number of node-hours and
// counts the false suspicions. Only probes whose first try is lost are simulated.
func falseSuspicions(nodeHours, directProbes, indirectProbes int, loss float64) (probes, suspected int) {
	r := rand.New(rand.NewPCG(3, 3))
	exchangeSuccess := (1 - loss) * (1 - loss)
	seconds := float64(nodeHours) * time.Hour.Seconds()
	probes = int(seconds * (1.5/heartbeatInterval.Seconds() + 1/randomProbeInterval.Seconds()))
	for range int(float64(probes) * (1 - exchangeSuccess)) {
		first := true
		reached := reachable(directProbes,
			func() bool {
				if first {
					first = false
					return false
				}
				return r.Float64() < exchangeSuccess
			},
			func() func() bool {
				return func() bool {
					reached := false
					for range indirectProbes { // an indirect probe takes two exchanges
						reached = r.Float64() < exchangeSuccess*exchangeSuccess || reached
					}
					return reached
				}
			})
		if !reached {
			suspected++
		}
	}
	return probes, suspected
}

func TestBenchFalseSuspicions(t *testing.T) {
	for _, c := range []struct{ tries, helpers int }{{directProbes, indirectProbes}, {directProbes, 0}, {3, indirectProbes}, {3, 0}} {
		probes, n := falseSuspicions(falseSuspicionNodeHours, c.tries, c.helpers, benchLossRate)
		fmt.Printf("suspicions node_hours=%d loss=%g tries=%d helpers=%d probes=%d false=%d\n",
			falseSuspicionNodeHours, benchLossRate, c.tries, c.helpers, probes, n)
		if c.tries == directProbes && c.helpers == indirectProbes && float64(n) >= targetFalseSuspicions {
			t.Errorf("%d false suspicions in %d node-hours", n, falseSuspicionNodeHours)
		}
	}
}

// BenchmarkExchange measures the CPU time of a heartbeat at both ends together, with
// the records of a domain of targetEntries entries and without sockets.
func BenchmarkExchange(b *testing.B) {
	m := newMesh(b, 1)
	m.instant = true
	m.churn = targetUpstreams / targetEntries
	nodes := connectedNodes(m, targetEntries)
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

// BenchmarkExchangeOverLoopback measures a heartbeat with HTTP over loopback sockets.
func BenchmarkExchangeOverLoopback(b *testing.B) {
	m := newMesh(b, 1)
	m.instant = true
	nodes := connectedNodes(m, targetEntries)
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

// BenchmarkNodeMemory measures the heap of a node that knows targetEntries entries.
func BenchmarkNodeMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := newMesh(b, 1)
		m.instant = true
		m.churn = targetUpstreams / targetEntries
		nodes := connectedNodes(m, targetEntries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(nodes))/1e6, "MB/node")
		m.stopAll()
	}
}

// connectedNodes starts nodes and merges their records directly, so that they know
// each other without waiting for heartbeats.
func connectedNodes(m *mesh, entries int) []*Node {
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
				b.mergeReport(b.reports, r, a.cfg.VM)
				b.cursorOf(a.cfg.VM, a.cfg.Incarnation)
				b.mu.Unlock()
			}
		}
	}
	return nodes
}

// inForceTimes returns how long each entry takes to see a configuration change in
// force at all entries.
func inForceTimes(t *testing.T, entries, churn int) (all []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 4)
		defer m.stopAll()
		m.churn = churn
		nodes := m.startEntries(entries)
		time.Sleep(12 * time.Second)
		m.setOffset(7)
		start := time.Now()
		for pending := nodes; len(pending) > 0 && time.Since(start) < time.Minute; time.Sleep(400 * time.Millisecond) {
			pending = slices.DeleteFunc(slices.Clone(pending), func(n *Node) bool {
				done := n.InForce(7).Seen == entries
				if done {
					all = append(all, time.Since(start))
				}
				return done
			})
		}
	})
	return all
}

// TestBenchInForce measures how long a report takes to reach all entries, by the
// offset that it carries. The shares of limits rely on limits.SettleTime for this.
func TestBenchInForce(t *testing.T) {
	for _, size := range []struct{ entries, busy int }{{4, 0}, {4, 3}, {16, 0}, {16, 3}, {targetEntries, 0}, {targetEntries, 3}} {
		all := inForceTimes(t, size.entries, size.busy)
		load := "quiet"
		if size.busy > 0 {
			load = "busy"
		}
		if len(all) < size.entries {
			t.Fatalf("%d of %d entries saw the change in force everywhere", len(all), size.entries)
		}
		p99, settle := quantile(all, 0.99), limits.SettleTime(size.entries)
		fmt.Printf("spread entries=%d load=%s p50_ms=%d p99_ms=%d settle_ms=%d\n", size.entries, load,
			quantile(all, 0.5).Milliseconds(), p99.Milliseconds(), settle.Milliseconds())
		if p99 > settle {
			t.Errorf("%d entries: a report takes %s (p99), more than the settle time %s", size.entries, p99, settle)
		}
	}
}

// TestBenchRestart measures how long entries that start at the same time with one
// seed take to know each other, and the bytes that the seed spends until then.
func TestBenchRestart(t *testing.T) {
	for _, entries := range []int{4, 16, targetEntries} {
		var took time.Duration
		var seedBytes int64
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, 6)
			m.loss = benchLossRate
			defer m.stopAll()
			start := time.Now()
			nodes := m.startEntries(entries)
			if err := awaitAgreement(nodes, restartLimit); err != nil {
				t.Error(err)
			}
			took, seedBytes = time.Since(start), spentBytes(nodes[:1])[0]
		})
		fmt.Printf("restart entries=%d loss=%g agree_ms=%d seed_bytes=%d\n", entries, benchLossRate, took.Milliseconds(), seedBytes)
	}
}
