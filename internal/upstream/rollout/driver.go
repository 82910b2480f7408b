package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/owner"
)

const (
	tickEvery = 2 * time.Second
	workers   = 8
	queue     = 256
	// stepTimeout bounds a step at one upstream.
	stepTimeout = 30 * time.Second
	// maxOrders bounds the orders to an engine in one round.
	maxOrders = 8
	// settledEvery is the time between two looks at an engine that is all that the
	// same configuration wants.
	settledEvery = 10 * time.Second
	// bookingTTL is how long after its time a booking of the weight store may be used.
	bookingTTL = 30 * time.Second
)

// Seams are the driver's ways out. State, Order and Book fail where nothing came back.
type Seams struct {
	Now  func() time.Time
	View func() *resource.View
	// Owns reports whether this entry is to own the upstream.
	Owns  func(upstream string) bool
	State func(ctx context.Context, upstream string) (engine.State, error)
	Order func(ctx context.Context, upstream string, o engine.Order) error
	// Book books a read of weights and returns the time until it may start.
	Book func(ctx context.Context, bytes int64) (time.Duration, error)
	// Pause returns the time until the next round.
	Pause func() time.Duration
}

// Status is what the driver last did at an upstream.
type Status string

// The statuses of an upstream.
const (
	StatusSettled     Status = "settled"
	StatusUnreachable Status = "unreachable"
	StatusLoading     Status = "loading"
	StatusOrdered     Status = "ordered"
	StatusUnclaimed   Status = "can't claim"
	StatusCapacity    Status = "waits for capacity"
	StatusWeights     Status = "waits for the weight store"
	StatusFenced      Status = "a newer owner was obeyed"
	StatusNoAnswer    Status = "no answer to an order"
)

// booking is a read of weights that the store has granted.
type booking struct {
	model, version string
	due            time.Time
}

// settled is when an engine was last seen to be what a configuration wants.
type settled struct {
	view *resource.View
	at   time.Time
}

// Driver drives the upstreams that this entry owns. Its methods may be called
// from any goroutine.
type Driver struct {
	seams Seams
	book  *owner.Book
	log   *log.Logger
	pool  *work.Pool
	done  chan struct{}
	stop  context.CancelFunc

	mu       sync.Mutex
	busy     map[string]bool
	bookings map[string]booking
	statuses map[string]Status
	settled  map[string]settled
	orders   uint64
}

// New starts a driver. Close ends it.
func New(seams Seams, book *owner.Book, logger *log.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		seams: seams, book: book, log: logger.WithPrefix("rollout"),
		pool: work.New(workers, queue), done: make(chan struct{}), stop: cancel,
		busy: map[string]bool{}, bookings: map[string]booking{}, statuses: map[string]Status{}, settled: map[string]settled{},
	}
	go d.run(ctx)
	return d
}

// Close ends the driver and waits for its steps.
func (d *Driver) Close() {
	d.stop()
	<-d.done
	d.pool.Close()
}

// Jittered returns a random time around that between two rounds, so that entries
// don't act in step.
func Jittered() time.Duration { return tickEvery/2 + rand.N(tickEvery) }

