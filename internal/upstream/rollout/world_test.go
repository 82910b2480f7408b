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
	worldEngines = 4 // the first half of them checks fencing numbers
	worldEntries = 3
	latency      = 2 * time.Millisecond
	loadTime     = 5 * time.Second
	weights      = 1000 // bytes of a version
	weightRate   = 500  // bytes a second
)

var testClass = errs.Class("test")

func engineError(kind engine.Kind) error { return fault.New(&testClass, "call", kind, nil) }

// world is a log, engines and entries in virtual time.
type world struct {
	mu      sync.Mutex
	changed chan struct{}
	records []logservice.Record
	outage  bool
	lose    int
	store   *weightstore.Store
	engines []*standin.Engine
	entries []*entry
	version string
	views   map[string]*resource.View
	fences  map[string]uint64 // highest accepted by an engine that checks
	out     map[string]bool   // taken out of service by an order of ours
	mostOut int
	stale   int // orders of a former owner that an engine without a check took
	faults  []string
}

func newWorld() *world {
	w := &world{
		changed: make(chan struct{}), version: "1", views: map[string]*resource.View{},
		fences: map[string]uint64{}, out: map[string]bool{}, store: weightstore.New(weightRate, time.Minute),
	}
	for i := range worldEngines {
		w.engines = append(w.engines, standin.New(standin.Config{
			Name: engineName(i), Model: "m", Version: "1", Memory: 1000, PrefillRate: 1000,
			Step: time.Second, LoadTime: loadTime, ChecksFencing: i < worldEngines/2,
		}))
	}
	for _, v := range []string{"1", "2", "3"} {
		w.views[v] = viewOf(v)
	}
	for i := range worldEntries {
		w.entries = append(w.entries, w.start(i))
	}
	return w
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// viewOf returns a configuration that wants the version, half of the engines serving.
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
	put(resource.TypeVersion, version, resource.VersionSpec{Deployment: "d", Bytes: weights, Adapters: []string{"a" + version}})
	put(resource.TypeRule, "r", resource.RuleSpec{Deployment: "d", MinCapacity: 0.5})
	for i := range worldEngines {
		put(resource.TypeUpstream, engineName(i), resource.UpstreamSpec{
			Address: "127.0.0.1:1", FailureDomain: "a", Deployments: []string{"d"}, Role: "decode",
		})
	}
	return f.View()
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

// entry is an entry with a driver.
type entry struct {
	w           *world
	self        owner.Holder
	book        *owner.Book
	driver      *Driver
	ctx         context.Context
	kill        context.CancelFunc
	followed    chan struct{}
	version     string // of its view
	owns        map[string]bool
	cut         bool
	pausedUntil time.Time
}

func (w *world) start(i int) *entry {
	e := &entry{
		w: w, self: owner.Holder{VM: fmt.Sprintf("entry-%d", i), Incarnation: uint64(time.Now().UnixNano())},
		version: "1", owns: map[string]bool{}, followed: make(chan struct{}),
	}
	e.ctx, e.kill = context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	e.book = owner.NewBook(e.self, owner.Seams{Now: time.Now, Append: e.append}, logger)
	e.driver = New(Seams{
		Now: time.Now, View: e.view, Owns: e.ownsUpstream, State: e.state, Order: e.order, Book: e.reserve,
		Pause: func() time.Duration { return tickEvery + time.Duration(i)*latency },
	}, e.book, logger)
	go e.follow()
	return e
}

func (e *entry) stop() {
	e.kill()
	<-e.followed
	e.driver.Close()
}

func (e *entry) view() *resource.View {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.w.views[e.version]
}

func (e *entry) ownsUpstream(upstream string) bool {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.owns[upstream]
}

// rest lets time pass at the entry, and a pause; false where the entry ended.
func (e *entry) rest() bool {
	d := latency
	for {
		select {
		case <-time.After(d):
		case <-e.ctx.Done():
			return false
		}
		e.w.mu.Lock()
		d = time.Until(e.pausedUntil)
		e.w.mu.Unlock()
		if d <= 0 {
			return true
		}
	}
}

func (e *entry) append(_ context.Context, record []byte) (uint64, error) {
	if !e.rest() {
		return 0, fault.New(&testClass, "append", logservice.KindUnavailable, nil)
	}
	offset, err := e.w.put(e, record)
	if !e.rest() && err == nil {
		err = fault.New(&testClass, "append", logservice.KindUnknown, nil)
	}
	return offset, err
}

func (w *world) put(e *entry, record []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage || e.cut {
		return 0, fault.New(&testClass, "append", logservice.KindUnavailable, nil)
	}
	offset := uint64(len(w.records) + 1)
	w.records = append(w.records, logservice.Record{Offset: offset, Time: time.Now(), Data: record})
	close(w.changed)
	w.changed = make(chan struct{})
	if w.lose > 0 {
		w.lose--
		return 0, fault.New(&testClass, "append", logservice.KindUnknown, nil)
	}
	return offset, nil
}

func (e *entry) follow() {
	defer close(e.followed)
	applied := 0
	for e.rest() {
		e.w.mu.Lock()
		changed := e.w.changed
		var recs []logservice.Record
		if !e.w.outage && !e.cut {
			recs = append(recs, e.w.records[applied:]...)
		}
		e.w.mu.Unlock()
		if len(recs) > 0 {
			e.book.Apply(recs)
			applied += len(recs)
			continue
		}
		select {
		case <-changed:
		case <-e.ctx.Done():
		}
	}
}

func (w *world) engine(name string) *standin.Engine {
	for _, e := range w.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

func (e *entry) state(_ context.Context, upstream string) (engine.State, error) {
	if !e.rest() {
		return engine.State{}, engineError(engine.KindUnsent)
	}
	st, err := e.w.engine(upstream).State()
	if err != nil || !e.rest() {
		return engine.State{}, engineError(engine.KindUnsent)
	}
	out := engine.State{Name: st.Name, Role: st.Role}
	for _, l := range st.Models {
		out.Models = append(out.Models, engine.Loaded(l))
	}
	return out, nil
}

func (e *entry) reserve(_ context.Context, bytes int64) (time.Duration, error) {
	g, ok := e.w.store.Take(bytes)
	if !e.rest() || !ok {
		return 0, engineError(engine.KindRefused)
	}
	return g.Wait, nil
}

func (e *entry) order(_ context.Context, upstream string, o engine.Order) error {
	if !e.rest() {
		return engineError(engine.KindUnsent)
	}
	err := e.w.obey(e, upstream, o)
	if !e.rest() {
		return engineError(engine.KindLost)
	}
	return err
}

// obey gives the order to the engine and checks what it took.
func (w *world) obey(e *entry, upstream string, o engine.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	eng := w.engine(upstream)
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
	w.checkFence(e, upstream, o)
	if o.Action == engine.ActionLoadModel && len(before.Models) > 0 && before.Models[0].Ready && before.Models[0].Version != o.Version {
		w.checkCapacity(upstream, o)
	}
	return nil
}
