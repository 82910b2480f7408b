package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/ports"
	"github.com/dogwoodmill/dogwoodmill/internal/command/explain"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/directory"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const testEvents = 6

// testEnv is an entry on loopback with a store and servers.
type testEnv struct {
	t       *testing.T
	store   *store.Server
	entry   *Server
	version int
	born    int
	config  map[string]any
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{t: t, store: store.Serve(listen(t)), config: testConfig()}
	t.Cleanup(env.store.Close)
	env.start()
	return env
}

// newPatientEnv is newTestEnv with a configuration by which callers of prompts wait for four times
// 2.5 s, until askPatiently's deadline.
func newPatientEnv(t *testing.T) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	ask := env.config["routes"].([]any)[3].(map[string]any)
	ask["target_latency_ms"], ask["timeout_ms"] = 2500, 9500
	env.configure()
	return env
}

// askPatiently sends a prompt whose caller waits for 9.5 s, and returns the channel of its reply.
func (env *testEnv) askPatiently() <-chan reply {
	env.t.Helper()
	got := make(chan reply, 1)
	req := env.request(http.MethodPost, "/ask/")
	req.Header.Set("X-Deadline-Milliseconds", "9500")
	go func() { got <- env.do(req) }()
	return got
}

// start starts an entry without waiting until it is ready.
func (env *testEnv) start() {
	env.t.Helper()
	env.entry = startEntry(env.t, "vm-1", "a", env.store.Addr())
}

// startEntry starts an entry on loopback that is shut down at the end of the test.
func startEntry(t *testing.T, vm, domain, store string) *Server {
	t.Helper()
	return startEntryAt(t, vm, domain, store, ports.Free(t, 1)[0])
}

// startEntryAt is startEntry with the port for other entries, as after a restart.
func startEntryAt(t *testing.T, vm, domain, store string, peerPort int) *Server {
	t.Helper()
	return startEntryOn(t, vm, domain, store, peerPort, netio.TCP())
}

