package openai

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// registry lists the calls whose first token came.
type registry struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newRegistry() *registry { return &registry{calls: map[*call]struct{}{}} }

func (r *registry) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
}

func (r *registry) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// StreamState is a stream's part of the state dump.
type StreamState struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace"`
	Engine    string `json:"engine"`
	AgeMS     int64  `json:"ageMs"`
}

func (r *registry) state() []StreamState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]StreamState, 0, len(r.calls))
	for c := range r.calls {
		out = append(out, StreamState{
			Request: c.id, Workspace: c.ws.Name(), Engine: c.grant.Engine().Name(),
			AgeMS: time.Since(c.start).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b StreamState) int { return strings.Compare(a.Request, b.Request) })
	return out
}
