package entry

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// replaceEntry ends the entry and starts another one at other addresses.
func (env *testEnv) replaceEntry() {
	env.t.Helper()
	_ = env.entry.Shutdown(cancelledContext()) // as after a power loss, it releases nothing that another entry needs
	env.start()
}

func (env *testEnv) ready() int {
	env.t.Helper()
	res, err := http.Get("http://" + env.entry.readyLn.Addr().String() + platform.ReadyPath)
	if err != nil {
		env.t.Fatal(err)
	}
	_ = res.Body.Close() // only the status is used
	return res.StatusCode
}

// All entries are lost just after the store acknowledged a configuration that removes a route. A
// new entry must serve by that configuration from its first answer on.
func TestRecoversWithAcknowledgedConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
	routes := env.config["routes"].([]any)
	env.config["routes"] = append(routes[:1:1], routes[2:]...) // without /look/
	env.version++
	env.config["version"] = env.version
	env.putConfig()
	env.replaceEntry()
	env.await(func() bool { return env.ready() == http.StatusOK })
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusNotFound)
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
}

// An entry that starts during an outage of the store is not ready and refuses requests as not
// run. It serves once the store is back.
func TestStartsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	env.store.SetOutage(true)
	env.replaceEntry()
	is.Equal(env.ready(), http.StatusServiceUnavailable)
	r := env.do(env.request(http.MethodPost, "/once/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(desk.Runs()), 0)
	env.store.SetOutage(false)
	env.await(func() bool { return env.ready() == http.StatusOK })
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
}

// The store is unreachable for one of two entries. That one must get a new configuration from
// the other entry and serve by it.
func TestFollowsConfigurationThroughPeer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	// The other entry has the same records from its own store, so that only the first one sees an
	// outage.
	own := store.Serve(listen(t))
	t.Cleanup(own.Close)
	env.await(func() bool { return env.store.Value("keyed.status", "vm-1") != nil })
	for _, r := range []struct{ topic, key string }{{"keyed.op", "config"}, {"keyed.servers", "i-1"}, {"keyed.status", "vm-1"}} {
		own.Put(r.topic, r.key, env.store.Value(r.topic, r.key))
	}
	other := startEntry(t, "vm-2", "b", own.Addr())
	env.await(func() bool { return own.Value("keyed.status", "vm-2") != nil })
	env.store.Put("keyed.status", "vm-2", own.Value("keyed.status", "vm-2"))
	env.await(func() bool { return env.entry.entryCount() == 2 && other.entryCount() == 2 })

	env.store.SetOutage(true)
	for range 2 { // the other store starts one record behind, since it has seen fewer versions
		env.version++
		env.config["version"] = env.version
		b, err := json.Marshal(env.config)
		is.NoErr(err)
		own.Put("keyed.op", "config", b)
	}
	env.await(func() bool { return env.entry.sched.Table().Version() == int64(env.version) })
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
}

// turnAway accepts connections and closes them, as a store that turns an entry away, and counts
// them.
func turnAway(t *testing.T) (address string, count *atomic.Int64) {
	t.Helper()
	ln, n := listen(t), &atomic.Int64{}
	t.Cleanup(func() { _ = ln.Close() }) // ends the loop
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.Add(1)
			_ = c.Close() // nothing is answered
		}
	}()
	return ln.Addr().String(), n
}

// An entry starts again while the store turns it away. Another one froze before a key and an
// upstream were withdrawn: by its records alone the entry serves nobody. By those of one that still
// reaches the store it does, and nothing that was withdrawn is in use again.
func TestRestartTakesNothingWithdrawn(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-gone")
	env.serve("desk", "i-stays")
	env.await(func() bool { return env.store.Value("keyed.status", "vm-1") != nil })
	// startOther starts an entry whose store has the same records and is its own.
	startOther := func(vm string) (*Server, *store.Server) {
		own := store.Serve(listen(t))
		t.Cleanup(own.Close)
		for _, r := range []struct{ topic, key string }{{"keyed.op", "config"}, {"keyed.servers", "i-gone"}, {"keyed.servers", "i-stays"}, {"keyed.status", "vm-1"}} {
			own.Put(r.topic, r.key, env.store.Value(r.topic, r.key))
		}
		other := startEntry(t, vm, "b", own.Addr())
		env.await(func() bool { return other.sched.Ready() && other.entryCount() == 2 })
		return other, own
	}
	stale, staleStore := startOther("vm-2")
	staleStore.SetOutage(true)
	env.await(func() bool {
		list, _ := stale.positions()
		return list == nil
	})

	_ = env.entry.Shutdown(cancelledContext()) // as after a power loss
	address, calls := turnAway(t)
	env.entry = startEntryAt(t, "vm-1", "a", address, env.entry.cfg.PeerPort)
	env.await(func() bool {
		staying, _ := env.entry.exchange.Staying() // it hears the stale one
		return staying
	})
	const tries = 12 // four of each topic
	heard := calls.Load()
	env.await(func() bool { return calls.Load() >= heard+tries })
	is.True(!env.entry.sched.Ready())
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusServiceUnavailable)

	_, currentStore := startOther("vm-3")
	env.config["tenants"] = []any{map[string]any{"name": "guild", "api_keys": []any{"key-2"}}}
	env.version++
	env.config["version"] = env.version
	b, err := json.Marshal(env.config)
	is.NoErr(err)
	currentStore.Put("keyed.servers", "i-gone", nil)
	currentStore.Put("keyed.op", "config", b)
	env.await(func() bool {
		table := env.entry.sched.Table()
		return table != nil && table.Version() == int64(env.version)
	})
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusUnauthorized)
	env.await(func() bool { return env.known("desk", "i-stays") && !env.known("desk", "i-gone") })
	req := env.request(http.MethodGet, "/look/")
	req.Header.Set("Authorization", "Token key-2")
	is.Equal(env.do(req).status, http.StatusOK)
}

