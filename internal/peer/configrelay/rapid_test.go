package configrelay_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// oracle is a minimal reference implementation of the configuration state: the result
// of each change ID and the version and spec of each object.
type oracle struct {
	seen    map[string]resource.Result
	objects map[string]resource.Object
}

func (o *oracle) apply(offset uint64, c resource.Change) {
	if _, ok := o.seen[c.ID]; ok {
		return
	}
	if c.Op == resource.OpVoid {
		o.seen[c.ID] = resource.ResultAccepted
		if _, ok := o.seen[c.Voids]; !ok {
			o.seen[c.Voids] = resource.ResultVoided
		} else {
			o.seen[c.ID] = resource.ResultConflict
		}
		return
	}
	o.seen[c.ID] = resource.ResultConflict
	cur, exists := o.objects[c.Name]
	switch {
	case cur.Metadata.Version != c.Replaces:
	case c.Op == resource.OpDelete && exists:
		delete(o.objects, c.Name)
		o.seen[c.ID] = resource.ResultAccepted
	case c.Op == resource.OpPut:
		o.objects[c.Name] = resource.Object{Metadata: resource.Metadata{Version: offset}, Spec: c.Spec}
		o.seen[c.ID] = resource.ResultAccepted
	}
}

// at returns an oracle with the records up to the offset applied.
func (f *fleet) at(offset uint64) (*oracle, error) {
	o := &oracle{seen: map[string]resource.Result{}, objects: map[string]resource.Object{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > uint64(len(f.written)) {
		return nil, fmt.Errorf("offset %d is past the end of the log, %d", offset, len(f.written))
	}
	for n := uint64(1); n <= offset; n++ {
		var c resource.Change
		if err := json.Unmarshal(f.written[n], &c); err != nil {
			return nil, err
		}
		o.apply(n, c)
	}
	return o, nil
}

// outcome is the outcome of a change as reported to its caller.
type outcome struct {
	id     string
	err    error
	offset uint64
	fate   *resource.Fate // set for a call of Settle
}

// machine is a fleet under test with the outcomes reported to its callers.
type machine struct {
	*fleet
	offsets map[*entry]uint64
	wg      sync.WaitGroup

	mu       sync.Mutex
	changes  int
	outcomes []outcome
	unknown  []outcome
}

// step is a generated action of the state machine test.
type step struct {
	Act    string
	Entry  int
	Name   string
	Stale  bool
	Amount int
	Pause  time.Duration
}

var actions = []string{
	"put", "put", "put", "put", "delete", "settle", "settle", "outage", "delay", "lose", "lose between", "late", "late put", "late put", "rate",
	"cut log", "cut log silent", "cut peers", "heal", "heal", "expire", "replace", "replace",
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Act:    rapid.SampledFrom(actions).Draw(t, "act"),
		Entry:  rapid.IntRange(0, 3).Draw(t, "entry"),
		Name:   rapid.SampledFrom([]string{"d", "e"}).Draw(t, "name"),
		Stale:  rapid.IntRange(0, 4).Draw(t, "stale") == 0,
		Amount: rapid.IntRange(0, 3).Draw(t, "amount"),
		Pause:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 400, 3000, 15000}).Draw(t, "pause")) * time.Millisecond,
	}
}), 5, 28)

// do executes a step.
func (w *machine) do(s step) {
	live := w.live()
	e := live[s.Entry%len(live)]
	others := map[string]string{"a": "b", "b": "c", "c": "a"}
	switch s.Act {
	case "put", "delete":
		w.submit(e, s)
	case "settle":
		w.settle(e)
	case "outage":
		w.log.SetOutage(true)
	case "delay":
		w.log.SetDelay(time.Duration(s.Amount) * 700 * time.Millisecond)
	case "lose":
		w.set(func() { w.loseLog = s.Amount })
	case "lose between":
		w.set(func() { w.loseIn[e.domain] = s.Amount })
	case "late":
		w.set(func() { w.late = 4 * s.Amount })
	case "late put": // the change reaches the log after it has been settled
		w.set(func() { w.late = 8 })
		w.submit(e, step{Act: "put", Name: s.Name})
		time.Sleep(12 * time.Second)
		w.set(func() { w.late = 0 })
		w.settle(live[len(live)-1])
	case "rate":
		w.log.SetRate(float64(1 + s.Amount*10))
	case "cut log":
		w.set(func() { w.cutLog[e.domain] = cutRefuse })
	case "cut log silent":
		w.set(func() { w.cutLog[e.domain] = cutSilent })
	case "cut peers":
		w.set(func() { w.cutPeer[[2]string{e.domain, others[e.domain]}] = true })
	case "heal":
		w.heal()
	case "expire":
		w.log.Expire(resource.Stream, max(live[0].store.View().Offset(), 1)-1)
	case "replace":
		w.replace(e)
	}
	time.Sleep(s.Pause)
}

func (w *machine) heal() {
	w.log.SetOutage(false)
	w.log.SetDelay(0)
	w.log.SetRate(400)
	w.set(func() {
		clear(w.cutLog)
		clear(w.cutPeer)
		clear(w.loseIn)
		w.late, w.loseLog = 0, 0
	})
}

