package executor_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const (
	rapidEntries = 3
	rapidKeys    = 2
	rapidSteps   = 60
)

// step is one step of the state machine. The action determines what n means.
type step struct {
	action string
	entry  int
	key    int
	n      int
	after  time.Duration // pause after the action
}

var actions = []string{
	"call", "call", "call", "call", "call at two entries", "call at two entries", "call other body", "new key",
	"die", "die", "pause", "pause", "cut", "deaf", "mend entry", "outage", "mend log", "mend log",
	"lose answers", "late append", "late append", "desk", "desk", "slow desk", "expire", "skew", "look",
}

func drawStep(t *rapid.T) step {
	return step{
		action: rapid.SampledFrom(actions).Draw(t, "action"),
		entry:  rapid.IntRange(0, rapidEntries-1).Draw(t, "entry"),
		key:    rapid.IntRange(0, rapidKeys-1).Draw(t, "key"),
		n:      rapid.IntRange(0, 19).Draw(t, "n"),
		after: rapid.SampledFrom([]time.Duration{
			0, 0, 0, logLatency, 2 * logLatency, 3 * logLatency, 5 * logLatency, 100 * time.Millisecond, answerWait / 2,
			answerWait + 2*logLatency, 2 * answerWait, 4 * answerWait, 20 * time.Second, time.Minute, testWindow,
		}).Draw(t, "after"),
	}
}

func TestRapidOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, rapidSteps).Draw(rt, "length")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), n, n).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runSteps(steps) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// machine runs steps and checks the callers' results against what the server
// executed.
type machine struct {
	sim      *simulation
	keys     [rapidKeys]uuid.UUID
	calls    []*call
	keysMade uint16
}

func runSteps(steps []step) []string {
	m := &machine{sim: newSimulation(rapidEntries)}
	for i := range m.keys {
		m.keys[i] = m.newKey(0)
	}
	time.Sleep(time.Second)
	for _, s := range steps {
		m.apply(s)
		time.Sleep(s.after)
	}
	m.recoverAndCheck()
	for _, n := range m.sim.nodes {
		n.stop()
	}
	return m.sim.violations
}

// newKey returns a new UUIDv7 whose time is the given age ago.
func (m *machine) newKey(age time.Duration) uuid.UUID {
	m.keysMade++
	ms := uint64(time.Now().Add(-age).UnixMilli())
	key := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(m.keysMade >> 8), 15: byte(m.keysMade)}
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	return key
}

func (m *machine) apply(s step) {
	sim, n := m.sim, m.sim.nodes[s.entry]
	switch s.action {
	case "call":
		m.call(s.entry, s.key, 0, s.n)
	case "call at two entries":
		m.call(s.entry, s.key, 0, s.n)
		m.call((s.entry+1)%rapidEntries, s.key, 0, s.n)
	case "call other body":
		m.call(s.entry, s.key, 1, s.n)
	case "new key":
		m.keys[s.key] = m.newKey(time.Duration(s.n-4) * time.Minute)
	case "die":
		n.stop()
		sim.nodes[s.entry] = sim.start(s.entry, n.skew)
	case "skew":
		sim.set(func() { n.skew = time.Duration(s.n-10) * 30 * time.Second })
	case "look":
		m.checkLookup(n, m.keys[s.key])
	default:
		sim.set(func() { m.inject(n, s) })
	}
}

func (m *machine) inject(n *node, s step) {
	switch s.action {
	case "pause":
		n.pausedUntil = time.Now().Add(time.Duration(s.n*s.n*s.n) * 100 * time.Millisecond)
	case "cut":
		n.partitioned = true
	case "deaf":
		n.readsBlocked = true
	case "mend entry":
		n.partitioned, n.readsBlocked = false, false
	case "outage", "mend log":
		m.sim.outage = s.action == "outage"
	case "lose answers":
		m.sim.loseAnswers = s.n % 4
	case "late append":
		m.sim.lateAppends = append(m.sim.lateAppends, time.Duration(s.n*s.n)*50*time.Millisecond)
	case "desk":
		m.sim.server = serverMode(s.n) % serverModes
	case "slow desk":
		m.sim.serverDelay = time.Duration(s.n) * 200 * time.Millisecond
	case "expire":
		m.sim.expire(time.Duration(s.n%4) * time.Minute)
	}
}

func (m *machine) call(entry, key, body, n int) {
	c := &call{key: m.keys[key], body: body}
	m.calls = append(m.calls, c)
	go m.sim.nodes[entry].submit(c, time.Duration(1+n*2)*time.Second)
}

// checkLookup looks up the order and stores its state as a call's result, which
// recoverAndCheck checks against the server.
func (m *machine) checkLookup(n *node, key uuid.UUID) {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	state, answer, err := n.x.Look(ctx, "guild", key)
	if err != nil {
		return
	}
	c := &call{key: key, returned: true}
	switch state {
	case ledger.StateVoid:
		c.err = errVoid
	case ledger.StateDone:
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		c.answer = string(answer.Body)
		if ran := m.sim.executions[key]; len(ran) > 0 {
			c.body = ran[0].body
		}
	default:
		return
	}
	m.calls = append(m.calls, c)
}

// recoverAndCheck removes all faults, waits for the calls to end and checks them.
func (m *machine) recoverAndCheck() {
	m.sim.set(func() {
		m.sim.outage, m.sim.loseAnswers, m.sim.lateAppends, m.sim.server = false, 0, nil, serverAnswers
		for _, n := range m.sim.nodes {
			n.partitioned, n.readsBlocked, n.pausedUntil = false, false, time.Time{}
		}
	})
	advance(20 * time.Minute)
	for _, n := range m.sim.nodes {
		for key := range m.sim.executions {
			m.checkLookup(n, key)
		}
	}
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	for _, c := range m.calls {
		if c.returned {
			m.check(c)
		}
	}
}

var errVoid = fault.New(&testClass, "look", executor.KindVoid, nil)

func (m *machine) check(c *call) {
	ran := m.sim.executions[c.key]
	switch {
	case c.err == nil && (len(ran) == 0 || ran[0].answer != c.answer || ran[0].body != c.body):
		m.sim.violate("%s returned %q, executed: %v", c.key, c.answer, ran)
	case fault.Is(c.err, executor.KindVoid) && len(ran) > 0:
		m.sim.violate("%s returned void and was executed", c.key)
	case c.executed && c.err != nil && !fault.Is(c.err, executor.KindUnknown):
		m.sim.violate("a call of %s returned %v and was executed", c.key, c.err)
	}
}
