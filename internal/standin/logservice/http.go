package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer answers an append.
type AppendAnswer struct {
	Bounds
	First uint64 `json:"first"`
}

// ReadAnswer answers a read.
type ReadAnswer struct {
	Bounds
	Records []Record `json:"records"`
}

// Handler returns the HTTP interface of the log.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("GET /v1/streams/{stream}", l.serveBounds)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, b, err := l.Append(r.Context(), r.PathValue("stream"), req.Records)
	if err != nil {
		writeError(w, b, err)
		return
	}
	writeJSON(w, http.StatusOK, AppendAnswer{Bounds: b, First: first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil {
		limit = MaxRead
	}
	waitMS, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		waitMS = 0
	}
	recs, b, err := l.Read(r.Context(), r.PathValue("stream"), from, limit, time.Duration(waitMS)*time.Millisecond)
	if err != nil {
		writeError(w, b, err)
		return
	}
	writeJSON(w, http.StatusOK, ReadAnswer{Bounds: b, Records: recs})
}

func (l *Log) serveBounds(w http.ResponseWriter, r *http.Request) {
	b, err := l.Bounds(r.Context(), r.PathValue("stream"))
	if err != nil {
		writeError(w, b, err)
		return
	}
	writeJSON(w, http.StatusOK, b)
}

func writeError(w http.ResponseWriter, b Bounds, err error) {
	switch {
	case fault.Is(err, KindAnswerLost):
		panic(http.ErrAbortHandler) // closes the connection with no answer
	case fault.Is(err, KindRateLimited):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case fault.Is(err, KindGone):
		writeJSON(w, http.StatusGone, b)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a reader that left has nobody to tell
}
