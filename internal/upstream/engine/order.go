package engine

import (
	"context"
	"net/http"
	"slices"

	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
)

// Action is the operation that an order requests.
type Action string

// The actions of an order.
const (
	ActionLoadModel   Action = "load_model"
	ActionLoadAdapter Action = "load_adapter"
	ActionUnloadModel Action = "unload_model"
	ActionChangeRole  Action = "change_role"
)

// Order is a command to an engine. It names the desired state, so that repeating it is
// harmless. Fence is the fencing number of the sender's ownership claim.
type Order struct {
	Order   string `json:"order"`
	Fence   uint64 `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Loaded is a model that an engine has loaded or is loading.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Ready    bool     `json:"ready"`
}

// State is an engine's state. Fence is the highest fencing number that it accepted.
type State struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Role        string   `json:"role"`
	Models      []Loaded `json:"models"`
	Fence       uint64   `json:"fence"`
	Orders      uint64   `json:"orders"`
	Leaving     bool     `json:"leaving"`
}

// Find returns the loaded model with the given name.
func (s *State) Find(model string) (Loaded, bool) {
	i := slices.IndexFunc(s.Models, func(l Loaded) bool { return l.Model == model })
	if i < 0 {
		return Loaded{}, false
	}
	return s.Models[i], true
}

// State returns the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var st State
	err := call[struct{}](ctx, c, "state", http.MethodGet, "/v1/state", nil, &st)
	return st, err
}

// Order sends an order. An error of KindFenced means that the engine has accepted an
// order of a newer owner.
func (c *Client) Order(ctx context.Context, o Order) error {
	err := call[Order, struct{}](ctx, c, "order", http.MethodPost, "/v1/orders", &o, nil)
	if rest.Status(err) == http.StatusPreconditionFailed {
		return fail("order", KindFenced, err)
	}
	return err
}