// startEntryOn is startEntryAt on a network.
func startEntryOn(t *testing.T, vm, domain, store string, peerPort int, network *netio.Network) *Server {
	t.Helper()
	s, err := newServer(platform.Settings{
		Regions: map[string]string{"a": "r-1", "b": "r-2"},
		VM:      vm, FailureDomain: domain, IP: "127.0.0.1", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0",
		PeerPort: peerPort, Store: store, Grace: 8 * time.Second, Heartbeat: time.Second,
		Retries: platform.RetryBound{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Cold:    platform.ColdBound{Overrun: 1.5, Slack: 5},
	}, network, time.Millisecond, log.New(io.Discard), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }() // returns after Shutdown
	t.Cleanup(func() { _ = s.Shutdown(cancelledContext()) })
	return s
}

// cancelledContext returns a cancelled context, with which Shutdown waits for nothing.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func testConfig() map[string]any {
	route := func(prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 300, "service": service, "max_attempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"routes": []any{
			route("/once/", "non_idempotent", "desk", nil),
			route("/look/", "idempotent", "desk", nil),
			route("/open/", "idempotent", "desk", map[string]any{"public_access": true}),
			route("/ask/", "streaming", "engines", map[string]any{"resume_streams": true, "target_gap_ms": 200}),
		},
		"services": []any{
			map[string]any{"name": "desk", "max_connections": 100},
			map[string]any{"name": "engines", "max_connections": 100, "engine": map[string]any{
				"slots": 16, "kv_cache_tokens": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483,
				"context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "hop_ms": 0.1,
			}},
		},
		"tenants": []any{map[string]any{"name": "guild", "api_keys": []any{"key-1"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000},
	}
}

// configure writes the next version of the configuration and waits until the entry has it.
func (env *testEnv) configure() {
	env.t.Helper()
	env.version++
	env.config["version"] = env.version
	env.putConfig()
	env.await(func() bool {
		t := env.entry.sched.Table()
		return t != nil && t.Version() == int64(env.version)
	})
}

// putConfig writes the configuration to the store.
func (env *testEnv) putConfig() {
	env.t.Helper()
	b, err := json.Marshal(env.config)
	if err != nil {
		env.t.Fatal(err)
	}
	env.store.Put("keyed.op", "config", b)
}

// serve starts a server of a service that follows a script, and waits until the entry has its record.
func (env *testEnv) serve(service, instance string, script ...server.Script) *server.Server {
	env.t.Helper()
	events := 0
	if service == "engines" {
		events = testEvents
	}
	s := server.New(listen(env.t), instance, events, script...)
	env.t.Cleanup(s.Close)
	env.publish(service, s, "ready")
	env.await(func() bool { return env.known(service, instance) })
	return s
}

func (env *testEnv) publish(service string, s *server.Server, state string) {
	env.put(service, s.Instance(), s.Addr(), state)
}

// put writes the record of a server to the store.
func (env *testEnv) put(service, instance, address, state string) {
	env.store.Put("keyed.servers", instance, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","slots":16,"state":%q,"sequence":1,"born":%d}`, service, address, state, env.born))
}

// register makes the entry know a server at an address, whatever is there.
func (env *testEnv) register(service, instance, address string) {
	env.t.Helper()
	env.born++
	env.put(service, instance, address, "ready")
	env.await(func() bool { return env.hasServer(service, instance, env.born) })
}

// restart makes a server a new one to the entry, which forgets the earlier failures.
func (env *testEnv) restart(service string, s *server.Server) {
	env.register(service, s.Instance(), s.Addr())
}

// hasServer reports whether the entry has the record of a server with the given start number.
func (env *testEnv) hasServer(service, instance string, born int) bool {
	return env.check(func(sched *scheduler) bool {
		return slices.ContainsFunc(sched.dir.Servers(service), func(d directory.Server) bool { return d.ID == instance && d.Born == int64(born) })
	})
}

func (env *testEnv) known(service, instance string) bool {
	return env.check(func(sched *scheduler) bool {
		return slices.ContainsFunc(sched.dir.Servers(service), func(d directory.Server) bool { return d.ID == instance })
	})
}

// check calls f with the locked scheduler and returns its result.
func (env *testEnv) check(f func(sched *scheduler) bool) bool {
	env.entry.sched.mu.Lock()
	defer env.entry.sched.mu.Unlock()
	return f(env.entry.sched)
}

func (env *testEnv) await(ok func() bool) {
	env.t.Helper()
	for !ok() {
		if env.t.Context().Err() != nil {
			env.t.Fatal("the condition was not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (env *testEnv) request(method, path string) *http.Request {
	env.t.Helper()
	req, err := http.NewRequestWithContext(env.t.Context(), method, "http://"+env.entry.callersLn.Addr().String()+path, nil)
	if err != nil {
		env.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token key-1")
	req.Header.Set("X-Attempt-Id", "request-1")
	req.Header.Set("X-Deadline-Milliseconds", "4000")
	if strings.HasPrefix(path, "/ask/") {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", "1460,400")
		req.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")
	}
	return req
}

// requestAt is request to another entry.
func (env *testEnv) requestAt(entry *Server, method, path string) *http.Request {
	env.t.Helper()
	req := env.request(method, path)
	req.URL.Host = entry.callersLn.Addr().String()
	return req
}

// startOther starts a second entry.
func (env *testEnv) startOther() *Server {
	env.t.Helper()
	return startEntry(env.t, "vm-2", "b", env.store.Addr())
}

// awaitOther waits until both entries hear each other and the second one knows n upstreams.
func (env *testEnv) awaitOther(other *Server, n int) {
	env.t.Helper()
	env.await(func() bool {
		staying, _ := env.entry.exchange.Staying()
		otherStaying, _ := other.exchange.Staying()
		other.sched.mu.Lock()
		defer other.sched.mu.Unlock()
		return staying && otherStaying && other.entryCount() == 2 && other.sched.dir.Len() == n
	})
}

func (env *testEnv) do(req *http.Request) reply {
	env.t.Helper()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		env.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(b), err}
}

func TestRelaysCompleteAnswers(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	engine := env.serve("engines", "i-2")

	r := env.do(env.request(http.MethodGet, "/look/at?x=1%2F2"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "plain answer")
	is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
	run := desk.Runs()[0]
	is.Equal(run.URI, "/look/at?x=1%2F2")
	is.Equal(run.Host, "h.example")
	is.Equal(run.Header.Get("X-Tenant"), "guild")
	is.Equal(run.Header.Get("Authorization"), "") // the key is not forwarded
	is.Equal(run.Header.Get("X-Expect-Instance"), "i-1")

	r = env.do(env.request(http.MethodPost, "/ask/"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, server.Events(testEvents))
	run = engine.Runs()[0]
	is.Equal(run.Header.Get("X-Token-Counts"), "1460,400")
	is.Equal(run.Header.Get("X-Prompt-Prefix"), "5c1e07a2:800,91bd3f06:660")
}

func TestReplacesForgedHeaders(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	req := env.request(http.MethodGet, "/open/")
	req.Header.Del("Authorization")
	req.Header.Set("X-Tenant", "forged")
	req.Header.Set("X-Expect-Instance", "i-9")
	is.Equal(env.do(req).status, http.StatusOK)
	is.Equal(desk.Runs()[0].Header.Get("X-Tenant"), "")
	is.Equal(desk.Runs()[0].Header.Get("X-Expect-Instance"), "i-1")
}

// A refusal before there is a configuration must state that the request did not run.
func TestRefusesWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	r := env.do(env.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	env.configure()
	r = env.do(env.request(http.MethodGet, "/look/")) // there is no server yet
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
}

// A request that arrives just after the start must wait for the configuration.
func TestStartupWaitsForConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.entry.started = time.Now().Add(time.Hour) // it waits as long as the test needs
	got := make(chan reply, 1)
	go func() { got <- env.do(env.request(http.MethodGet, "/look/")) }()
	env.await(func() bool { return env.entry.inFlight.Load() == 1 })
	env.configure()
	env.serve("desk", "i-1")
	is.Equal((<-got).status, http.StatusOK)
}

func TestRefusalsByConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	long := strings.NewReader(strings.Repeat("x", 1001))
	for _, c := range []struct {
		name   string
		status int
		change func(*http.Request)
	}{
		{"unknown key", http.StatusUnauthorized, func(r *http.Request) { r.Header.Set("Authorization", "Token key-2") }},
		{"no key", http.StatusUnauthorized, func(r *http.Request) { r.Header.Del("Authorization") }},
		{"unknown path", http.StatusNotFound, func(r *http.Request) { r.URL.Path = "/lookat/" }},
		{"unknown host", http.StatusNotFound, func(r *http.Request) { r.Host = "other.example" }},
		{"long body", http.StatusRequestEntityTooLarge, func(r *http.Request) {
			r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(long), long.Size()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := env.request(http.MethodGet, "/look/")
			c.change(req)
			is.New(t).Equal(env.do(req).status, c.status)
		})
	}
}

// Requests with ambiguous framing must be refused before a byte is forwarded (request
// smuggling).
func TestAmbiguousFramingIsRefused(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	const end = "\r\nHost: h.example\r\nAuthorization: Token key-1\r\n\r\n0\r\n\r\nGET /look/ HTTP/1.1\r\n\r\n"
	for name, lines := range map[string]string{
		"both framings":    "Content-Length: 5\r\nTransfer-Encoding: chunked",
		"two lengths":      "Content-Length: 5\r\nContent-Length: 6",
		"length not plain": "Content-Length: +5",
		"other coding":     "Transfer-Encoding: chunked, gzip",
		"space in a name":  "Transfer-Encoding : chunked",
		"two hosts":        "Host: other.example",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST /look/ HTTP/1.1\r\n"+lines+end)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusBadRequest)
			is.Equal(len(desk.Runs()), 0)
		})
	}
}

// A request that may not be repeated runs at most once whatever the server does. Once it was
// sent, its refusal must not state that it did not run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, k := range map[string]server.Script{
		"reset": server.Reset, "unsealed": server.Unsealed, "answer of another attempt": server.WrongAttempt,
		"encoded": server.Encoded, "silent": server.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a, b := env.serve("desk", "i-1", k, k), env.serve("desk", "i-2", k, k)
			req := env.request(http.MethodPost, "/once/")
			req.Header.Set("X-Deadline-Milliseconds", "300")
			r := env.do(req)
			is.True(r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout)
			is.Equal(r.header.Get("X-Response-Seal"), "")
			is.Equal(len(a.Runs())+len(b.Runs()), 1)
		})
	}
}

