package product_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

const (
	// quietTime is how long after the last action and fault the product must have recovered.
	quietTime = 90 * time.Second
	// drainNoticeLimit is the time after which a draining upstream must get no new work.
	drainNoticeLimit = 3 * time.Second
	watchInterval    = 500 * time.Millisecond
)

// run is the run of one plan on one cluster.
type run struct {
	*cluster
	wg     sync.WaitGroup
	orders []*order

	runMu     sync.Mutex
	accepted  map[string]uint64 // newest accepted version of each rule
	replacing map[int]bool      // entries that are being replaced
}

// TestEachFault checks all guarantees under each kind of fault alone.
func TestEachFault(t *testing.T) {
	cov := newCoverage()
	for i, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			plan := rapid.Custom(func(rt *rapid.T) []action { return drawPlanOf(rt, f.draw, f.draw) }).Example(i)
			if text := checkPlan(t, plan, cov); text != "" {
				t.Error(text)
			}
		})
	}
	t.Logf("brought about:%s", cov)
	if missing := cov.missing("prompt_whole", "order_done", "order_ran_unknown", "change_accepted"); len(missing) > 0 {
		t.Errorf("no plan brought about %s", missing)
	}
}

// checkPlan runs a plan in a bubble and returns the broken guarantees with a trace, or "".
func checkPlan(t *testing.T, plan []action, cov *coverage) string {
	t.Helper()
	var violations, trace []string
	synctest.Test(t, func(*testing.T) { violations, trace = runPlan(plan, cov) })
	if len(violations) == 0 {
		return ""
	}
	return fmt.Sprintf("broken promises:\n  %s\ntrace:\n%s", strings.Join(violations, "\n  "), strings.Join(trace, "\n"))
}

// TestRapidProduct checks all guarantees under two kinds of fault at a time.
func TestRapidProduct(t *testing.T) {
	cov := newCoverage()
	rapid.Check(t, func(rt *rapid.T) {
		if text := checkPlan(t, drawPlan(rt), cov); text != "" {
			rt.Fatal(text)
		}
	})
	t.Logf("brought about:%s", cov)
	if missing := cov.missing("prompt_whole", "order_done", "change_accepted"); len(missing) > 0 {
		t.Errorf("no plan brought about %s", missing)
	}
}

// TestHealthyCluster checks that every prompt is answered without faults.
func TestHealthyCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newCoverage())
		defer c.close()
		var wg sync.WaitGroup
		for i, tokens := range []int{50, 200, 1_000, 5_000, 15_000, 30_000, 50, 200} {
			p := prompt{id: i, entry: i % entryCount, tokens: tokens, maxTokens: 100, timeout: 30 * time.Second, stream: i%2 == 0, key: callerKey}
			wg.Go(func() {
				if v := c.send(p); !v.complete || v.text != engine.Answer(p.text(), 0, p.maxTokens) {
					t.Errorf("prompt %d: status %d whole=%t ran=%q code=%q", p.id, v.status, v.complete, v.ran, v.code)
				}
			})
		}
		wg.Wait()
	})
}

func runPlan(plan []action, cov *coverage) (violations, trace []string) {
	c := newCluster(cov)
	r := &run{cluster: c, accepted: map[string]uint64{}, replacing: map[int]bool{}}
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watchConfigOffsets(stop)
	}()
	for _, a := range plan {
		time.Sleep(a.delay)
		r.tracef("%s", a.name)
		a.run(r)
	}
	r.wg.Wait()
	r.clearPendingFaults()
	time.Sleep(quietTime)
	close(stop)
	<-watched
	r.checkFinalState()
	r.checkServing()
	c.close()
	return c.violations, c.trace
}

// clearPendingFaults heals the network and clears faults that are still armed.
func (r *run) clearPendingFaults() {
	r.net.HealAll()
	r.world.Store.LoseAnswers(0)
	r.world.Desk.LoseAnswers(0)
	for _, e := range r.world.Engines {
		e.LoseAnswers(0)
	}
}

// replace stops an entry and starts a new instance in its place, unless that is in progress.
func (r *run) replace(i int, hard bool, away func(int)) {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	if r.replacing[i] {
		return
	}
	r.replacing[i] = true
	r.wg.Go(func() {
		up := r.startOutage(i, hard)
		away(i)
		time.Sleep(time.Second)
		r.startEntry(i)
		up()
		r.runMu.Lock()
		defer r.runMu.Unlock()
		r.replacing[i] = false
	})
}

