//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// closingClients each keep a channel and send a request on it each closingPeriod: together about what a
	// node of the aim gets, 61,000 requests a second on 1,100 nodes.
	closingClients = 3600
	closingPeriod  = 65 * time.Second
	closingIdleMS  = 82_000 // of which clients use four fifths
	closingStop    = 73 * time.Second
)

// closing stops an entry whose clients keep their channels, in calm.
func closing(r *rig) (bool, string) {
	r.quiet = true
	r.startStore()
	c := channelsConfig()
	c["limits"].(map[string]any)["idle_timeout_ms"] = closingIdleMS
	r.configure(c)
	for i := range 3 {
		r.startServer(fmt.Sprintf("i-%d", i), "guild-orders", "a", 60*time.Millisecond)
	}
	e := r.startEntry("frontend-a", "a")
	u := &users{r: r, statuses: map[int]int{}}
	defer u.close()
	begin, stop := time.Now(), make(chan struct{})
	var wg sync.WaitGroup
	for i := range closingClients {
		wg.Go(func() {
			var c *channel
			for k := 0; ; k++ {
				at := begin.Add(closingPeriod*time.Duration(k) + closingPeriod*time.Duration(i)/closingClients)
				select {
				case <-stop:
					return
				case <-time.After(time.Until(at)):
				}
				if c == nil {
					c = u.connect(e)
				}
				if c != nil && !u.ask(c, u.next([]string{"order", "lookup"}[i%2])) {
					c = nil
				}
			}
		})
	}
	time.Sleep(time.Until(begin.Add(closingStop)))
	term := r.now()
	if r.trouble {
		e.term()
	}
	for r.now() < term+grace+time.Second && !e.ended() {
		time.Sleep(10 * time.Millisecond)
	}
	mb, files := 0, 0
	if !e.ended() {
		mb, files = e.use()
	}
	r.note("entry", map[string]any{"ended": e.ended(), "memory_mb": mb, "descriptors": files, "says": e.line("Closed idle")})
	time.Sleep(500 * time.Millisecond) // clients read the ends of their channels
	close(stop)
	wg.Wait()
	ran := map[string]time.Duration{}
	for _, s := range r.servers {
		for _, x := range s.list() {
			ran[x.ID] = x.Arrived
		}
	}
	lost, orders := 0, 0
	for _, o := range u.outcomes {
		at, ok := ran[o.id]
		if !ok || o.whole {
			continue
		}
		lost++
		if o.id[0] == 'o' {
			orders++
		}
		r.note("no answer", map[string]any{"id": o.id, "ran_after_sigterm": (at - term).Seconds(), "closed_after_sigterm": (o.at - term).Seconds()})
	}
	if u.statuses[http.StatusOK] < closingClients {
		panic(noRun{fmt.Errorf("too few answers: %v", u.statuses)})
	}
	return lost > 0, fmt.Sprintf("requests that ran and whose channel the entry closed without an answer: %d, of these orders: %d; answers by status: %v", lost, orders, u.statuses)
}
