//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playRetryAfter: all three servers turn all requests away for 6 s, with 503 and Retry-After: 2. It is no
// case: nothing is lost, run twice or answered wrongly by it.
func playRetryAfter(w *world, trouble bool) (bool, error) {
	const (
		wait  = 2 * time.Second
		slack = 500 * time.Millisecond
		most  = 2
	)
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // at the servers in need, by server and entry
	need := false
	plain := answerPlain(40 * time.Millisecond)
	answer := func(s *server, c net.Conn, req *http.Request, r *run) {
		mu.Lock()
		turned := need
		if turned {
			e := r.server + " from " + req.Header.Get("X-Sent-To") // the client names the entry; it is passed on as it is
			arrivals[e] = append(arrivals[e], time.Now())
		}
		mu.Unlock()
		if !turned {
			plain(s, c, req, r)
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", r.id, int(wait.Seconds())); err == nil {
			s.mu.Lock()
			r.finished = time.Now()
			s.mu.Unlock()
		}
	}
	if err := w.addServers("order-desk", 3, 6, answer); err != nil {
		return false, err
	}
	if err := w.configure([]map[string]any{{
		"name": "deposit-take", "host": host, "path_prefix": "/deposit/", "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100,
		"priority": 2, "service": "order-desk", "max_attempts": 1,
	}}, []map[string]any{plainService("order-desk")}); err != nil {
		return false, err
	}
	for i, zone := range []string{"waco-a", "temple-b"} {
		if _, err := w.startEntry(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	mu.Lock()
	need = trouble
	mu.Unlock()
	at := time.Now()
	every(at, at.Add(6*time.Second), 25*time.Millisecond, func() {
		e := w.entries[rand.IntN(len(w.entries))]
		w.send(e, "order", http.MethodPost, "/deposit/take", []byte(strings.Repeat("o", 600)), 600*time.Millisecond, map[string]string{"X-Sent-To": e.name})
	})()
	broken := false
	mu.Lock()
	defer mu.Unlock()
	for e, list := range arrivals {
		n := 0
		for i, at := range list {
			for _, earlier := range list[:i] {
				if d := at.Sub(earlier); d > slack && d < wait {
					n++
					break
				}
			}
		}
		w.rec.printf("%s: %d requests, %d of them when it wanted nothing from that entry", e, len(list), n)
		broken = broken || n > most
	}
	return broken, nil
}