func TestNonIdempotentIsRetriedIfNotRun(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a, b := env.serve("desk", "i-1", server.Reject, server.Reject), env.serve("desk", "i-2")
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
	is.Equal(len(a.Runs())+len(b.Runs()), 1)
}

func TestNonIdempotentFailureIsRelayed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1", server.Fail)
	r := env.do(env.request(http.MethodPost, "/once/"))
	is.Equal(r.status, http.StatusInternalServerError)
	is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
}

// A server's 5xx answer is relayed if no other server answers better.
func TestFailureIsRelayedIfNoServerSucceeds(t *testing.T) {
	for name, k := range map[string]server.Script{"reset": server.Reset, "silent": server.Silent, "rejects": server.Reject} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a, b := env.serve("desk", "i-1"), env.serve("desk", "i-2")
			for range 4 { // either server may be first
				a.SetScripts(server.Fail)
				b.SetScripts(k)
				req := env.request(http.MethodGet, "/look/")
				req.Header.Set("X-Deadline-Milliseconds", "900")
				r := env.do(req)
				is.Equal(r.status, http.StatusInternalServerError)
				is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
			}
		})
	}
}

// Most engines have just become unreachable: a prompt is retried until it finds a reachable one.
// Requests were refused after four unreachable engines.
func TestPromptFindsReachableEngine(t *testing.T) {
	const unreachable = maxUnsent - 2
	for range 8 { // the reachable engine may be tried first
		is := is.New(t)
		env := newTestEnv(t)
		env.configure()
		for i := range unreachable {
			env.register("engines", fmt.Sprintf("gone-%d", i), ports.Refusing(t))
		}
		env.serve("engines", "there")
		r := env.do(env.request(http.MethodPost, "/ask/"))
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, server.Events(testEvents))
	}
}

