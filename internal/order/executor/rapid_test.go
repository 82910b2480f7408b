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

// step is one step of the state machine. Its numbers mean what its action says.
type step struct {
	action string
	entry  int
	key    int
	n      int
	after  time.Duration // time that passes afterwards
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
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// machine plays steps and checks what callers are told against the desk.
type machine struct {
	w     *world
	keys  [rapidKeys]uuid.UUID
	calls []*call
	made  uint16
}

func play(steps []step) []string {
	m := &machine{w: newWorld(rapidEntries)}
	for i := range m.keys {
		m.keys[i] = m.newKey(0)
	}
	time.Sleep(time.Second)
	for _, s := range steps {
		m.do(s)
		time.Sleep(s.after)
	}
	m.settle()
	for _, n := range m.w.nodes {
		n.stop()
	}
	return m.w.faults
}

// newKey returns a UUIDv7 of now and the age.
func (m *machine) newKey(age time.Duration) uuid.UUID {
	m.made++
	ms := uint64(time.Now().Add(-age).UnixMilli())
	key := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(m.made >> 8), 15: byte(m.made)}
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	return key
}

func (m *machine) do(s step) {
	w, n := m.w, m.w.nodes[s.entry]
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
		w.nodes[s.entry] = w.start(s.entry, n.skew)
	case "skew":
		w.set(func() { n.skew = time.Duration(s.n-10) * 30 * time.Second })
	case "look":
		m.look(n, m.keys[s.key])
	default:
		w.set(func() { m.fault(n, s) })
	}
}

func (m *machine) fault(n *node, s step) {
	switch s.action {
	case "pause":
		n.pausedUntil = time.Now().Add(time.Duration(s.n*s.n*s.n) * 100 * time.Millisecond)
	case "cut":
		n.cut = true
	case "deaf":
		n.deaf = true
	case "mend entry":
		n.cut, n.deaf = false, false
	case "outage", "mend log":
		m.w.outage = s.action == "outage"
	case "lose answers":
		m.w.lose = s.n % 4
	case "late append":
		m.w.late = append(m.w.late, time.Duration(s.n*s.n)*50*time.Millisecond)
	case "desk":
		m.w.desk = deskMode(s.n) % deskModes
	case "slow desk":
		m.w.deskTime = time.Duration(s.n) * 200 * time.Millisecond
	case "expire":
		m.w.expire(time.Duration(s.n%4) * time.Minute)
	}
}

func (m *machine) call(entry, key, body, n int) {
	c := &call{key: m.keys[key], body: body}
	m.calls = append(m.calls, c)
	go m.w.nodes[entry].place(c, time.Duration(1+n*2)*time.Second)
}

// look checks a state that is told against the desk, now and later.
func (m *machine) look(n *node, key uuid.UUID) {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	state, answer, err := n.x.Look(ctx, "guild", key)
	if err != nil {
		return
	}
	c := &call{key: key, told: true}
	switch state {
	case ledger.StateVoid:
		c.err = voidTold
	case ledger.StateDone:
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		c.answer = string(answer.Body)
		if ran := m.w.byKey[key]; len(ran) > 0 {
			c.body = ran[0].body
		}
	default:
		return
	}
	m.calls = append(m.calls, c)
}

// settle mends everything, waits for the calls to end and checks them.
func (m *machine) settle() {
	m.w.set(func() {
		m.w.outage, m.w.lose, m.w.late, m.w.desk = false, 0, nil, deskAnswers
		for _, n := range m.w.nodes {
			n.cut, n.deaf, n.pausedUntil = false, false, time.Time{}
		}
	})
	pass(20 * time.Minute)
	for _, n := range m.w.nodes {
		for key := range m.w.byKey {
			m.look(n, key)
		}
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for _, c := range m.calls {
		if c.told {
			m.check(c)
		}
	}
}

var voidTold = fault.New(&testClass, "look", executor.KindVoid, nil)

func (m *machine) check(c *call) {
	ran := m.w.byKey[c.key]
	switch {
	case c.err == nil && (len(ran) == 0 || ran[0].answer != c.answer || ran[0].body != c.body):
		m.w.violate("%s was told %q, executed: %v", c.key, c.answer, ran)
	case fault.Is(c.err, executor.KindVoid) && len(ran) > 0:
		m.w.violate("%s was told void and was executed", c.key)
	case c.executed && c.err != nil && !fault.Is(c.err, executor.KindUnknown):
		m.w.violate("a call of %s was told %v and was executed", c.key, c.err)
	}
}
