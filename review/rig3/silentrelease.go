package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// silentRelease lets the open channels between the entries and the store go silent while the servers of a
// service are replaced one after the other. New channels work, and the store answers all the while.
func silentRelease(w *world, trouble bool) (int, error) {
	const (
		askInterval  = 40 * time.Millisecond
		serverCount  = 6
		gap          = 2 * time.Second        // between replacements
		leaveAfter   = 300 * time.Millisecond // the new server starts first
		replacements = 7
		silentAfter  = 3 // replacements
		silentDelay  = 1400 * time.Millisecond
		margin       = time.Second // beyond the bounds of the rule
	)
	services := map[string]bool{"desk": false}
	zones := []string{"waco-a", "temple-b", "bryan-c"}
	for i := range serverCount {
		if _, err := w.addServer(fmt.Sprintf("i-desk-%d", i), "desk", zones[i%len(zones)]); err != nil {
			return 0, err
		}
	}
	w.configure([]route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "desk"}}, services)
	if err := w.addEntries([]string{"waco-a", "waco-a", "temple-b", "bryan-c"}, nil); err != nil {
		return 0, err
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		sentAt = map[string]time.Time{}
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
				sentAt[id] = time.Now()
				mu.Unlock()
				a := w.ask(e, id, http.MethodGet, "/status/"+id, "", 2*time.Second, nil)
				w.note("client: %s sent to %s: status %d, %v", id, e.name, a.status, a.err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	var silentAt time.Time
	left := map[*server]time.Time{}
	for n := range replacements {
		s, err := w.addServer(fmt.Sprintf("i-desk-%d", serverCount+n), "desk", zones[n%len(zones)])
		if err != nil {
			return 0, err
		}
		w.note("server %s has started", s.id)
		time.Sleep(leaveAfter)
		old := w.servers[n]
		if n%2 == 1 { // some never report that they drain
			w.store.Put(topicServers, old.id, nil)
			w.note("server %s leaves: its entry is removed; it goes on serving", old.id)
		} else {
			w.register(old, "draining")
			w.note("server %s leaves: it is draining; it goes on serving", old.id)
		}
		left[old] = time.Now()
		if n+1 == silentAfter && trouble {
			time.Sleep(time.Until(begin.Add(time.Duration(n)*gap + silentDelay)))
			k := 0
			for _, g := range w.gates {
				k += g.silence()
			}
			silentAt = time.Now()
			w.note("%d open channels to the store go silent; new ones work", k)
		}
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * gap)))
	}
	close(end)
	wg.Wait()
	broken, served := 0, 0
	var latest time.Duration
	for _, s := range w.servers {
		for _, r := range s.list() {
			served++
			at, from := left[s], sentAt[r.id]
			if at.IsZero() || !r.at.After(at.Add(drainTime+margin)) || trouble && !from.After(silentAt.Add(stabilityWindow+margin)) {
				continue
			}
			broken++
			if trouble {
				latest = max(latest, from.Sub(silentAt))
			}
			w.note("%s reached server %s %.3f s after its leaving was confirmed", r.id, s.id, r.at.Sub(at).Seconds())
		}
	}
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	w.note("%d requests reached a server too late, the last one sent %.3f s after the channels went silent", broken, latest.Seconds())
	return broken, nil
}
