// Package weightstore is a stand-in for the platform's store of model weights, which
// limits the rate of reads in bytes a second.
package weightstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Grant permits a read of weights that starts after Wait.
type Grant struct {
	Wait time.Duration `json:"wait_ns"`
}

// Store schedules reads within a rate. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	rate      float64   // bytes a second
	busyUntil time.Time // end of the last scheduled read
	maxWait   time.Duration
	refused   uint64
}

// New returns a store with a rate in bytes a second. It refuses reads that would have to
// wait for more than maxWait.
func New(rate float64, maxWait time.Duration) *Store {
	return &Store{rate: rate, maxWait: maxWait}
}

// Refused returns the number of refused reads.
func (s *Store) Refused() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Take schedules a read of n bytes. It reports false if the wait would be too long.
func (s *Store) Take(n int64) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait := s.busyUntil.Sub(now)
	if wait > s.maxWait {
		s.refused++
		return Grant{}, false
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return Grant{Wait: wait}, true
}

// Handler returns the HTTP interface: POST /v1/reads?bytes=N.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/reads", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
		if err != nil || n < 0 {
			http.Error(w, "bytes: want a number of bytes", http.StatusBadRequest)
			return
		}
		g, ok := s.Take(n)
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "over the rate", http.StatusTooManyRequests)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g) // fails only if the client has disconnected
	})
	return mux
}