// A request that fails when no other server is left must take nothing from the retry budget.
func TestNoRetryIsTakenWithoutServer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1", server.Fail)
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusInternalServerError)
	env.entry.sched.mu.Lock()
	defer env.entry.sched.mu.Unlock()
	b := env.entry.sched.retryBound
	is.Equal(env.entry.sched.budget.Left("desk"), startShare*budgetShare*b.Slack/minEntries+budgetShare*b.Ratio)
}

func TestIdempotentIsRetriedAtAnotherServer(t *testing.T) {
	for name, k := range map[string]server.Script{
		"reset": server.Reset, "fails": server.Fail, "unsealed": server.Unsealed, "silent": server.Silent, "encoded": server.Encoded,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a := env.serve("desk", "i-1", k)
			env.serve("desk", "i-2")
			for len(a.Runs()) == 0 { // until the failing one was picked
				r := env.do(env.request(http.MethodGet, "/look/"))
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, "plain answer")
			}
		})
	}
}

func TestUnframedAnswerIsComplete(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1", server.Unframed)
	r := env.do(env.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "plain answer")
}

// A stream is resumed at another engine after its last complete event, within the same answer.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	for name, k := range map[string]server.Script{"cut within an event": server.CutEvent, "silent": server.StopEvent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a := env.serve("engines", "i-1", k)
			b := env.serve("engines", "i-2")
			for len(a.Runs()) == 0 { // until the failing one was picked
				r := env.do(env.request(http.MethodPost, "/ask/"))
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, server.Events(testEvents))
			}
			runs := b.Runs()
			is.Equal(runs[len(runs)-1].LastEvent, "2") // it was asked to resume
		})
	}
}

// A stream that ends within an event was broken off, whatever frames its end, and is resumed. One that
// ends with its connection after an event is complete.
func TestStreamEndsWithinEvent(t *testing.T) {
	part := server.Events(2) + server.Event(3)[:len(server.Event(3))-1]
	for name, answer := range map[string]string{
		"chunked":    fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(part), part),
		"length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part), part),
		"connection": "\r\n" + part,
		"whole":      "\r\n" + server.Events(testEvents),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a, b := env.serve("engines", "i-1", server.Raw), env.serve("engines", "i-2")
			a.SetRaw(func(w io.Writer, header string) { _, _ = io.WriteString(w, okLine+header+answer) })
			for len(a.Runs()) == 0 { // until the failing one was picked
				b.SetScripts()
				r := env.do(env.request(http.MethodPost, "/ask/"))
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, server.Events(testEvents))
			}
			if name == "whole" {
				is.Equal(len(b.Runs()), 0)
				return
			}
			is.Equal(b.Runs()[0].LastEvent, "2")
		})
	}
}

// A 5xx answer of the engine that should resume a stream must not become part of the answer.
func TestFailureWhileResumingIsNotRelayed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	cutEvent, failing := []server.Script{server.CutEvent}, []server.Script{server.Fail}
	env.serve("engines", "i-1", slices.Repeat(cutEvent, 9)...)
	env.serve("engines", "i-2", slices.Repeat(failing, 9)...)
	for range 4 {
		r := env.do(env.request(http.MethodPost, "/ask/"))
		if r.status == http.StatusOK {
			is.True(r.err != nil)
			is.Equal(r.body, server.Events(2))
		}
	}
}

