//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	leaveServers  = 3
	leaveWork     = 40 * time.Millisecond
	leaveOrders   = 25 * time.Millisecond // mean time between orders
	leaveLimit    = 600 * time.Millisecond
	leaveOutage   = 4500 * time.Millisecond
	leaveNotice   = 300 * time.Millisecond // after the store went down
	leaveGoneAt   = 2500 * time.Millisecond
	leaveEndsAt   = 6 * time.Second
	headerLeaving = "Server-Leaving"
)

// playLeave: while the store is down, a server gets the notice that it is taken away 2.5 s later, and says so
// in all its answers. It can't report it to the store.
func playLeave(w *world, trouble bool) (bool, error) {
	if err := w.addServers("order-desk", leaveServers, 6, answerPlain(leaveWork)); err != nil {
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

	at := time.Now()
	var mu sync.Mutex
	var orders []*attempt
	wait := every(at, at.Add(leaveEndsAt), leaveOrders, func() {
		a := w.send(w.entries[rand.IntN(len(w.entries))], "order", http.MethodPost, "/deposit/take", []byte(strings.Repeat("o", 600)), leaveLimit, nil)
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, a)
	})
	if trouble {
		w.setStoreDown(true)
		time.AfterFunc(leaveOutage, func() { w.setStoreDown(false) })
	}
	time.Sleep(leaveNotice)
	s := w.servers[0]
	s.drain()
	time.Sleep(leaveGoneAt)
	s.exit()
	wait()
	time.Sleep(time.Until(at.Add(leaveOutage + time.Second)))

	// The rule: later than drain_ms after a machine had passed on such an answer, it sends that server nothing
	// that a client sent later.
	passed := map[string]time.Time{} // by entry: when it first passed on an answer with the header
	for _, a := range orders {
		if at, ok := passed[a.entry]; a.leaving && (!ok || a.endedAt.Before(at)) {
			passed[a.entry] = a.endedAt
		}
	}
	for e, at := range passed {
		w.rec.printf("%s first passed on an answer with %s at %.3f s", e, headerLeaving, at.Sub(w.rec.start).Seconds())
	}
	begun := w.begun()
	late, cut := 0, 0
	for _, a := range orders {
		at, ok := passed[a.entry]
		if !ok || a.sentAt.Sub(at) <= drainTime {
			continue
		}
		for _, r := range begun[a.id] {
			if !r.leaving {
				continue
			}
			late++
			if r.finished.IsZero() {
				cut++
			}
			w.rec.printf("order %s, sent %d ms after that by way of %s, reached %s; finished %v, the client got %d", a.id, a.sentAt.Sub(at).Milliseconds(), a.entry, r.server, !r.finished.IsZero(), a.status)
		}
	}
	w.rec.printf("%d orders reached the leaving server later than %s; %d of them were cut as it was taken away", late, drainTime, cut)
	return late > 0, nil
}
