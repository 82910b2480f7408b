package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
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
	routes := []route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "old-desk"}}
	for i, zone := range []string{"waco-a", "temple-b", "bryan-c"} {
		for _, service := range []string{"old-desk", "new-desk"} {
			if _, err := w.addServer(fmt.Sprintf("i-%s-%d", service, i), service, zone); err != nil {
				return 0, err
			}
		}
	}
	w.configure(routes, services)
	if err := w.addEntries([]string{"waco-a", "waco-a", "temple-b", "bryan-c"}, nil); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	w.configure(append(routes, route{name: "r-idle", prefix: "/idle/", kind: "idempotent", service: "old-desk"}), services)
	time.Sleep(changeToSilence)
	silentAt := time.Now()
	if trouble {
		n := 0
		for _, g := range w.gates {
			n += g.silence()
		}
		w.note("%d open channels to the store go silent; new ones work", n)
	}
	time.Sleep(silenceToChange)
	routes[0].service = "new-desk"
	w.configure(routes, services)
	confirmedAt := time.Now()
	countFrom := confirmedAt.Add(configPropagation + margin)
	if at := silentAt.Add(stabilityWindow + margin); trouble && at.After(countFrom) {
		countFrom = at
	}
	var (
		wg     sync.WaitGroup
		broken atomic.Int64
		served atomic.Int64
	)
	for i, e := range w.entries {
		wg.Go(func() {
			for n := 0; time.Since(confirmedAt) < watchTime; n++ {
				id := fmt.Sprintf("%d-%04d", i, n)
				sentAt := time.Now()
				a := w.ask(e, id, http.MethodGet, "/status/"+id, "", 3*time.Second, nil)
				late := sentAt.After(countFrom)
				w.note("client: %s sent to %s %.3f s after the confirmation, counted %t: status %d, %q, %v", id, e.name, sentAt.Sub(confirmedAt).Seconds(), late, a.status, a.body, a.err)
				if late && a.status == http.StatusOK {
					served.Add(1)
					if a.body == "done by old-desk" {
						broken.Add(1)
					}
				}
				time.Sleep(time.Until(sentAt.Add(askInterval)))
			}
		})
	}
	wg.Wait()
	w.note("%d counted requests were served, %d of them by the old service", served.Load(), broken.Load())
	if served.Load() == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return int(broken.Load()), nil
}