// watchConfigOffsets checks all the time that no instance's configuration goes back to an older
// offset.
func (r *run) watchConfigOffsets(stop <-chan struct{}) {
	type seen struct {
		instance int
		offset   uint64
	}
	var last [entryCount]seen
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		for i := range entryCount {
			e := r.entryAt(i)
			now := seen{e.instance, e.server.State().Config.Offset}
			if now.instance == last[i].instance && now.offset < last[i].offset {
				r.reportViolation("the configuration of %s went back from %d to %d", entryName(i), last[i].offset, now.offset)
			}
			last[i] = now
		}
	}
}

// setRulePriority sets a rule's priority through an entry and records the accepted version.
func (r *run) setRulePriority(id, entry int, name string, priority int) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	api := r.operator(entry)
	var version uint64
	if cur, err := api.Get(ctx, resource.TypeRule, name); err == nil {
		version = cur.Metadata.Version
	}
	o := resource.Object{Kind: resource.TypeRule, Metadata: resource.Metadata{Name: name, Version: version}}
	o.Spec = json.RawMessage(fmt.Sprintf(`{"priority":%d,"minPromptTokens":%d}`, priority, id))
	done, err := api.Put(ctx, o)
	r.tracef("change %d of %s at %s: version %d err=%v", id, name, entryName(entry), done.Metadata.Version, err)
	if err != nil {
		r.cov.add("change_refused")
		return
	}
	r.cov.add("change_accepted")
	r.runMu.Lock()
	defer r.runMu.Unlock()
	r.accepted[name] = max(r.accepted[name], done.Metadata.Version)
}

// checkFinalState checks what must hold once all callers were answered and all faults are over.
func (r *run) checkFinalState() {
	for _, e := range r.world.Engines {
		if n := e.MemoryUsed(); n != 0 {
			r.reportViolation("%s has lost %d tokens of memory", e.Name(), n)
		}
	}
	for _, o := range r.orders {
		r.checkOrder(o)
	}
	offset := r.entryAt(0).server.State().Config.Offset
	for i := range entryCount {
		e := r.entryAt(i)
		if st := e.server.State(); st.Config.Offset != offset {
			r.reportViolation("%s has the configuration of offset %d, %s that of %d", entryName(i), st.Config.Offset, entryName(0), offset)
		}
		if st := e.server.State(); st.Busy != 0 || st.Streams.Open != 0 {
			r.reportViolation("%s still has %d requests and %d streams", entryName(i), st.Busy, st.Streams.Open)
		}
	}
	r.checkChanges()
	r.checkDraining()
}

// checkDraining checks that no entry sent a stream to an engine that had been draining for longer
// than the limit.
func (r *run) checkDraining() {
	for _, e := range r.world.Engines {
		for _, o := range e.Opened() {
			if o.Leaving > drainNoticeLimit {
				r.reportViolation("%s asked %s to take %s, which had been leaving for %s", o.Owner.VM, e.Name(), o.Stream, o.Leaving)
			}
		}
	}
}

// tracePlacement adds an entry's placement state to the trace.
func (r *run) tracePlacement(i int) {
	b, err := json.Marshal(r.entryAt(i).server.State().Placement)
	r.tracef("%s: %s %v", entryName(i), b, err)
}

// checkServing checks that every entry serves prompts, orders and changes after the faults.
func (r *run) checkServing() {
	ctx := context.Background()
	for i := range entryCount {
		v := r.send(prompt{id: 1000 + i, entry: i, tokens: 50, maxTokens: 20, timeout: 10 * time.Second, stream: true, key: callerKey})
		if !v.complete {
			r.reportViolation("%s serves no prompt after quiet: status %d ran=%q code=%q cut=%t", entryName(i), v.status, v.ran, v.code, v.truncated)
			r.tracePlacement(i)
		}
		o := &order{key: newIdempotencyKey(1000 + uint64(i))}
		if ran, number, status := r.sendOrder(ctx, o, i); number == 0 {
			r.reportViolation("%s places no order after quiet: status %d ran=%q", entryName(i), status, ran)
		}
		before := len(r.accepted)
		r.setRulePriority(1000+i, i, fmt.Sprintf("after-quiet-%d", i), 1)
		if len(r.accepted) == before {
			r.reportViolation("%s accepts no change after quiet", entryName(i))
		}
	}
}

// checkChanges checks that no accepted change was lost at any entry.
func (r *run) checkChanges() {
	for name, version := range r.accepted {
		for i := range entryCount {
			o, err := r.operator(i).Get(context.Background(), resource.TypeRule, name)
			if err != nil || o.Metadata.Version < version {
				r.reportViolation("%s has version %d of %s; %d was accepted (%v)", entryName(i), o.Metadata.Version, name, version, err)
			}
		}
	}
}
