package plain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The tests in this file run entries and servers in virtual time. Reports go out every 300 ms and
// take 5 ms, as those of the entries do. Service times are exponential.

const (
	simStep        = time.Millisecond
	simReportSteps = 300
	simSlots       = 6
	simTarget      = 250 * time.Millisecond
)

// simServer runs up to its slots requests at once. Beyond knee, those that run share its speed.
type simServer struct {
	Server

	mean     func(at time.Duration) time.Duration
	knee     int
	joins    time.Duration
	waiting  []*simCall
	running  []*simCall
	answered int
}

func (s *simServer) load() int { return len(s.waiting) + len(s.running) }

type simCall struct {
	pick  *Pick
	entry int
	at    time.Duration
	work  float64 // left, in mean service times
}

func (s *simServer) step(at time.Duration) (done []*simCall) {
	for len(s.running) < s.Slots && len(s.waiting) > 0 {
		s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
	}
	each := simStep.Seconds() / s.mean(at).Seconds() / max(1, float64(len(s.running))/float64(s.knee))
	s.running = slices.DeleteFunc(s.running, func(c *simCall) bool {
		c.work -= each
		if c.work <= 0 {
			done = append(done, c)
		}
		return c.work <= 0
	})
	s.answered += len(done)
	return done
}

// chooser is a policy: that of the pool, or the baseline.
type chooser interface {
	Choose(tried map[string]bool) *Pick
	Done(k *Pick, out Outcome)
}

// leastBusy is the policy before capacities were learned: it counts its own requests and adds a
// fixed cost beyond the slots.
type leastBusy struct{ *Pool }

