package configrelay_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// write is a compare-and-swap of an object that holds one number. The number 0 stands
// for a missing object.
type write struct {
	name     string
	old, new int
}

// result is the outcome of a write as reported to its caller.
type result int

const (
	accepted result = iota
	rejected
	refused // without effect
	unknown
)

// register models the objects as independent compare-and-swap registers.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(write).name
			byName[name] = append(byName[name], op)
		}
		out := make([][]porcupine.Operation, 0, len(byName))
		for _, ops := range byName {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		w, holds := input.(write), state == input.(write).old
		switch output.(result) {
		case accepted:
			return holds, w.new
		case rejected:
			return !holds, state
		case unknown:
			if holds {
				return true, w.new
			}
			return true, state
		default:
			return true, state
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// operators are concurrent clients that write to two objects through different entries
// while faults are injected, and record the history of their operations.
type operators struct {
	*fleet
	start time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	next    int
}

func (o *operators) work(id int, r *rand.Rand) {
	for range 25 {
		time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
		live := o.live()
		o.change(id, live[r.IntN(len(live))], []string{"d", "e"}[r.IntN(2)], r.IntN(5) == 0)
	}
}

func (o *operators) change(id int, e *entry, name string, remove bool) {
	version, held := uint64(0), 0
	view := e.store.View()
	if obj, ok := view.Object(resource.TypeDeployment, name); ok {
		version = obj.Metadata.Version
		_, _ = fmt.Sscanf(view.Deployment(name).Spec().Model, "m%d", &held) // written by this test
	}
	o.mu.Lock()
	o.next++
	n := o.next
	o.mu.Unlock()
	w := write{name, held, n}
	c := put(fmt.Sprint("change-", n), name, version, fmt.Sprint("m", n))
	if remove && held > 0 {
		w.new = 0
		c.Op, c.Spec = resource.OpDelete, nil
	}
	call := time.Since(o.start).Nanoseconds()
	_, err := e.store.Submit(ctx, c)
	op := porcupine.Operation{ClientId: id, Input: w, Call: call, Output: accepted, Return: time.Since(o.start).Nanoseconds()}
	switch {
	case err == nil:
	case fault.Is(err, config.KindRejected):
		op.Output = rejected
	case fault.Is(err, config.KindUnavailable):
		op.Output = refused
	default:
		op.Output, op.Return = unknown, math.MaxInt64 // it may take effect at any time
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, op)
}

// injectFaults injects random faults and removes each after a while.
func (o *operators) injectFaults(r *rand.Rand) {
	for range 12 {
		domain := []string{"a", "b", "c"}[r.IntN(3)]
		switch r.IntN(5) {
		case 0:
			o.log.LoseAnswers(3)
		case 1:
			o.log.SetOutage(true)
		case 2:
			o.log.SetDelay(time.Duration(r.IntN(4000)) * time.Millisecond)
		case 3:
			o.set(func() { o.cutLog[domain] = cut(1 + r.IntN(2)) })
		case 4:
			o.set(func() { o.loseIn[domain] = 4 })
		}
		time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
		o.log.SetOutage(false)
		o.log.SetDelay(0)
		o.set(func() { clear(o.cutLog) })
		time.Sleep(time.Second)
	}
}

func TestWritesAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		var history []porcupine.Operation
		synctest.Test(t, func(*testing.T) {
			f := newFleet()
			defer f.close()
			for _, d := range []string{"a", "b", "c"} {
				f.add(d)
			}
			time.Sleep(time.Second)
			o := &operators{fleet: f, start: time.Now()}
			var wg sync.WaitGroup
			for id := range 4 {
				wg.Go(func() { o.work(id, rand.New(rand.NewPCG(seed, uint64(id)))) })
			}
			wg.Go(func() { o.injectFaults(rand.New(rand.NewPCG(seed, 99))) })
			wg.Wait()
			history = o.history
		})
		if len(history) < 90 {
			t.Fatalf("seed %d: only %d writes", seed, len(history))
		}
		if res, _ := porcupine.CheckOperationsVerbose(register, history, 0); res != porcupine.Ok {
			t.Fatalf("seed %d: the writes are not linearizable: %s", seed, res)
		}
	}
}
