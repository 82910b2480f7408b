// Package vmlist is a stand-in for the platform's list of live and leaving VMs, which
// shows changes after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is the platform's state of a VM.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an item of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // host:port
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// List is the VM list. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	changes []change // oldest first
}

type change struct {
	at   time.Time
	name string
	vm   *VM // nil if the VM was removed
}

// New returns an empty list that shows changes after the lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Put adds or replaces a VM.
func (l *List) Put(vm VM) { l.record(vm.Name, &vm) }

// Remove removes a VM.
func (l *List) Remove(name string) { l.record(name, nil) }

// SetOutage makes every call fail until it is called with false.
func (l *List) SetOutage(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = down
}

// SetLag sets the lag. It also applies to changes that are not shown yet.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// VMs returns the list sorted by name. It reports false during an outage.
func (l *List) VMs() ([]VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, false
	}
	visible := map[string]VM{}
	cutoff := time.Now().Add(-l.lag)
	for _, c := range l.changes {
		switch {
		case c.at.After(cutoff):
		case c.vm == nil:
			delete(visible, c.name)
		default:
			visible[c.name] = *c.vm
		}
	}
	out := make([]VM, 0, len(visible))
	for _, vm := range visible {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	return out, true
}

// Handler returns the HTTP interface: GET /v1/vms.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		vms, ok := l.VMs()
		if !ok {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(vms) // fails only if the client has disconnected
	})
	return mux
}

func (l *List) record(name string, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{at: time.Now(), name: name, vm: vm})
}