// submit starts a change that replaces the version that the entry has, or an older one
// if the step is stale.
func (w *machine) submit(e *entry, s step) {
	w.mu.Lock()
	w.changes++
	n := w.changes
	w.mu.Unlock()
	version := uint64(0)
	if o, ok := e.store.View().Object(resource.TypeDeployment, s.Name); ok {
		version = o.Metadata.Version
	}
	if s.Stale {
		version /= 2
	}
	c := put(fmt.Sprint("change-", n), s.Name, version, fmt.Sprint("m", n))
	if s.Act == "delete" {
		c.Op, c.Spec = resource.OpDelete, nil
	}
	w.wg.Go(func() {
		out, err := e.store.Submit(ctx, c)
		w.record(outcome{id: c.ID, err: err, offset: out.Offset()})
	})
}

func (w *machine) record(a outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, a)
	if fault.Is(a.err, config.KindUnknown) {
		w.unknown = append(w.unknown, a)
	}
}

func (w *machine) settle(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unknown) == 0 {
		return
	}
	id := w.unknown[len(w.unknown)-1].id
	w.wg.Go(func() {
		if t, err := e.store.Settle(ctx, id, 0); err == nil {
			w.record(outcome{id: id, fate: &t})
		}
	})
}

// replace adds an entry and removes the old one when the new one has caught up. If it
// does not catch up in time, the new one is removed.
func (w *machine) replace(old *entry) {
	e := w.add(old.domain)
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		if e.store.View().Offset() >= old.store.View().Offset() {
			w.remove(old)
			return
		}
	}
	w.remove(e)
}

// check compares every entry with the oracle at its offset.
func (w *machine) check() error {
	for _, e := range w.live() {
		v := e.store.View()
		if v.Offset() < w.offsets[e] {
			return fmt.Errorf("%s went back from %d to %d", e.vm, w.offsets[e], v.Offset())
		}
		w.offsets[e] = v.Offset()
		o, err := w.at(v.Offset())
		if err != nil {
			return fmt.Errorf("%s: %w", e.vm, err)
		}
		objects := v.Objects(resource.TypeDeployment)
		if len(objects) != len(o.objects) {
			return fmt.Errorf("%s has %d objects at %d, not %d", e.vm, len(objects), v.Offset(), len(o.objects))
		}
		for _, got := range objects {
			want := o.objects[got.Metadata.Name]
			if got.Metadata.Version != want.Metadata.Version || !bytes.Equal(got.Spec, want.Spec) {
				return fmt.Errorf("%s has %s at version %d, not %d", e.vm, got.Metadata.Name, got.Metadata.Version, want.Metadata.Version)
			}
		}
	}
	return nil
}

// agreeInterval is the number of steps between comparisons of whole states. Each
// comparison encodes them, which is too expensive for every step.
const agreeInterval = 5

// checkOutcomes compares the outcomes reported to callers with the whole log.
func (w *machine) checkOutcomes() error {
	o, err := w.at(uint64(len(w.written)))
	if err != nil {
		return err
	}
	for _, a := range w.outcomes {
		result, known := o.seen[a.id]
		switch {
		case a.fate != nil && a.fate.Result != result:
			return fmt.Errorf("%s was settled as %s and is %s", a.id, a.fate.Result, result)
		case a.fate != nil || fault.Is(a.err, config.KindUnknown):
		case a.err == nil && result != resource.ResultAccepted:
			return fmt.Errorf("%s was accepted and is %s", a.id, result)
		case fault.Is(a.err, config.KindUnavailable) && known && result != resource.ResultVoided:
			return fmt.Errorf("%s was refused and is %s", a.id, result)
		case fault.Is(a.err, config.KindRejected) && result == resource.ResultAccepted:
			return fmt.Errorf("%s was rejected and is accepted", a.id)
		}
	}
	return nil
}

// run executes the steps and checks after each one. It then removes all faults, after
// which all entries have to reach the end of the log, and with epoch set finally resets
// the log to another epoch, which no entry may follow.
func (w *machine) run(list []step, epoch bool) error {
	for i, s := range list {
		w.do(s)
		if err := w.check(); err != nil {
			return fmt.Errorf("step %d %s: %w", i, s.Act, err)
		}
		if i%agreeInterval == 0 {
			if err := w.agree(); err != nil {
				return fmt.Errorf("step %d %s: %w", i, s.Act, err)
			}
		}
	}
	w.heal()
	w.wg.Wait()
	w.held.Wait()
	time.Sleep(30 * time.Second)
	if err := w.check(); err != nil {
		return fmt.Errorf("healed: %w", err)
	}
	if err := w.agree(); err != nil {
		return fmt.Errorf("healed: %w", err)
	}
	if !w.allHave(uint64(len(w.written))) {
		return errors.New("not all entries reached the end of the log")
	}
	if epoch {
		w.log.Reset("other")
		time.Sleep(30 * time.Second)
		w.replace(w.live()[0])
		if err := w.check(); err != nil {
			return fmt.Errorf("another epoch: %w", err)
		}
		if err := w.agree(); err != nil {
			return fmt.Errorf("another epoch: %w", err)
		}
	}
	return w.checkOutcomes()
}

func TestRapidConfig(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list, epoch := steps.Draw(rt, "steps"), rapid.Bool().Draw(rt, "epoch")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet()
			defer f.close()
			for _, d := range []string{"a", "a", "b", "c"} {
				f.add(d)
			}
			time.Sleep(time.Second)
			w := &machine{fleet: f, offsets: map[*entry]uint64{}}
			err = w.run(list, epoch)
			w.wg.Wait()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
