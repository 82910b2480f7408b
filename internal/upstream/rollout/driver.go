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
	tickInterval = 2 * time.Second
	workerCount  = 8
	queueSize    = 256
	// visitTimeout bounds a visit of one upstream.
	visitTimeout = 30 * time.Second
	// maxOrdersPerVisit bounds the orders to an engine per visit.
	maxOrdersPerVisit = 8
	// settledCheckInterval is the time between checks of an engine that matched the current
	// configuration at the last check.
	settledCheckInterval = 10 * time.Second
	// reservationTTL is how long a weight store reservation stays usable after its start.
	reservationTTL = 30 * time.Second
)

// Seams are the functions that a driver calls. State, Order and ReserveRead return an
// error if no answer came back.
type Seams struct {
	Now  func() time.Time
	View func() *resource.View
	// Owns reports whether this entry should own the upstream.
	Owns  func(upstream string) bool
	State func(ctx context.Context, upstream string) (engine.State, error)
	Order func(ctx context.Context, upstream string, o engine.Order) error
	// ReserveRead reserves a read of weights and returns the time until the read may start.
	ReserveRead func(ctx context.Context, bytes int64) (time.Duration, error)
	// Pause returns the time until the next tick.
	Pause func() time.Duration
}

// Status is the result of the driver's last step at an upstream.
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

// reservation is a read of weights that the weight store has granted.
type reservation struct {
	model, version string
	start          time.Time
}

// settledCheck is the last check at which an engine matched the configuration.
type settledCheck struct {
	view *resource.View
	at   time.Time
}

// Driver reconciles the upstreams that this entry owns with the configuration. It is safe
// for concurrent use.
type Driver struct {
	seams   Seams
	tracker *owner.Tracker
	log     *log.Logger
	pool    *work.Pool
	done    chan struct{}
	stop    context.CancelFunc

	mu           sync.Mutex
	busy         map[string]bool
	reservations map[string]reservation
	statuses     map[string]Status
	settled      map[string]settledCheck
	orders       uint64
}

// New returns a running driver. Close stops it.
func New(seams Seams, tracker *owner.Tracker, logger *log.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		seams: seams, tracker: tracker, log: logger.WithPrefix("rollout"),
		pool: work.New(workerCount, queueSize), done: make(chan struct{}), stop: cancel,
		busy: map[string]bool{}, reservations: map[string]reservation{}, statuses: map[string]Status{}, settled: map[string]settledCheck{},
	}
	go d.run(ctx)
	return d
}

// Close stops the driver and waits for its steps.
func (d *Driver) Close() {
	d.stop()
	<-d.done
	d.pool.Close()
}

// JitteredInterval returns a random time between 0.5 and 1.5 tick intervals, so that entries
// don't tick in unison.
func JitteredInterval() time.Duration { return tickInterval/2 + rand.N(tickInterval) }

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

// tick starts a visit of each owned upstream that is due, and drops the state of those
// that this entry no longer owns.
func (d *Driver) tick(ctx context.Context) {
	owned := map[string]bool{}
	view := d.seams.View()
	for _, u := range view.Upstreams() {
		if len(u.Spec().Deployments) == 0 || !d.seams.Owns(u.Name()) {
			continue
		}
		owned[u.Name()] = true
		if !d.beginVisit(u.Name(), view) {
			continue
		}
		if d.pool.Go(func() { d.visit(ctx, view, u) }) != nil {
			d.endVisit(u.Name(), StatusUnreachable) // the queue is full: the next tick retries
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.statuses {
		if !owned[name] && !d.busy[name] {
			delete(d.statuses, name)
			delete(d.reservations, name)
			delete(d.settled, name)
		}
	}
}

// beginVisit reports whether a visit of the upstream is due, and if so marks it as busy.
func (d *Driver) beginVisit(upstream string, view *resource.View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.settled[upstream]
	if d.busy[upstream] || s.view == view && d.seams.Now().Sub(s.at) < settledCheckInterval {
		return false
	}
	d.busy[upstream] = true
	return true
}

// endVisit ends a visit with the status of its last step.
func (d *Driver) endVisit(upstream string, s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, upstream)
	if d.statuses[upstream] != s {
		d.log.Info("Rollout status of an upstream changed.", "upstream", upstream, "status", s)
	}
	d.statuses[upstream] = s
}

// visit takes up to maxOrdersPerVisit steps at the upstream, until one is not an order.
func (d *Driver) visit(ctx context.Context, view *resource.View, u *resource.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, visitTimeout)
	defer cancel()
	s := d.step(ctx, view, u)
	for n := 1; s == StatusOrdered && n < maxOrdersPerVisit; n++ {
		s = d.step(ctx, view, u)
	}
	d.mu.Lock()
	if s == StatusSettled {
		d.settled[u.Name()] = settledCheck{view: view, at: d.seams.Now()}
	} else {
		delete(d.settled, u.Name())
	}
	d.mu.Unlock()
	d.endVisit(u.Name(), s)
}

