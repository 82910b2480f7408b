package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/directory"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/warmup"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	testColdTime = 20 * time.Second
	testColdRate = 8
)

// coldScheduler is a scheduler whose clock stands still, and a service with cold fields.
type coldScheduler struct {
	*scheduler

	t      *testing.T
	clock  time.Time
	offset uint64
}

func newColdScheduler(t *testing.T) *coldScheduler {
	t.Helper()
	c := &coldScheduler{scheduler: newScheduler("a", platform.RetryBound{}, log.New(io.Discard)), t: t, clock: time.Unix(1_000_000, 0)}
	c.now = func() time.Time { return c.clock }
	c.warmup = warmup.New(warmup.Settings{Self: "vm-1", Overrun: 1.5, Slack: 5, Now: c.now, Log: c.log})
	return c
}

// setConfig applies a configuration.
func (c *coldScheduler) setConfig(version int, fields string) {
	c.t.Helper()
	table, err := platform.DecodeConfig(fmt.Appendf(nil, `{"version":%d,"services":[{"name":"desk"%s}]}`, version, fields))
	if err != nil {
		c.t.Fatal(err)
	}
	c.SetTable(table)
}

// put applies a new record of a server.
func (c *coldScheduler) put(id string, born int, fields string) {
	c.offset++
	c.ApplyServers([]platform.Keyed{c.record(id, born, fields)}, false)
}

func (c *coldScheduler) record(id string, born int, fields string) platform.Keyed {
	return platform.Keyed{Key: id, Offset: c.offset, Value: fmt.Appendf(nil,
		`{"service":"desk","address":"10.0.0.%d:1","zone":"z-%s","slots":1,"state":"ready","born":%d%s}`, id[len(id)-1], id, born, fields)}
}

// expect checks how long an upstream is cold from now on; 0: it is not.
func (c *coldScheduler) expect(id string, left time.Duration) {
	c.t.Helper()
	if got := c.warmup.State()[id].Until; left == 0 && !got.IsZero() || left > 0 && got.Sub(c.clock) != left {
		c.t.Errorf("%s is cold until %v, want %s after %v", id, got, left, c.clock)
	}
}

// An upstream whose state is unknown must count as cold, and one that says that it is not must not. A
// record that is read again must not make it cold for longer.
func TestWhenUpstreamsAreCold(t *testing.T) {
	c := newColdScheduler(t)
	c.put("i-1", 1, `,"cold_remaining_ms":0`) // before there is a configuration
	c.put("i-2", 1, ``)
	c.put("i-3", 1, `,"cold_remaining_ms":3000`)
	c.setConfig(1, `,"cold_start_s":20,"cold_per_s":8`)
	c.expect("i-1", 0)
	c.expect("i-2", testColdTime)
	c.expect("i-3", 3*time.Second)

	c.clock = c.clock.Add(time.Second)
	c.ApplyServers([]platform.Keyed{c.record("i-1", 1, `,"cold_remaining_ms":0`), c.record("i-2", 1, ``), c.record("i-3", 1, `,"cold_remaining_ms":3000`)}, true)
	c.expect("i-2", testColdTime-time.Second)
	c.expect("i-3", 2*time.Second)
	c.put("i-3", 1, `,"cold_remaining_ms":1500`) // a heartbeat
	c.expect("i-3", 1500*time.Millisecond)
	c.put("i-2", 1, `,"cold_remaining_ms":0`)
	c.expect("i-2", 0)
	c.put("i-2", 1, `,"cold_remaining_ms":700`) // cold again without a restart
	c.expect("i-2", 700*time.Millisecond)

	c.put("i-1", 2, ``) // restarted
	c.expect("i-1", testColdTime)
	c.put("i-1", 1, `,"cold_remaining_ms":0`) // an older record
	c.expect("i-1", testColdTime)
	c.HeardCold("i-1", 0)
	c.expect("i-1", 0)
	c.HeardCold("i-1", 40*time.Millisecond)
	c.expect("i-1", 40*time.Millisecond)
	c.put("i-1", 3, `,"cold_remaining_ms":0`)
	c.expect("i-1", 0)
	c.HeardCold("i-9", time.Second) // not known
	c.expect("i-9", 0)

	c.put("i-1", 3, `,"cold_remaining_ms":9000`)
	c.setConfig(2, ``)
	is.New(t).Equal(len(c.warmup.State()), 0)
	c.setConfig(3, `,"cold_start_s":0,"cold_per_s":8`)
	c.expect("i-1", 9*time.Second)
	c.put("i-1", 4, ``)
	c.expect("i-1", 0)
}

// An upstream that could not be connected to, or of a domain that comes back into use, must count as
// cold for the whole time, whatever its records say, which may be older.
func TestUpstreamsThatComeBackAreCold(t *testing.T) {
	c := newColdScheduler(t)
	c.setConfig(1, `,"cold_start_s":20,"cold_per_s":8`)
	c.put("i-1", 1, `,"cold_remaining_ms":0`)
	c.put("i-2", 1, `,"cold_remaining_ms":0`)
	s, _ := c.dir.Get("i-1")
	c.Reconnected(s.Address)
	c.Reconnected("10.0.0.99:1")
	c.expect("i-1", testColdTime)
	c.expect("i-2", 0)
	c.clock = c.clock.Add(time.Second)
	c.put("i-1", 1, `,"cold_remaining_ms":0`)
	c.HeardCold("i-1", 0)
	c.expect("i-1", testColdTime-time.Second)
	c.mu.Lock()
	c.countCold("the evacuation was taken back", func(u directory.Server) bool { return u.Domain == "z-i-2" })
	c.mu.Unlock()
	c.expect("i-2", testColdTime)
	c.clock = c.clock.Add(testColdTime)
	c.expect("i-1", 0)
	c.expect("i-2", 0)
}

