// Package registry is a stand-in for a plain service with idempotent calls: lookups of
// motifs by name.
package registry

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Motif is an item of the registry.
type Motif struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}

// Registry answers lookups. It is safe for concurrent use.
type Registry struct {
	motifs map[string]Motif
	reads  atomic.Uint64
	dead   atomic.Bool
}

// New returns a registry with a few motifs.
func New() *Registry {
	r := &Registry{motifs: map[string]Motif{}}
	for _, m := range []Motif{{"lion", "Varna workshop"}, {"oak", "Plovdiv workshop"}, {"coil", "Austin studio"}} {
		r.motifs[m.Name] = m
	}
	return r
}

// SetDead makes the registry close every connection without an answer.
func (g *Registry) SetDead(dead bool) { g.dead.Store(dead) }

// Reads returns the number of lookups received while the registry is not dead.
func (g *Registry) Reads() uint64 { return g.reads.Load() }

// Handler returns the HTTP interface: GET /motifs/{name}.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /motifs/{name}", g.serveMotif)
	return mux
}

func (g *Registry) serveMotif(w http.ResponseWriter, r *http.Request) {
	if g.dead.Load() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	g.reads.Add(1)
	m, ok := g.motifs[r.PathValue("name")]
	if !ok {
		http.Error(w, "no such motif", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m) // fails only if the client has disconnected
}