// step reads the engine's state and takes the next step, if any.
func (d *Driver) step(ctx context.Context, view *resource.View, u *resource.Upstream) Status {
	want := desiredState(view, u)
	st, err := d.seams.State(ctx, u.Name())
	if err != nil {
		return StatusUnreachable
	}
	next, ok := want.nextStep(&st)
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
	return d.sendOrder(ctx, u.Name(), next.order)
}

// settle releases the slot of an engine that has reached its desired state.
func (d *Driver) settle(ctx context.Context, upstream string) Status {
	if !d.tracker.HasSlot(upstream) {
		return StatusSettled
	}
	if _, err := d.tracker.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	if d.tracker.ReleaseSlot(ctx, upstream) != nil {
		return StatusUnclaimed
	}
	return StatusSettled
}

// prepare acquires what a load order needs: a slot if the engine serves another version
// of the model, and a weight store reservation that has started. It returns "" when the
// order may be sent.
func (d *Driver) prepare(ctx context.Context, upstream string, m model, st *engine.State) Status {
	if _, found := st.Find(m.name); found && !d.tracker.HasSlot(upstream) {
		if s := d.acquireSlot(ctx, upstream, m.deployment); s != "" {
			return s
		}
	}
	return d.reserveWeights(ctx, upstream, m)
}

// acquireSlot claims the upstream and acquires a slot to take it out of service. It
// returns "" on success.
func (d *Driver) acquireSlot(ctx context.Context, upstream, deployment string) Status {
	limit := d.slotLimit(ctx, upstream, deployment)
	if limit <= len(d.tracker.Slots(deployment)) {
		return StatusCapacity
	}
	if _, err := d.tracker.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	got, err := d.tracker.AcquireSlot(ctx, upstream, deployment, limit)
	switch {
	case err != nil:
		return StatusUnclaimed
	case !got:
		return StatusCapacity
	}
	return ""
}

// slotLimit returns how many engines of the deployment may be out of service for a
// rollout. Other engines that are not serving anyway reduce it.
func (d *Driver) slotLimit(ctx context.Context, upstream, deployment string) int {
	v := d.seams.View()
	dep := v.Deployment(deployment)
	if dep == nil {
		return 0
	}
	out, missing := d.tracker.Slots(deployment), 0
	for _, u := range dep.Engines() {
		if u.Name() == upstream || out[u.Name()] {
			continue
		}
		st, err := d.seams.State(ctx, u.Name())
		if l, found := st.Find(dep.Spec().Model); err != nil || !found || !l.Ready || st.Leaving {
			missing++
		}
	}
	total := len(dep.Engines())
	return total - minServing(v, deployment, total) - missing
}

// reserveWeights reserves a read of the model's weights and returns "" once it may start.
func (d *Driver) reserveWeights(ctx context.Context, upstream string, m model) Status {
	if m.bytes == 0 {
		return ""
	}
	now := d.seams.Now()
	d.mu.Lock()
	b, ok := d.reservations[upstream]
	d.mu.Unlock()
	if !ok || b.model != m.name || b.version != m.version || now.After(b.start.Add(reservationTTL)) {
		wait, err := d.seams.ReserveRead(ctx, m.bytes)
		if err != nil {
			return StatusWeights
		}
		b = reservation{model: m.name, version: m.version, start: now.Add(wait)}
		d.mu.Lock()
		d.reservations[upstream] = b
		d.mu.Unlock()
	}
	if now.Before(b.start) {
		return StatusWeights
	}
	return ""
}

// sendOrder sends an order with the fencing number of a recent claim. It checks the claim
// again right before sending, because acquiring it may have taken long.
func (d *Driver) sendOrder(ctx context.Context, upstream string, o engine.Order) Status {
	if _, err := d.tracker.Claim(ctx, upstream); err != nil {
		return StatusUnclaimed
	}
	fence, ok := d.tracker.Fence(upstream)
	if !ok || !d.seams.Owns(upstream) {
		return StatusUnclaimed
	}
	o.Fence, o.Order = fence, fmt.Sprintf("%s-%d-%s", upstream, fence, o.Action)
	err := d.seams.Order(ctx, upstream, o)
	d.mu.Lock()
	d.orders++
	delete(d.reservations, upstream)
	d.mu.Unlock()
	switch {
	case fault.Is(err, engine.KindFenced):
		d.tracker.DropClaim(upstream)
		return StatusFenced
	case err != nil:
		return StatusNoAnswer // the next step reads whether it took effect
	}
	return StatusOrdered
}

// State is the driver's section of the state dump.
type State struct {
	Orders    uint64            `json:"orders"`    // sent since the start
	Upstreams map[string]Status `json:"upstreams"` // owned upstreams that are not settled
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
