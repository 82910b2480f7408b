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

// world is an entry on loopback with a store and servers.
type world struct {
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

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: store.Serve(listen(t)), config: testConfig()}
	t.Cleanup(w.store.Close)
	w.start()
	return w
}

// start starts an entry without waiting for it to be ready.
func (w *world) start() {
	w.t.Helper()
	w.entry = startEntry(w.t, "vm-1", "a", w.store.Addr())
}

// startEntry starts an entry on loopback that ends with the test.
func startEntry(t *testing.T, vm, domain, store string) *Server {
	t.Helper()
	s, err := newServer(platform.Settings{
		VM: vm, FailureDomain: domain, IP: "127.0.0.1", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0",
		PeerPort: ports.Free(t, 1)[0], Store: store, Grace: 8 * time.Second, Heartbeat: time.Second,
		Retries: platform.RetryBound{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, netio.TCP(), time.Millisecond, log.New(io.Discard), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }() // ends with Shutdown
	t.Cleanup(func() { _ = s.Shutdown(over()) })
	return s
}

// over returns a context that has ended: an entry that shuts down waits for nothing.
func over() context.Context {
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

// configure writes the next version of the configuration and waits until it is known.
func (w *world) configure() {
	w.t.Helper()
	w.version++
	w.config["version"] = w.version
	w.put()
	w.await(func() bool {
		t := w.entry.belief.Table()
		return t != nil && t.Version() == int64(w.version)
	})
}

// put writes the configuration to the store.
func (w *world) put() {
	w.t.Helper()
	b, err := json.Marshal(w.config)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("keyed.op", "config", b)
}

// serve starts a server of a service that follows a script, and waits until it is known.
func (w *world) serve(service, instance string, script ...server.Script) *server.Server {
	w.t.Helper()
	events := 0
	if service == "engines" {
		events = testEvents
	}
	s := server.New(listen(w.t), instance, events, script...)
	w.t.Cleanup(s.Close)
	w.tell(service, s, "ready")
	w.await(func() bool { return w.known(service, instance) })
	return s
}

func (w *world) tell(service string, s *server.Server, state string) {
	w.store.Put("keyed.servers", s.Instance(), fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","slots":16,"state":%q,"sequence":1,"born":%d}`, service, s.Addr(), state, w.born))
}

// restart makes a server a new one to the entry, which forgets how it failed.
func (w *world) restart(service string, s *server.Server) {
	w.born++
	w.tell(service, s, "ready")
	w.await(func() bool { return w.bornAs(service, s.Instance(), w.born) })
}

// bornAs reports whether the entry knows a server by its newest start.
func (w *world) bornAs(service, instance string, born int) bool {
	return w.believes(func(b *belief) bool {
		return slices.ContainsFunc(b.dir.Servers(service), func(d directory.Server) bool { return d.ID == instance && d.Born == int64(born) })
	})
}

func (w *world) known(service, instance string) bool {
	return w.believes(func(b *belief) bool {
		return slices.ContainsFunc(b.dir.Servers(service), func(d directory.Server) bool { return d.ID == instance })
	})
}

// believes asks for what the entry holds to be true.
func (w *world) believes(ask func(b *belief) bool) bool {
	w.entry.belief.mu.Lock()
	defer w.entry.belief.mu.Unlock()
	return ask(w.entry.belief)
}

func (w *world) await(ok func() bool) {
	w.t.Helper()
	for !ok() {
		if w.t.Context().Err() != nil {
			w.t.Fatal("it did not come about")
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

func (w *world) request(method, path string) *http.Request {
	w.t.Helper()
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+w.entry.callersLn.Addr().String()+path, nil)
	if err != nil {
		w.t.Fatal(err)
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

func (w *world) do(req *http.Request) reply {
	w.t.Helper()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(b), err}
}

func TestAnswersArePassedOnWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	desk := w.serve("desk", "i-1")
	engine := w.serve("engines", "i-2")

	r := w.do(w.request(http.MethodGet, "/look/at?x=1%2F2"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "plain answer")
	is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
	run := desk.Runs()[0]
	is.Equal(run.URI, "/look/at?x=1%2F2")
	is.Equal(run.Host, "h.example")
	is.Equal(run.Header.Get("X-Tenant"), "guild")
	is.Equal(run.Header.Get("Authorization"), "") // the key stays here
	is.Equal(run.Header.Get("X-Expect-Instance"), "i-1")

	r = w.do(w.request(http.MethodPost, "/ask/"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, server.Events(testEvents))
	run = engine.Runs()[0]
	is.Equal(run.Header.Get("X-Token-Counts"), "1460,400")
	is.Equal(run.Header.Get("X-Prompt-Prefix"), "5c1e07a2:800,91bd3f06:660")
}

func TestForgedHeadersAreOurs(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	desk := w.serve("desk", "i-1")
	req := w.request(http.MethodGet, "/open/")
	req.Header.Del("Authorization")
	req.Header.Set("X-Tenant", "forged")
	req.Header.Set("X-Expect-Instance", "i-9")
	is.Equal(w.do(req).status, http.StatusOK)
	is.Equal(desk.Runs()[0].Header.Get("X-Tenant"), "")
	is.Equal(desk.Runs()[0].Header.Get("X-Expect-Instance"), "i-1")
}

// What is refused before a configuration is known promises that it did not run.
func TestRefusalsBeforeAConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	r := w.do(w.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	w.configure()
	r = w.do(w.request(http.MethodGet, "/look/")) // no server yet
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
}

// A request that comes just after the start is kept for what the store tells.
func TestStartKeepsRequestsForTheConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.entry.started = time.Now().Add(time.Hour) // it waits as long as the test needs
	got := make(chan reply, 1)
	go func() { got <- w.do(w.request(http.MethodGet, "/look/")) }()
	w.await(func() bool { return w.entry.busy.Load() == 1 })
	w.configure()
	w.serve("desk", "i-1")
	is.Equal((<-got).status, http.StatusOK)
}

func TestRefusalsByConfiguration(t *testing.T) {
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
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
			req := w.request(http.MethodGet, "/look/")
			c.change(req)
			is.New(t).Equal(w.do(req).status, c.status)
		})
	}
}

// Requests that two readers could frame differently are refused before a byte is passed on.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	w := newWorld(t)
	w.configure()
	desk := w.serve("desk", "i-1")
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
			c, err := net.Dial("tcp", w.entry.callersLn.Addr().String())
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

// A request that may not be repeated runs at most once whatever the server does,
// and its refusal promises nothing once it was sent.
func TestOnceRunsAtMostOnce(t *testing.T) {
	for name, k := range map[string]server.Script{
		"reset": server.Reset, "unsealed": server.Unsealed, "stranger's answer": server.WrongAttempt,
		"encoded": server.Encoded, "silent": server.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			a, b := w.serve("desk", "i-1", k, k), w.serve("desk", "i-2", k, k)
			req := w.request(http.MethodPost, "/once/")
			req.Header.Set("X-Deadline-Milliseconds", "300")
			r := w.do(req)
			is.True(r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout)
			is.Equal(r.header.Get("X-Response-Seal"), "")
			is.Equal(len(a.Runs())+len(b.Runs()), 1)
		})
	}
}

func TestOnceGoesOnWhereItDidNotRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	a, b := w.serve("desk", "i-1", server.Reject, server.Reject), w.serve("desk", "i-2")
	is.Equal(w.do(w.request(http.MethodPost, "/once/")).status, http.StatusOK)
	is.Equal(len(a.Runs())+len(b.Runs()), 1)
}

func TestOnceFailureIsTheServers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1", server.Fail)
	r := w.do(w.request(http.MethodPost, "/once/"))
	is.Equal(r.status, http.StatusInternalServerError)
	is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
}

