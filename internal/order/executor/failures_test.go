package executor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const patience = 30 * time.Second

// scene runs a test of one failure in virtual time.
func scene(t *testing.T, act func(is *is.I, m *machine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &machine{w: newWorld(2)}
		m.keys[0] = m.newKey(0)
		pass(time.Second)
		act(is.NewRelaxed(t), m)
		m.settle()
		for _, n := range m.w.nodes {
			n.stop()
		}
		for _, f := range m.w.faults {
			t.Error(f)
		}
	})
}

// pass lets time pass until everything waits.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// start makes a call and does not wait for it.
func (m *machine) start(entry int) *call {
	c := &call{key: m.keys[0]}
	m.calls = append(m.calls, c)
	go m.w.nodes[entry].place(c, patience)
	return c
}

// order makes a call and waits for its end.
func (m *machine) order(entry int) *call {
	c := &call{key: m.keys[0]}
	m.calls = append(m.calls, c)
	m.w.nodes[entry].place(c, patience)
	return c
}

func (m *machine) replace(entry int) {
	m.w.nodes[entry].stop()
	m.w.nodes[entry] = m.w.start(entry, 0)
	pass(time.Second)
}

func TestEntryThatDiesBeforeSendingLeavesUnknown(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.start(0)
		pass(2 * logLatency) // the intent is in the log
		m.replace(0)
		for i := range m.w.nodes {
			c := m.order(i)
			is.True(fault.Is(c.err, executor.KindPending) || fault.Is(c.err, executor.KindUnknown))
		}
		is.Equal(len(m.w.byKey), 0)
	})
}

func TestEntryThatDiesAfterSendingLeavesUnknown(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.w.set(func() { m.w.deskTime = time.Second })
		m.start(0)
		pass(time.Second)
		m.replace(0)
		c := m.order(1)
		is.True(fault.Is(c.err, executor.KindPending))
		is.Equal(len(m.w.byKey[m.keys[0]]), 1)
		pass(testWindow) // the holder counts as lost
		c = m.order(0)
		is.True(fault.Is(c.err, executor.KindUnknown) || fault.Is(c.err, executor.KindExpired))
	})
}

func TestPausedHolderSendsNothingLate(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		c := m.start(0)
		pass(logLatency + logLatency/2) // the intent is in the log, its answer on the way
		m.w.set(func() { m.w.nodes[0].pausedUntil = time.Now().Add(5 * time.Minute) })
		pass(6 * time.Minute)
		is.True(fault.Is(c.err, executor.KindVoid) || fault.Is(c.err, executor.KindUnknown))
		is.Equal(len(m.w.byKey), 0)
	})
}

func TestVoidBeforeALateIntentEndsTheKey(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.w.set(func() { m.w.late = []time.Duration{time.Minute} })
		is.True(fault.Is(m.order(0).err, executor.KindVoid))
		pass(2 * time.Minute)
		is.True(fault.Is(m.order(1).err, executor.KindVoid))
		is.Equal(len(m.w.byKey), 0)
	})
}

func TestLateIntentThatAnotherEntryOvertook(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.w.set(func() { m.w.late = []time.Duration{500 * time.Millisecond} })
		c := m.start(0)
		pass(2 * logLatency)
		is.NoErr(m.order(1).err)
		pass(patience)
		is.NoErr(c.err) // it got the answer of the other entry
		is.Equal(len(m.w.byKey[m.keys[0]]), 1)
	})
}

func TestEntryCutOffFromTheLogRunsNothing(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.w.set(func() { m.w.nodes[0].cut = true })
		is.True(fault.Is(m.order(0).err, executor.KindUnavailable))
		is.NoErr(m.order(1).err)
		is.True(fault.Is(m.order(0).err, executor.KindUnavailable))
		m.w.set(func() { m.w.nodes[0].cut = false })
		pass(time.Second)
		is.NoErr(m.order(0).err)
	})
}

func TestReplacedEntriesAnswerFromTheLog(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		first := m.order(0)
		is.NoErr(first.err)
		pass(time.Second) // the outcome is in the log
		m.replace(0)
		m.replace(1)
		is.Equal(m.order(1).answer, first.answer)
		is.Equal(len(m.w.byKey[m.keys[0]]), 1)
	})
}

func TestKeyIsRefusedWhenItsRecordsAreGone(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		is.NoErr(m.order(0).err)
		pass(time.Minute)
		m.w.set(func() { m.w.expire(0) })
		m.replace(1)
		is.True(fault.Is(m.order(1).err, executor.KindExpired))
		is.NoErr(m.order(0).err) // an entry that saw it still answers
		pass(2 * testWindow)
		is.True(fault.Is(m.order(1).err, executor.KindExpired))
	})
}

func TestOutcomeIsKeptWhileTheLogIsDown(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		m.w.set(func() { m.w.deskTime = time.Second })
		c := m.start(0)
		pass(time.Second)
		m.w.set(func() { m.w.outage = true })
		pass(time.Minute)
		is.NoErr(c.err)
		is.NoErr(m.order(0).err) // the entry that has it answers
		m.w.set(func() { m.w.outage = false })
		pass(time.Minute)
		is.NoErr(m.order(1).err)
	})
}

func TestLongAnswerIsNotHeldForAnOutage(t *testing.T) {
	scene(t, func(is *is.I, m *machine) {
		long := make([]byte, ledger.MaxAnswerBytes+1)
		x := m.w.nodes[0].x
		o := executor.Order{Workspace: "guild", Key: m.keys[0]}
		send := func(context.Context) (*ledger.StoredAnswer, bool, error) {
			m.w.set(func() { m.w.outage = true })
			return &ledger.StoredAnswer{Status: 200, Body: long}, true, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), testWindow)
		defer cancel()
		answer, err := x.Run(ctx, o, send)
		is.NoErr(err)
		is.Equal(len(answer.Body), len(long))
		pass(time.Minute)
		answer, err = x.Run(ctx, o, send)
		is.NoErr(err)
		is.Equal(answer.Omitted, uint64(len(long)))
		is.Equal(len(answer.Body), 0)
	})
}
