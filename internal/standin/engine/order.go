package engine

import (
	"fmt"
	"slices"
	"time"
)

// Action is the kind of an order.
type Action string

// The actions of an order.
const (
	ActionLoadModel   Action = "load_model"
	ActionLoadAdapter Action = "load_adapter"
	ActionUnloadModel Action = "unload_model"
	ActionChangeRole  Action = "change_role"
)

// Order requests a change of an engine's models, adapters or role. It states the wanted
// state and is therefore idempotent.
type Order struct {
	Order   string `json:"order"`
	Fence   uint64 `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"` // "prefill", "decode" or "both"
}

// Loaded is a model that an engine has loaded or is loading.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Ready    bool     `json:"ready"` // the load is complete
}

// State is an engine's role, its models, and the orders that it has applied.
type State struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Role        string   `json:"role"`
	Models      []Loaded `json:"models"`
	Fence       uint64   `json:"fence"`  // highest fencing number of the applied orders
	Orders      uint64   `json:"orders"` // number of applied orders
	Leaving     bool     `json:"leaving"`
}

type orderState struct {
	role   string
	models []model
	fence  uint64
	count  uint64
}

type model struct {
	Loaded
	readyAt time.Time
}

func newOrderState(name, version string) orderState {
	o := orderState{role: "both"}
	if name != "" {
		o.models = []model{{Loaded: Loaded{Model: name, Version: version}}}
	}
	return o
}

func (o *orderState) find(name string) *model {
	for i := range o.models {
		if o.models[i].Model == name {
			return &o.models[i]
		}
	}
	return nil
}

func (o *orderState) serves(name string) bool {
	m := o.find(name)
	return m != nil && !time.Now().Before(m.readyAt)
}

func (o *orderState) apply(ord Order, ready time.Time) error {
	m := o.find(ord.Model)
	switch ord.Action {
	case ActionLoadModel:
		if m != nil && m.Version == ord.Version {
			return nil
		}
		o.unload(ord.Model)
		o.models = append(o.models, model{Loaded: Loaded{Model: ord.Model, Version: ord.Version}, readyAt: ready})
	case ActionLoadAdapter:
		if m == nil {
			return fail("order", KindNotFound, fmt.Errorf("model %q", ord.Model))
		}
		if !slices.Contains(m.Adapters, ord.Adapter) {
			m.Adapters = append(m.Adapters, ord.Adapter)
		}
	case ActionUnloadModel:
		o.unload(ord.Model)
	case ActionChangeRole:
		if !slices.Contains([]string{"prefill", "decode", "both"}, ord.Role) {
			return fail("order", KindInvalid, fmt.Errorf("role %q: want prefill, decode or both", ord.Role))
		}
		o.role = ord.Role
	default:
		return fail("order", KindInvalid, fmt.Errorf("action %q", ord.Action))
	}
	return nil
}

func (o *orderState) unload(name string) {
	o.models = slices.DeleteFunc(o.models, func(m model) bool { return m.Model == name })
}

// Order applies an order. With ChecksFencing it refuses an order whose fencing number is
// below the highest one applied.
func (e *Engine) Order(ord Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return fail("order", KindDead, nil)
	}
	if e.cfg.ChecksFencing && ord.Fence < e.orders.fence {
		return fail("order", KindFenced, fmt.Errorf("%d is below %d", ord.Fence, e.orders.fence))
	}
	if err := e.orders.apply(ord, time.Now().Add(e.cfg.LoadTime)); err != nil {
		return err
	}
	e.orders.fence = max(e.orders.fence, ord.Fence)
	e.orders.count++
	return e.loseAnswer("order")
}

// State returns the engine's state.
func (e *Engine) State() (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return State{}, fail("state", KindDead, nil)
	}
	st := State{
		Name:        e.cfg.Name,
		Incarnation: e.incarnation,
		Role:        e.orders.role,
		Models:      []Loaded{},
		Fence:       e.orders.fence,
		Orders:      e.orders.count,
		Leaving:     e.leaving,
	}
	for _, m := range e.orders.models {
		l := m.Loaded
		l.Adapters = slices.Clone(m.Adapters)
		l.Ready = e.orders.serves(m.Model)
		st.Models = append(st.Models, l)
	}
	return st, nil
}