func (p leastBusy) Choose(map[string]bool) *Pick {
	var (
		best   *server
		lowest = math.Inf(1)
	)
	for _, s := range p.list {
		cost := float64(s.busy) + p.cfg.Rand()/2 + overloadCost*float64(max(0, s.busy+1-s.Slots))
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	best.busy++
	return &Pick{server: best, name: best.Name, address: best.Address}
}

func (leastBusy) Done(k *Pick, _ Outcome) { k.server.busy-- }

// sim is a number of entries that share servers.
type sim struct {
	entries   int
	perSecond float64 // requests of all entries
	servers   []*simServer
	baseline  bool
	from, to  time.Duration // requests that are measured
	lost      float64       // share of the reports

	rng, drops *rand.Rand
	pools      []*Pool
	choosers   []chooser
	took       []time.Duration

	watch func(at time.Duration) // called after each step; may be nil
}

// result is what callers see.
type result struct {
	inTime float64 // share of the answers within simTarget
	p95    time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("in_time=%.3f p95_ms=%d", r.inTime, r.p95.Milliseconds())
}

func (m *sim) run() result {
	m.rng, m.drops = rand.New(rand.NewPCG(7, 11)), rand.New(rand.NewPCG(3, 5))
	start := time.Unix(1_000_000, 0)
	now := start
	m.newPools(func() time.Time { return now })
	next := m.rng.ExpFloat64() / m.perSecond
	for at := time.Duration(0); at < m.to; at += simStep {
		now = start.Add(at)
		if slices.ContainsFunc(m.servers, func(s *simServer) bool { return s.joins == at }) {
			m.setServers(at)
		}
		for ; next < at.Seconds(); next += m.rng.ExpFloat64() / m.perSecond {
			m.arrive(at)
		}
		for _, s := range m.servers {
			for _, c := range s.step(at) {
				m.choosers[c.entry].Done(c.pick, Answered)
				m.record(c, at)
			}
		}
		for from := int(at/simStep) % simReportSteps; from < m.entries && !m.baseline; from += simReportSteps {
			m.report(from)
		}
		if m.watch != nil {
			m.watch(at)
		}
	}
	for _, s := range m.servers { // those that still wait
		for _, c := range append(s.running, s.waiting...) {
			m.record(c, m.to)
		}
	}
	slices.Sort(m.took)
	n, _ := slices.BinarySearch(m.took, simTarget)
	return result{inTime: float64(n) / float64(len(m.took)), p95: m.took[len(m.took)*95/100]}
}

func (m *sim) newPools(now func() time.Time) {
	for range m.entries {
		p := New(Settings{Now: now, Rand: m.rng.Float64})
		m.pools = append(m.pools, p)
		if m.baseline {
			m.choosers = append(m.choosers, leastBusy{p})
		} else {
			m.choosers = append(m.choosers, p)
		}
	}
}

// arrive sends a request from a random entry.
func (m *sim) arrive(at time.Duration) {
	e := m.rng.IntN(m.entries)
	k := m.choosers[e].Choose(nil)
	s := m.at(k.Name())
	s.waiting = append(s.waiting, &simCall{pick: k, entry: e, at: at, work: m.rng.ExpFloat64()})
}

func (m *sim) record(c *simCall, at time.Duration) {
	if c.at >= m.from {
		m.took = append(m.took, at-c.at)
	}
}

func (m *sim) at(name string) *simServer {
	return m.servers[slices.IndexFunc(m.servers, func(s *simServer) bool { return s.Name == name })]
}

func (m *sim) setServers(at time.Duration) {
	var list []Server
	for _, s := range m.servers {
		if s.joins <= at {
			list = append(list, s.Server)
		}
	}
	for _, p := range m.pools {
		p.SetServers(list)
	}
}

func (m *sim) report(from int) {
	list := m.pools[from].Loads(64)
	if len(list) == 0 {
		return
	}
	name := strconv.Itoa(from)
	for i, p := range m.pools {
		if i != from && m.drops.Float64() >= m.lost {
			p.Merge(name, list)
		}
	}
}

func constant(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// simServers returns servers with the given mean service times in ms and with simSlots slots.
func simServers(meansMS ...int) (out []*simServer) {
	for i, ms := range meansMS {
		name := fmt.Sprint("s-", i)
		out = append(out, &simServer{
			Server: Server{Name: name, Address: name, Slots: simSlots, Born: 1},
			mean:   constant(time.Duration(ms) * time.Millisecond), knee: simSlots,
		})
	}
	return out
}

// both runs a load with the baseline and the pool, and prints both results.
func both(t *testing.T, load string, m func() *sim) (before, after result) {
	t.Helper()
	old := m()
	old.baseline = true
	before, after = old.run(), m().run()
	t.Logf("%s: before %s; after %s", load, before, after)
	return before, after
}

// A fast server must not idle while requests queue at slow ones: the declared slots are the same.
func TestSpeedsInTheRatioOneTwoFour(t *testing.T) {
	for _, entries := range []int{1, 4, 10, 26} {
		for _, rate := range []float64{10, 40, 120, 180, 220} { // 262 a second at most
			is := is.New(t)
			before, after := both(t, fmt.Sprintf("40, 80 and 160 ms, %d entries, %g/s", entries, rate), func() *sim {
				return &sim{entries: entries, perSecond: rate, servers: simServers(40, 80, 160), from: 10 * time.Second, to: 40 * time.Second}
			})
			is.True(after.inTime > before.inTime && after.p95 < before.p95)
			is.True(after.inTime > 0.93)
		}
	}
}

// Servers that are equally fast must be used as before, whatever chance makes of their measurements.
func TestEvenServersAreUsedAsBefore(t *testing.T) {
	for _, entries := range []int{1, 4, 10, 26} {
		for _, rate := range []float64{40, 120, 180, 220} { // 257 a second at most
			is := is.New(t)
			before, after := both(t, fmt.Sprintf("70 ms, %d entries, %g/s", entries, rate), func() *sim {
				return &sim{entries: entries, perSecond: rate, servers: simServers(70, 70, 70), from: 10 * time.Second, to: 40 * time.Second}
			})
			is.True(after.inTime > before.inTime-0.008)
		}
	}
}

// A server that is as fast as the others up to half of its slots must not get as many requests.
func TestServerThatSlowsDownAtHalfOfItsSlots(t *testing.T) {
	for _, entries := range []int{1, 4, 10, 26} {
		for _, rate := range []float64{120, 160, 190} { // 214 a second at most
			is := is.New(t)
			before, after := both(t, fmt.Sprintf("70 ms, one with half of the slots, %d entries, %g/s", entries, rate), func() *sim {
				s := simServers(70, 70, 70)
				s[0].knee = simSlots / 2
				return &sim{entries: entries, perSecond: rate, servers: s, from: 10 * time.Second, to: 40 * time.Second}
			})
			is.True(after.inTime > before.inTime-0.008)
			is.True(entries < 10 || after.inTime > before.inTime)
		}
	}
}

// A server that turns slow must lose its requests, but for enough to show that it has recovered.
func TestServerThatTurnsSlowAndRecovers(t *testing.T) {
	const slowFrom, slowTo = 10 * time.Second, 30 * time.Second
	for _, entries := range []int{4, 26} {
		for _, rate := range []float64{40, 120, 160} {
			is := is.New(t)
			load := fmt.Sprintf("70 ms, one of them 560 ms for 20 s, %d entries, %g/s", entries, rate)
			recovered := 0 // answers of the slow server, some time after it has recovered
			m := func() *sim {
				s := simServers(70, 70, 70)
				s[0].mean = func(at time.Duration) time.Duration {
					if at >= slowFrom && at < slowTo {
						return 560 * time.Millisecond
					}
					return 70 * time.Millisecond
				}
				return &sim{entries: entries, perSecond: rate, servers: s, from: slowFrom, to: slowTo}
			}
			before, after := both(t, load, m)
			is.True(after.inTime > before.inTime && after.p95 < before.p95)
			long := m()
			long.from, long.to = slowTo, 110*time.Second
			long.watch = func(at time.Duration) {
				if at == 50*time.Second {
					recovered = long.servers[0].answered
				}
			}
			r := long.run()
			recovered = long.servers[0].answered - recovered
			t.Logf("%s: after its recovery %s, share of the requests from 20 s on %.2f", load, r, float64(recovered)/rate/60)
			is.True(float64(recovered)/rate/60 > 0.1) // of a third if all were known exactly
		}
	}
}

// Entries that answer to the same reports at the same time must not send a server all requests by
// turns: its load must vary hardly more than with one entry, which knows all requests.
func TestTenEntriesDoNotOscillate(t *testing.T) {
	is := is.New(t)
	for _, means := range [][]int{{70, 70, 70}, {40, 80, 160}} {
		deviation := func(entries int, baseline bool) float64 {
			m := &sim{entries: entries, perSecond: 180, servers: simServers(means...), baseline: baseline, from: 10 * time.Second, to: 40 * time.Second}
			n, sum, squares := 0.0, 0.0, 0.0
			m.watch = func(at time.Duration) {
				if at >= m.from {
					x := float64(m.servers[0].load())
					n, sum, squares = n+1, sum+x, squares+x*x
				}
			}
			m.run()
			d := math.Sqrt(squares/n - sum/n*sum/n)
			t.Logf("%v ms, 180/s, %d entries, baseline %v: %.2f requests at the first server, deviation %.2f", means, entries, baseline, sum/n, d)
			return d
		}
		deviation(10, true)
		is.True(deviation(10, false) < 1.25*deviation(1, false))
	}
}

// Many entries must not all send their first request to a server that is new, but find it out.
func TestNewServerIsFoundOutWithoutACrowd(t *testing.T) {
	for _, entries := range []int{4, 26, 100} {
		is := is.New(t)
		s := simServers(70, 70, 70, 70)
		s[3].joins = 10 * time.Second
		most, answered := 0, 0
		m := &sim{entries: entries, perSecond: 160, servers: s, from: 10 * time.Second, to: 30 * time.Second}
		m.watch = func(at time.Duration) {
			if at < s[3].joins+500*time.Millisecond {
				most = max(most, s[3].load())
			}
			if at == 20*time.Second {
				answered = s[3].answered
			}
		}
		r := m.run()
		share := float64(s[3].answered-answered) / 160 / 10
		t.Logf("70 ms, a fourth server joins, %d entries, 160/s: %s, at most %d requests there in the first 500 ms, later share %.2f", entries, r, most, share)
		is.True(most <= simSlots)
		is.True(share > 0.2)
	}
}

// What holds for a few entries must hold for the largest number, each of which sends little. Most
// reports are lost, which also keeps the test short.
func TestElevenHundredEntries(t *testing.T) {
	is := is.New(t)
	before, after := both(t, "40, 80 and 160 ms, two each, 1100 entries, 360/s", func() *sim {
		return &sim{entries: 1100, perSecond: 360, servers: simServers(40, 40, 80, 80, 160, 160), from: 3 * time.Second, to: 5 * time.Second, lost: 0.7}
	})
	is.True(after.inTime > before.inTime && after.p95 < before.p95)
}
