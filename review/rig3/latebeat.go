package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// lateBeat lets the store carry out a write of a server late: its last beat, which got no answer, comes after
// the removal of its entry. The server leaves meanwhile, and says so in all its answers.
func lateBeat(w *world, trouble bool) (int, error) {
	const (
		askInterval = 50 * time.Millisecond
		writeDelay  = 4 * time.Second // of the beat: the store carries it out 1 to 6 s late
		leavesAfter = 100 * time.Millisecond
		removeAfter = 300 * time.Millisecond
		servesFor   = 9 * time.Second // after it has left: drain_ms and a little longer, at times many seconds
		margin      = 100 * time.Millisecond
	)
	if err := w.addDesk(3); err != nil {
		return 0, err
	}
	if err := w.addEntries(fourZones); err != nil {
		return 0, err
	}
	s := w.servers[0]
	var leaves atomic.Bool
	s.setAnswer(func(s *server, c net.Conn, req *http.Request) {
		if !leaves.Load() {
			answerWhole(s, c, req)
			return
		}
		s.reached(req, true, "run while the server leaves")
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(c, "%sServer-Leaving: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", s.head(req, "200 OK"))
	})
	c := w.startClients(askInterval)
	time.Sleep(time.Second)
	late := beat(s, "ready")
	w.note("server %s sends a beat; the store gives no answer", s.id)
	if !trouble {
		w.store.Put(topicServers, s.id, late)
		w.note("the store has carried the beat out")
	}
	lateAt := time.Now().Add(writeDelay)
	time.Sleep(leavesAfter)
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
	list, err := c.stop()
	if err != nil {
		return 0, err
	}
	return w.afterLeaving(s, list, drainTime+margin)
}

// afterLeaving counts the requests that reached a server though they were sent later than a time after
// their entry had passed on an answer with Server-Leaving.
func (w *world) afterLeaving(s *server, list []asked, bound time.Duration) (int, error) {
	heard := map[int]time.Time{} // when an entry first passed on such an answer
	for _, a := range list {
		if at := heard[a.entry]; a.answer.header.Get("Server-Leaving") == "1" && (at.IsZero() || a.answeredAt.Before(at)) {
			heard[a.entry] = a.answeredAt
		}
	}
	if len(heard) == 0 {
		return 0, fmt.Errorf("no entry passed on an answer with Server-Leaving")
	}
	broken, sent := 0, sentAt(list)
	for _, r := range s.list() {
		at := heard[entryOf(r.id)]
		if at.IsZero() || !sent[r.id].After(at.Add(bound)) {
			continue
		}
		broken++
		w.note("%s was sent %.3f s after %s had passed on an answer with Server-Leaving, and reached server %s", r.id, sent[r.id].Sub(at).Seconds(), w.entries[entryOf(r.id)].name, s.id)
	}
	return broken, nil
}