// An engine falls silent while no other has room. One that gets room soon after must resume the
// stream, as long as the caller waits.
func TestSilentEngineIsRelievedLater(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	env.serve("engines", "i-1", server.StopEvent)
	got := env.askPatiently()
	env.await(func() bool { // until the first attempt found no engine
		return env.check(func(sched *scheduler) bool { return sched.planners["engines"].Counts().Refused > 0 })
	})
	b := env.serve("engines", "i-2")
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}

// An engine falls silent, and the connection to the only other one fails. Nothing was sent there,
// so it must be asked again while the caller waits.
func TestTakeoverIsTriedAgainAfterFailedConnection(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	a := env.serve("engines", "i-1", server.StopEvent)
	got := env.askPatiently()
	env.await(func() bool { return len(a.Runs()) == 1 })
	refusing := ports.Refusing(t)
	env.register("engines", "i-2", refusing)
	env.await(func() bool { return env.entry.reach.IsUnreachable(refusing) })
	b := server.New(listen(t), "i-2", testEvents)
	t.Cleanup(b.Close)
	env.register("engines", "i-2", b.Addr())
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}

// The engine that is to resume a stream takes longer for its head than predicted. No other one may
// be asked any more, so it is waited for as long as the caller waits.
func TestLastAttemptIsWaitedFor(t *testing.T) {
	for name, first := range map[string]server.Script{"in a stream": server.StopEvent, "before the first event": server.Silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newPatientEnv(t)
			a := env.serve("engines", "i-1", first)
			got := env.askPatiently()
			env.await(func() bool { return len(a.Runs()) == 1 })
			env.serve("engines", "i-2", server.LateHead)
			r := <-got
			is.NoErr(r.err)
			is.Equal(r.body, server.Events(testEvents))
		})
	}
}

// An engine falls silent and goes on while the one that is to resume its stream has sent nothing
// yet. Its events are the answer.
func TestSilentEngineGoesOnDuringTakeover(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	a := env.serve("engines", "i-1", server.PauseEvent)
	got := env.askPatiently()
	env.await(func() bool { return len(a.Runs()) == 1 })
	env.serve("engines", "i-2", server.Silent)
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
}

// An unreachable engine must be given up sooner than a slow one that may continue, both within a
// stream and before its first event.
func TestUnreachableEngineIsGivenUp(t *testing.T) {
	for name, script := range map[string]server.Script{"in a stream": server.StopEvent, "before the first event": server.Silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			// For a slow engine the limit would be 2.5 times as long, which exceeds the request's
			// timeout.
			ask := env.config["routes"].([]any)[3].(map[string]any)
			ask["target_gap_ms"], ask["timeout_ms"] = 4000, 9500
			var mu sync.Mutex
			unreachableAddr := ""
			env.check(func(sched *scheduler) bool {
				sched.unreachable = func(address string) bool {
					mu.Lock()
					defer mu.Unlock()
					return address == unreachableAddr
				}
				return true
			})
			env.configure()
			a := env.serve("engines", "i-1", script)
			a.OnRun(func(*server.Run) {
				mu.Lock()
				defer mu.Unlock()
				unreachableAddr = a.Addr()
			})
			got := env.askPatiently()
			env.await(func() bool { return len(a.Runs()) > 0 })
			b := env.serve("engines", "i-2")
			r := <-got
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, server.Events(testEvents))
			is.Equal(len(b.Runs()), 1)
		})
	}
}

// An engine whose stream pauses for too long is queried for its speed.
func TestSlowEngineIsQueried(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	e := env.serve("engines", "i-e1", server.PauseEvent)
	is.New(t).NoErr(env.do(env.request(http.MethodPost, "/ask/")).err)
	env.await(func() bool { return e.Reports() > 0 })
}

// A silence alone must not end an answer: the slow engine is kept if no other can resume.
func TestSilenceDoesNotEndAnswer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a := env.serve("engines", "i-1", server.PauseEvent)
	r := env.do(env.request(http.MethodPost, "/ask/"))
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(len(a.Runs()), 1)
}

// A stream that ends early and can't be resumed must not look complete to the caller.
func TestTruncatedStreamLooksIncomplete(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("engines", "i-1", server.CutEvent)
	r := env.do(env.request(http.MethodPost, "/ask/"))
	is.Equal(r.status, http.StatusOK)
	is.True(r.err != nil)
	is.Equal(r.body, server.Events(2))
}

