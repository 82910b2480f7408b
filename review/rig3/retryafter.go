package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	wantsNothing = 4 * time.Second        // Retry-After
	retrySlack   = 500 * time.Millisecond // of the rule
	retryAllowed = 2                      // requests of the rule
)

// turnedAway are the times at which requests were turned away, by server and entry.
type turnedAway struct {
	mu    sync.Mutex
	times map[string]map[int][]time.Time
}

// answer turns a request away with 503 and Retry-After.
func (t *turnedAway) answer(s *server, c net.Conn, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	s.reached(req, false, "turned away with 503 and Retry-After")
	t.mu.Lock()
	if t.times[s.id] == nil {
		t.times[s.id] = map[int][]time.Time{}
	}
	t.times[s.id][entryOf(id)] = append(t.times[s.id][entryOf(id)], time.Now())
	t.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", id, int(wantsNothing.Seconds()))
}

// most returns the most requests that reached a server from an entry in the time after a 503.
func (t *turnedAway) most(s *server, entry int) int {
	most := 0
	for _, at := range t.times[s.id][entry] {
		n := 0
		for _, r := range s.list() {
			if entryOf(r.id) == entry && r.at.After(at.Add(retrySlack)) && r.at.Before(at.Add(wantsNothing)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// retryAfter lets the servers of a service turn requests away for some seconds, with 503 and Retry-After, as
// the news pages allow a server that wants nothing for so long.
func retryAfter(w *world, trouble bool) (int, error) {
	const (
		askInterval = 100 * time.Millisecond
		needTime    = 2 * time.Second // for which servers turn requests away
		watchTime   = 9 * time.Second
	)
	if err := w.addDesk(3); err != nil {
		return 0, err
	}
	if err := w.addEntries([]string{"waco-a", "temple-b"}); err != nil {
		return 0, err
	}
	t := &turnedAway{times: map[string]map[int][]time.Time{}}
	begin := time.Now().Add(time.Second)
	for _, s := range w.servers {
		s.setAnswer(func(s *server, c net.Conn, req *http.Request) {
			if now := time.Now(); trouble && now.After(begin) && now.Before(begin.Add(needTime)) {
				t.answer(s, c, req)
				return
			}
			answerWhole(s, c, req)
		})
	}
	c := w.startClients(askInterval)
	time.Sleep(watchTime)
	if _, err := c.stop(); err != nil {
		return 0, err
	}
	broken := 0
	for _, s := range w.servers {
		for i, e := range w.entries {
			n := t.most(s, i)
			w.note("server %s, entry %s: %d requests between %s after a 503 and the end of its Retry-After; %d are allowed", s.id, e.name, n, retrySlack, retryAllowed)
			if n > retryAllowed {
				broken++
			}
		}
	}
	return broken, nil
}
