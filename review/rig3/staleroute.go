package main

import (
	"fmt"
	"net/http"
	"time"
)

// staleRoute lets the open channels between the entries and the store go silent, and moves a route to
// another service right after. New channels work, and the store answers all the while.
func staleRoute(w *world, trouble bool) (int, error) {
	const (
		askInterval = 50 * time.Millisecond
		// The two changes are as far apart as those of a config_storm of the site.
		changeToSilence = 200 * time.Millisecond
		silenceToChange = 130 * time.Millisecond
		margin          = 100 * time.Millisecond // beyond the bounds of the rule
		watchTime       = 6 * time.Second
	)
	services := map[string]bool{"old-desk": false, "new-desk": false}
	if err := w.addServers("old-desk", 3); err != nil {
		return 0, err
	}
	if err := w.addServers("new-desk", 3); err != nil {
		return 0, err
	}
	routes := []route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "old-desk"}}
	w.configure(routes, services)
	if err := w.addEntries(fourZones); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	w.configure(append(routes, route{name: "r-idle", prefix: "/idle/", kind: "idempotent", service: "old-desk"}), services)
	time.Sleep(changeToSilence)
	silentAt := time.Now()
	if trouble {
		w.silence()
	}
	time.Sleep(silenceToChange)
	routes[0].service = "new-desk"
	w.configure(routes, services)
	countFrom := time.Now().Add(configPropagation + margin)
	if at := silentAt.Add(stabilityWindow + margin); trouble && at.After(countFrom) {
		countFrom = at
	}
	c := w.startClients(askInterval)
	time.Sleep(watchTime)
	list, err := c.stop()
	if err != nil {
		return 0, err
	}
	served, broken := 0, 0
	for _, a := range list {
		if a.answer.status != http.StatusOK || !a.sentAt.After(countFrom) {
			continue
		}
		served++
		if a.answer.body == answerOf("old-desk") {
			broken++
			w.note("%s was sent %.3f s after the channels went silent, and run by the old service", a.id, a.sentAt.Sub(silentAt).Seconds())
		}
	}
	w.note("%d counted requests were served, %d of them by the old service", served, broken)
	if served == 0 {
		return 0, fmt.Errorf("no counted request was served")
	}
	return broken, nil
}