func (d *Driver) run(ctx context.Context) {
	defer close(d.done)
	for {
		select {
		case <-time.After(d.seams.Pause()):
			d.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// tick starts a step at each upstream that this entry owns.
func (d *Driver) tick(ctx context.Context) {
	owned := map[string]bool{}
	view := d.seams.View()
	for _, u := range view.Upstreams() {
		if len(u.Spec().Deployments) == 0 || !d.seams.Owns(u.Name()) {
			continue
		}
		owned[u.Name()] = true
		if !d.enter(u.Name(), view) {
			continue
		}
		if d.pool.Go(func() { d.visit(ctx, view, u) }) != nil {
			d.leave(u.Name(), StatusUnreachable) // the next tick tries again
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.statuses {
		if !owned[name] && !d.busy[name] {
			delete(d.statuses, name)
			delete(d.bookings, name)
			delete(d.settled, name)
		}
	}
}

// enter reports whether a step is due at the upstream, and marks it as under way.
func (d *Driver) enter(upstream string, view *resource.View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.settled[upstream]
	if d.busy[upstream] || s.view == view && d.seams.Now().Sub(s.at) < settledEvery {
		return false
	}
	d.busy[upstream] = true
	return true
}

func (d *Driver) leave(upstream string, s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, upstream)
	if d.statuses[upstream] != s {
		d.log.Info("An upstream's rollout changed.", "upstream", upstream, "status", s)
	}
	d.statuses[upstream] = s
}

func (d *Driver) visit(ctx context.Context, view *resource.View, u *resource.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	s := d.step(ctx, view, u)
	for n := 1; s == StatusOrdered && n < maxOrders; n++ {
		s = d.step(ctx, view, u)
	}
	d.mu.Lock()
	if s == StatusSettled {
		d.settled[u.Name()] = settled{view: view, at: d.seams.Now()}
	} else {
		delete(d.settled, u.Name())
	}
	d.mu.Unlock()
	d.leave(u.Name(), s)
}

// step reads what the engine reports and does the one next thing.
func (d *Driver) step(ctx context.Context, view *resource.View, u *resource.Upstream) Status {
	w := wanted(view, u)
	st, err := d.seams.State(ctx, u.Name())
	if err != nil {
		return StatusUnreachable
	}
	next, ok := w.next(&st)
	switch {
	case !ok:
		return d.settle(ctx, u.Name())
	case next.order.Action == "":
		return StatusLoading
	case next.order.Action == engine.ActionLoadModel:
		if s := d.prepare(ctx, u.Name(), next.model, &st); s != "" {
			return s
		}
	}
	return d.send(ctx, u.Name(), next.order)
}

// settle gives the slot of an engine back that serves what is wanted.
func (d *Driver) settle(ctx context.Context, upstream string) Status {
	if !d.book.HasSlot(upstream) {
		return StatusSettled
	}
	if _, err := d.book.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	if d.book.End(ctx, upstream) != nil {
		return StatusUnclaimed
	}
	return StatusSettled
}

// prepare gets what a load needs: a slot where the engine has the model in
// another version, and a booking of the weight store. It returns "" when the
// order may go out.
func (d *Driver) prepare(ctx context.Context, upstream string, m model, st *engine.State) Status {
	if _, there := st.Find(m.name); there && !d.book.HasSlot(upstream) {
		if s := d.takeSlot(ctx, upstream, m.deployment); s != "" {
			return s
		}
	}
	return d.takeWeights(ctx, upstream, m)
}

func (d *Driver) takeSlot(ctx context.Context, upstream, deployment string) Status {
	limit := d.limit(ctx, upstream, deployment)
	if limit <= len(d.book.Slots(deployment)) {
		return StatusCapacity
	}
	if _, err := d.book.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	got, err := d.book.Begin(ctx, upstream, deployment, limit)
	switch {
	case err != nil:
		return StatusUnclaimed
	case !got:
		return StatusCapacity
	}
	return ""
}

// limit returns how many engines of the deployment may be out for a rollout, now
// that some of the others are not serving anyway.
func (d *Driver) limit(ctx context.Context, upstream, deployment string) int {
	v := d.seams.View()
	dep := v.Deployment(deployment)
	if dep == nil {
		return 0
	}
	out, missing := d.book.Slots(deployment), 0
	for _, u := range dep.Engines() {
		if u.Name() == upstream || out[u.Name()] {
			continue
		}
		st, err := d.seams.State(ctx, u.Name())
		if l, there := st.Find(dep.Spec().Model); err != nil || !there || !l.Ready || st.Leaving {
			missing++
		}
	}
	total := len(dep.Engines())
	return total - needed(v, deployment, total) - missing
}

func (d *Driver) takeWeights(ctx context.Context, upstream string, m model) Status {
	if m.bytes == 0 {
		return ""
	}
	now := d.seams.Now()
	d.mu.Lock()
	b, ok := d.bookings[upstream]
	d.mu.Unlock()
	if !ok || b.model != m.name || b.version != m.version || now.After(b.due.Add(bookingTTL)) {
		wait, err := d.seams.Book(ctx, m.bytes)
		if err != nil {
			return StatusWeights
		}
		b = booking{model: m.name, version: m.version, due: now.Add(wait)}
		d.mu.Lock()
		d.bookings[upstream] = b
		d.mu.Unlock()
	}
	if now.Before(b.due) {
		return StatusWeights
	}
	return ""
}

// send sends an order under a young claim. The claim is looked at again right
// before, since getting it may have taken long.
func (d *Driver) send(ctx context.Context, upstream string, o engine.Order) Status {
	if _, err := d.book.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	fence, ok := d.book.Fence(upstream)
	if !ok || !d.seams.Owns(upstream) {
		return StatusUnclaimed
	}
	o.Fence, o.Order = fence, fmt.Sprintf("%s-%d-%s", upstream, fence, o.Action)
	err := d.seams.Order(ctx, upstream, o)
	d.mu.Lock()
	d.orders++
	delete(d.bookings, upstream)
	d.mu.Unlock()
	switch {
	case fault.Is(err, engine.KindFenced):
		d.book.Drop(upstream)
		return StatusFenced
	case err != nil:
		return StatusNoAnswer // the next step reads what came of it
	}
	return StatusOrdered
}

// State is the driver's part of the state dump.
type State struct {
	Orders    uint64            `json:"orders"`    // sent since the start
	Upstreams map[string]Status `json:"upstreams"` // owned ones that are not settled
}

// State returns the driver's state.
func (d *Driver) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := State{Orders: d.orders, Upstreams: map[string]Status{}}
	for name, s := range d.statuses {
		if s != StatusSettled {
			st.Upstreams[name] = s
		}
	}
	return st
}
