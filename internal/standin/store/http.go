package store

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

const (
	lengthBytes = 4 // length prefix of each record
	// defaultReadBytes is the size limit of a read without max_kilobytes.
	defaultReadBytes  = 1 << 20
	headerEpoch       = "Store-Era"
	maxRecordBytes    = 262_144 // as in the platform's settings
	readHeaderTimeout = time.Minute
)

// Handler returns the HTTP API of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /dogwoodmill/log-append", s.serveAppend)
	mux.HandleFunc("GET /dogwoodmill/log-read", s.serveRead)
	mux.HandleFunc("GET /dogwoodmill/log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.outage
		w.Header().Set(headerEpoch, s.epoch)
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	first, b, err := s.Append(r.Context(), r.URL.Query().Get("topic"), records)
	if err != nil {
		writeError(w, b, err)
		return
	}
	w.Header().Set(headerEpoch, b.Epoch)
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": first, "end_offset": b.Next})
}

// splitRecords parses the body of an append: records, each after its length as a big-endian
// uint32.
func splitRecords(b []byte) (records [][]byte, ok bool) {
	for len(b) > 0 {
		if len(b) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > maxRecordBytes || len(b) < lengthBytes+n {
			return nil, false
		}
		records = append(records, b[lengthBytes:lengthBytes+n])
		b = b[lengthBytes+n:]
	}
	return records, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	maxBytes, wait := intParam(q, "max_kilobytes")<<10, time.Duration(intParam(q, "wait_ms"))*time.Millisecond
	if maxBytes == 0 {
		maxBytes = defaultReadBytes
	}
	recs, b, err := s.Read(r.Context(), q.Get("topic"), from, maxBytes, wait)
	if err != nil {
		writeError(w, b, err)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, b.Next)
	out = binary.BigEndian.AppendUint64(out, b.First)
	for _, rec := range recs {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec.Data))), rec.Data...)
	}
	w.Header().Set(headerEpoch, b.Epoch) // the store may have been restored during the wait
	_, _ = w.Write(out)                  // fails only if the client is gone
}

// intParam returns a query parameter as an integer, or 0 if it is missing or invalid.
func intParam(q url.Values, name string) int {
	n, err := strconv.Atoi(q.Get(name))
	if err != nil {
		return 0 // missing or invalid
	}
	return n
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	page, more, b := s.page(r.URL.Query().Get("topic"), r.URL.Query().Get("after"))
	items := []item{}
	for _, k := range page {
		items = append(items, item{k.key, k.value, k.offset})
	}
	w.Header().Set(headerEpoch, b.Epoch)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": b.Next})
}

func writeError(w http.ResponseWriter, b Bounds, err error) {
	switch {
	case fault.Is(err, KindAnswerLost):
		panic(http.ErrAbortHandler) // closes the connection without a response
	case fault.Is(err, KindRateLimited):
		w.WriteHeader(http.StatusTooManyRequests)
	case fault.Is(err, KindGone):
		w.Header().Set(headerEpoch, b.Epoch)
		writeJSON(w, http.StatusGone, map[string]uint64{"first_offset": b.First})
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

// Server is a store with an HTTP server on a listener.
type Server struct {
	*Store

	srv  *http.Server
	ln   net.Listener
	done chan struct{}
}

// Serve starts a store that serves HTTP on the listener. Close stops it.
func Serve(ln net.Listener) *Server {
	v := &Server{Store: New(), ln: ln, done: make(chan struct{})}
	v.srv = &http.Server{Handler: v.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(v.done)
		_ = v.srv.Serve(ln) // returns after Close
	}()
	return v
}

// Addr returns the host:port of the server.
func (v *Server) Addr() string { return v.ln.Addr().String() }

// Close stops the server and aborts its calls.
func (v *Server) Close() {
	_ = v.srv.Close() // no state to flush
	<-v.done
}
