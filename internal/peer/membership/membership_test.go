package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

const detectionLimit = 3 * time.Second

// inMesh runs f in virtual time with an empty mesh.
func inMesh(t *testing.T, f func(is *is.I, m *mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stopAll()
		f(is.New(t), m)
	})
}

func TestSimultaneousRestart(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(20)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		m.setOffset(7)
		time.Sleep(12 * time.Second)
		for _, n := range nodes {
			is.Equal(n.InForce(7).Seen, 20)
			is.Equal(n.InForce(7).Of, 20)
			is.Equal(n.InForce(8).Seen, 0)
		}
	})
}

func TestLeavePropagates(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		m.loss = 0.01
		nodes := m.startEntries(20)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		nodes[3].Leave()
		is.NoErr(awaitState(nodes, name(3), StateLeaving, detectionLimit))
		reach, known := nodes[3].EntryCounts()
		is.Equal([2]int{reach, known}, [2]int{1, 20}) // known still counts it while it may take new work
		reach, known = nodes[4].EntryCounts()
		is.Equal([2]int{reach, known}, [2]int{19, 20})
		nodes[5].SetUpstream("engine-1", StateLeaving)
		time.Sleep(detectionLimit)
		for _, n := range nodes {
			is.Equal(n.Upstream("engine-1"), StateLeaving)
			is.Equal(n.Upstream("engine-2"), StateLive)
		}
		time.Sleep(leaveGrace)
		_, known = nodes[4].EntryCounts()
		is.Equal(known, 19)
		nodes[3].Close()
		is.NoErr(awaitState(append(nodes[:3:3], nodes[4:]...), name(3), StateGone, detectionLimit))
	})
}

func TestCrashDetection(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		m.loss = 0.01
		nodes := m.startEntries(20)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		crashed := nodes[4]
		m.crash(crashed)
		rest := append(nodes[:4:4], nodes[5:]...)
		is.NoErr(awaitState(rest, name(4), StateSuspect, detectionLimit+time.Second))
		is.True(!rest[0].OwnerGone(name(4), crashed.cfg.Incarnation)) // it may only be flapping
		is.NoErr(awaitState(rest, name(4), StateGone, 2*goneAfter))
		is.True(rest[0].OwnerGone(name(4), crashed.cfg.Incarnation))

		restarted := m.start(name(4), "a", name(0))
		is.NoErr(awaitAgreement(append(rest, restarted), 10*time.Second))
		is.True(rest[0].OwnerGone(name(4), crashed.cfg.Incarnation))
		is.True(!rest[0].OwnerGone(name(4), restarted.cfg.Incarnation))
	})
}

func TestReplacedAtSameAddress(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(6)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		m.crash(nodes[2])
		other := m.startAt("entry-99", name(2), "a", name(0))
		is.NoErr(awaitAgreement(append(nodes[:2:2], append(nodes[3:], other)...), 10*time.Second))
		is.Equal(stateSeenBy(nodes[0], name(2)), StateGone)
		is.True(nodes[0].OwnerGone(name(2), nodes[2].cfg.Incarnation))
	})
}

func TestPauseAndResume(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(8)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		m.pause(name(5))
		time.Sleep(20 * time.Second)
		is.Equal(stateSeenBy(nodes[0], name(5)), StateGone)
		m.resume(name(5))
		is.NoErr(awaitAgreement(nodes, 15*time.Second))
		is.True(!nodes[0].OwnerGone(name(5), nodes[5].cfg.Incarnation))
	})
}

func TestOneWayPartition(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(8)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		m.setCut(name(1), name(2), true) // the others still reach both
		time.Sleep(30 * time.Second)
		is.NoErr(checkLive(nodes))
		is.Equal(nodes[0].suspicions, int64(0))

		for _, n := range nodes { // no entry reaches it, but it reaches all
			m.setCut(n.cfg.Address, name(5), true)
		}
		rest := append(nodes[:5:5], nodes[6:]...)
		is.NoErr(awaitState(rest, name(5), StateSuspect, 2*detectionLimit))
		for _, n := range nodes {
			m.setCut(n.cfg.Address, name(5), false)
		}
		is.NoErr(awaitAgreement(nodes, 15*time.Second))
	})
}

func TestPartitionAndHeal(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(12)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		a, b := nodes[:5], nodes[5:]
		m.setPartition(a, b, true)
		is.NoErr(awaitAgreement(a, 30*time.Second))
		is.NoErr(awaitAgreement(b, 30*time.Second))
		time.Sleep(goneAfter)
		is.Equal(a[0].OutOfReach(), len(b))
		is.Equal(b[0].OutOfReach(), len(a))
		m.setPartition(a, b, false)
		is.NoErr(awaitAgreement(nodes, 45*time.Second))
		is.Equal(a[0].OutOfReach(), 0)
	})
}

func TestIsolatedEntry(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(6)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		m.setPartition(nodes[:1], nodes[1:], true)
		time.Sleep(3*detectionLimit + settleAfter)
		is.NoErr(checkLive(nodes[:1])) // it keeps serving alone
		is.Equal(nodes[0].Owner("engine-1", "a"), name(0))
		is.Equal(nodes[0].OutOfReach(), 5)
		m.setPartition(nodes[:1], nodes[1:], false)
		is.NoErr(awaitAgreement(nodes, 30*time.Second))
	})
}