// If the caller disconnects, the request to the upstream must end, both before an answer and
// within one.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	for _, c := range []struct {
		path, service string
		script        server.Script
	}{
		{"/look/", "desk", server.Silent},
		{"/ask/", "engines", server.Silent},
		{"/ask/", "engines", server.StopEvent},
	} {
		t.Run(fmt.Sprint(c.path, c.script), func(t *testing.T) {
			env := newTestEnv(t)
			env.configure()
			s := env.serve(c.service, "i-1", c.script)
			ctx, cancel := context.WithCancel(t.Context())
			req := env.request(http.MethodPost, c.path).WithContext(ctx)
			go func() {
				res, err := http.DefaultClient.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			}()
			env.await(func() bool { return len(s.Runs()) == 1 })
			cancel()
			select {
			case <-s.Runs()[0].Gone:
			case <-t.Context().Done():
				t.Error("the request to the upstream was not cancelled")
			}
		})
	}
}

// A server that is leaving, or whose record is deleted or unreadable, must get no requests.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for name, change := range map[string]func(*testEnv, *server.Server){
		"leaving":    func(env *testEnv, s *server.Server) { env.publish("desk", s, "draining") },
		"gone":       func(env *testEnv, s *server.Server) { env.store.Put("keyed.servers", s.Instance(), nil) },
		"unreadable": func(env *testEnv, s *server.Server) { env.store.Put("keyed.servers", s.Instance(), []byte("{")) },
		"no service": func(env *testEnv, s *server.Server) {
			env.store.Put("keyed.servers", s.Instance(), []byte(`{"state":"ready"}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a, b := env.serve("desk", "i-1"), env.serve("desk", "i-2")
			change(env, a)
			env.await(func() bool {
				env.entry.sched.mu.Lock()
				defer env.entry.sched.mu.Unlock()
				for _, s := range env.entry.sched.dir.Servers("desk") {
					if s.ID == "i-1" && !s.Leaving {
						return false
					}
				}
				return true
			})
			for range 10 {
				is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
			}
			is.Equal(len(a.Runs()), 0)
			is.Equal(len(b.Runs()), 10)
		})
	}
}

// newServer starts a server that the store does not list.
func (env *testEnv) newServer(instance string) *server.Server {
	env.t.Helper()
	s := server.New(listen(env.t), instance, testEvents)
	env.t.Cleanup(s.Close)
	return s
}

// putHeartbeat writes the record of a server that started at born with a sequence number.
func (env *testEnv) putHeartbeat(s *server.Server, state string, born, sequence int) {
	env.store.Put("keyed.servers", s.Instance(), fmt.Appendf(nil,
		`{"service":"desk","address":%q,"zone":"a","slots":16,"state":%q,"sequence":%d,"born":%d}`, s.Addr(), state, sequence, born))
}

// The store carried out a heartbeat of an upstream late, behind the report that it leaves or behind its
// removal, and requests went to it again.
func TestLateHeartbeatDoesNotTakeBackThatAServerLeaves(t *testing.T) {
	for name, play := range map[string]func(env *testEnv, s *server.Server, late func()){
		"read": func(env *testEnv, s *server.Server, late func()) {
			env.putHeartbeat(s, "draining", 1, 9)
			late()
		},
		"snapshot": func(env *testEnv, s *server.Server, late func()) {
			env.putHeartbeat(s, "draining", 1, 9)
			env.await(func() bool {
				return env.check(func(sched *scheduler) bool { d, _ := sched.dir.Get(s.Instance()); return d.Leaving })
			})
			env.store.SetOutage(true)
			late()
			env.store.Trim("keyed.servers") // the entry reads the newest records anew
			env.store.SetOutage(false)
		},
		"removal": func(env *testEnv, s *server.Server, late func()) {
			env.putHeartbeat(s, "ready", 1, 9)
			env.store.Put("keyed.servers", s.Instance(), nil)
			late()
		},
		"removal in an outage": func(env *testEnv, s *server.Server, late func()) {
			env.putHeartbeat(s, "ready", 1, 9)
			env.await(func() bool {
				return env.check(func(sched *scheduler) bool { d, _ := sched.dir.Get(s.Instance()); return d.Sequence == 9 })
			})
			env.store.SetOutage(true)
			env.await(func() bool { return env.check(func(sched *scheduler) bool { return sched.dir.StoreDown() }) })
			env.store.Put("keyed.servers", s.Instance(), nil)
			env.store.SetOutage(false)
			late()
			env.await(func() bool { // the time to register again is over
				return env.check(func(sched *scheduler) bool {
					_, pending := sched.dir.SettleAt()
					return !pending && !sched.dir.StoreDown()
				})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			stays, s := env.serve("desk", "i-stays"), env.newServer("i-leaves")
			env.putHeartbeat(s, "ready", 1, 5)
			env.await(func() bool { return env.known("desk", s.Instance()) })
			play(env, s, func() { env.putHeartbeat(s, "ready", 1, 8) })
			env.put("desk", "i-marker", "127.0.0.1:1", "draining") // comes after the late heartbeat
			env.await(func() bool { return env.known("desk", "i-marker") })
			for range 10 {
				is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
			}
			is.Equal(len(s.Runs()), 0)
			is.Equal(len(stays.Runs()), 10)

			env.putHeartbeat(s, "ready", 2, 1) // it has started again
			env.await(func() bool {
				return env.check(func(sched *scheduler) bool {
					d, ok := sched.dir.Get(s.Instance())
					return ok && !d.Leaving && d.Born == 2
				})
			})
		})
	}
}

// An entry started while the newest record of an upstream was a late heartbeat, and took one that leaves
// for ready.
func TestEntryThatStartsSeesThatAServerLeaves(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	stays, s := env.serve("desk", "i-stays"), env.newServer("i-leaves")
	env.putHeartbeat(s, "ready", 1, 7)
	env.store.Expire("keyed.servers", 2) // only the newest of these is kept
	env.putHeartbeat(s, "draining", 1, 9)
	env.putHeartbeat(s, "ready", 1, 8)
	env.replaceEntry()
	env.await(func() bool { return env.known("desk", s.Instance()) })
	for range 10 {
		is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
	}
	is.Equal(len(s.Runs()), 0)
	is.Equal(len(stays.Runs()), 10)
}

// In an outage of the store a server said in its answers that it leaves, and got requests until it exited.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	leaves, stays := env.serve("desk", "i-leaves"), env.serve("desk", "i-stays")
	env.store.SetOutage(true)
	leaves.Leave()
	for len(leaves.Runs()) == 0 {
		is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
	}
	before := len(stays.Runs())
	for range 10 {
		is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusOK)
	}
	is.Equal(len(leaves.Runs()), 1)
	is.Equal(len(stays.Runs()), before+10)
}

// If another server has taken over an address, it must not run requests meant for the first.
func TestReusedAddressRunsNothing(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	other := server.New(listen(t), "i-other", 0)
	t.Cleanup(other.Close)
	env.store.Put("keyed.servers", "i-1", fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready"}`, other.Addr()))
	env.await(func() bool { return env.known("desk", "i-1") })
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusServiceUnavailable)
	is.Equal(len(other.Runs()), 0)
}

