package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// serveIn starts a server in a failure domain, and waits until the entry has its record.
func (env *testEnv) serveIn(domain, service, instance string, script ...server.Script) *server.Server {
	env.t.Helper()
	s := env.serve(service, instance, script...)
	env.store.Put("keyed.servers", instance, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"slots":16,"state":"ready"}`, service, s.Addr(), domain))
	env.await(func() bool { d, _ := env.entry.sched.UpstreamDomain(s.Addr()); return d == domain })
	return s
}

// evacuate writes the evacuations of failure domains, or takes them back, and waits until the entry
// has them. The value of a record doesn't count.
func (env *testEnv) evacuate(evacuated bool, domains ...string) {
	env.t.Helper()
	for _, domain := range domains {
		var value []byte
		if evacuated {
			value = []byte("{not json")
		}
		env.store.Put("keyed.op", "evacuate/"+domain, value)
		env.awaitEvacuated(evacuated, domain)
	}
}

func (env *testEnv) awaitEvacuated(evacuated bool, domain string) {
	env.t.Helper()
	env.await(func() bool {
		return env.check(func(sched *scheduler) bool { return sched.evacuations.Has(domain) == evacuated })
	})
}

// requireRefused checks that a request is refused at once, as not run, by the entry's own refusal.
func (env *testEnv) requireRefused(path string) {
	env.t.Helper()
	is := is.New(env.t)
	at := time.Now()
	r := env.do(env.request(http.MethodPost, path))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.header.Get("Retry-After"), "1.000")
	is.True(time.Since(at) < time.Second)
}

// A request must not go to an upstream of an evacuated failure domain, and may as soon as the
// evacuation is taken back.
func TestSendsNothingToEvacuatedDomain(t *testing.T) {
	for _, path := range []string{"/ask/", "/look/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			service := map[bool]string{true: "engines", false: "desk"}[path == "/ask/"]
			a, b := env.serveIn("a", service, "i-a"), env.serveIn("b", service, "i-b")
			env.evacuate(true, "a", "unknown")
			for range 8 {
				is.Equal(env.do(env.request(http.MethodPost, path)).status, http.StatusOK)
			}
			is.Equal(len(a.Runs()), 0)
			is.Equal(len(b.Runs()), 8)
			env.evacuate(true, "b")
			env.requireRefused(path)
			is.Equal(len(env.entry.State().Evacuated), 3)
			is.True(path == "/ask/" || env.entry.sched.Pick(service, nil, nil) == nil) // not chosen, and not only not sent to
			env.check(func(sched *scheduler) bool { is.True(sched.cold["i-a"].since.IsZero()); return true })
			env.evacuate(false, "a")
			is.Equal(env.do(env.request(http.MethodPost, path)).status, http.StatusOK)
			is.Equal(len(a.Runs()), 1)
			env.check(func(sched *scheduler) bool { // upstreams of a domain that is taken back may be cold
				is.True(!sched.cold["i-a"].since.IsZero())
				is.True(sched.cold["i-b"].since.IsZero())
				return true
			})
		})
	}
}

// A stream that runs in the domain must run to its end there, and a prompt that waits in the entry's
// queue must be refused at once when the last domain is evacuated.
func TestEvacuationOfRunningAndWaitingPrompts(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	engine := env.serveIn("a", "engines", "i-a", server.PauseEvent)
	got := env.askPatiently()
	env.await(func() bool { return len(engine.Runs()) == 1 })
	env.config["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)["slots"] = 1
	env.configure()
	waiting := env.askPatiently()
	env.await(func() bool { return env.check(func(sched *scheduler) bool { return sched.queued() == 1 }) })
	at := time.Now()
	env.evacuate(true, "a")
	r := <-waiting
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.header.Get("Retry-After"), "1.000")
	is.True(time.Since(at) < time.Second)
	r = <-got
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(len(engine.Runs()), 1)
}

// A stream that has begun and breaks off must wait for another engine while its caller waits, though
// all domains are evacuated.
func TestBegunStreamWaitsForEngines(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	broken := env.serveIn("a", "engines", "i-a", server.CutEvent)
	running, evacuated := make(chan struct{}), make(chan struct{})
	broken.OnRun(func(*server.Run) { close(running); <-evacuated })
	got := env.askPatiently()
	<-running
	next := env.serveIn("b", "engines", "i-b")
	env.evacuate(true, "a", "b")
	close(evacuated)
	time.Sleep(2 * takeoverRetryDelay)
	is.Equal(len(next.Runs()), 0)
	env.evacuate(false, "b")
	r := <-got
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(len(next.Runs()), 1)
	is.Equal(len(broken.Runs()), 1)
}

// The domain is evacuated between the choice of an upstream and the send: while the connection to it
// is made, or before. The upstream must get nothing and must not count as failed.
func TestEvacuationBeforeSend(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serveIn("a", "desk", "i-a")
	env.evacuate(true, "a")
	conn, err := env.entry.dialForWork(t.Context(), desk.Addr())
	is.True(conn == nil)
	is.True(fault.Is(err, KindUnsent))
	_, err = env.entry.reserve(t.Context(), "r", desk.Addr(), []platform.Reservation{{ID: "r", Instance: "i-a", Address: desk.Addr(), Tokens: 1}})
	is.True(fault.Is(err, KindLease))
	is.NoErr(env.entry.engines.Release(t.Context(), platform.Reservation{ID: "r", Instance: "i-a", Address: desk.Addr()}, time.Second)) // as for work that runs there
	is.Equal(len(desk.Runs()), 1)
	is.True(!env.entry.reach.IsUnreachable(desk.Addr()))
	_, err = tunnel.Dial(t.Context(), env.entry.direct, env.entry.own.Address, desk.Addr())
	is.True(fault.Is(err, tunnel.KindRefused))
	env.evacuate(false, "a")
	conn, err = tunnel.Dial(t.Context(), env.entry.direct, env.entry.own.Address, desk.Addr())
	is.NoErr(err)
	is.NoErr(conn.Close())
}

// An evacuation must outlive an outage of the store, its return from a copy that lacks it, and a
// restart of the entry.
func TestEvacuationOutlivesTheStore(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serveIn("a", "desk", "i-a")
	older := env.store.Copy()
	env.evacuate(true, "a")
	env.store.SetOutage(true)
	env.requireRefused("/look/")
	env.store.Restore(older)
	env.store.SetOutage(false)
	env.await(func() bool {
		st := env.entry.State()
		return len(st.Evacuated) == 1 && st.Evacuated[0].KeptUntil != nil && st.Topics[0].Epoch > 0 && st.Topics[0].Healthy
	})
	env.requireRefused("/look/")
	env.store.Put("keyed.op", "evacuate/a", []byte("{}")) // the operator writes it again
	env.await(func() bool {
		st := env.entry.State()
		return len(st.Evacuated) == 1 && st.Evacuated[0].KeptUntil == nil
	})
	env.replaceEntry()
	env.await(func() bool { return env.ready() == http.StatusOK })
	env.requireRefused("/look/")
	is.Equal(len(desk.Runs()), 0)
	env.evacuate(false, "a")
	is.Equal(env.do(env.request(http.MethodPost, "/look/")).status, http.StatusOK)
}

// A request with home regions must run there, or be refused at once.
func TestHomeRegions(t *testing.T) {
	for _, path := range []string{"/ask/", "/look/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			for _, r := range env.config["routes"].([]any) {
				r.(map[string]any)["home_regions"] = []any{"r-1", "r-2"}
			}
			tenant := env.config["tenants"].([]any)[0].(map[string]any)
			tenant["home_regions"] = []any{"r-2"}
			env.configure()
			service := map[bool]string{true: "engines", false: "desk"}[path == "/ask/"]
			a, other := env.serveIn("a", service, "i-a"), env.serveIn("elsewhere", service, "i-c")
			env.requireRefused(path)
			b := env.serveIn("b", service, "i-b")
			for range 6 {
				is.Equal(env.do(env.request(http.MethodPost, path)).status, http.StatusOK)
			}
			is.Equal([]int{len(a.Runs()), len(b.Runs()), len(other.Runs())}, []int{0, 6, 0})
			env.evacuate(true, "b")
			env.requireRefused(path)
		})
	}
}

// A request with home regions may be tunnelled through entries there and in the own region only.
func TestHomeRegionsOfTunnels(t *testing.T) {
	is := is.New(t)
	s := &Server{cfg: platform.Settings{FailureDomain: "a", Regions: map[string]string{"a": "r-1", "b": "r-2", "c": "r-1", "d": "r-3"}}}
	ctx := withHomes(context.Background(), route.NewHomes([]string{"r-2"}))
	for domain, want := range map[string]bool{"a": true, "b": true, "c": true, "d": false, "x": false} {
		is.Equal(s.mayDetour(ctx, sends.Peer{Domain: domain}), want)
		is.True(s.mayDetour(context.Background(), sends.Peer{Domain: domain}))
	}
}

// The priority of the workspace precedes that of the route, also if it is 0, and that of the route decides
// within it: with the workspace's alone, long prompts were as urgent as short ones.
func TestPriorityOfWorkspace(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	for _, r := range env.config["routes"].([]any) {
		r.(map[string]any)["priority"] = 1
	}
	env.configure()
	desk, engine := env.serve("desk", "i-1"), env.serve("engines", "i-2")
	for i, priority := range []any{nil, 0, 2, 7} {
		if priority != nil {
			env.config["tenants"].([]any)[0].(map[string]any)["priority"] = priority
			env.configure()
		}
		env.do(env.request(http.MethodPost, "/look/"))
		env.do(env.request(http.MethodPost, "/ask/"))
		want := []string{"1", "1", "7", "9"}[i]
		is.Equal(desk.Runs()[i].Header.Get("X-Request-Urgency"), want)
		is.Equal(engine.Runs()[i].Header.Get("X-Request-Urgency"), want)
	}
}

// The domain is evacuated while the entry connects to the upstream that it has chosen. The upstream
// must get nothing, and the caller a refusal.
func TestEvacuationWhileConnecting(t *testing.T) {
	for path, service := range map[string]string{"/ask/": "engines", "/once/": "desk"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env, h := newHeldEnv(t)
			upstream := env.serveIn("a", service, "i-a")
			h.address <- upstream.Addr()
			got := make(chan reply, 1)
			go func() { got <- env.do(env.request(http.MethodPost, path)) }()
			<-h.dialled
			env.evacuate(true, "a")
			close(h.proceed)
			r := <-got
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.header.Get("Retry-After"), "1.000")
			is.Equal(len(upstream.Runs()), 0)
			is.True(!env.entry.reach.IsUnreachable(upstream.Addr()))
		})
	}
}
