// Package soak runs entries, the store and servers as processes on loopback, with faults
// in series and overlapping, and checks what callers and servers saw.
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

// Seeds and lengths that the environment may choose: SOAK_SEED and SOAK_FOR.
const (
	seedEnv    = "SOAK_SEED"
	forEnv     = "SOAK_FOR"
	defaultFor = 6 * time.Second
	// callerCount is about what four entries serve without a queue here.
	callerCount = 16
	// served is how many requests in a row have to be answered once all faults are over.
	served = 40
)

// seeds are played each time. A seed that found something stays, with what it was.
var seeds = []uint64{
	1, // the first
	2,
}

// fault is something that goes wrong for a while.
type fault struct {
	name  string
	lane  int // faults of a lane follow each other, those of different lanes overlap
	begin func(w *world, rng *rand.Rand) (end func())
}

// faults are what may go wrong. Each names what it falls on by its own draw.
var faults = []fault{
	{"entry killed", entryLane, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.kill()
		return func() { w.note(e.start()) }
	}},
	{"entry stopped", entryLane, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.signal(syscall.SIGTERM)
		<-e.done
		return func() { w.note(e.start()) }
	}},
	{"entry frozen", entryLane, func(w *world, rng *rand.Rand) func() {
		e := w.entries[rng.IntN(len(w.entries))]
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT) }
	}},
	{"server killed", serverLane, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.kill()
		return func() { w.restart(u) }
	}},
	{"server frozen", serverLane, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.signal(syscall.SIGSTOP)
		return func() { u.signal(syscall.SIGCONT) }
	}},
	{"server answers wrongly", serverLane, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		var script []server.Script
		for range 40 {
			script = append(script, server.Script(rng.IntN(int(server.StopEvent))))
		}
		u.follow(script...)
		return func() { u.follow() }
	}},
	{"server behind a bad link", linkLane, func(w *world, rng *rand.Rand) func() {
		u := w.upstreams[rng.IntN(len(w.upstreams))]
		u.via.Set(relay.Mode(1 + rng.IntN(int(relay.Reset))))
		return func() { u.via.Set(relay.Pass) }
	}},
	{"store behind a bad link", linkLane, func(w *world, rng *rand.Rand) func() {
		w.storeVia.Set(relay.Mode(1 + rng.IntN(int(relay.Reset))))
		return func() { w.storeVia.Set(relay.Pass) }
	}},
	{"store down", storeLane, func(w *world, _ *rand.Rand) func() {
		w.note(w.tell(state{Down: true}))
		return func() { w.note(w.tell(state{})) }
	}},
	{"store slow, answers lost", storeLane, func(w *world, rng *rand.Rand) func() {
		w.note(w.tell(state{DelayMS: 300, Lose: rng.IntN(5)}))
		return func() { w.note(w.tell(state{})) }
	}},
	{"configuration changes", storeLane, func(w *world, _ *rand.Rand) func() {
		w.configure()
		return w.configure
	}},
}

// The lanes, one for each kind of process and one for what is between them.
const (
	entryLane = iota
	serverLane
	linkLane
	storeLane
	lanes
)

// disturb lets faults come and go until the context ends, and ends them all.
func (w *world) disturb(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for lane := range lanes {
		// Two faults never hold the same process: each kind of process has one lane.
		var own []fault
		for _, f := range faults {
			if f.lane == lane {
				own = append(own, f)
			}
		}
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+lane)))
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

// check ends the servers, so that all that they told of their runs is read, and fails the
// test where a promise was broken.
func (w *world) check(attempts []*attempt) {
	w.t.Helper()
	for _, u := range w.upstreams {
		u.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list := verdict(attempts, w.runs)
	for i, text := range list {
		if i == shown {
			w.t.Errorf("and %d more", len(list)-shown)
			break
		}
		w.t.Error(text)
	}
}

func length() time.Duration {
	d, err := time.ParseDuration(os.Getenv(forEnv))
	if err != nil {
		return defaultFor // not given
	}
	return d
}

// Faults come in series and overlapping: every promise holds while they last, and all
// entries serve once they are over.
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
			c := &callers{addresses: w.addresses, patience: patience}
			c.run(ask, callerCount, seed)
			faulty, end := context.WithTimeout(t.Context(), length())
			w.disturb(faulty, seed)
			end()
			w.awaitReady()
			w.recovers(c)
			stop()
			c.wg.Wait()
			attempts := c.list()
			w.check(attempts)
			t.Log(count(attempts))
		})
	}
}

// recovers waits until so many requests in a row are answered.
func (w *world) recovers(c *callers) {
	w.t.Helper()
	w.await("serving after the faults", func() bool {
		list := c.list()
		if len(list) < served {
			return false
		}
		for _, a := range list[len(list)-served:] {
			if a.status != http.StatusOK || a.err != nil {
				return false
			}
		}
		return true
	})
}

func count(attempts []*attempt) string {
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

// All entries are stopped and started in turn, without other faults: no request that an
// entry has read ends without a whole answer.
func TestRollingStop(t *testing.T) {
	w := newWorld(t)
	ask, stop := context.WithCancel(t.Context())
	defer stop()
	c := &callers{addresses: w.addresses, patience: longPatience}
	c.run(ask, callerCount, 1)
	for _, e := range w.entries {
		sleep(t.Context(), 200*time.Millisecond)
		e.signal(syscall.SIGTERM)
		<-e.done
		if code := e.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("an entry that was stopped ended with %d", code)
		}
		w.try(e.start())
		w.awaitReady()
	}
	stop()
	c.wg.Wait()
	attempts := c.list()
	w.check(attempts)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range attempts {
		if len(w.runs[a.id]) > 0 && (a.err != nil || a.status != http.StatusOK) {
			t.Errorf("%s %s at entry %d ran, and ended with %d, %v", a.method, a.path, a.entry, a.status, a.err)
		}
	}
	t.Log(count(attempts))
}
