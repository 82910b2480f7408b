//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// The tenant's keys, and one that no configuration holds.
const (
	guildKey    = "key-of-the-guild"
	secondKey   = "second-key-of-the-guild"
	strangerKey = "key-of-nobody"
)

// keysConfig returns a configuration of one service behind a route that needs a key, with one tenant.
func keysConfig(version int, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	tenants := []map[string]any{{"name": "guild", "api_keys": keys, "priority": 1}}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "orders", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "guild-orders", "max_attempts": 1, "public_access": false,
		}},
		"services": []map[string]any{{"name": "guild-orders", "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"tenants":  tenants,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// keys takes both keys of the tenant away, one after the other. Afterwards requests come with no key, with
// the keys that were taken away, and with one that no configuration ever held. None may run.
func keys(r *rig) (bool, string) {
	r.startStore()
	r.configure(keysConfig(1, guildKey, secondKey))
	for i, zone := range []string{"a", "b"} {
		r.startServer(fmt.Sprintf("i-%d", i), "guild-orders", zone, 60*time.Millisecond)
	}
	entries := []*entry{r.startEntry("frontend-a", "a"), r.startEntry("frontend-b", "b")}
	sent := map[string]string{} // keys by request
	load := func(part string, length time.Duration) []answer {
		list := []string{guildKey, secondKey, strangerKey, ""}
		return r.every(100*time.Millisecond, length, func(i int) request {
			id := fmt.Sprintf("%s-%d", part, i)
			sent[id] = list[i/2%len(list)]
			return request{Entry: entries[i%2], ID: id, Method: http.MethodPost, Path: "/order/1", Key: sent[id], Limit: 3 * time.Second, Body: []byte("one die")}
		})
	}
	before := load("before", 4*time.Second)
	if r.trouble {
		r.configure(keysConfig(2, guildKey))
		time.Sleep(500 * time.Millisecond)
		r.configure(keysConfig(3))
	}
	confirmed := r.now()
	time.Sleep(propagation + 500*time.Millisecond)
	after := load("after", 6*time.Second)
	answers := map[string]answer{}
	for _, a := range append(before, after...) {
		answers[a.Request.ID] = a
	}
	never, none, dropped := 0, 0, 0
	for _, s := range r.servers {
		for _, x := range s.list() {
			switch key := sent[x.ID]; {
			case key == strangerKey:
				never++
			case key == "":
				none++
			case r.trouble && answers[x.ID].Sent > confirmed+propagation:
				dropped++
			}
		}
	}
	served := 0
	for _, a := range before {
		if a.Status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		panic(noRun{fmt.Errorf("nothing was served before")})
	}
	return never+none+dropped > 0, fmt.Sprintf("runs with a key that no config ever held: %d; with no key: %d; with a key that was taken away over %s before: %d; served before: %d of %d",
		never, none, propagation, dropped, served, len(before))
}
