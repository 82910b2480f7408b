package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

// convergenceLimit is the time within which all entries must agree after the last
// fault has ended.
const convergenceLimit = 25 * time.Second

// groundTruth applies random actions to the entries of a mesh and tracks their real
// state.
type groundTruth struct {
	m              *mesh
	rand           *rand.Rand
	running        []*Node // running and not leaving
	leaving        map[*Node]time.Time
	paused         map[*Node]bool
	side           map[*Node]int
	lastDisruption time.Time // time of the last change of cuts or pauses
	nextIndex      int
}

func newGroundTruth(m *mesh, seed uint64, entries int) *groundTruth {
	g := &groundTruth{
		m: m, rand: rand.New(rand.NewPCG(seed, 1)), leaving: map[*Node]time.Time{}, paused: map[*Node]bool{},
		side: map[*Node]int{}, lastDisruption: time.Now(),
	}
	for range entries {
		g.join()
	}
	return g
}

func (g *groundTruth) join() {
	seeds := []string{name(0)}
	for _, n := range g.running {
		seeds = append(seeds, n.cfg.Address)
	}
	n := g.m.start(name(g.nextIndex), "a", seeds...)
	g.nextIndex++
	g.running = append(g.running, n)
	g.updateCuts()
}

// any returns a random running entry.
func (g *groundTruth) any() *Node { return g.running[g.rand.IntN(len(g.running))] }

func (g *groundTruth) remove(n *Node) {
	for i, x := range g.running {
		if x == n {
			g.running = append(g.running[:i:i], g.running[i+1:]...)
		}
	}
}

// updateCuts cuts the links between the two sides and restores those within a side.
func (g *groundTruth) updateCuts() {
	g.lastDisruption = time.Now()
	all := append([]*Node{}, g.running...)
	for n := range g.leaving {
		all = append(all, n)
	}
	for _, a := range all {
		for _, b := range all {
			g.m.setCut(a.cfg.Address, b.cfg.Address, g.side[a] != g.side[b])
		}
	}
}

func (g *groundTruth) apply(action int) {
	n := g.any()
	switch action {
	case 0:
		g.join()
	case 1:
		if len(g.running) > 2 && !g.paused[n] {
			g.remove(n)
			g.leaving[n] = time.Now()
			n.Leave()
		}
	case 2:
		if len(g.running) > 2 && !g.paused[n] {
			g.remove(n)
			g.m.crash(n)
		}
	case 3:
		if !g.paused[n] {
			g.paused[n] = true
			g.m.pause(n.cfg.Address)
		}
		g.lastDisruption = time.Now()
	case 4:
		g.side[n] = 1 - g.side[n]
		g.updateCuts()
	case 5:
		g.heal()
	case 6: // the list is updated only here, so that it lags behind
		var list []vmlist.VM
		for _, n := range g.running {
			list = append(list, vmlist.VM{Name: n.cfg.VM, Address: n.cfg.Address, FailureDomain: "a", State: vmlist.StateLive})
		}
		for n := range g.leaving {
			list = append(list, vmlist.VM{Name: n.cfg.VM, Address: n.cfg.Address, FailureDomain: "a", State: vmlist.StateLeaving})
		}
		g.m.setList(list...)
	}
}

// heal resumes all paused entries and restores all links.
func (g *groundTruth) heal() {
	for n := range g.paused {
		g.m.resume(n.cfg.Address)
	}
	clear(g.paused)
	clear(g.side)
	g.updateCuts()
}

// checkLeaving returns an error if an entry still sees a VM as live that has been
// leaving for detectionLimit, with no fault between them other than message loss.
func (g *groundTruth) checkLeaving() error {
	for leaver, at := range g.leaving {
		if time.Since(at) < detectionLimit || time.Since(g.lastDisruption) < detectionLimit {
			continue
		}
		for _, n := range g.running {
			if g.paused[n] || g.side[n] != g.side[leaver] || len(g.paused) > 0 {
				continue
			}
			if state := stateSeenBy(n, leaver.cfg.VM); state == StateLive {
				return fmt.Errorf("%s sees %s as %s, %s after it left", n.cfg.VM, leaver.cfg.VM, state, time.Since(at))
			}
		}
	}
	return nil
}

// checkConverged returns an error unless all entries agree on the live ones, each
// upstream has one owner and no running entry counts as gone.
func (g *groundTruth) checkConverged() error {
	if err := awaitAgreement(g.running, convergenceLimit); err != nil {
		return err
	}
	time.Sleep(2 * settleAfter)
	for i := range 10 {
		owners := 0
		for _, n := range g.running {
			if n.Owns(fmt.Sprint(i), "a") {
				owners++
			}
			for _, other := range g.running {
				if n.OwnerGone(other.cfg.VM, other.cfg.Incarnation) {
					return fmt.Errorf("%s sees %s as gone although it is running", n.cfg.VM, other.cfg.VM)
				}
			}
		}
		if owners != 1 {
			return fmt.Errorf("upstream %d has %d owners", i, owners)
		}
	}
	return nil
}

func (g *groundTruth) run(actions []int) error {
	time.Sleep(5 * time.Second)
	for _, action := range actions {
		g.apply(action)
		for range 1 + g.rand.IntN(6) {
			time.Sleep(time.Second)
			if err := g.checkLeaving(); err != nil {
				return err
			}
		}
	}
	g.heal()
	return g.checkConverged()
}

// TestRapidMembership applies random joins, leaves, crashes, pauses, partitions and
// heals with a VM list that lags behind, and checks that the entries converge.
func TestRapidMembership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 5).Draw(rt, "acts")
		var err error
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, seed)
			m.loss = benchLossRate
			defer m.stopAll()
			err = newGroundTruth(m, seed, 4).run(actions)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSuspicionReachesSuspectAfterPartition guards against a suspect entry that stays
// suspect for ever: after a partition it was sent only recent records, not the older
// one of its own suspicion, and never refuted it.
func TestSuspicionReachesSuspectAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 0x1c7
		m := newMesh(t, seed)
		m.loss = benchLossRate
		defer m.stopAll()
		if err := newGroundTruth(m, seed, 4).run([]int{3, 4}); err != nil {
			t.Error(err)
		}
	})
}
