package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

const noticeLimit = 3 * time.Second

// inMesh runs the test in virtual time.
func inMesh(t *testing.T, f func(is *is.I, m *mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stopAll()
		f(is.New(t), m)
	})
}

func TestRestartOfAllAtOnce(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(20)
		is.NoErr(agree(nodes, 10*time.Second))
		m.setOffset(7)
		time.Sleep(12 * time.Second)
		for _, n := range nodes {
			is.Equal(n.InForce(7).Seen, 20)
			is.Equal(n.InForce(7).Of, 20)
			is.Equal(n.InForce(8).Seen, 0)
		}
	})
}

func TestLeavingIsToldAtOnce(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		m.loss = 0.01
		nodes := m.fleet(20)
		is.NoErr(agree(nodes, 10*time.Second))
		nodes[3].Leave()
		is.NoErr(await(nodes, name(3), StateLeaving, noticeLimit))
		reach, known := nodes[3].Shares()
		is.Equal([2]int{reach, known}, [2]int{1, 20}) // it keeps its part while it may take work
		reach, known = nodes[4].Shares()
		is.Equal([2]int{reach, known}, [2]int{19, 20})
		nodes[5].SetUpstream("engine-1", StateLeaving)
		time.Sleep(noticeLimit)
		for _, n := range nodes {
			is.Equal(n.Upstream("engine-1"), StateLeaving)
			is.Equal(n.Upstream("engine-2"), StateLive)
		}
		time.Sleep(leaveServes)
		_, known = nodes[4].Shares()
		is.Equal(known, 19)
		nodes[3].Close()
		is.NoErr(await(append(nodes[:3:3], nodes[4:]...), name(3), StateGone, noticeLimit))
	})
}

func TestDeathIsNoticed(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		m.loss = 0.01
		nodes := m.fleet(20)
		is.NoErr(agree(nodes, 10*time.Second))
		dead := nodes[4]
		m.kill(dead)
		rest := append(nodes[:4:4], nodes[5:]...)
		is.NoErr(await(rest, name(4), StateSuspect, noticeLimit+time.Second))
		is.True(!rest[0].OwnerGone(name(4), dead.cfg.Incarnation)) // it may be a flap
		is.NoErr(await(rest, name(4), StateGone, 2*goneAfter))
		is.True(rest[0].OwnerGone(name(4), dead.cfg.Incarnation))

		again := m.start(name(4), "a", name(0))
		is.NoErr(agree(append(rest, again), 10*time.Second))
		is.True(rest[0].OwnerGone(name(4), dead.cfg.Incarnation))
		is.True(!rest[0].OwnerGone(name(4), again.cfg.Incarnation))
	})
}

func TestReplacedUnderTheSameAddress(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(6)
		is.NoErr(agree(nodes, 10*time.Second))
		m.kill(nodes[2])
		other := m.startAt("entry-99", name(2), "a", name(0))
		is.NoErr(agree(append(nodes[:2:2], append(nodes[3:], other)...), 10*time.Second))
		is.Equal(stateAt(nodes[0], name(2)), StateGone)
		is.True(nodes[0].OwnerGone(name(2), nodes[2].cfg.Incarnation))
	})
}

func TestPausedAndBack(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(8)
		is.NoErr(agree(nodes, 10*time.Second))
		m.pause(name(5))
		time.Sleep(20 * time.Second)
		is.Equal(stateAt(nodes[0], name(5)), StateGone)
		m.resume(name(5))
		is.NoErr(agree(nodes, 15*time.Second))
		is.True(!nodes[0].OwnerGone(name(5), nodes[5].cfg.Incarnation))
	})
}

func TestCutOneWay(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(8)
		is.NoErr(agree(nodes, 10*time.Second))
		m.cut(name(1), name(2), true) // just these two: others reach both
		time.Sleep(30 * time.Second)
		is.NoErr(sameLive(nodes))
		is.Equal(nodes[0].suspected, int64(0))

		for _, n := range nodes { // nobody reaches it, though it reaches all
			m.cut(n.cfg.Address, name(5), true)
		}
		rest := append(nodes[:5:5], nodes[6:]...)
		is.NoErr(await(rest, name(5), StateSuspect, 2*noticeLimit))
		for _, n := range nodes {
			m.cut(n.cfg.Address, name(5), false)
		}
		is.NoErr(agree(nodes, 15*time.Second))
	})
}

func TestPartitionAndHeal(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(12)
		is.NoErr(agree(nodes, 10*time.Second))
		a, b := nodes[:5], nodes[5:]
		m.split(a, b, true)
		is.NoErr(agree(a, 30*time.Second))
		is.NoErr(agree(b, 30*time.Second))
		time.Sleep(goneAfter)
		is.Equal(a[0].OutOfReach(), len(b))
		is.Equal(b[0].OutOfReach(), len(a))
		m.split(a, b, false)
		is.NoErr(agree(nodes, 45*time.Second))
		is.Equal(a[0].OutOfReach(), 0)
	})
}

