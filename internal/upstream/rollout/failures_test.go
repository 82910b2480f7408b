package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// runScenario runs a test in virtual time in which entry 0 owns every engine. After act it
// clears all failures and checks that the engines converge.
func runScenario(t *testing.T, act func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.set(func() {
			for i := range engineCount {
				c.entries[0].owns[engineName(i)] = true
			}
		})
		advance(30 * time.Second)
		act(is.NewRelaxed(t), c)
		c.checkConvergence()
		for _, e := range c.entries {
			e.stop()
		}
		for _, e := range c.engines {
			e.Close()
		}
		for _, f := range c.violations {
			t.Error(f)
		}
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// setVersion changes the configured version at every entry.
func (c *cluster) setVersion(version string) {
	c.set(func() {
		c.version = version
		for _, e := range c.entries {
			e.version = version
		}
	})
}

// serving returns the number of engines that serve the version.
func (c *cluster) serving(version string) int {
	n := 0
	for _, e := range c.engines {
		if st, err := e.State(); err == nil && len(st.Models) > 0 && st.Models[0].Ready && st.Models[0].Version == version {
			n++
		}
	}
	return n
}

func TestRolloutKeepsCapacityAndRollsBack(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		c.setVersion("2")
		for c.serving("2") == 0 {
			advance(time.Second)
		}
		is.True(c.serving("1") > 0)
		c.setVersion("1")
		advance(2 * time.Minute)
		is.Equal(c.serving("1"), engineCount)
		is.Equal(c.maxOutOfService, engineCount/2)
	})
}

func TestWeightLoadsKeepTheStoresRate(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		began := time.Now()
		c.setVersion("2")
		for c.serving("2") < engineCount {
			advance(time.Second)
		}
		atRate := time.Duration(engineCount-1) * weightBytes / weightBytesPerSecond * time.Second
		is.True(time.Since(began) >= atRate) // the last load can't have started earlier
		is.Equal(c.store.Refused(), uint64(0))
	})
}

func TestDisconnectedOwnerStopsSending(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		c.setVersion("2")
		for c.serving("1") == engineCount {
			advance(100 * time.Millisecond)
		}
		c.set(func() { c.entries[0].disconnected = true })
		advance(10 * time.Second) // its claims have expired
		sent := c.entries[0].driver.State().Orders
		c.setVersion("3")
		advance(time.Minute)
		is.Equal(c.entries[0].driver.State().Orders, sent)
	})
}

func TestPausedOwnerIsFencedOff(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		c.setVersion("2")
		for c.serving("1") == engineCount {
			advance(hopLatency)
		}
		c.set(func() {
			c.entries[0].pausedUntil = time.Now().Add(time.Minute)
			for i := range engineCount {
				c.entries[1].owns[engineName(i)] = true
			}
		})
		advance(50 * time.Second)
		is.Equal(c.serving("2"), engineCount) // the new owner finished the rollout
		advance(time.Minute)
		is.Equal(c.serving("2"), engineCount)
	})
}

func TestRolloutWaitsForMinimumCapacity(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		for _, e := range c.engines[:engineCount/2] {
			e.Die()
		}
		c.setVersion("2")
		advance(time.Minute)
		is.Equal(c.serving("1"), engineCount/2) // MinCapacity keeps the rest serving
		is.Equal(c.entries[0].driver.State().Upstreams[engineName(engineCount-1)], StatusCapacity)
	})
}

func TestBenchRollout(t *testing.T) {
	runScenario(t, func(is *is.I, c *cluster) {
		records, orders := len(c.records), c.entries[0].driver.State().Orders
		began := time.Now()
		c.setVersion("2")
		for c.serving("2") < engineCount {
			advance(100 * time.Millisecond)
		}
		took := time.Since(began)
		advance(time.Minute)
		sent := c.entries[0].driver.State().Orders - orders
		fmt.Printf("rollout engines=%d needed=%d load_s=%g orders_per_engine=%.1f log_records_per_engine=%.1f most_out=%d store_refusals=%d\n",
			engineCount, engineCount/2, loadTime.Seconds(), float64(sent)/engineCount,
			float64(len(c.records)-records)/engineCount, c.maxOutOfService, c.store.Refused())
		is.True(c.maxOutOfService <= engineCount/2)
		is.True(took < 2*time.Minute)
	})
}
