// Package soak runs entries, the store and servers as processes on loopback, injects
// consecutive and overlapping faults, and checks what callers and servers observed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/relay"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// SOAK_SEED and SOAK_FOR set the seed and the duration.
const (
	seedEnv         = "SOAK_SEED"
	durationEnv     = "SOAK_FOR"
	defaultDuration = 6 * time.Second
	// callerCount is about the concurrency that four entries serve without queueing.
	callerCount = 16
	// recoveryRequests is how many consecutive requests must succeed after the last fault.
	recoveryRequests = 40
	// restoreOutage is how long a store that is restored from a copy is away.
	restoreOutage = 300 * time.Millisecond
)

// seeds are used where SOAK_SEED is not set. A seed that exposed a fault stays, with a note of
// the fault.
var seeds = []uint64{
	1,
	2,
}

// fault is a temporary fault.
type fault struct {
	name  string
	group int // faults of one group run one after another, those of different groups overlap
	begin func(w *world, rng *rand.Rand) (end func())
}

// faults lists the faults to inject. Each draws its own target.
var faults = []fault{
	{"entry killed", entryGroup, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.kill()
		return func() { w.reportError(e.start()) }
	}},
	{"entry stopped", entryGroup, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.signal(syscall.SIGTERM)
		<-e.done
		return func() { w.reportError(e.start()) }
	}},
	{"entry frozen", entryGroup, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT) }
	}},
	{"server killed", serverGroup, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.kill()
		return func() { w.restart(u) }
	}},
	{"server frozen", serverGroup, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.signal(syscall.SIGSTOP)
		return func() { u.signal(syscall.SIGCONT) }
	}},
	{"server answers wrongly", serverGroup, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		var script []server.Script
		for range 40 {
			script = append(script, server.Script(rng.IntN(int(server.StopEvent))))
		}
		u.follow(script...)
		return func() { u.follow() }
	}},
	{"server behind a bad link", linkGroup, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.relay.Set(relay.Mode(1 + rng.IntN(int(relay.Reset))))
		return func() { u.relay.Set(relay.Pass) }
	}},
	{"store behind a bad link", linkGroup, func(w *world, rng *rand.Rand) func() {
		w.storeRelay.Set(relay.Mode(1 + rng.IntN(int(relay.Reset))))
		return func() { w.storeRelay.Set(relay.Pass) }
	}},
	{"store down", storeGroup, func(w *world, _ *rand.Rand) func() {
		w.reportError(w.controlStore(storeCommand{Down: true}))
		return func() { w.reportError(w.controlStore(storeCommand{})) }
	}},
	{"store slow, answers lost", storeGroup, func(w *world, rng *rand.Rand) func() {
		w.reportError(w.controlStore(storeCommand{DelayMS: 300, Lose: rng.IntN(5)}))
		return func() { w.reportError(w.controlStore(storeCommand{})) }
	}},
	{"store restored from a copy", storeGroup, func(w *world, _ *rand.Rand) func() {
		w.reportError(w.controlStore(storeCommand{Copy: true}))
		w.configure()
		return func() {
			w.reportError(w.controlStore(storeCommand{Restore: true, Down: true}))
			sleep(w.t.Context(), restoreOutage)
			w.reportError(w.controlStore(storeCommand{}))
			w.writeAgain()
		}
	}},
	{"configuration changes", storeGroup, func(w *world, _ *rand.Rand) func() {
		w.configure()
		return w.configure
	}},
}

// The fault groups: one for each kind of process, and one for the network between them.
const (
	entryGroup = iota
	serverGroup
	linkGroup
	storeGroup
	groupCount
)

// injectFaults injects faults until the context ends, and has ended all of them on return.
func (w *world) injectFaults(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for group := range groupCount {
		// At most one fault acts on a process at a time: each kind of process has one group.
		var own []fault
		for _, f := range faults {
			if f.group == group {
				own = append(own, f)
			}
		}
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+group)))
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
				f := own[rng.IntN(len(own))]
				w.t.Logf("%s %s", time.Now().Format("15:04:05.000"), f.name)
				end := f.begin(w, rng)
				sleep(ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond)
				end()
			}
		})
	}
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// check ends the servers, so that all executions that they wrote are read, and fails the test
// on each violation.
func (w *world) check(attempts []*attempt) {
	w.t.Helper()
	for _, u := range w.upstreams {
		u.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list := violations(attempts, w.executions)
	for i, text := range list {
		if i == maxReported {
			w.t.Errorf("and %d more", len(list)-maxReported)
			break
		}
		w.t.Error(text)
	}
}

func duration() time.Duration {
	d, err := time.ParseDuration(os.Getenv(durationEnv))
	if err != nil {
		return defaultDuration // unset or malformed
	}
	return d
}

// TestSoak checks that all guarantees hold under consecutive and overlapping faults, and that
// all entries serve again afterwards.
func TestSoak(t *testing.T) {
	play := seeds
	if n, err := strconv.ParseUint(os.Getenv(seedEnv), 10, 64); err == nil {
		play = []uint64{n}
	}
	for _, seed := range play {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			w := newWorld(t)
			ask, stop := context.WithCancel(t.Context())
			defer stop()
			c := &callers{addresses: w.addresses, deadline: faultDeadline}
			c.run(ask, callerCount, seed)
			faulty, end := context.WithTimeout(t.Context(), duration())
			w.injectFaults(faulty, seed)
			end()
			w.awaitReady()
			w.awaitRecovery(c)
			w.awaitConfigured()
			stop()
			c.wg.Wait()
			attempts := c.snapshot()
			w.check(attempts)
			t.Log(summarize(attempts))
		})
	}
}

// awaitRecovery waits until the last recoveryRequests requests have all succeeded.
func (w *world) awaitRecovery(c *callers) {
	w.t.Helper()
	w.await("serving after the faults", func() bool {
		list := c.snapshot()
		if len(list) < recoveryRequests {
			return false
		}
		for _, a := range list[len(list)-recoveryRequests:] {
			if a.status != http.StatusOK || a.err != nil {
				return false
			}
		}
		return true
	})
}

func summarize(attempts []*attempt) string {
	n := map[int]int{}
	for _, a := range attempts {
		if a.err != nil {
			n[-a.status]++
		} else {
			n[a.status]++
		}
	}
	return fmt.Sprintf("%d requests; by status, negative where the answer is not whole: %v", len(attempts), n)
}

// TestRollingStop stops and restarts the entries one by one, without other faults: every request
// that was executed gets a complete response.
func TestRollingStop(t *testing.T) {
	w := newWorld(t)
	ask, stop := context.WithCancel(t.Context())
	defer stop()
	c := &callers{addresses: w.addresses, deadline: quietDeadline}
	c.run(ask, callerCount, 1)
	for _, e := range w.entries {
		sleep(t.Context(), 200*time.Millisecond)
		e.signal(syscall.SIGTERM)
		<-e.done
		if code := e.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("an entry that was stopped ended with %d", code)
		}
		w.requireNoError(e.start())
		w.awaitReady()
	}
	stop()
	c.wg.Wait()
	attempts := c.snapshot()
	w.check(attempts)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range attempts {
		if len(w.executions[a.id]) > 0 && (a.err != nil || a.status != http.StatusOK) {
			t.Errorf("%s %s at entry %d ran, and ended with %d, %v", a.method, a.path, a.entry, a.status, a.err)
		}
	}
	t.Log(summarize(attempts))
}