func TestCutOffFromAll(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(6)
		is.NoErr(agree(nodes, 10*time.Second))
		m.split(nodes[:1], nodes[1:], true)
		time.Sleep(3*noticeLimit + settleAfter)
		is.NoErr(sameLive(nodes[:1])) // it serves on alone
		is.Equal(nodes[0].Owner("engine-1", "a"), name(0))
		is.Equal(nodes[0].OutOfReach(), 5)
		m.split(nodes[:1], nodes[1:], false)
		is.NoErr(agree(nodes, 30*time.Second))
	})
}

func TestListIsAHint(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		vm := func(i int, s vmlist.State) vmlist.VM {
			return vmlist.VM{Name: name(i), Address: name(i), FailureDomain: "a", State: s}
		}
		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive), vm(7, vmlist.StateLive)) // lacks 2, names one that never was
		nodes := []*Node{m.start(name(0), "a"), m.start(name(1), "a"), m.start(name(2), "a", name(0))}
		is.NoErr(agree(nodes, 30*time.Second)) // met through the list alone

		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLeaving),
			vmlist.VM{Name: "engine-1", Address: "e", FailureDomain: "a", State: vmlist.StateLeaving})
		is.NoErr(await(nodes, name(1), StateLeaving, 20*time.Second))
		is.NoErr(await(nodes[1:2], name(1), StateLive, time.Second)) // its own word about itself
		is.Equal(nodes[2].Upstream("engine-1"), StateLeaving)

		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive), vm(2, vmlist.StateLive))
		is.NoErr(agree(nodes, 30*time.Second))
		time.Sleep(20 * time.Second)
		m.kill(nodes[2])
		time.Sleep(10 * time.Second)
		is.Equal(nodes[0].OutOfReach(), 1) // it may serve elsewhere, as far as is known
		m.setList(vm(0, vmlist.StateLive), vm(1, vmlist.StateLive))
		time.Sleep(20 * time.Second)
		is.Equal(nodes[0].OutOfReach(), 0) // the platform says that it ended
	})
}

func TestFlapMovesNoOwner(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(5)
		is.NoErr(agree(nodes, 10*time.Second))
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
		is.Equal(stateAt(nodes[0], name(3)), StateSuspect)
		is.Equal(owned(), before)
		m.resume(name(3))
		is.NoErr(agree(nodes, 10*time.Second))
		is.Equal(owned(), before)

		nodes[3].Leave()
		is.NoErr(await(nodes, name(3), StateLeaving, noticeLimit))
		moved := 0
		for i, vm := range owned() {
			is.True(vm != name(3))
			if vm != before[i] {
				moved++
				is.Equal(before[i], name(3)) // only what the leaver owned has moved
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
		is.NoErr(sameLive(a))
		is.NoErr(sameLive(b))
		for _, n := range append(a, b...) {
			is.Equal(n.InForce(5).Seen, 4)
			is.Equal(n.InForce(5).Of, 4)
		}
		is.Equal(a[1].Summaries()[0].GetSpare()[0].GetEngines(), uint32(3))
		is.True(!a[0].Owns("engine-b", "b") && !a[1].Owns("engine-b", "b"))

		m.kill(b[0])
		m.kill(b[1])
		time.Sleep(3 * summaryStale)
		is.Equal(a[0].InForce(5).Of, 2)
		is.True(a[0].Owns("engine-b", "b") != a[1].Owns("engine-b", "b")) // another domain looks after it
	})
}

func TestSummaryOfADomainWhoseOnlyEntryLeaves(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(1)
		nodes[0].Leave()
		is.Equal(nodes[0].Summary().GetLive(), uint32(0))
		is.Equal(len(nodes[0].Summary().GetOffsets()), 0)
	})
}

func TestFailureDomainCutOffAndBack(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		a := []*Node{m.start("a1", "a"), m.start("a2", "a", "a1")}
		b := []*Node{m.start("b1", "b", "a1", "a2"), m.start("b2", "b", "b1", "a2")}
		time.Sleep(15 * time.Second)
		m.split(a, b, true)
		time.Sleep(2 * summaryStale)
		for _, n := range append(a, b...) {
			is.Equal(len(n.Summaries()), 0)
			is.Equal(n.InForce(0).Of, 2)
			reach, known := n.Shares()
			is.Equal([2]int{reach, known}, [2]int{2, 4}) // the other one keeps its part
		}
		m.split(a, b, false)
		time.Sleep(summaryStale)
		for _, n := range append(a, b...) {
			is.Equal(n.InForce(0).Of, 4)
		}
	})
}

func TestEntryWithAnotherKeyStaysOut(t *testing.T) {
	inMesh(t, func(is *is.I, m *mesh) {
		nodes := m.fleet(3)
		m.key = "another-key"
		stranger := m.start("entry-99", "a", name(0))
		time.Sleep(30 * time.Second)
		is.NoErr(sameLive(nodes))
		is.NoErr(sameLive([]*Node{stranger}))
	})
}
