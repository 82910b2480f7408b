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

const quietTime = 25 * time.Second

// truth is what really became of the entries.
type truth struct {
	m       *mesh
	rand    *rand.Rand
	up      []*Node // that run and don't leave
	leaving map[*Node]time.Time
	paused  map[*Node]bool
	part    map[*Node]int
	mixed   time.Time // when the cuts or pauses last changed
	next    int
}

func newTruth(m *mesh, seed uint64, entries int) *truth {
	w := &truth{
		m: m, rand: rand.New(rand.NewPCG(seed, 1)), leaving: map[*Node]time.Time{}, paused: map[*Node]bool{},
		part: map[*Node]int{}, mixed: time.Now(),
	}
	for range entries {
		w.join()
	}
	return w
}

func (w *truth) join() {
	seeds := []string{name(0)}
	for _, n := range w.up {
		seeds = append(seeds, n.cfg.Address)
	}
	n := w.m.start(name(w.next), "a", seeds...)
	w.next++
	w.up = append(w.up, n)
	w.cut()
}

func (w *truth) any() *Node { return w.up[w.rand.IntN(len(w.up))] }

func (w *truth) remove(n *Node) {
	for i, x := range w.up {
		if x == n {
			w.up = append(w.up[:i:i], w.up[i+1:]...)
		}
	}
}

// cut cuts the parts off from each other.
func (w *truth) cut() {
	w.mixed = time.Now()
	all := append([]*Node{}, w.up...)
	for n := range w.leaving {
		all = append(all, n)
	}
	for _, a := range all {
		for _, b := range all {
			w.m.cut(a.cfg.Address, b.cfg.Address, w.part[a] != w.part[b])
		}
	}
}

func (w *truth) act(act int) {
	n := w.any()
	switch act {
	case 0:
		w.join()
	case 1:
		if len(w.up) > 2 && !w.paused[n] {
			w.remove(n)
			w.leaving[n] = time.Now()
			n.Leave()
		}
	case 2:
		if len(w.up) > 2 && !w.paused[n] {
			w.remove(n)
			w.m.kill(n)
		}
	case 3:
		if !w.paused[n] {
			w.paused[n] = true
			w.m.pause(n.cfg.Address)
		}
		w.mixed = time.Now()
	case 4:
		w.part[n] = 1 - w.part[n]
		w.cut()
	case 5:
		w.heal()
	case 6: // the list shows what is true now, until the next time
		var list []vmlist.VM
		for _, n := range w.up {
			list = append(list, vmlist.VM{Name: n.cfg.VM, Address: n.cfg.Address, FailureDomain: "a", State: vmlist.StateLive})
		}
		for n := range w.leaving {
			list = append(list, vmlist.VM{Name: n.cfg.VM, Address: n.cfg.Address, FailureDomain: "a", State: vmlist.StateLeaving})
		}
		w.m.setList(list...)
	}
}

func (w *truth) heal() {
	for n := range w.paused {
		w.m.resume(n.cfg.Address)
	}
	clear(w.paused)
	clear(w.part)
	w.cut()
}

// checkLeaving reports an entry that would still send work to a VM that has been
// leaving for 3 seconds, where nothing but loss stood between them.
func (w *truth) checkLeaving() error {
	for gone, at := range w.leaving {
		if time.Since(at) < noticeLimit || time.Since(w.mixed) < noticeLimit {
			continue
		}
		for _, n := range w.up {
			if w.paused[n] || w.part[n] != w.part[gone] || len(w.paused) > 0 {
				continue
			}
			if s := stateAt(n, gone.cfg.VM); s == StateLive {
				return fmt.Errorf("%s sees %s as %s, %s after it left", n.cfg.VM, gone.cfg.VM, s, time.Since(at))
			}
		}
	}
	return nil
}

func (w *truth) checkQuiet() error {
	if err := agree(w.up, quietTime); err != nil {
		return err
	}
	time.Sleep(2 * settleAfter)
	for i := range 10 {
		owners := 0
		for _, n := range w.up {
			if n.Owns(fmt.Sprint(i), "a") {
				owners++
			}
			for _, other := range w.up {
				if n.OwnerGone(other.cfg.VM, other.cfg.Incarnation) {
					return fmt.Errorf("%s takes %s for gone", n.cfg.VM, other.cfg.VM)
				}
			}
		}
		if owners != 1 {
			return fmt.Errorf("upstream %d has %d owners", i, owners)
		}
	}
	return nil
}

func (w *truth) run(acts []int) error {
	time.Sleep(5 * time.Second)
	for _, act := range acts {
		w.act(act)
		for range 1 + w.rand.IntN(6) {
			time.Sleep(time.Second)
			if err := w.checkLeaving(); err != nil {
				return err
			}
		}
	}
	w.heal()
	return w.checkQuiet()
}

// TestRapidMembership joins, leaves, kills, pauses, cuts and heals entries under a
// list that lags.
func TestRapidMembership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		acts := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 5).Draw(rt, "acts")
		var err error
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, seed)
			m.loss = benchLoss
			defer m.stopAll()
			err = newTruth(m, seed, 4).run(acts)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSuspectHearsOfItAfterACut is a run that once never ended: the entry that had
// been cut off was told only the news since, and so not that it was suspect.
func TestSuspectHearsOfItAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 0x1c7
		m := newMesh(t, seed)
		m.loss = benchLoss
		defer m.stopAll()
		if err := newTruth(m, seed, 4).run([]int{3, 4}); err != nil {
			t.Error(err)
		}
	})
}