// A server's own failure is the answer where no other server does better.
func TestFailureIsPassedOnWhereNobodyDoesBetter(t *testing.T) {
	for name, k := range map[string]server.Script{"reset": server.Reset, "silent": server.Silent, "rejects": server.Reject} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			a, b := w.serve("desk", "i-1"), w.serve("desk", "i-2")
			for range 4 { // either is asked first
				a.SetScripts(server.Fail)
				b.SetScripts(k)
				req := w.request(http.MethodGet, "/look/")
				req.Header.Set("X-Deadline-Milliseconds", "900")
				r := w.do(req)
				is.Equal(r.status, http.StatusInternalServerError)
				is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
			}
		})
	}
}

// Most engines were cut off a moment ago: a prompt goes on until it finds one that is there.
// An incident found requests refused after four that were not.
func TestPromptFindsTheEngineThatIsThere(t *testing.T) {
	const cut = maxUnsent - 2
	for range 8 { // the one that is there may be tried first
		is := is.New(t)
		w := newWorld(t)
		w.configure()
		for i := range cut {
			w.serve("engines", fmt.Sprintf("gone-%d", i)).Close()
		}
		w.serve("engines", "there")
		r := w.do(w.request(http.MethodPost, "/ask/"))
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, server.Events(testEvents))
	}
}