// arrivals records when a server gets requests.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func countArrivals(s *server.Server) *arrivals {
	a := &arrivals{}
	s.OnRun(func(*server.Run) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.at = append(a.at, time.Now())
	})
	return a
}

// most returns the most requests in any second, and the number of all.
func (a *arrivals) most() (most, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := 0
	for i, at := range a.at {
		for at.Sub(a.at[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(a.at)
}

// setCold gives the services of the configuration cold fields.
func (env *testEnv) setCold(perSecond float64) {
	for _, svc := range env.config["services"].([]any) {
		svc.(map[string]any)["cold_start_s"] = 3600
		svc.(map[string]any)["cold_per_s"] = perSecond
	}
}

// serveWarm is serve for a server that says that it is not cold.
func (env *testEnv) serveWarm(service, instance string) *server.Server {
	env.t.Helper()
	env.putWarm(service, instance, "127.0.0.1:1")
	s := env.serve(service, instance)
	env.putWarm(service, instance, s.Addr())
	env.await(func() bool {
		return env.check(func(sched *scheduler) bool { u, _ := sched.dir.Get(instance); return u.Address == s.Addr() })
	})
	return s
}

func (env *testEnv) putWarm(service, instance, address string) {
	b, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "a", "slots": 16, "state": "ready", "cold_remaining_ms": 0})
	if err != nil {
		env.t.Fatal(err)
	}
	env.store.Put("keyed.servers", instance, b)
}

// awaitOwners waits until the entries agree on the owners of a cold server.
func (env *testEnv) awaitOwners(entries []*Server, instance string, perSecond float64) {
	env.t.Helper()
	env.await(func() bool {
		share := 0.0
		for _, s := range entries {
			share += s.sched.warmup.State()[instance].Share
		}
		return share == perSecond
	})
}

// Requests flood two entries while a server is cold. Without a limit the cold server gets about half
// of them, since it is idle.
func TestColdServerIsNotFlooded(t *testing.T) {
	const (
		bound    = testColdRate*3/2 + 5
		requests = 200
	)
	is := is.New(t)
	env := newTestEnv(t)
	env.setCold(testColdRate)
	env.configure()
	other := env.startOther()
	entries := []*Server{env.entry, other}
	env.serveWarm("desk", "i-1")
	cold := env.serve("desk", "i-2")
	env.awaitOther(other, 2)
	env.awaitOwners(entries, "i-2", testColdRate)
	env.await(func() bool { return env.entry.sched.warmup.Allows("i-2") })
	got := countArrivals(cold)
	is.Equal(env.flood(entries, "/look/", requests), 0)
	most, all := got.most()
	t.Logf("%d requests at the cold server, %d in a second", all, most)
	is.True(most <= bound)
	is.True(all > 0)
	is.Equal(len(env.entry.State().Cold), 1)
}

// Only a cold server is left, which one of two entries owns. The other one must serve its callers as
// well, and a burst at both must stay within the limit.
func TestEntryWithoutOwnColdServerServes(t *testing.T) {
	const (
		rate     = 3 // so low that there is one owner
		bound    = rate*3/2 + 5
		requests = 8
		callers  = 8 // at each entry, in the burst
	)
	for service, path := range map[string]string{"engines": "/ask/", "desk": "/look/"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.setCold(rate)
			env.configure()
			other := env.startOther()
			entries := []*Server{env.entry, other}
			cold := env.serve(service, "i-1")
			env.awaitOther(other, 1)
			env.awaitOwners(entries, "i-1", rate)
			got := countArrivals(cold)
			owner, without := entries[0], entries[1]
			if _, own := without.sched.warmup.Owners("i-1"); own {
				owner, without = without, owner
			}
			env.await(func() bool { return owner.sched.warmup.Allows("i-1") })
			served := 0
			for range requests {
				if env.ask(without, path).status == http.StatusOK {
					served++
				}
				time.Sleep(2 * time.Second / rate)
			}
			t.Logf("%d of %d served", served, requests)
			is.True(served >= requests/2) // an owner may be slow on a busy machine
			refused := env.flood(slices.Repeat(entries, callers), path, 2*len(entries)*callers)
			most, all := got.most()
			t.Logf("%d arrived, %d in a second, %d refused", all, most, refused)
			is.True(most <= bound)
		})
	}
}

// A 421 must not use up the share of an entry: the server doesn't count it.
func TestMisdirectedRequestIsReturned(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.setCold(0.5) // a request each two seconds
	env.configure()
	s := server.New(listen(t), "i-new", 0)
	t.Cleanup(s.Close)
	env.put("desk", "i-old", s.Addr(), "ready") // another one has its address now
	env.await(func() bool { return env.known("desk", "i-old") })
	env.await(func() bool { return env.entry.sched.warmup.Allows("i-old") })
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusServiceUnavailable)
	is.True(env.entry.sched.warmup.Allows("i-old"))
	env.put("desk", "i-new", s.Addr(), "ready")
	env.await(func() bool { return env.known("desk", "i-new") })
	env.await(func() bool { return env.entry.sched.warmup.Allows("i-new") })
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
	is.True(!env.entry.sched.warmup.Allows("i-new"))
}
