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

const rapidSteps = 40

// latest returns the offset and the holder of the upstream's newest claim.
func (w *world) latest(upstream string) (fence uint64, holder owner.Holder) {
	for _, rec := range w.records {
		r := &owner.Record{}
		if proto.Unmarshal(rec.Data, r) == nil && r.Type == owner.RecordType_CLAIM && r.Upstream == upstream {
			fence, holder = rec.Offset, owner.Holder{VM: r.Vm, Incarnation: r.Incarnation}
		}
	}
	return fence, holder
}

// checkFence checks that the order carries the sender's own claim, and that an
// engine that checks never obeys an older owner after a newer one.
func (w *world) checkFence(e *entry, upstream string, o engine.Order) {
	r := &owner.Record{}
	if o.Fence == 0 || o.Fence > uint64(len(w.records)) {
		w.violate("%s: no claim at %d", upstream, o.Fence)
		return
	}
	if err := proto.Unmarshal(w.records[o.Fence-1].Data, r); err != nil || r.Upstream != upstream || r.Vm != e.self.VM || r.Incarnation != e.self.Incarnation {
		w.violate("%s: the claim at %d is not that of %v", upstream, o.Fence, e.self)
	}
	checks := upstream < engineName(worldEngines/2)
	if checks && o.Fence < w.fences[upstream] {
		w.violate("%s obeyed %d after %d", upstream, o.Fence, w.fences[upstream])
	}
	w.fences[upstream] = max(w.fences[upstream], o.Fence)
}

// checkCapacity checks that no more engines than allowed are out by our orders. An
// order that a paused owner sent late, and that an engine took which does not
// check or has not heard of the new owner, is counted apart: nothing on our side
// can stop it.
func (w *world) checkCapacity(upstream string, o engine.Order) {
	if newest, _ := w.latest(upstream); o.Fence < newest && (upstream >= engineName(worldEngines/2) || w.fences[upstream] == o.Fence) {
		w.stale++
		return
	}
	w.out[upstream] = true
	n := 0
	for i := range worldEngines {
		st, err := w.engines[i].State()
		if err != nil || len(st.Models) > 0 && st.Models[0].Ready {
			delete(w.out, engineName(i))
		}
		if w.out[engineName(i)] {
			n++
		}
	}
	w.mostOut = max(w.mostOut, n)
	if n > worldEngines/2 {
		w.violate("%d of %d engines are out by our orders", n, worldEngines)
	}
}

func (w *world) violate(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

type rollStep struct {
	action        string
	entry, engine int
	n             int
	after         time.Duration
}

var rollActions = []string{
	"version", "version", "see", "see", "see", "own", "own", "disown", "die", "pause", "pause", "cut", "mend",
	"outage", "mend log", "lose", "restart engine", "kill engine", "revive engine", "lose engine answer",
}

func drawRollStep(t *rapid.T) rollStep {
	return rollStep{
		action: rapid.SampledFrom(rollActions).Draw(t, "action"),
		entry:  rapid.IntRange(0, worldEntries-1).Draw(t, "entry"),
		engine: rapid.IntRange(0, worldEngines-1).Draw(t, "engine"),
		n:      rapid.IntRange(0, 9).Draw(t, "n"),
		after: rapid.SampledFrom([]time.Duration{
			0, 0, latency, 2 * latency, 3 * latency, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second,
		}).Draw(t, "after"),
	}
}

func TestRapidEngineOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, rapidSteps).Draw(rt, "length")
		steps := rapid.SliceOfN(rapid.Custom(drawRollStep), n, n).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = roll(steps).faults })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

func roll(steps []rollStep) *world {
	w := newWorld()
	w.set(func() {
		for i := range worldEngines {
			w.entries[i%worldEntries].owns[engineName(i)] = true
		}
	})
	for _, s := range steps {
		w.do(s)
		time.Sleep(s.after)
	}
	w.quiet()
	for _, e := range w.entries {
		e.stop()
	}
	for _, e := range w.engines {
		e.Close()
	}
	return w
}

func (w *world) do(s rollStep) {
	e, eng := w.entries[s.entry], w.engines[s.engine]
	switch s.action {
	case "die":
		e.stop()
		w.entries[s.entry] = w.start(s.entry)
		w.set(func() { w.entries[s.entry].owns, w.entries[s.entry].version = e.owns, e.version })
	case "restart engine", "revive engine":
		eng.Restart()
		w.set(func() { delete(w.fences, eng.Name()) }) // it keeps nothing
	case "kill engine":
		eng.Die()
	case "lose engine answer":
		eng.LoseAnswers(1)
	default:
		w.set(func() { w.change(e, s) })
	}
}

func (w *world) change(e *entry, s rollStep) {
	switch s.action {
	case "version":
		w.version = fmt.Sprint(1 + s.n%3)
	case "see":
		e.version = w.version
	case "own", "disown":
		e.owns[engineName(s.engine)] = s.action == "own"
	case "pause":
		e.pausedUntil = time.Now().Add(time.Duration(s.n*s.n) * time.Second)
	case "cut", "mend":
		e.cut = s.action == "cut"
	case "outage", "mend log":
		w.outage = s.action == "outage"
	case "lose":
		w.lose = s.n % 3
	}
}

// quiet mends everything and checks that the engines come to what is declared.
func (w *world) quiet() {
	for _, e := range w.engines {
		if _, err := e.State(); err != nil {
			e.Restart()
		}
	}
	w.set(func() {
		w.outage, w.lose = false, 0
		for i, e := range w.entries {
			e.cut, e.pausedUntil, e.version = false, time.Time{}, w.version
			for j := range worldEngines {
				e.owns[engineName(j)] = j%worldEntries == i
			}
		}
	})
	time.Sleep(3 * time.Minute)
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		st, err := e.State()
		if err != nil || len(st.Models) != 1 || st.Models[0].Version != w.version || !st.Models[0].Ready ||
			len(st.Models[0].Adapters) != 1 || st.Role != "decode" {
			w.violate("%s did not come to version %s: %+v %v", e.Name(), w.version, st, err)
		}
	}
}
