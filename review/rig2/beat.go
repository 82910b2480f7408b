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

// Figures of the case. A call without an answer is carried out 1 to 6 s later.
const (
	beatServers  = 3
	beatWork     = 40 * time.Millisecond
	beatOrders   = 25 * time.Millisecond // mean time between orders
	beatLimit    = 600 * time.Millisecond
	beatDrainsAt = stability + 100*time.Millisecond // after the call without an answer: the store is stable again
	beatLateAt   = 5200 * time.Millisecond          // after that call
	beatExitsAt  = 5900 * time.Millisecond
	beatEndsAt   = 8 * time.Second
)

// playBeat: a heartbeat of a server gets no answer from the store and is carried out 5.2 s later, when the
// server has long reported that it leaves.
func playBeat(w *world, trouble bool) (bool, error) {
	if err := w.addServers("order-desk", beatServers, 6, answerPlain(beatWork)); err != nil {
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

	// The heartbeat that gets no answer.
	s := w.servers[0]
	lost := make(chan time.Time, 1)
	s.mu.Lock()
	once := false
	s.skipBeat = func(s *server) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if once {
			return false
		}
		once = true
		lost <- time.Now()
		if !trouble {
			return false
		}
		id, sequence, b := s.id, s.sequence, s.entryOf()
		s.w.rec.printf("heartbeat %d of %s (ready) gets no answer of the store", sequence, id)
		time.AfterFunc(beatLateAt, func() {
			s.w.store.Put("keyed.servers", id, b)
			s.w.rec.printf("the store carries out heartbeat %d of %s (ready)", sequence, id)
		})
		return true
	}
	s.mu.Unlock()
	at := <-lost

	var mu sync.Mutex
	var orders []*attempt
	wait := every(time.Now(), at.Add(beatEndsAt), beatOrders, func() {
		a := w.send(w.entries[rand.IntN(len(w.entries))], "order", http.MethodPost, "/deposit/take", []byte(strings.Repeat("o", 600)), beatLimit, nil)
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, a)
	})
	time.Sleep(time.Until(at.Add(beatDrainsAt)))
	s.drain()
	drained := time.Now()
	time.Sleep(time.Until(at.Add(beatExitsAt)))
	s.exit()
	wait()

	// The rule: no request reaches the server later than drain_ms after that.
	late, cut := 0, 0
	s.mu.Lock()
	runs := append([]*run(nil), s.runs...)
	s.mu.Unlock()
	status := map[string]int{}
	for _, a := range orders {
		status[a.id] = a.status
	}
	for _, r := range runs {
		if r.at.Sub(drained) <= drainTime {
			continue
		}
		late++
		if r.finished.IsZero() {
			cut++
		}
		w.rec.printf("order %s reached %s %d ms after its drain was accepted; finished %v, the client got %d", r.id, r.server, r.at.Sub(drained).Milliseconds(), !r.finished.IsZero(), status[r.id])
	}
	w.rec.printf("%d orders reached the leaving server later than %s; %d of them were cut as it exited", late, drainTime, cut)
	return late > 0, nil
}
