//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	outage = 8 * time.Second // of the store: the longest of pechat-fleet
	// linger is how long a server serves on after the time in which it drains.
	linger = 1500 * time.Millisecond
)

// leaving takes a server away while the store is down. All its answers say that it leaves.
func leaving(r *rig) (bool, string) {
	r.startStore()
	r.configure(keysConfig(1, guildKey))
	for i, zone := range []string{"a", "b", "a"} {
		r.startServer(fmt.Sprintf("i-%d", i), "guild-orders", zone, 200*time.Millisecond)
	}
	entries := []*entry{r.startEntry("frontend-a", "a"), r.startEntry("frontend-b", "b")}
	gone := r.servers[2]
	go func() {
		time.Sleep(stability + time.Second)
		if r.trouble {
			r.note("store down", nil)
			r.store.SetOutage(true)
			time.AfterFunc(outage, func() {
				r.store.SetOutage(false)
				r.note("store up", nil)
			})
		}
		time.Sleep(500 * time.Millisecond)
		gone.leave()
		gone.remove() // it reports no state: its entry is removed
		time.Sleep(drain + linger)
		gone.exit()
	}()
	sent := map[string]answer{}
	list := r.every(40*time.Millisecond, stability+time.Second+outage+2*time.Second, func(i int) request {
		return request{Entry: entries[i%2], ID: fmt.Sprintf("o-%d", i), Method: http.MethodPost, Path: "/order/1", Key: guildKey, Limit: 3 * time.Second, Body: []byte("one die")}
	})
	passedOn := map[*entry]time.Duration{} // when an entry first passed on that the server leaves
	lost := 0
	for _, a := range list {
		sent[a.Request.ID] = a
		e := a.Request.Entry
		if a.Header.Get("Server-Leaving") != "" && (passedOn[e] == 0 || a.Got < passedOn[e]) {
			passedOn[e] = a.Got
		}
	}
	late := 0
	for _, x := range gone.list() {
		a := sent[x.ID]
		if at := passedOn[a.Request.Entry]; at > 0 && a.Sent > at+drain {
			late++
		}
		if !x.Whole && a.Status != http.StatusOK {
			lost++
			r.note("lost", map[string]any{"id": x.ID, "status": a.Status})
		}
	}
	if r.trouble && len(passedOn) < len(entries) {
		panic(noRun{fmt.Errorf("only %d entries passed on that the server leaves", len(passedOn))})
	}
	return late > 0, fmt.Sprintf("requests that reached the leaving server though they were sent over %s after its Server-Leaving was passed on: %d; orders that were cut as it exited: %d", drain, late, lost)
}