// A request that fails where no other server is left takes nothing out of the retry budget.
func TestNoRetryIsSpentWithoutAServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1", server.Fail)
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusInternalServerError)
	w.entry.belief.mu.Lock()
	defer w.entry.belief.mu.Unlock()
	b := w.entry.belief.bound
	is.Equal(w.entry.belief.budget.Left("desk"), firstShare*budgetShare*b.Slack/minEntries+budgetShare*b.Ratio)
}

func TestIdempotentGoesToAnotherServer(t *testing.T) {
	for name, k := range map[string]server.Script{
		"reset": server.Reset, "fails": server.Fail, "unsealed": server.Unsealed, "silent": server.Silent, "encoded": server.Encoded,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			a := w.serve("desk", "i-1", k)
			w.serve("desk", "i-2")
			for len(a.Runs()) == 0 { // until the one that fails was chosen
				r := w.do(w.request(http.MethodGet, "/look/"))
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, "plain answer")
			}
		})
	}
}

func TestUnframedAnswerIsWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1", server.Unframed)
	r := w.do(w.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "plain answer")
}

// A stream goes on at another engine behind its last whole event, in one answer.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	for name, k := range map[string]server.Script{"cut within an event": server.CutEvent, "silent": server.StopEvent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			a := w.serve("engines", "i-1", k)
			b := w.serve("engines", "i-2")
			for len(a.Runs()) == 0 { // until the one that fails was chosen
				r := w.do(w.request(http.MethodPost, "/ask/"))
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, server.Events(testEvents))
			}
			runs := b.Runs()
			is.Equal(runs[len(runs)-1].LastEvent, "2") // it was asked to go on
		})
	}
}

// A failure of the engine that was to go on is no part of the answer. TestRapidPromises found it.
func TestFailureWhileGoingOnIsNoPartOfTheAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	cut, failing := []server.Script{server.CutEvent}, []server.Script{server.Fail}
	w.serve("engines", "i-1", slices.Repeat(cut, 9)...)
	w.serve("engines", "i-2", slices.Repeat(failing, 9)...)
	for range 4 {
		r := w.do(w.request(http.MethodPost, "/ask/"))
		if r.status == http.StatusOK {
			is.True(r.err != nil)
			is.Equal(r.body, server.Events(2))
		}
	}
}

// An engine falls silent while no other has room: one that gets room soon after goes on,
// as long as the caller waits.
func TestSilentEngineIsRelievedLater(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	ask := w.config["routes"].([]any)[3].(map[string]any)
	ask["target_latency_ms"], ask["timeout_ms"] = 2500, 9500 // its caller waits for four times the target
	w.configure()
	w.serve("engines", "i-1", server.StopEvent)
	got := make(chan reply, 1)
	req := w.request(http.MethodPost, "/ask/")
	req.Header.Set("X-Deadline-Milliseconds", "9500")
	go func() { got <- w.do(req) }()
	w.await(func() bool { // until the first try found none
		return w.believes(func(b *belief) bool { return b.planners["engines"].Counts().Refused > 0 })
	})
	b := w.serve("engines", "i-2")
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}

// An engine that is cut off in the middle of a stream is not waited for as long as a slow one
// that may go on; nor is one that was sent a prompt and is cut off.
func TestEngineThatIsCutOffIsNotWaitedFor(t *testing.T) {
	for name, script := range map[string]server.Script{"in a stream": server.StopEvent, "before the first event": server.Silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			// A slow engine is waited for 2.5 times as long, for longer than the caller's time.
			ask := w.config["routes"].([]any)[3].(map[string]any)
			ask["target_gap_ms"], ask["timeout_ms"] = 4000, 9500
			var mu sync.Mutex
			away := ""
			w.believes(func(b *belief) bool {
				b.cut = func(address string) bool {
					mu.Lock()
					defer mu.Unlock()
					return address == away
				}
				return true
			})
			w.configure()
			a := w.serve("engines", "i-1", script)
			a.OnRun(func(*server.Run) {
				mu.Lock()
				defer mu.Unlock()
				away = a.Addr()
			})
			got := make(chan reply, 1)
			req := w.request(http.MethodPost, "/ask/")
			req.Header.Set("X-Deadline-Milliseconds", "9500")
			go func() { got <- w.do(req) }()
			w.await(func() bool { return len(a.Runs()) > 0 })
			b := w.serve("engines", "i-2")
			r := <-got
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, server.Events(testEvents))
			is.Equal(len(b.Runs()), 1)
		})
	}
}

// An engine whose stream pauses for too long is asked how fast it is.
func TestSlowEngineIsAsked(t *testing.T) {
	w := newWorld(t)
	w.configure()
	e := w.serve("engines", "i-e1", server.PauseEvent)
	is.New(t).NoErr(w.do(w.request(http.MethodPost, "/ask/")).err)
	w.await(func() bool { return e.Reports() > 0 })
}

