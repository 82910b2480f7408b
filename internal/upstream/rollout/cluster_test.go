package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/weightstore"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/owner"
)

const (
	engineCount          = 4 // the first half checks fencing numbers
	entryCount           = 3
	hopLatency           = 2 * time.Millisecond
	loadTime             = 5 * time.Second
	weightBytes          = 1000 // size of a version, in bytes
	weightBytesPerSecond = 500  // bytes per second
)

var testClass = errs.Class("test")

func engineError(kind engine.Kind) error { return fault.New(&testClass, "call", kind, nil) }

// cluster simulates a log, engines and entries in virtual time.
type cluster struct {
	mu                sync.Mutex
	changed           chan struct{}
	records           []logservice.Record
	outage            bool
	lostAppendAnswers int
	store             *weightstore.Store
	engines           []*standin.Engine
	entries           []*entry
	version           string
	views             map[string]*resource.View
	acceptedFences    map[string]uint64 // highest fencing number that each engine accepted
	outOfService      map[string]bool   // engines taken out of service by an order
	maxOutOfService   int
	staleOrders       int // accepted orders of a former owner
	violations        []string
}

func newCluster() *cluster {
	c := &cluster{
		changed: make(chan struct{}), version: "1", views: map[string]*resource.View{},
		acceptedFences: map[string]uint64{}, outOfService: map[string]bool{}, store: weightstore.New(weightBytesPerSecond, time.Minute),
	}
	for i := range engineCount {
		c.engines = append(c.engines, standin.New(standin.Config{
			Name: engineName(i), Model: "m", Version: "1", Memory: 1000, PrefillRate: 1000,
			Step: time.Second, LoadTime: loadTime, ChecksFencing: i < engineCount/2,
		}))
	}
	for _, v := range []string{"1", "2", "3"} {
		c.views[v] = viewOf(v)
	}
	for i := range entryCount {
		c.entries = append(c.entries, c.start(i))
	}
	return c
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// viewOf returns a configuration with the version, of which half of the engines must
// keep serving.
func viewOf(version string) *resource.View {
	f := resource.NewFold()
	put := func(t resource.Type, name string, spec any) {
		raw, err := json.Marshal(spec)
		if err != nil {
			panic(err)
		}
		out, _ := f.Apply(f.Offset()+1, resource.Change{
			ID: fmt.Sprint(f.Offset() + 1), Op: resource.OpPut, Kind: t, Name: name, Spec: raw,
		})
		if out.Err() != nil {
			panic(out.Err())
		}
	}
	put(resource.TypeDeployment, "d", resource.DeploymentSpec{Model: "m", Version: version, ContextTokens: 100})
	put(resource.TypeVersion, version, resource.VersionSpec{Deployment: "d", Bytes: weightBytes, Adapters: []string{"a" + version}})
	put(resource.TypeRule, "r", resource.RuleSpec{Deployment: "d", MinCapacity: 0.5})
	for i := range engineCount {
		put(resource.TypeUpstream, engineName(i), resource.UpstreamSpec{
			Address: "127.0.0.1:1", FailureDomain: "a", Deployments: []string{"d"}, Role: "decode",
		})
	}
	return f.View()
}

// set applies a change under the lock and wakes the followers.
func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// entry is an entry with its driver and claims.
type entry struct {
	c            *cluster
	self         owner.Holder
	tracker      *owner.Tracker
	driver       *Driver
	ctx          context.Context
	cancel       context.CancelFunc
	followDone   chan struct{}
	version      string // configured in its view
	owns         map[string]bool
	disconnected bool
	pausedUntil  time.Time
}

func (c *cluster) start(i int) *entry {
	e := &entry{
		c: c, self: owner.Holder{VM: fmt.Sprintf("entry-%d", i), Incarnation: uint64(time.Now().UnixNano())},
		version: "1", owns: map[string]bool{}, followDone: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	e.tracker = owner.NewTracker(e.self, owner.Seams{Now: time.Now, Append: e.append}, logger)
	e.driver = New(Seams{
		Now: time.Now, View: e.view, Owns: e.ownsUpstream, State: e.state, Order: e.order, ReserveRead: e.reserve,
		Pause: func() time.Duration { return tickInterval + time.Duration(i)*hopLatency },
	}, e.tracker, logger)
	go e.follow()
	return e
}

func (e *entry) stop() {
	e.cancel()
	<-e.followDone
	e.driver.Close()
}

func (e *entry) view() *resource.View {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.c.views[e.version]
}

func (e *entry) ownsUpstream(upstream string) bool {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.owns[upstream]
}

// delay waits for the latency and the end of a pause. It returns false if the entry was
// stopped.
func (e *entry) delay() bool {
	d := hopLatency
	for {
		select {
		case <-time.After(d):
		case <-e.ctx.Done():
			return false
		}
		e.c.mu.Lock()
		d = time.Until(e.pausedUntil)
		e.c.mu.Unlock()
		if d <= 0 {
			return true
		}
	}
}

func (e *entry) append(_ context.Context, record []byte) (uint64, error) {
	if !e.delay() {
		return 0, fault.New(&testClass, "append", logservice.KindUnavailable, nil)
	}
	offset, err := e.c.appendRecord(e, record)
	if !e.delay() && err == nil {
		err = fault.New(&testClass, "append", logservice.KindUnknown, nil)
	}
	return offset, err
}

func (c *cluster) appendRecord(e *entry, record []byte) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage || e.disconnected {
		return 0, fault.New(&testClass, "append", logservice.KindUnavailable, nil)
	}
	offset := uint64(len(c.records) + 1)
	c.records = append(c.records, logservice.Record{Offset: offset, Time: time.Now(), Data: record})
	close(c.changed)
	c.changed = make(chan struct{})
	if c.lostAppendAnswers > 0 {
		c.lostAppendAnswers--
		return 0, fault.New(&testClass, "append", logservice.KindUnknown, nil)
	}
	return offset, nil
}

func (e *entry) follow() {
	defer close(e.followDone)
	applied := 0
	for e.delay() {
		e.c.mu.Lock()
		changed := e.c.changed
		var recs []logservice.Record
		if !e.c.outage && !e.disconnected {
			recs = append(recs, e.c.records[applied:]...)
		}
		e.c.mu.Unlock()
		if len(recs) > 0 {
			e.tracker.Apply(recs)
			applied += len(recs)
			continue
		}
		select {
		case <-changed:
		case <-e.ctx.Done():
		}
	}
}

func (c *cluster) engine(name string) *standin.Engine {
	for _, e := range c.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

func (e *entry) state(_ context.Context, upstream string) (engine.State, error) {
	if !e.delay() {
		return engine.State{}, engineError(engine.KindUnsent)
	}
	st, err := e.c.engine(upstream).State()
	if err != nil || !e.delay() {
		return engine.State{}, engineError(engine.KindUnsent)
	}
	out := engine.State{Name: st.Name, Role: st.Role}
	for _, l := range st.Models {
		out.Models = append(out.Models, engine.Loaded(l))
	}
	return out, nil
}

func (e *entry) reserve(_ context.Context, bytes int64) (time.Duration, error) {
	g, ok := e.c.store.Take(bytes)
	if !e.delay() || !ok {
		return 0, engineError(engine.KindRefused)
	}
	return g.Wait, nil
}

func (e *entry) order(_ context.Context, upstream string, o engine.Order) error {
	if !e.delay() {
		return engineError(engine.KindUnsent)
	}
	err := e.c.deliverOrder(e, upstream, o)
	if !e.delay() {
		return engineError(engine.KindLost)
	}
	return err
}

// deliverOrder delivers the order to the engine and checks the invariants if it is
// accepted.
func (c *cluster) deliverOrder(e *entry, upstream string, o engine.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	eng := c.engine(upstream)
	before, _ := eng.State()
	err := eng.Order(standin.Order{
		Order: o.Order, Fence: o.Fence, Action: standin.Action(o.Action), Model: o.Model,
		Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	})
	switch {
	case fault.Is(err, standin.KindFenced):
		return engineError(engine.KindFenced)
	case err != nil:
		return engineError(engine.KindLost)
	}
	c.checkFence(e, upstream, o)
	if o.Action == engine.ActionLoadModel && len(before.Models) > 0 && before.Models[0].Ready && before.Models[0].Version != o.Version {
		c.checkCapacity(upstream, o)
	}
	return nil
}
