package product_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

// memoryReleaseLimit is the time within which engines free the memory of a crashed entry's streams.
const memoryReleaseLimit = time.Minute

// inCluster runs a test on a healthy cluster in virtual time and prints the trace if it fails.
func inCluster(t *testing.T, f func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newCoverage())
		defer c.close()
		f(is.New(t), c)
		for _, text := range c.violations {
			t.Error(text)
		}
		if t.Failed() {
			for _, line := range c.trace {
				t.Log(line)
			}
		}
	})
}

func streamedPrompt(id, entry, tokens int) prompt {
	return prompt{id: id, entry: entry, tokens: tokens, maxTokens: 150, timeout: 30 * time.Second, stream: true, key: callerKey}
}

func (c *cluster) memoryUsed() int {
	n := 0
	for _, e := range c.world.Engines {
		n += e.MemoryUsed()
	}
	return n
}

// crashAndReplace kills an entry and starts a new instance.
func (c *cluster) crashAndReplace(i int) {
	up := c.startOutage(i, true)
	c.kill(i)
	time.Sleep(time.Second)
	c.startEntry(i)
	up()
}

// longPrompt returns a prompt whose answer takes more than two seconds to generate.
func longPrompt(entry, tokens int) prompt {
	for id := 0; ; id++ {
		p := streamedPrompt(id, entry, tokens)
		if engine.AnswerLength(p.text(), 0) > 120 {
			return p
		}
	}
}

func TestStreamResumesAtAnotherEntryAfterCrash(t *testing.T) {
	inCluster(t, func(is *is.I, c *cluster) {
		p := longPrompt(0, 200)
		var wg sync.WaitGroup
		wg.Go(func() { c.sendAndCheck(p) })
		time.Sleep(time.Second)
		c.crashAndReplace(0)
		wg.Wait()
		is.Equal(len(c.cov.missing("resume_200", "prompt_whole")), 0)
	})
}

func TestEngineMemoryReleasedAfterEntryCrash(t *testing.T) {
	for _, tokens := range []int{200, 15_000, 30_000} {
		inCluster(t, func(is *is.I, c *cluster) {
			p := longPrompt(0, tokens)
			p.disconnectAfter = 2 * time.Second // the caller does not resume
			var wg sync.WaitGroup
			wg.Go(func() { c.sendAndCheck(p) })
			time.Sleep(1500 * time.Millisecond)
			is.True(c.memoryUsed() > 0)
			c.crashAndReplace(0)
			wg.Wait()
			time.Sleep(memoryReleaseLimit)
			is.Equal(c.memoryUsed(), 0)
		})
	}
}

func TestEngineMemoryReleasedSoonAfterCallerDisconnects(t *testing.T) {
	for _, tokens := range []int{200, 15_000, 30_000} {
		inCluster(t, func(is *is.I, c *cluster) {
			p := longPrompt(0, tokens)
			p.disconnectAfter = time.Second
			c.sendAndCheck(p)
			time.Sleep(2 * time.Second)
			is.Equal(c.memoryUsed(), 0)
		})
	}
}

func TestConfigurationSurvivesCrashOfAllEntries(t *testing.T) {
	inCluster(t, func(is *is.I, c *cluster) {
		o := &order{key: newIdempotencyKey(1), numbers: map[uint64]bool{}}
		c.placeOrder(o, 0)
		var wg sync.WaitGroup
		for i := range entryCount {
			wg.Go(func() { c.crashAndReplace(i) })
		}
		wg.Wait()
		time.Sleep(settleTime)
		for i := range entryCount {
			_, err := c.operator(i).Get(context.Background(), resource.TypeDeployment, "assistant")
			is.NoErr(err)
			c.sendAndCheck(streamedPrompt(10+i, i, 200))
			c.placeOrder(o, i)
		}
		is.Equal(c.world.Desk.Executions(o.key), 1)
		is.Equal(len(c.cov.missing("prompt_whole", "order_done")), 0)
		c.checkOrder(o)
	})
}

func TestNewEntryStartsDuringLogOutage(t *testing.T) {
	inCluster(t, func(is *is.I, c *cluster) {
		c.world.Store.SetOutage(true)
		c.crashAndReplace(1)
		time.Sleep(2 * settleTime)
		v := c.send(streamedPrompt(1, 1, 200))
		is.True(v.complete) // the entry got the configuration from another entry
		o := &order{key: newIdempotencyKey(1), numbers: map[uint64]bool{}}
		c.placeOrder(o, 1)
		is.Equal(o.notRun, 1) // the caller was told that the order did not run
		is.Equal(c.world.Desk.Executions(o.key), 0)
		c.world.Store.SetOutage(false)
		time.Sleep(2 * settleTime)
		c.placeOrder(o, 1)
		is.Equal(c.world.Desk.Executions(o.key), 1)
	})
}

// partitionDomain disconnects a failure domain: its entries from the other domains' entries and
// engines and from the platform, and the other domains' entries from its engines.
func (c *cluster) partitionDomain(d string) {
	across := func(i, j int) bool { return (domainOf(i) == d) != (domainOf(j) == d) }
	for i := range entryCount {
		for j := range engineCount {
			if across(i, j) {
				c.net.Cut(entryName(i), engineName(j))
			}
		}
		for j := range entryCount {
			if across(i, j) {
				c.net.Cut(entryName(i), entryName(j))
			}
		}
		if domainOf(i) == d {
			c.net.Cut(entryName(i), "platform")
		}
	}
}

func TestEveryDomainServesWhilePartitioned(t *testing.T) {
	for _, d := range domains {
		inCluster(t, func(is *is.I, c *cluster) {
			c.partitionDomain(d)
			time.Sleep(2 * settleTime)
			for i := range entryCount {
				is.True(c.send(streamedPrompt(i, i, 200)).complete)
			}
			c.net.HealAll()
			time.Sleep(2 * settleTime)
			for i := range entryCount {
				is.True(c.send(streamedPrompt(10+i, i, 200)).complete)
			}
		})
	}
}
