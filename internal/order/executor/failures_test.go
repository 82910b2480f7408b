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

// simulate runs a scenario with two entries in virtual time, then recovers from all
// faults and checks the results of its calls.
func simulate(t *testing.T, scenario func(is *is.I, m *machine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &machine{sim: newSimulation(2)}
		m.keys[0] = m.newKey(0)
		advance(time.Second)
		scenario(is.NewRelaxed(t), m)
		m.recoverAndCheck()
		for _, n := range m.sim.nodes {
			n.stop()
		}
		for _, f := range m.sim.violations {
			t.Error(f)
		}
	})
}

// advance lets the time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// startCall makes a call in the background.
func (m *machine) startCall(entry int) *call {
	c := &call{key: m.keys[0]}
	m.calls = append(m.calls, c)
	go m.sim.nodes[entry].submit(c, patience)
	return c
}

// callAndWait makes a call and waits for its result.
func (m *machine) callAndWait(entry int) *call {
	c := &call{key: m.keys[0]}
	m.calls = append(m.calls, c)
	m.sim.nodes[entry].submit(c, patience)
	return c
}

func (m *machine) replace(entry int) {
	m.sim.nodes[entry].stop()
	m.sim.nodes[entry] = m.sim.start(entry, 0)
	advance(time.Second)
}

func TestEntryThatDiesBeforeSendingLeavesUnknown(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.startCall(0)
		advance(2 * logLatency) // the intent is in the log
		m.replace(0)
		for i := range m.sim.nodes {
			c := m.callAndWait(i)
			is.True(fault.Is(c.err, executor.KindPending) || fault.Is(c.err, executor.KindUnknown))
		}
		is.Equal(len(m.sim.executions), 0)
	})
}

func TestEntryThatDiesAfterSendingLeavesUnknown(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.sim.set(func() { m.sim.serverDelay = time.Second })
		m.startCall(0)
		advance(time.Second)
		m.replace(0)
		c := m.callAndWait(1)
		is.True(fault.Is(c.err, executor.KindPending))
		is.Equal(len(m.sim.executions[m.keys[0]]), 1)
		advance(testWindow) // the holder counts as lost
		c = m.callAndWait(0)
		is.True(fault.Is(c.err, executor.KindUnknown) || fault.Is(c.err, executor.KindExpired))
	})
}

func TestPausedHolderSendsNothingLate(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		c := m.startCall(0)
		advance(logLatency + logLatency/2) // the log has the intent, and its answer is under way
		m.sim.set(func() { m.sim.nodes[0].pausedUntil = time.Now().Add(5 * time.Minute) })
		advance(6 * time.Minute)
		is.True(fault.Is(c.err, executor.KindVoid) || fault.Is(c.err, executor.KindUnknown))
		is.Equal(len(m.sim.executions), 0)
	})
}

func TestVoidBeforeALateIntentEndsTheKey(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.sim.set(func() { m.sim.lateAppends = []time.Duration{time.Minute} })
		is.True(fault.Is(m.callAndWait(0).err, executor.KindVoid))
		advance(2 * time.Minute)
		is.True(fault.Is(m.callAndWait(1).err, executor.KindVoid))
		is.Equal(len(m.sim.executions), 0)
	})
}

func TestLateIntentThatAnotherEntryOvertook(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.sim.set(func() { m.sim.lateAppends = []time.Duration{500 * time.Millisecond} })
		c := m.startCall(0)
		advance(2 * logLatency)
		is.NoErr(m.callAndWait(1).err)
		advance(patience)
		is.NoErr(c.err) // it got the answer of the other entry's attempt
		is.Equal(len(m.sim.executions[m.keys[0]]), 1)
	})
}

func TestEntryCutOffFromTheLogRunsNothing(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.sim.set(func() { m.sim.nodes[0].partitioned = true })
		is.True(fault.Is(m.callAndWait(0).err, executor.KindUnavailable))
		is.NoErr(m.callAndWait(1).err)
		is.True(fault.Is(m.callAndWait(0).err, executor.KindUnavailable))
		m.sim.set(func() { m.sim.nodes[0].partitioned = false })
		advance(time.Second)
		is.NoErr(m.callAndWait(0).err)
	})
}

func TestReplacedEntriesAnswerFromTheLog(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		first := m.callAndWait(0)
		is.NoErr(first.err)
		advance(time.Second) // the outcome is in the log
		m.replace(0)
		m.replace(1)
		is.Equal(m.callAndWait(1).answer, first.answer)
		is.Equal(len(m.sim.executions[m.keys[0]]), 1)
	})
}

func TestKeyIsRefusedWhenItsRecordsAreGone(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		is.NoErr(m.callAndWait(0).err)
		advance(time.Minute)
		m.sim.set(func() { m.sim.expire(0) })
		m.replace(1)
		is.True(fault.Is(m.callAndWait(1).err, executor.KindExpired))
		is.NoErr(m.callAndWait(0).err) // an entry that applied the records still answers
		advance(2 * testWindow)
		is.True(fault.Is(m.callAndWait(1).err, executor.KindExpired))
	})
}

func TestOutcomeIsKeptWhileTheLogIsDown(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		m.sim.set(func() { m.sim.serverDelay = time.Second })
		c := m.startCall(0)
		advance(time.Second)
		m.sim.set(func() { m.sim.outage = true })
		advance(time.Minute)
		is.NoErr(c.err)
		is.NoErr(m.callAndWait(0).err) // the entry that has the outcome answers
		m.sim.set(func() { m.sim.outage = false })
		advance(time.Minute)
		is.NoErr(m.callAndWait(1).err)
	})
}

func TestLongAnswerIsNotHeldForAnOutage(t *testing.T) {
	simulate(t, func(is *is.I, m *machine) {
		long := make([]byte, ledger.MaxAnswerBytes+1)
		x := m.sim.nodes[0].x
		o := executor.Order{Workspace: "guild", Key: m.keys[0]}
		send := func(context.Context) (*ledger.StoredAnswer, bool, error) {
			m.sim.set(func() { m.sim.outage = true })
			return &ledger.StoredAnswer{Status: 200, Body: long}, true, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), testWindow)
		defer cancel()
		answer, err := x.Run(ctx, o, send)
		is.NoErr(err)
		is.Equal(len(answer.Body), len(long))
		advance(time.Minute)
		answer, err = x.Run(ctx, o, send)
		is.NoErr(err)
		is.Equal(answer.Omitted, uint64(len(long)))
		is.Equal(len(answer.Body), 0)
	})
}
