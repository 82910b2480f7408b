// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
// A change is seen after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is what the platform says of a VM.
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

// List is the VM list. Its methods may be called from any goroutine.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	changes []change
}

type change struct {
	at   time.Time
	name string
	vm   *VM // nil where the VM is gone
}

// New returns an empty list whose changes are seen after the lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Put adds or changes a VM.
func (l *List) Put(vm VM) { l.record(vm.Name, &vm) }

// Remove drops a VM.
func (l *List) Remove(name string) { l.record(name, nil) }

// SetOutage makes every call fail until it is called with false.
func (l *List) SetOutage(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = down
}

// SetLag changes the age at which a change is seen.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// VMs returns the list by name, and false during an outage.
func (l *List) VMs() ([]VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, false
	}
	seen := map[string]VM{}
	old := time.Now().Add(-l.lag)
	for _, c := range l.changes {
		switch {
		case c.at.After(old):
		case c.vm == nil:
			delete(seen, c.name)
		default:
			seen[c.name] = *c.vm
		}
	}
	out := make([]VM, 0, len(seen))
	for _, vm := range seen {
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
		_ = json.NewEncoder(w).Encode(vms) // a reader that left has nobody to tell
	})
	return mux
}

func (l *List) record(name string, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{at: time.Now(), name: name, vm: vm})
}