// The store comes back from a copy in which one upstream has not said yet that it leaves, one that
// was removed is listed, and one that has registered since is missing. Requests must reach none of
// the first two, and the third must serve on.
func TestRestoredStoreRevivesNoUpstream(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	leaving, gone := env.serve("desk", "i-leaving"), env.serve("desk", "i-gone")
	saved := env.store.Copy()
	env.publish("desk", leaving, "draining")
	env.store.Put("keyed.servers", "i-gone", nil)
	fresh := env.serve("desk", "i-new")
	env.await(func() bool {
		return env.check(func(s *scheduler) bool { return s.dir.Len() == 2 && !s.dir.Has("i-gone") })
	})
	now := time.Now()
	env.check(func(s *scheduler) bool {
		s.now = func() time.Time { return now } // the time after the restore lasts as long as the test needs
		return true
	})
	env.store.Restore(saved)
	env.await(func() bool {
		return env.check(func(s *scheduler) bool {
			_, applied := s.dir.SettleAt()
			return applied && s.restoredEnd > 0
		})
	})
	for range 10 {
		is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
	}
	is.Equal(len(leaving.Runs()), 0)
	is.Equal(len(gone.Runs()), 0)
	is.Equal(len(fresh.Runs()), 10)
}

// The store comes back from a copy made before an entry registered. The others must know it all the
// while, and it must register again, or entries that start later never hear of it.
func TestEntryRegistersAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	env.await(func() bool { return env.store.Value("keyed.status", "vm-1") != nil })
	saved := env.store.Copy()
	other := env.startOther()
	env.awaitOther(other, 1)
	env.store.Restore(saved)
	is.True(env.store.Value("keyed.status", "vm-2") == nil)
	env.await(func() bool {
		is.Equal(len(env.entry.peers()), 1)
		is.Equal(len(other.peers()), 1)
		return env.store.Value("keyed.status", "vm-2") != nil
	})
	env.await(func() bool {
		env.entry.mu.Lock()
		defer env.entry.mu.Unlock()
		return len(env.entry.entries) == 2 && len(env.entry.unlisted) == 0
	})
}

// The configuration changes under requests that are queued, sent or being answered: their route, key or
// service is withdrawn, or the service turns into one of the other kind. Each must be answered in full.
func TestChangedConfigurationEndsNoRequest(t *testing.T) {
	service := func(config map[string]any, i int) map[string]any {
		return config["services"].([]any)[i].(map[string]any)
	}
	for name, change := range map[string]func(config map[string]any){
		"routes removed":        func(config map[string]any) { config["routes"] = []any{} },
		"services removed":      func(config map[string]any) { config["services"] = []any{} },
		"key withdrawn":         func(config map[string]any) { config["tenants"] = []any{} },
		"engines turn plain":    func(config map[string]any) { delete(service(config, 1), "engine") },
		"plain turns to engine": func(config map[string]any) { service(config, 0)["engine"] = service(config, 1)["engine"] },
		"engines without slots": func(config map[string]any) { service(config, 1)["engine"] = map[string]any{"read_per_s": 1.0} },
		"shorter timeouts": func(config map[string]any) {
			for _, r := range config["routes"].([]any) {
				r.(map[string]any)["timeout_ms"] = 1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			desk, engine := env.serve("desk", "i-1", server.LateHead), env.serve("engines", "i-2", server.PauseEvent)
			ask := func(id, path string) <-chan reply {
				got := make(chan reply, 1)
				req := env.request(http.MethodPost, path)
				req.Header.Set("X-Attempt-Id", id)
				go func() { got <- env.do(req) }()
				return got
			}
			order, stream := ask("order", "/once/"), ask("stream", "/ask/")
			env.await(func() bool { return len(desk.Runs())+len(engine.Runs()) == 2 })
			full := passes.Report{}
			for range 16 {
				full.Sends = append(full.Sends, passes.Send{Engine: "i-2", Context: 100, Gap: 200 * time.Millisecond, At: time.Now(), Ends: time.Now().Add(time.Minute), Writing: true})
			}
			env.entry.sched.SetReport("127.0.0.1:1", full)
			queued := ask("queued", "/ask/")
			env.await(func() bool { return env.check(func(s *scheduler) bool { return s.queued() == 1 }) })
			change(env.config)
			env.configure()
			env.entry.sched.SetReport("127.0.0.1:1", passes.Report{})
			r := <-order
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, "plain answer")
			r = <-stream
			is.NoErr(r.err)
			is.Equal(r.body, server.Events(testEvents))
			r = <-queued
			is.NoErr(r.err)
			if name != "engines without slots" {
				is.Equal(r.body, server.Events(testEvents))
			} else {
				is.Equal(r.status, http.StatusServiceUnavailable)
			}
		})
	}
}