// Silence ends no answer: where no other engine can go on, the slow one is kept.
func TestSilenceEndsNoAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	a := w.serve("engines", "i-1", server.PauseEvent)
	r := w.do(w.request(http.MethodPost, "/ask/"))
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(len(a.Runs()), 1)
}

// A stream that can't go on ends without looking whole.
func TestStreamThatEndsEarlyDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("engines", "i-1", server.CutEvent)
	r := w.do(w.request(http.MethodPost, "/ask/"))
	is.Equal(r.status, http.StatusOK)
	is.True(r.err != nil)
	is.Equal(r.body, server.Events(2))
}

// A caller that leaves ends the work for it, before an answer and within one.
func TestCallerGoneEndsTheWork(t *testing.T) {
	for _, c := range []struct {
		path, service string
		script        server.Script
	}{
		{"/look/", "desk", server.Silent},
		{"/ask/", "engines", server.Silent},
		{"/ask/", "engines", server.StopEvent},
	} {
		t.Run(fmt.Sprint(c.path, c.script), func(t *testing.T) {
			w := newWorld(t)
			w.configure()
			s := w.serve(c.service, "i-1", c.script)
			ctx, cancel := context.WithCancel(t.Context())
			req := w.request(http.MethodPost, c.path).WithContext(ctx)
			go func() {
				res, err := http.DefaultClient.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			}()
			w.await(func() bool { return len(s.Runs()) == 1 })
			cancel()
			select {
			case <-s.Runs()[0].Gone:
			case <-t.Context().Done():
				t.Error("the work goes on")
			}
		})
	}
}

// A server that is leaving, or whose entry is gone or unreadable, gets nothing more.
func TestLeavingServerGetsNothing(t *testing.T) {
	for name, change := range map[string]func(*world, *server.Server){
		"leaving":    func(w *world, s *server.Server) { w.tell("desk", s, "draining") },
		"gone":       func(w *world, s *server.Server) { w.store.Put("keyed.servers", s.Instance(), nil) },
		"unreadable": func(w *world, s *server.Server) { w.store.Put("keyed.servers", s.Instance(), []byte("{")) },
		"no service": func(w *world, s *server.Server) {
			w.store.Put("keyed.servers", s.Instance(), []byte(`{"state":"ready"}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			a, b := w.serve("desk", "i-1"), w.serve("desk", "i-2")
			change(w, a)
			w.await(func() bool {
				w.entry.belief.mu.Lock()
				defer w.entry.belief.mu.Unlock()
				for _, s := range w.entry.belief.dir.Servers("desk") {
					if s.ID == "i-1" && !s.Leaving {
						return false
					}
				}
				return true
			})
			for range 10 {
				is.Equal(w.do(w.request(http.MethodPost, "/once/")).status, http.StatusOK)
			}
			is.Equal(len(a.Runs()), 0)
			is.Equal(len(b.Runs()), 10)
		})
	}
}

// An address that another server has now runs nothing that was meant for the first.
func TestReusedAddressRunsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	other := server.New(listen(t), "i-other", 0)
	t.Cleanup(other.Close)
	w.store.Put("keyed.servers", "i-1", fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready"}`, other.Addr()))
	w.await(func() bool { return w.known("desk", "i-1") })
	is.Equal(w.do(w.request(http.MethodPost, "/once/")).status, http.StatusServiceUnavailable)
	is.Equal(len(other.Runs()), 0)
}

// The configuration is followed through trimmed records and never goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
	w.store.SetOutage(true)
	w.store.SetOutage(false)
	w.version = 9
	w.configure()
	old := w.config
	old["version"] = 3
	b, err := json.Marshal(old)
	is.NoErr(err)
	w.store.Put("keyed.op", "config", b)
	w.store.Trim("keyed.op")
	w.configure()
	is.Equal(w.entry.belief.Table().Version(), int64(w.version))
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusOK)
}

// While the store is away the entry serves with what it knows; servers that lapse
// meanwhile stay.
func TestServesWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
	w.store.SetOutage(true)
	away := func(b *belief) bool { return b.dir.Away() }
	w.await(func() bool { return w.believes(away) })
	w.store.Put("keyed.servers", "i-1", nil) // it lapses
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusOK)
	w.store.SetOutage(false)
	w.await(func() bool { return !w.believes(away) })
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusOK)
}