// The configuration is followed across trimmed records, and an older version is never applied.
func TestConfigurationIsNeverDowngraded(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	env.store.SetOutage(true)
	env.store.SetOutage(false)
	env.version = 9
	env.configure()
	old := env.config
	old["version"] = 3
	b, err := json.Marshal(old)
	is.NoErr(err)
	env.store.Put("keyed.op", "config", b)
	env.store.Trim("keyed.op")
	env.configure()
	is.Equal(env.entry.sched.Table().Version(), int64(env.version))
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
}

// During an outage of the store the entry serves with the last known records, and keeps servers whose
// records expire.
func TestServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	env.store.SetOutage(true)
	storeDown := func(sched *scheduler) bool { return sched.dir.StoreDown() }
	env.await(func() bool { return env.check(storeDown) })
	env.store.Put("keyed.servers", "i-1", nil) // its record expires
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
	env.store.SetOutage(false)
	env.await(func() bool { return !env.check(storeDown) })
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).status, http.StatusOK)
}

// The state dump and the metrics cover a request, and contain no key.
func TestStateAndMetrics(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("engines", "i-1")
	is.Equal(env.do(env.request(http.MethodPost, "/ask/")).status, http.StatusOK)
	page := func(path string) string {
		res, err := http.Get("http://" + env.entry.readyLn.Addr().String() + path)
		is.NoErr(err)
		defer func() { _ = res.Body.Close() }()
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		return string(b)
	}
	text := page(statePath)
	var st State
	is.NoErr(json.Unmarshal([]byte(text), &st))
	is.Equal(st.Version, int64(1))
	is.Equal(st.Services["engines"].Counts.Placed, 1)
	is.Equal(st.Services["engines"].Engines[0].Name, "i-1")
	is.True(!strings.Contains(text, "key-1"))
	for _, name := range []string{
		"requests", "first_event", "longest_pause", "wait", "first_event_over_prediction", "store_calls", "store_offset", "store_answers",
		"streams", "plain_requests", "reservations", "entries_known", "upstreams", "upstreams_cut", "told_bytes",
		"configuration_version", "retries_left", "waiting",
	} {
		env.await(func() bool { return strings.Contains(page(metricsPath), "\ndogwoodmill_"+name) })
	}
}

