package main

import (
	"fmt"
	"time"
)

// release replaces the servers of a service one after the other.
type release struct {
	w     *world
	begin time.Time
	left  map[*server]time.Time // when the leaving of a server was confirmed
}

const (
	releaseGap = 2 * time.Second        // between replacements
	leaveAfter = 300 * time.Millisecond // the new server starts first
)

// replace starts a server, and lets the n-th one leave. Every second one doesn't report that it drains.
func (r *release) replace(n int) error {
	w := r.w
	s, err := w.addServer(fmt.Sprintf("i-desk-new-%d", n), "desk", fourZones[n%len(fourZones)])
	if err != nil {
		return err
	}
	w.note("server %s has started", s.id)
	time.Sleep(leaveAfter)
	old := w.servers[n]
	if n%2 == 1 {
		w.store.Put(topicServers, old.id, nil)
		w.note("server %s leaves: its entry is removed; it goes on serving", old.id)
	} else {
		w.register(old, "draining")
		w.note("server %s leaves: it is draining; it goes on serving", old.id)
	}
	r.left[old] = time.Now()
	return nil
}

// at returns when the n-th replacement begins.
func (r *release) at(n int) time.Time { return r.begin.Add(time.Duration(n) * releaseGap) }

// silentRelease lets the open channels between the entries and the store go silent while the servers of a
// service are replaced one after the other. New channels work, and the store answers all the while.
func silentRelease(w *world, trouble bool) (int, error) {
	const (
		askInterval  = 40 * time.Millisecond
		replacements = 7
		silentIn     = 2 // replacement
		silentAfter  = 1400 * time.Millisecond
		margin       = time.Second // beyond the bounds of the rule
	)
	if err := w.addDesk(6); err != nil {
		return 0, err
	}
	if err := w.addEntries(fourZones); err != nil {
		return 0, err
	}
	c := w.startClients(askInterval)
	time.Sleep(2 * time.Second)
	r := &release{w: w, begin: time.Now(), left: map[*server]time.Time{}}
	var silentAt time.Time
	for n := range replacements {
		if err := r.replace(n); err != nil {
			return 0, err
		}
		if n == silentIn && trouble {
			time.Sleep(time.Until(r.at(n).Add(silentAfter)))
			silentAt = time.Now()
			w.silence()
		}
		time.Sleep(time.Until(r.at(n + 1)))
	}
	list, err := c.stop()
	if err != nil {
		return 0, err
	}
	countFrom := time.Time{}
	if trouble {
		countFrom = silentAt.Add(stabilityWindow + margin)
	}
	return r.late(sentAt(list), countFrom, drainTime+margin), nil
}

// late counts the requests sent after a time that reached a server later than a bound after its leaving.
func (r *release) late(sent map[string]time.Time, from time.Time, bound time.Duration) int {
	broken := 0
	for s, left := range r.left {
		for _, q := range s.list() {
			if sent[q.id].After(from) && q.at.After(left.Add(bound)) {
				broken++
				r.w.note("%s reached server %s %.3f s after its leaving was confirmed", q.id, s.id, q.at.Sub(left).Seconds())
			}
		}
	}
	r.w.note("%d requests reached a server too late", broken)
	return broken
}