// The state dump and the metrics tell what happened, and hold no key.
func TestStateAndMetrics(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("engines", "i-1")
	is.Equal(w.do(w.request(http.MethodPost, "/ask/")).status, http.StatusOK)
	page := func(path string) string {
		res, err := http.Get("http://" + w.entry.readyLn.Addr().String() + path)
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
		w.await(func() bool { return strings.Contains(page(metricsPath), "\ndogwoodmill_"+name) })
	}
}

// Of many entries only those of the own failure domain are told of sends.
func TestManyEntriesTellTheirDomain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for i := range maxTold {
		w.store.Put("keyed.status", fmt.Sprint("vm-", 100+i), platform.EncodeEntry(platform.Entry{Address: fmt.Sprint("127.0.0.1:", 20_000+i), Domain: []string{"a", "b"}[i%2]}))
	}
	w.await(func() bool { return w.entry.known() == maxTold+1 })
	is.Equal(len(w.entry.peers()), maxTold/2)
	w.store.Put("keyed.status", "vm-100", nil)
	w.await(func() bool { return w.entry.known() == maxTold })
	is.Equal(len(w.entry.peers()), maxTold-1)
}

// An entry that has nothing in progress and stops takes nothing more, and waits for
// what it took before it refused.
func TestStoppingEntryTakesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	desk := w.serve("desk", "i-1")
	w.entry.stopping.Store(true)
	r := w.do(w.request(http.MethodGet, "/look/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(desk.Runs()), 0)

	w.entry.end = time.Now().Add(time.Hour)
	w.entry.busy.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.entry.drain(t.Context())
	}()
	w.entry.busy.Add(-1)
	<-ended
}

// An entry that leaves while no other stays tells callers when one serves again.
func TestComeBackWhenAnEntryServes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.entry.end = time.Now().Add(5 * time.Second)
	got := w.entry.comeBack()
	is.True(got > restartTime && got <= 5*time.Second+restartTime)
	w.entry.end = time.Now().Add(-time.Hour)
	is.Equal(w.entry.comeBack(), leavingRetry)
}

// A leaving entry is not ready, closes connections behind its answers, and finishes
// what it took.
func TestLeavingFinishesWhatItTook(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
	ready := func() int {
		res, err := http.Get("http://" + w.entry.readyLn.Addr().String() + platform.ReadyPath)
		is.NoErr(err)
		_ = res.Body.Close()
		return res.StatusCode
	}
	is.Equal(ready(), http.StatusOK)
	idle, err := net.Dial("tcp", w.entry.callersLn.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(idle, "GET /look/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: r\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(idle)
	kept, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, kept.Body)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- w.entry.Shutdown(context.Background()) }()
	w.await(w.entry.leaving.Load)
	is.Equal(ready(), http.StatusServiceUnavailable)
	res, err := http.DefaultClient.Do(w.request(http.MethodGet, "/look/"))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(res.Close)
	_ = res.Body.Close()
	_, err = br.ReadByte()
	is.Equal(err, io.EOF) // the kept connection is closed without a request
	is.NoErr(<-ended)
	w.await(func() bool {
		w.entry.callersLn.mu.Lock()
		defer w.entry.callersLn.mu.Unlock()
		return len(w.entry.callersLn.conns) == 0
	})
}

// lines keeps what an entry logs.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// outcome returns what the lines tell of a request.
func (l *lines) outcome(id string) explain.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	logs, err := explain.Read(bytes.NewReader(l.b.Bytes()))
	if err != nil {
		return explain.Unknown
	}
	outcome, _ := logs.Story(id).Outcome()
	return outcome
}

// The lines that an entry writes are those that explain knows.
func TestLinesExplainRequests(t *testing.T) {
	w := newWorld(t)
	w.configure()
	w.serve("engines", "i-1", server.Whole, server.CutEvent)
	w.serve("desk", "i-2", server.Whole, server.Reset)
	l := &lines{}
	w.entry.log.SetOutput(l)
	w.entry.log.SetFormatter(log.JSONFormatter)
	w.entry.log.SetReportTimestamp(true)
	w.entry.log.SetTimeFormat(time.RFC3339Nano)
	for i, tt := range []struct {
		path string
		want explain.Outcome
	}{
		{"/ask/", explain.Good},
		{"/ask/", explain.Failed},
		{"/once/", explain.Good},
		{"/once/", explain.Failed},
		{"/none/", explain.Refused},
	} {
		id := fmt.Sprint("explained-", i)
		req := w.request(http.MethodPost, tt.path)
		req.Header.Set("X-Attempt-Id", id)
		w.do(req)
		w.await(func() bool {
			got := l.outcome(id)
			return got == tt.want || tt.want == explain.Good && got == explain.Late // on a busy machine
		})
	}
}