// Every other entry is a peer, with its failure domain, whatever their number.
func TestAllEntriesArePeers(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	const others = 116
	for i := range others {
		env.store.Put("keyed.status", fmt.Sprint("vm-", 100+i), platform.EncodeEntry(platform.Entry{Address: fmt.Sprint("127.0.0.1:", 20_000+i), Domain: []string{"a", "b"}[i%2]}))
	}
	env.await(func() bool { return env.entry.entryCount() == others+1 })
	domains := map[string]int{}
	for _, p := range env.entry.peers() {
		domains[p.Domain]++
	}
	is.Equal(domains, map[string]int{"a": others / 2, "b": others / 2})
	env.store.Put("keyed.status", "vm-100", nil)
	env.await(func() bool { return env.entry.entryCount() == others })
	is.Equal(len(env.entry.peers()), others-1)
}

// A stopping entry refuses new requests and waits for those that it accepted before.
func TestStoppingEntryRefusesRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	env.entry.stopping.Store(true)
	r := env.do(env.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(desk.Runs()), 0)

	env.entry.stopAt = time.Now().Add(time.Hour)
	env.entry.inFlight.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		env.entry.drain(t.Context())
	}()
	env.entry.inFlight.Add(-1)
	<-ended
}

// If no other entry stays, a leaving entry's Retry-After is the time until one serves again.
func TestRetryAfterOfLeavingEntry(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.entry.stopAt = time.Now().Add(5 * time.Second)
	got := env.entry.retryAfter()
	is.True(got > restartTime && got <= 5*time.Second+restartTime)
	env.entry.stopAt = time.Now().Add(-time.Hour)
	is.Equal(env.entry.retryAfter(), leavingRetryAfter)
}

// A leaving entry is not ready, closes connections after its answers, and finishes the requests
// that it accepted.
func TestLeavingEntryFinishesRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	ready := func() int {
		res, err := http.Get("http://" + env.entry.readyLn.Addr().String() + platform.ReadyPath)
		is.NoErr(err)
		_ = res.Body.Close()
		return res.StatusCode
	}
	is.Equal(ready(), http.StatusOK)
	idle, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(idle, "GET /look/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: r\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(idle)
	kept, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, kept.Body)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- env.entry.Shutdown(context.Background()) }()
	env.await(env.entry.leaving.Load)
	is.Equal(ready(), http.StatusServiceUnavailable)
	res, err := http.DefaultClient.Do(env.request(http.MethodGet, "/look/"))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(res.Close)
	_ = res.Body.Close()
	_, err = br.ReadByte()
	is.Equal(err, io.EOF) // the idle connection is closed
	is.NoErr(<-ended)
	env.await(func() bool {
		env.entry.callersLn.mu.Lock()
		defer env.entry.callersLn.mu.Unlock()
		return len(env.entry.callersLn.conns) == 0
	})
}

// logBuffer keeps an entry's log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// outcome returns the outcome of a request by the log.
func (l *logBuffer) outcome(id string) explain.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	logs, err := explain.Read(bytes.NewReader(l.buf.Bytes()))
	if err != nil {
		return explain.Unknown
	}
	outcome, _ := logs.Trace(id).Outcome()
	return outcome
}

// The explain command must understand the log lines of an entry.
func TestExplainUnderstandsLog(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	env.serve("engines", "i-1", server.Whole, server.CutEvent)
	env.serve("desk", "i-2", server.Whole, server.Reset)
	l := &logBuffer{}
	env.entry.log.SetOutput(l)
	env.entry.log.SetFormatter(log.JSONFormatter)
	env.entry.log.SetReportTimestamp(true)
	env.entry.log.SetTimeFormat(time.RFC3339Nano)
	for i, tt := range []struct {
		path string
		want explain.Outcome
	}{
		{"/ask/", explain.OnTime},
		{"/ask/", explain.Failed},
		{"/once/", explain.OnTime},
		{"/once/", explain.Failed},
		{"/none/", explain.Refused},
	} {
		id := fmt.Sprint("explained-", i)
		req := env.request(http.MethodPost, tt.path)
		req.Header.Set("X-Attempt-Id", id)
		env.do(req)
		env.await(func() bool {
			got := l.outcome(id)
			return got == tt.want || tt.want == explain.OnTime && got == explain.Late // on a busy machine
		})
	}
}
