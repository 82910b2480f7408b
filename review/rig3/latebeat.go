package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateBeat lets the store carry out a write of a server late: its last beat, which got no answer, comes after
// the removal of its entry. The server leaves meanwhile, and says so in all its answers.
func lateBeat(w *world, trouble bool) (int, error) {
	const (
		askInterval = 50 * time.Millisecond
		writeDelay  = 4 * time.Second // of the beat: the store carries it out 1 to 6 s late
		removeAfter = 300 * time.Millisecond
		servesFor   = 9 * time.Second // after it has left: drain_ms and a little longer, at times many seconds
		margin      = 100 * time.Millisecond
	)
	services := map[string]bool{"desk": false}
	for i, zone := range []string{"waco-a", "temple-b", "bryan-c"} {
		if _, err := w.addServer(fmt.Sprintf("i-desk-%d", i), "desk", zone); err != nil {
			return 0, err
		}
	}
	w.configure([]route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "desk"}}, services)
	if err := w.addEntries([]string{"waco-a", "waco-a", "temple-b", "bryan-c"}, nil); err != nil {
		return 0, err
	}
	s := w.servers[0]
	var leaves atomic.Bool
	s.setAnswer(func(s *server, c net.Conn, req *http.Request, body string) {
		if !leaves.Load() {
			answerWhole(s, c, req, body)
			return
		}
		s.reached(req, true, "run while the server leaves")
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(c, "%sServer-Leaving: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", s.head(req, "200 OK"))
	})
	type sent struct {
		entry int
		at    time.Time
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		first  = map[int]time.Time{} // when an entry first passed on an answer with Server-Leaving
		sentAt = map[string]sent{}
		end    = make(chan struct{})
	)
	for i, e := range w.entries {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(askInterval):
				}
				id := fmt.Sprintf("%d-%04d", i, n)
				mu.Lock()
				sentAt[id] = sent{i, time.Now()}
				mu.Unlock()
				a := w.ask(e, id, http.MethodGet, "/status/"+id, "", 2*time.Second, nil)
				w.note("client: %s sent to %s: status %d, Server-Leaving %q, %v", id, e.name, a.status, a.header.Get("Server-Leaving"), a.err)
				mu.Lock()
				if a.header.Get("Server-Leaving") == "1" && first[i].IsZero() {
					first[i] = time.Now()
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	late := w.beat(s, "ready")
	w.note("server %s sends a beat; the store gives no answer", s.id)
	if !trouble {
		w.store.Put(topicServers, s.id, late)
		w.note("the store has carried the beat out")
	}
	lateAt := time.Now().Add(writeDelay)
	time.Sleep(100 * time.Millisecond)
	leaves.Store(true)
	w.note("server %s leaves, and says so in its answers", s.id)
	time.Sleep(removeAfter)
	w.store.Put(topicServers, s.id, nil)
	w.note("the entry of server %s is removed; it goes on serving", s.id)
	time.Sleep(time.Until(lateAt))
	if trouble {
		w.store.Put(topicServers, s.id, late)
		w.note("the store carries out the beat of server %s", s.id)
	}
	time.Sleep(servesFor - writeDelay)
	close(end)
	wg.Wait()
	broken := 0
	for _, r := range s.list() {
		from := sentAt[r.id]
		heard := first[from.entry]
		if !heard.IsZero() && from.at.After(heard.Add(drainTime+margin)) {
			broken++
			w.note("%s was sent %.3f s after %s had passed on an answer with Server-Leaving, and reached server %s", r.id, from.at.Sub(heard).Seconds(), w.entries[from.entry].name, s.id)
		}
	}
	if len(first) == 0 {
		return 0, fmt.Errorf("no entry passed on an answer with Server-Leaving")
	}
	return broken, nil
}
