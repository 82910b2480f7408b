package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

const maxBodyBytes = 64 << 20

// connOpenedKey is the context key of the time at which the connection was opened.
type connOpenedKey struct{}

// Server returns an HTTP server for Handler that supports Silence.
func (e *Engine) Server() *http.Server {
	return &http.Server{
		Handler: e.Handler(),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpenedKey{}, time.Now())
		},
		ReadHeaderTimeout: time.Minute,
	}
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.serveOpen)
	mux.HandleFunc("GET /v1/streams", jsonHandler(func(*http.Request, *struct{}) (any, error) { return e.Streams() }))
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", jsonHandler(func(r *http.Request, _ *struct{}) (any, error) {
		return struct{}{}, e.Cancel(r.PathValue("id"))
	}))
	mux.HandleFunc("POST /v1/holds", jsonHandler(func(_ *http.Request, req *HoldRequest) (any, error) {
		return struct{}{}, e.Hold(*req)
	}))
	mux.HandleFunc("GET /v1/holds", jsonHandler(func(*http.Request, *struct{}) (any, error) { return e.Holds() }))
	mux.HandleFunc("PUT /v1/holds/{id}", jsonHandler(func(r *http.Request, req *HoldRequest) (any, error) {
		return struct{}{}, e.Renew(r.PathValue("id"), req.TTL)
	}))
	mux.HandleFunc("DELETE /v1/holds/{id}", jsonHandler(func(r *http.Request, _ *struct{}) (any, error) {
		return struct{}{}, e.Release(r.PathValue("id"))
	}))
	mux.HandleFunc("GET /v1/load", jsonHandler(func(*http.Request, *struct{}) (any, error) { return e.Load() }))
	mux.HandleFunc("GET /v1/cache/events", jsonHandler(func(r *http.Request, _ *struct{}) (any, error) {
		from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		if err != nil {
			return nil, fail("events", KindInvalid, fmt.Errorf("from: want a sequence number"))
		}
		return e.Events(from)
	}))
	mux.HandleFunc("GET /v1/kv/{id}", jsonHandler(func(r *http.Request, _ *struct{}) (any, error) {
		return e.Export(r.PathValue("id"))
	}))
	mux.HandleFunc("POST /v1/kv", jsonHandler(func(_ *http.Request, kv *KV) (any, error) {
		return struct{}{}, e.Import(*kv)
	}))
	mux.HandleFunc("POST /v1/orders", jsonHandler(func(_ *http.Request, ord *Order) (any, error) {
		return struct{}{}, e.Order(*ord)
	}))
	mux.HandleFunc("GET /v1/state", jsonHandler(func(*http.Request, *struct{}) (any, error) { return e.State() }))
	return e.guard(mux)
}

// guard delays requests while the engine is paused or the connection is silenced, and
// closes the connections of a dead engine.
func (e *Engine) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.waitResponsive(r) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// waitResponsive blocks while the engine is paused or the connection is silenced. It
// reports false when the engine is dead or the request's context ends.
func (e *Engine) waitResponsive(r *http.Request) bool {
	opened, ok := r.Context().Value(connOpenedKey{}).(time.Time)
	for {
		e.mu.Lock()
		changed, dead, paused := e.changed, e.dead, e.paused
		silent := ok && opened.Before(e.silencedAt)
		e.mu.Unlock()
		if dead {
			return false
		}
		if !silent && !paused {
			return true
		}
		select {
		case <-changed:
		case <-time.After(e.cfg.Step):
		case <-r.Context().Done():
			return false
		}
	}
}

// jsonHandler returns a handler that decodes the JSON body of a POST or PUT, calls f and
// writes its result or error as JSON.
func jsonHandler[T any](f func(r *http.Request, body *T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if r.Method == http.MethodPost || r.Method == http.MethodPut {
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
				writeError(w, fail("decode", KindInvalid, err))
				return
			}
		}
		v, err := f(r, &body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

func (e *Engine) serveOpen(w http.ResponseWriter, r *http.Request) {
	var req StreamRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeError(w, fail("open", KindInvalid, err))
		return
	}
	if err := e.Open(req); err != nil {
		writeError(w, err)
		return
	}
	e.send(w, r, req.Stream, req.From)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, fail("resume", KindInvalid, fmt.Errorf("from: want a token position")))
		return
	}
	id := r.PathValue("id")
	if _, _, err := e.tryRead(id, from); err != nil {
		writeError(w, err)
		return
	}
	e.send(w, r, id, from)
}

// send writes the pieces of a stream from pos to its end as server-sent events.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, id string, pos int) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush() // a disconnected client is detected at the next piece
	for {
		p, err := e.Read(r.Context(), id, pos)
		if err != nil || !e.waitResponsive(r) {
			panic(http.ErrAbortHandler) // a truncated stream must not look complete
		}
		for _, p := range e.deliver(p) {
			b, err := json.Marshal(p)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil || rc.Flush() != nil {
				return
			}
		}
		if p.Finish != "" {
			return
		}
		pos++
	}
}

var statusOf = map[Kind]int{
	KindInvalid:  http.StatusBadRequest,
	KindNotFound: http.StatusNotFound,
	KindFull:     http.StatusServiceUnavailable,
	KindConflict: http.StatusConflict,
	KindFenced:   http.StatusPreconditionFailed,
}

func writeError(w http.ResponseWriter, err error) {
	if fault.Is(err, KindAnswerLost) || fault.Is(err, KindDead) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	for kind, status := range statusOf {
		if fault.Is(err, kind) {
			writeJSON(w, status, map[string]string{"kind": string(kind), "error": err.Error()})
			return
		}
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
