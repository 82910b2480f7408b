package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scene runs a test of one failure in virtual time: entry 0 owns every engine.
func scene(t *testing.T, act func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.set(func() {
			for i := range worldEngines {
				w.entries[0].owns[engineName(i)] = true
			}
		})
		pass(30 * time.Second)
		act(is.NewRelaxed(t), w)
		w.quiet()
		for _, e := range w.entries {
			e.stop()
		}
		for _, e := range w.engines {
			e.Close()
		}
		for _, f := range w.faults {
			t.Error(f)
		}
	})
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// declare changes the wanted version at every entry.
func (w *world) declare(version string) {
	w.set(func() {
		w.version = version
		for _, e := range w.entries {
			e.version = version
		}
	})
}

// serving counts the engines that serve the version.
func (w *world) serving(version string) int {
	n := 0
	for _, e := range w.engines {
		if st, err := e.State(); err == nil && len(st.Models) > 0 && st.Models[0].Ready && st.Models[0].Version == version {
			n++
		}
	}
	return n
}

func TestRolloutKeepsCapacityAndIsRolledBack(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		w.declare("2")
		for w.serving("2") == 0 {
			pass(time.Second)
		}
		is.True(w.serving("1") > 0)
		w.declare("1")
		pass(2 * time.Minute)
		is.Equal(w.serving("1"), worldEngines)
		is.Equal(w.mostOut, worldEngines/2)
	})
}

func TestWeightLoadsKeepTheStoresRate(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		began := time.Now()
		w.declare("2")
		for w.serving("2") < worldEngines {
			pass(time.Second)
		}
		atRate := time.Duration(worldEngines-1) * weights / weightRate * time.Second
		is.True(time.Since(began) >= atRate) // the last load started no sooner
		is.Equal(w.store.Refused(), uint64(0))
	})
}

func TestOwnerThatIsCutOffStopsSending(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		w.declare("2")
		for w.serving("1") == worldEngines {
			pass(100 * time.Millisecond)
		}
		w.set(func() { w.entries[0].cut = true })
		pass(10 * time.Second) // its claims are old now
		sent := w.entries[0].driver.State().Orders
		w.declare("3")
		pass(time.Minute)
		is.Equal(w.entries[0].driver.State().Orders, sent)
	})
}

func TestPausedOwnerIsRefusedByEnginesThatCheck(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		w.declare("2")
		for w.serving("1") == worldEngines {
			pass(latency)
		}
		w.set(func() {
			w.entries[0].pausedUntil = time.Now().Add(time.Minute)
			for i := range worldEngines {
				w.entries[1].owns[engineName(i)] = true
			}
		})
		pass(50 * time.Second)
		is.Equal(w.serving("2"), worldEngines) // the new owner finished it
		pass(time.Minute)
		is.Equal(w.serving("2"), worldEngines)
	})
}

func TestRolloutWaitsWhileTheRestHasToServe(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		for _, e := range w.engines[:worldEngines/2] {
			e.Die()
		}
		w.declare("2")
		pass(time.Minute)
		is.Equal(w.serving("1"), worldEngines/2) // the rest has to go on serving
		is.Equal(w.entries[0].driver.State().Upstreams[engineName(worldEngines-1)], StatusCapacity)
	})
}

func TestBenchRollout(t *testing.T) {
	scene(t, func(is *is.I, w *world) {
		records, orders := len(w.records), w.entries[0].driver.State().Orders
		began := time.Now()
		w.declare("2")
		for w.serving("2") < worldEngines {
			pass(100 * time.Millisecond)
		}
		took := time.Since(began)
		pass(time.Minute)
		sent := w.entries[0].driver.State().Orders - orders
		fmt.Printf("rollout engines=%d needed=%d load_s=%g orders_per_engine=%.1f log_records_per_engine=%.1f most_out=%d store_refusals=%d\n",
			worldEngines, worldEngines/2, loadTime.Seconds(), float64(sent)/worldEngines,
			float64(len(w.records)-records)/worldEngines, w.mostOut, w.store.Refused())
		is.True(w.mostOut <= worldEngines/2)
		is.True(took < 2*time.Minute)
	})
}
