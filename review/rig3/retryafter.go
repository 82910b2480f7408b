package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// retryAfter lets the servers of a service turn requests away for some seconds, with 503 and Retry-After, as
// the news pages allow a server that wants nothing for so long.
func retryAfter(w *world, trouble bool) (int, error) {
	const (
		askInterval = 100 * time.Millisecond
		pause       = 4 * time.Second // Retry-After
		needTime    = 2 * time.Second // for which servers turn requests away
		watchTime   = 9 * time.Second
		slack       = 500 * time.Millisecond // of the rule
		allowed     = 2                      // requests of the rule
	)
	services := map[string]bool{"desk": false}
	for i, zone := range []string{"waco-a", "temple-b", "bryan-c"} {
		if _, err := w.addServer(fmt.Sprintf("i-desk-%d", i), "desk", zone); err != nil {
			return 0, err
		}
	}
	w.configure([]route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "desk"}}, services)
	if err := w.addEntries([]string{"waco-a", "temple-b"}, nil); err != nil {
		return 0, err
	}
	type turnedAway struct {
		entry string
		at    time.Time
	}
	var (
		mu   sync.Mutex
		away = map[string][]turnedAway{} // by server
		all  atomic.Int64
	)
	begin := time.Now().Add(time.Second)
	for _, s := range w.servers {
		s.setAnswer(func(s *server, c net.Conn, req *http.Request, body string) {
			if now := time.Now(); !trouble || now.Before(begin) || now.After(begin.Add(needTime)) {
				answerWhole(s, c, req, body)
				return
			}
			s.reached(req, false, "turned away with 503 and Retry-After")
			mu.Lock()
			away[s.id] = append(away[s.id], turnedAway{entryOf(req), time.Now()})
			mu.Unlock()
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n",
				req.Header.Get("X-Attempt-Id"), int(pause.Seconds())))
		})
	}
	start := time.Now()
	var wg sync.WaitGroup
	for i, e := range w.entries {
		wg.Go(func() {
			for n := 0; time.Since(start) < watchTime; n++ {
				sentAt := time.Now()
				id := fmt.Sprintf("%d-%04d", i, n)
				a := w.ask(e, id, http.MethodGet, "/status/"+id, "", 2*time.Second, nil)
				w.note("client: %s sent to %s: status %d, %q, %v", id, e.name, a.status, a.body, a.err)
				if a.status == http.StatusOK {
					all.Add(1)
				}
				time.Sleep(time.Until(sentAt.Add(askInterval)))
			}
		})
	}
	wg.Wait()
	broken := 0
	for _, s := range w.servers {
		for i, e := range w.entries {
			most := 0
			for _, t := range away[s.id] {
				if t.entry != fmt.Sprint(i) {
					continue
				}
				n := 0
				for _, r := range s.list() {
					if entryOf(&http.Request{Header: r.header}) == t.entry && r.at.After(t.at.Add(slack)) && r.at.Before(t.at.Add(pause)) {
						n++
					}
				}
				most = max(most, n)
			}
			w.note("server %s, entry %s: %d requests between %s after a 503 and the end of its Retry-After; %d are allowed", s.id, e.name, most, slack, allowed)
			if most > allowed {
				broken++
			}
		}
	}
	if all.Load() == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// entryOf returns the index of the entry that a request was sent to, with which its id begins.
func entryOf(req *http.Request) string { return req.Header.Get("X-Attempt-Id")[:1] }
