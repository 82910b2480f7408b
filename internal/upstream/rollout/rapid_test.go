package rollout

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/owner"
)

const maxRapidSteps = 40

// newestClaim returns the offset and the holder of the upstream's newest claim in the log.
func (c *cluster) newestClaim(upstream string) (fence uint64, holder owner.Holder) {
	for _, rec := range c.records {
		r := &owner.Record{}
		if proto.Unmarshal(rec.Data, r) == nil && r.Type == owner.RecordType_CLAIM && r.Upstream == upstream {
			fence, holder = rec.Offset, owner.Holder{VM: r.Vm, Incarnation: r.Incarnation}
		}
	}
	return fence, holder
}

// checkFence checks that the order carries the fencing number of the sender's own claim,
// and that an engine that checks fencing numbers never accepts a lower one after a higher
// one.
func (c *cluster) checkFence(e *entry, upstream string, o engine.Order) {
	r := &owner.Record{}
	if o.Fence == 0 || o.Fence > uint64(len(c.records)) {
		c.violate("%s: no claim at %d", upstream, o.Fence)
		return
	}
	if err := proto.Unmarshal(c.records[o.Fence-1].Data, r); err != nil || r.Upstream != upstream || r.Vm != e.self.VM || r.Incarnation != e.self.Incarnation {
		c.violate("%s: the claim at %d is not that of %v", upstream, o.Fence, e.self)
	}
	checks := upstream < engineName(engineCount/2)
	if checks && o.Fence < c.acceptedFences[upstream] {
		c.violate("%s accepted %d after %d", upstream, o.Fence, c.acceptedFences[upstream])
	}
	c.acceptedFences[upstream] = max(c.acceptedFences[upstream], o.Fence)
}

// checkCapacity checks that orders take no more engines out of service than allowed. It
// only counts a late order of a paused former owner if the engine doesn't check fencing
// numbers or has had no order of the new owner, since no entry can prevent that.
func (c *cluster) checkCapacity(upstream string, o engine.Order) {
	if newest, _ := c.newestClaim(upstream); o.Fence < newest && (upstream >= engineName(engineCount/2) || c.acceptedFences[upstream] == o.Fence) {
		c.staleOrders++
		return
	}
	c.outOfService[upstream] = true
	n := 0
	for i := range engineCount {
		st, err := c.engines[i].State()
		if err != nil || len(st.Models) > 0 && st.Models[0].Ready {
			delete(c.outOfService, engineName(i))
		}
		if c.outOfService[engineName(i)] {
			n++
		}
	}
	c.maxOutOfService = max(c.maxOutOfService, n)
	if n > engineCount/2 {
		c.violate("%d of %d engines are out of service by orders", n, engineCount)
	}
}

func (c *cluster) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

type simStep struct {
	action        string
	entry, engine int
	n             int
	after         time.Duration
}

var simActions = []string{
	"version", "version", "see", "see", "see", "own", "own", "disown", "die", "pause", "pause", "cut", "mend",
	"outage", "mend log", "lose", "restart engine", "kill engine", "revive engine", "lose engine answer",
}

func drawSimStep(t *rapid.T) simStep {
	return simStep{
		action: rapid.SampledFrom(simActions).Draw(t, "action"),
		entry:  rapid.IntRange(0, entryCount-1).Draw(t, "entry"),
		engine: rapid.IntRange(0, engineCount-1).Draw(t, "engine"),
		n:      rapid.IntRange(0, 9).Draw(t, "n"),
		after: rapid.SampledFrom([]time.Duration{
			0, 0, hopLatency, 2 * hopLatency, 3 * hopLatency, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second,
		}).Draw(t, "after"),
	}
}

func TestRapidEngineOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, maxRapidSteps).Draw(rt, "length")
		steps := rapid.SliceOfN(rapid.Custom(drawSimStep), n, n).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runSteps(steps).violations })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

func runSteps(steps []simStep) *cluster {
	c := newCluster()
	c.set(func() {
		for i := range engineCount {
			c.entries[i%entryCount].owns[engineName(i)] = true
		}
	})
	for _, s := range steps {
		c.do(s)
		time.Sleep(s.after)
	}
	c.checkConvergence()
	for _, e := range c.entries {
		e.stop()
	}
	for _, e := range c.engines {
		e.Close()
	}
	return c
}

func (c *cluster) do(s simStep) {
	e, eng := c.entries[s.entry], c.engines[s.engine]
	switch s.action {
	case "die":
		e.stop()
		c.entries[s.entry] = c.start(s.entry)
		c.set(func() { c.entries[s.entry].owns, c.entries[s.entry].version = e.owns, e.version })
	case "restart engine", "revive engine":
		eng.Restart()
		c.set(func() { delete(c.acceptedFences, eng.Name()) }) // a restarted engine loses its fencing number
	case "kill engine":
		eng.Die()
	case "lose engine answer":
		eng.LoseAnswers(1)
	default:
		c.set(func() { c.change(e, s) })
	}
}

func (c *cluster) change(e *entry, s simStep) {
	switch s.action {
	case "version":
		c.version = fmt.Sprint(1 + s.n%3)
	case "see":
		e.version = c.version
	case "own", "disown":
		e.owns[engineName(s.engine)] = s.action == "own"
	case "pause":
		e.pausedUntil = time.Now().Add(time.Duration(s.n*s.n) * time.Second)
	case "cut", "mend":
		e.disconnected = s.action == "cut"
	case "outage", "mend log":
		c.outage = s.action == "outage"
	case "lose":
		c.lostAppendAnswers = s.n % 3
	}
}

// checkConvergence clears all failures and checks that the engines converge to the
// configuration.
func (c *cluster) checkConvergence() {
	for _, e := range c.engines {
		if _, err := e.State(); err != nil {
			e.Restart()
		}
	}
	c.set(func() {
		c.outage, c.lostAppendAnswers = false, 0
		for i, e := range c.entries {
			e.disconnected, e.pausedUntil, e.version = false, time.Time{}, c.version
			for j := range engineCount {
				e.owns[engineName(j)] = j%entryCount == i
			}
		}
	})
	time.Sleep(3 * time.Minute)
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		st, err := e.State()
		if err != nil || len(st.Models) != 1 || st.Models[0].Version != c.version || !st.Models[0].Ready ||
			len(st.Models[0].Adapters) != 1 || st.Role != "decode" {
			c.violate("%s did not converge to version %s: %+v %v", e.Name(), c.version, st, err)
		}
	}
}