func TestVMListIsHint(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		vm := func(i int, s vmlist.State) vmlist.VM {
			return vmlist.VM{Name: name(i), Address: name(i), FailureDomain: "a", State: s}
		}
		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive), vm(7, vmlist.StateLive)) // entry 2 is missing and entry 7 does not exist
		nodes := []*Node{m.start(name(0), "a"), m.start(name(1), "a"), m.start(name(2), "a", name(0))}
		is.NoErr(awaitAgreement(nodes, 30*time.Second)) // 0 and 1 find each other only through the list

		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLeaving),
			vmlist.VM{Name: "engine-1", Address: "e", FailureDomain: "a", State: vmlist.StateLeaving})
		is.NoErr(awaitState(nodes, name(1), StateLeaving, 20*time.Second))
		is.NoErr(awaitState(nodes[1:2], name(1), StateLive, time.Second)) // its own record takes precedence over the list
		is.Equal(nodes[2].Upstream("engine-1"), StateLeaving)

		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive), vm(2, vmlist.StateLive))
		is.NoErr(awaitAgreement(nodes, 30*time.Second))
		time.Sleep(20 * time.Second)
		m.crash(nodes[2])
		time.Sleep(10 * time.Second)
		is.Equal(nodes[0].OutOfReach(), 1) // it may still be serving, unreachable from here
		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive))
		time.Sleep(20 * time.Second)
		is.Equal(nodes[0].OutOfReach(), 0) // the list no longer contains it
	})
}

func TestFlapKeepsOwners(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(5)
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		time.Sleep(2 * settleAfter)
		owned := func() (out [50]string) {
			for i := range out {
				out[i] = nodes[0].Owner(name(i), "a")
			}
			return out
		}
		before := owned()
		m.pause(name(3))
		time.Sleep(goneAfter)
		is.Equal(stateSeenBy(nodes[0], name(3)), StateSuspect)
		is.Equal(owned(), before)
		m.resume(name(3))
		is.NoErr(awaitAgreement(nodes, 10*time.Second))
		is.Equal(owned(), before)

		nodes[3].Leave()
		is.NoErr(awaitState(nodes, name(3), StateLeaving, detectionLimit))
		moved := 0
		for i, vm := range owned() {
			is.True(vm != name(3))
			if vm != before[i] {
				moved++
				is.Equal(before[i], name(3)) // only upstreams of the leaving entry have moved
			}
		}
		is.True(moved > 0)
	})
}

func TestFailureDomains(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		m.offset = 5
		m.spare["b"] = []*memberwire.Spare{{Deployment: "assistant", Engines: 3, MemoryK: 400}}
		a := []*Node{m.start("a1", "a"), m.start("a2", "a", "a1")}
		b := []*Node{m.start("b1", "b", "a1"), m.start("b2", "b", "b1", "a1")}
		time.Sleep(15 * time.Second)
		is.NoErr(checkLive(a))
		is.NoErr(checkLive(b))
		for _, n := range append(a, b...) {
			is.Equal(n.InForce(5).Seen, 4)
			is.Equal(n.InForce(5).Of, 4)
		}
		is.Equal(a[1].Summaries()[0].GetSpare()[0].GetEngines(), uint32(3))
		is.True(!a[0].Owns("engine-b", "b") && !a[1].Owns("engine-b", "b"))

		m.crash(b[0])
		m.crash(b[1])
		time.Sleep(3 * summaryMaxAge)
		is.Equal(a[0].InForce(5).Of, 2)
		is.True(a[0].Owns("engine-b", "b") != a[1].Owns("engine-b", "b")) // domain a takes over its upstreams
	})
}

func TestSummaryAfterOnlyEntryLeaves(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(1)
		nodes[0].Leave()
		is.Equal(nodes[0].Summary().GetLive(), uint32(0))
		is.Equal(len(nodes[0].Summary().GetOffsets()), 0)
	})
}

func TestFailureDomainPartitionAndHeal(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		a := []*Node{m.start("a1", "a"), m.start("a2", "a", "a1")}
		b := []*Node{m.start("b1", "b", "a1", "a2"), m.start("b2", "b", "b1", "a2")}
		time.Sleep(15 * time.Second)
		m.setPartition(a, b, true)
		time.Sleep(2 * summaryMaxAge)
		for _, n := range append(a, b...) {
			is.Equal(len(n.Summaries()), 0)
			is.Equal(n.InForce(0).Of, 2)
			reach, known := n.EntryCounts()
			is.Equal([2]int{reach, known}, [2]int{2, 4}) // known still counts the unreachable domain
		}
		m.setPartition(a, b, false)
		time.Sleep(summaryMaxAge)
		for _, n := range append(a, b...) {
			is.Equal(n.InForce(0).Of, 4)
		}
	})
}

func TestEntryWithOtherKeyIsRejected(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.startEntries(3)
		m.key = "another-key"
		outsider := m.start("entry-99", "a", name(0))
		time.Sleep(30 * time.Second)
		is.NoErr(checkLive(nodes))
		is.NoErr(checkLive([]*Node{outsider}))
	})
}
