package openai

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// maxListed limits the streams listed in a state dump.
const maxListed = 1000

// registry holds the calls in progress and the totals of those that ended. It is safe
// for concurrent use.
type registry struct {
	mu      sync.Mutex
	calls   map[*call]struct{}
	counts  engine.Counts
	resumes int64
	replays int64
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
	r.counts.Add(c.src.counts)
	r.resumes += int64(c.src.resumes)
	r.replays += int64(c.src.replays)
}

func (r *registry) all() []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.calls))
}

// byRequest returns the calls of a request; a resumed request may have several.
func (r *registry) byRequest(request uuid.UUID) []*call {
	return slices.DeleteFunc(r.all(), func(c *call) bool { return c.rid.request != request })
}

// Streams returns the ids of the engine streams that this entry is reading.
func (h *Handler) Streams() map[string]bool {
	out := map[string]bool{}
	for _, c := range h.streams.all() {
		c.mu.Lock()
		out[c.streamID] = true
		c.mu.Unlock()
	}
	return out
}

// StreamState is the state of one call in the state dump.
type StreamState struct {
	Request      string `json:"request"`
	Workspace    string `json:"workspace"`
	Engine       string `json:"engine"`
	Phase        string `json:"phase"`
	Position     int64  `json:"position"` // of the newest token written
	WaitingBytes int64  `json:"waitingBytes"`
	AgeMS        int64  `json:"ageMs"`
}

// State is the handler's part of the state dump.
type State struct {
	Open           int           `json:"open"`
	Slow           int           `json:"slow"` // callers with pending bytes
	WaitingBytes   int64         `json:"waitingBytes"`
	PromptBytes    int64         `json:"promptBytes"`
	PromptLimit    int64         `json:"promptLimit"`
	PromptsRefused int64         `json:"promptsRefused"`
	Dropped        engine.Counts `json:"dropped"` // pieces discarded by the stream readers
	Resumes        int64         `json:"resumes"` // reconnections to the same engine
	Replays        int64         `json:"replays"` // failovers to another engine
	Cancels        CancelState   `json:"cancels"`
	List           []StreamState `json:"list"` // the oldest maxListed streams
}

// State returns the handler's part of the state dump.
func (h *Handler) State() State {
	st := State{
		WaitingBytes:   h.pendingBytes.Load(),
		PromptBytes:    h.prompts.used.Load(),
		PromptLimit:    h.prompts.limit.Load(),
		PromptsRefused: h.prompts.refused.Load(),
		Cancels:        h.cancels.state(),
		List:           []StreamState{},
	}
	for _, c := range h.streams.all() {
		s := c.state()
		st.Open++
		if s.WaitingBytes > 0 {
			st.Slow++
		}
		st.List = append(st.List, s)
	}
	slices.SortFunc(st.List, func(a, b StreamState) int { return strings.Compare(a.Request, b.Request) }) // UUIDv7 sorts by time
	st.List = st.List[:min(len(st.List), maxListed)]
	h.streams.mu.Lock()
	defer h.streams.mu.Unlock()
	st.Dropped, st.Resumes, st.Replays = h.streams.counts, h.streams.resumes, h.streams.replays
	return st
}

func (c *call) state() StreamState {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := StreamState{
		Request: c.rid.request.String(), Workspace: c.ws.Name(), Engine: c.engine,
		Phase: phaseNames[phase(c.phase.Load())], Position: c.position.Load(),
		AgeMS: time.Since(c.start).Milliseconds(),
	}
	if c.out != nil {
		st.WaitingBytes = c.out.pending.Load()
	}
	return st
}
