package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/world"
	upstream "github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	testToken = "operator-token"
	guildKey  = "guild-key"
	otherKey  = "other-key"
	testDrain = 30 * time.Second
	// testTimeout bounds the wait for a condition; no assertion depends on its value.
	testTimeout = 20 * time.Second
)

const objects = `
kind: workspaces
metadata: {name: guild}
spec: {weight: 1, patience: 60, keys: ["%[1]s"]}
---
kind: workspaces
metadata: {name: other}
spec: {weight: 1, patience: 60, keys: ["%[2]s"]}
---
kind: deployments
metadata: {name: exact}
spec: {model: m, contextTokens: 400000}
---
kind: deployments
metadata: {name: sampled}
spec: {model: m, contextTokens: 400000, sampled: true}
`

// harness runs entries and stand-in engines with their platform services.
type harness struct {
	*world.World
	t       testing.TB
	entries []*Server
}

func engines(n int, change func(*engine.Config)) []engine.Config {
	var out []engine.Config
	for i := range n {
		cfg := engine.Default(fmt.Sprintf("engine-%d", i+1), "m")
		cfg.Step, cfg.PrefillRate = 5*time.Millisecond, 1_000_000
		if change != nil {
			change(&cfg)
		}
		out = append(out, cfg)
	}
	return out
}

func newHarness(t testing.TB, entries int, cfgs []engine.Config) *harness {
	t.Helper()
	if t, ok := t.(*testing.T); ok {
		t.Parallel() // mostly waits for sockets
	}
	w, err := world.Start(world.SameHost(netio.TCP()), cfgs, 0)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{World: w, t: t}
	t.Cleanup(b.close)
	for i := range entries {
		b.startEntry(fmt.Sprintf("entry-%d", i+1), testDrain)
	}
	text := fmt.Sprintf(objects, resource.HashKey(guildKey), resource.HashKey(otherKey))
	for i, cfg := range cfgs {
		text += fmt.Sprintf("---\nkind: upstreams\nmetadata: {name: %s}\nspec: {address: %q, failureDomain: a, deployments: [exact, sampled], memoryTokens: %d, prefillRate: %d}\n",
			cfg.Name, w.EngineAddr(i), cfg.Memory, cfg.PrefillRate)
	}
	list, err := client.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c := client.New(netio.TCP(), "http://"+b.entries[0].Addr(), testToken)
	for _, o := range list {
		if _, err := c.Put(t.Context(), o); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range b.entries {
		b.await("the engines are known", func() bool { return len(s.State().Engines) == len(cfgs) })
	}
	return b
}

func (b *harness) startEntry(vm string, drain time.Duration) *Server {
	b.t.Helper()
	s, err := New(Config{
		VM: vm, FailureDomain: "a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PeerKey: "peer-key-1", LogURL: b.LogURL(), LogRetention: time.Hour, VMListURL: b.VMListURL(), WeightStoreURL: b.WeightStoreURL(),
		Network: netio.TCP(), OperatorToken: testToken, MaxBodyBytes: MaxBodyLimitBytes, Drain: drain,
	}, log.New(io.Discard))
	if err != nil {
		b.t.Fatal(err)
	}
	b.entries = append(b.entries, s)
	go func() { _ = s.Serve() }()
	return s
}

func (b *harness) close() {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range b.entries {
		_ = s.Shutdown(now) // some tests leave requests in progress on purpose
	}
	b.World.Close()
}

// await polls until cond returns true and fails the test after testTimeout.
func (b *harness) await(what string, cond func() bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func (b *harness) awaitFree() {
	b.t.Helper()
	b.await("the memory of all engines is free", func() bool {
		used := 0
		for _, e := range b.Engines {
			used += e.MemoryUsed()
		}
		return used == 0
	})
}

// running waits for an unfinished stream and returns its engine.
func (b *harness) running() *engine.Engine {
	b.t.Helper()
	var found *engine.Engine
	b.await("an engine runs a stream", func() bool {
		for _, e := range b.Engines {
			list, err := e.Streams()
			for _, s := range list {
				if err == nil && s.Finish == "" {
					found = e
				}
			}
		}
		return found != nil
	})
	return found
}

// promptOf returns a prompt whose response has at least n tokens.
func promptOf(n int) string {
	for i := 0; ; i++ {
		if p := fmt.Sprintf("prompt %d", i); engine.AnswerLength(p, 0) >= n {
			return p
		}
	}
}

// stream reads a streamed response as a caller does.
type stream struct {
	b      *harness
	res    *http.Response
	cancel context.CancelFunc
	sc     *bufio.Scanner
	id     string
	text   strings.Builder
	last   string // ID of the last event
	done   bool
	code   string // from the error event
	ran    string
}

func (b *harness) do(s *Server, method, path, key, body string, header ...string) *stream {
	b.t.Helper()
	ctx, cancel := context.WithCancel(b.t.Context())
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Addr()+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	st := &stream{b: b, res: res, cancel: cancel, sc: bufio.NewScanner(res.Body), id: res.Header.Get("X-Request-Id")}
	b.t.Cleanup(st.close)
	return st
}

func (b *harness) open(s *Server, model, prompt string) *stream {
	b.t.Helper()
	return b.do(s, "POST", "/v1/completions", guildKey, fmt.Sprintf(`{"model":%q,"stream":true,"prompt":%q}`, model, prompt))
}

func (b *harness) resume(s *Server, key, id, last string) *stream {
	b.t.Helper()
	return b.do(s, "GET", "/v1/responses/"+id, key, "", "Last-Event-ID", last)
}

func (s *stream) close() {
	s.cancel()
	_ = s.res.Body.Close()
}

// event reads the next event and reports whether there was one.
func (s *stream) event() bool {
	id := ""
	for s.sc.Scan() {
		line := s.sc.Text()
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			id = rest
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		s.handleEvent(id, data)
		return true
	}
	return false
}

func (s *stream) handleEvent(id, data string) {
	var c struct {
		Choices []struct{ Text string }
		Error   *struct{ Code, Ran string }
	}
	switch {
	case data == "[DONE]":
		s.done = true
	case json.Unmarshal([]byte(data), &c) != nil:
		s.b.t.Errorf("event %q", data)
	case c.Error != nil:
		s.code, s.ran = c.Error.Code, c.Error.Ran
	default:
		s.last = id
		s.text.WriteString(c.Choices[0].Text)
	}
}

// read reads n events and fails the test if there are fewer.
func (s *stream) read(n int) *stream {
	s.b.t.Helper()
	for range n {
		if !s.event() {
			s.b.t.Fatal("the stream ended early")
		}
	}
	return s
}

// readAll reads all events up to the end of the body.
func (s *stream) readAll() *stream {
	for s.event() {
		if s.done && s.code != "" {
			s.b.t.Error("stream has both an error event and [DONE]")
		}
	}
	return s
}

// requireComplete asserts that the complete response and its end marker were read.
func (s *stream) requireComplete(prompt string) {
	s.b.t.Helper()
	is := is.New(s.b.t)
	is.NoErr(s.sc.Err())
	is.Equal(s.text.String(), engine.Answer(prompt, 0, 1<<20))
	is.True(s.done)
	is.Equal(s.code, "")
}

// requirePartial asserts that a prefix of the response and an error event were read.
func (s *stream) requirePartial(prompt, code string) {
	s.b.t.Helper()
	is := is.New(s.b.t)
	is.NoErr(s.sc.Err())
	is.True(strings.HasPrefix(engine.Answer(prompt, 0, 1<<20), s.text.String()))
	is.True(!s.done)
	is.Equal(s.code, code)
	is.Equal(s.ran, "partial")
}

func TestMisdeliveredEventsAreDropped(t *testing.T) {
	b := newHarness(t, 1, engines(1, nil))
	prompt := promptOf(40)
	misdeliver := func(how engine.Misdelivery, n int) {
		s := b.open(b.entries[0], "sampled", prompt).read(3)
		b.Engines[0].Misdeliver(how, n)
		s.readAll().requireComplete(prompt)
	}
	dropped := func() upstream.Counts { return b.entries[0].State().Streams.Dropped }
	is := is.New(t)
	hows := []engine.Misdelivery{engine.Double, engine.Late, engine.OutOfOrder, engine.Foreign}
	for _, how := range hows {
		misdeliver(how, 1)
	}
	is.Equal(dropped(), upstream.Counts{Duplicate: 1, Late: 1, OutOfOrder: 1, Foreign: 1})
	for _, how := range hows { // two in a row
		misdeliver(how, 2)
	}
	d := dropped()
	is.Equal(d.Duplicate, int64(3))
	is.Equal(d.Late, int64(3))
	is.Equal(d.OutOfOrder, int64(2)) // two skipped at once count as one
	// The first foreign event closes its connection; the second may already be in flight on it.
	is.True(d.Foreign == 2 || d.Foreign == 3)
	b.awaitFree()
}

func TestSilentConnectionResumesAtTheNextToken(t *testing.T) {
	b := newHarness(t, 1, engines(1, nil))
	prompt := promptOf(60)
	s := b.open(b.entries[0], "sampled", prompt).read(3)
	b.Engines[0].Silence()
	s.readAll().requireComplete(prompt)
	is.New(t).Equal(b.entries[0].State().Streams.Resumes, int64(1))
}

func TestEngineLostMidStream(t *testing.T) {
	for name, lose := range map[string]func(*engine.Engine){
		"dead":      (*engine.Engine).Die,
		"restarted": (*engine.Engine).Restart,
		"hung":      func(e *engine.Engine) { e.Pause(true) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, engines(2, nil))
			prompt := promptOf(60)
			s := b.open(b.entries[0], "exact", prompt).read(3)
			lost := b.running()
			lose(lost)
			s.readAll().requireComplete(prompt)
			is.New(t).Equal(b.entries[0].State().Streams.Replays, int64(1))
			lost.Pause(false)
			if name == "dead" {
				lost.Restart() // a dead engine does not report its memory
			}
			b.awaitFree()
		})
	}
}

func TestSampledAnswerIsNotReplayed(t *testing.T) {
	b := newHarness(t, 1, engines(2, nil))
	prompt := promptOf(60)
	s := b.open(b.entries[0], "sampled", prompt).read(3)
	b.running().Die()
	s.readAll().requirePartial(prompt, "engine_lost")
}

func TestEngineLostDuringPrefill(t *testing.T) {
	b := newHarness(t, 1, engines(2, func(cfg *engine.Config) { cfg.PrefillRate = 2_000 }))
	prompt := strings.Repeat("long ", 4_000) // 2.5 s of prefill
	got := make(chan *stream, 1)
	go func() { got <- b.open(b.entries[0], "sampled", prompt).readAll() }()
	lost := b.running()
	lost.Die()
	(<-got).requireComplete(prompt) // no token was delivered, so another engine can run it
}

func TestCallerDisconnects(t *testing.T) {
	slow := func(cfg *engine.Config) { cfg.PrefillRate = 100 }
	for _, tt := range []struct {
		name   string
		stream bool
		change func(*engine.Config)
		reset  bool
	}{
		{"streamed between tokens", true, nil, false},
		{"streamed and reset", true, nil, true},
		{"streamed during prefill", true, slow, false},
		{"whole during prefill", false, slow, false},
		{"whole between tokens", false, nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 1, engines(1, tt.change))
			b.Engines[0].SetSlow(20)
			conn, err := net.Dial("tcp", b.entries[0].Addr())
			is.NoErr(err)
			body := fmt.Sprintf(`{"model":"exact","stream":%t,"prompt":%q}`, tt.stream, strings.Repeat("word", 200))
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", guildKey, len(body), body)
			is.NoErr(err)
			if tt.stream && tt.change == nil {
				_, err = bufio.NewReader(conn).ReadString('[') // first token
				is.NoErr(err)
			}
			b.await("the prompt is at the engine", func() bool { return b.Engines[0].MemoryUsed() > 0 })
			if tt.reset {
				is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			}
			is.NoErr(conn.Close())
			b.awaitFree()
			b.await("nothing is in progress", func() bool { return b.entries[0].State().Busy == 0 })
			is.Equal(b.entries[0].State().Streams.Cancels.GivenUp, int64(0))
		})
	}
}

func TestCallerDisconnectsWhileQueued(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, func(cfg *engine.Config) { cfg.Memory = 1200 }))
	b.Engines[0].SetSlow(20)
	first := b.open(b.entries[0], "exact", promptOf(100)).read(1)
	conn, err := net.Dial("tcp", b.entries[0].Addr())
	is.NoErr(err)
	body := `{"model":"exact","prompt":"second"}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", guildKey, len(body), body)
	is.NoErr(err)
	b.await("both are in progress", func() bool { return b.entries[0].State().Streams.Open == 2 })
	is.NoErr(conn.Close())
	b.await("the second is gone", func() bool { return b.entries[0].State().Streams.Open == 1 })
	first.close()
	b.awaitFree()
	is.Equal(len(b.Engines[0].Opened()), 1) // the second prompt was not sent
}

func TestNextRequestOnTheConnectionIsServed(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	conn, err := net.Dial("tcp", b.entries[0].Addr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"model":"exact","prompt":%q}`, promptOf(20))
	req := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", guildKey, len(body), body)
	_, err = io.WriteString(conn, req+req) // the second stays unread in the socket while the first runs
	is.NoErr(err)
	br := bufio.NewReader(conn)
	for range 2 {
		res, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		text, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(strings.Contains(string(text), `"finish_reason":"stop"`))
	}
}

func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	b := newHarness(t, 1, engines(1, nil))
	b.Engines[0].SetSlow(10)
	s := b.open(b.entries[0], "exact", promptOf(100)).read(2)
	b.Engines[0].LoseAnswers(3)
	s.close()
	b.awaitFree()
	b.await("the cancel is confirmed", func() bool { return b.entries[0].State().Streams.Cancels.Waiting == 0 })
	is.New(t).Equal(b.entries[0].State().Streams.Cancels.GivenUp, int64(0))
}

func TestAnswerIsResumedAtAnotherEntry(t *testing.T) {
	b := newHarness(t, 2, engines(2, nil))
	prompt := promptOf(100)
	for _, e := range b.Engines {
		e.SetSlow(4)
	}
	first := b.open(b.entries[0], "exact", prompt).read(5)
	first.close() // lost connection
	second := b.resume(b.entries[1], guildKey, first.id, first.last)
	second.text.WriteString(first.text.String())
	second.readAll().requireComplete(prompt)
	b.await("the first entry left it alone", func() bool { return b.entries[0].State().Streams.Cancels.Waiting == 0 })
	b.awaitFree()
}

func TestAnswerIsResumedAtTheSameEntry(t *testing.T) {
	b := newHarness(t, 1, engines(1, nil))
	prompt := promptOf(100)
	b.Engines[0].SetSlow(4)
	first := b.open(b.entries[0], "exact", prompt).read(5)
	second := b.resume(b.entries[0], guildKey, first.id, first.last) // the caller reconnects before the entry notices a disconnect
	first.readAll()
	is.New(t).Equal(first.code, "resumed_elsewhere")
	second.text.WriteString(first.text.String())
	whole := second.readAll()
	is.New(t).True(whole.done)
	b.awaitFree()
}

func TestMovedAnswerIsResumed(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 2, engines(2, nil))
	prompt := promptOf(100)
	for _, e := range b.Engines {
		e.SetSlow(4)
	}
	first := b.open(b.entries[0], "exact", prompt).read(5)
	b.running().Die()
	for !strings.Contains(first.last, "@2.engine-") {
		first.read(1)
	}
	first.close()
	second := b.resume(b.entries[1], guildKey, first.id, first.last)
	is.Equal(second.id, first.id)
	second.text.WriteString(first.text.String())
	second.readAll().requireComplete(prompt)
}

func TestResumeOfForeignResponseIsNotFound(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	s := b.open(b.entries[0], "exact", promptOf(20)).readAll()
	want := b.resume(b.entries[0], guildKey, "unknown", "1")
	text, err := io.ReadAll(want.res.Body)
	is.NoErr(err)
	is.Equal(want.res.StatusCode, http.StatusNotFound)
	forged := []byte(s.id)
	forged[10] ^= 1
	for _, tt := range []struct{ key, id string }{{otherKey, s.id}, {guildKey, string(forged)}, {guildKey, ""}} {
		for _, method := range []string{"GET", "DELETE"} {
			got := b.do(b.entries[0], method, "/v1/responses/"+tt.id, tt.key, "")
			gotText, err := io.ReadAll(got.res.Body)
			is.NoErr(err)
			is.Equal(got.res.StatusCode, http.StatusNotFound)
			is.Equal(string(gotText), string(text))
		}
	}
	is.Equal(b.do(b.entries[0], "GET", "/v1/responses/"+s.id, "no-key", "").res.StatusCode, http.StatusUnauthorized)
	is.Equal(b.resume(b.entries[0], guildKey, s.id, "x").res.StatusCode, http.StatusBadRequest)
	is.Equal(b.resume(b.entries[0], guildKey, s.id, s.last).readAll().done, true) // finished responses are kept for a while
}

func TestDeleteCancels(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 2, engines(1, nil))
	prompt := promptOf(100)
	b.Engines[0].SetSlow(10)
	s := b.open(b.entries[0], "exact", prompt).read(2)
	d := b.do(b.entries[1], "DELETE", "/v1/responses/"+s.id, guildKey, "")
	is.Equal(d.res.StatusCode, http.StatusOK)
	s.readAll().requirePartial(prompt, "cancelled")
	b.awaitFree()
}

func TestStreamCancelledAsOrphanContinues(t *testing.T) {
	b := newHarness(t, 1, engines(2, nil))
	prompt := promptOf(100)
	s := b.open(b.entries[0], "exact", prompt).read(3)
	e := b.running()
	list, err := e.Streams()
	is.New(t).NoErr(err)
	is.New(t).NoErr(e.Cancel(list[0].Stream)) // as an orphan collector does that cannot reach the entry
	s.readAll().requireComplete(prompt)
	b.awaitFree()
}

func TestSlowReaderDoesNotBlockTheEngine(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, func(cfg *engine.Config) { cfg.Step = time.Millisecond }))
	conn, err := net.Dial("tcp", b.entries[0].Addr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(2 << 10))
	prompt := promptOf(120)
	body := fmt.Sprintf(`{"model":"exact","stream":true,"prompt":%q}`, prompt)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", guildKey, len(body), body)
	is.NoErr(err)
	b.running()
	b.awaitFree() // the engine finished although the caller has read nothing
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	s := &stream{b: b, res: res, sc: bufio.NewScanner(res.Body)}
	s.readAll().requireComplete(prompt)
}

func TestShutdownCompletesStreams(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	last := b.startEntry("leaver", time.Hour)
	b.entries = b.entries[:1] // shut down by the test
	b.await("the engines are known", func() bool { return len(last.State().Engines) == 1 })
	b.Engines[0].SetSlow(40)
	prompt := promptOf(100)
	s := b.open(last, "exact", prompt).read(3)
	ended := make(chan error, 1)
	go func() { ended <- last.Shutdown(t.Context()) }()
	b.await("it says that it leaves", func() bool {
		return b.do(last, "GET", "/readyz", "", "").res.StatusCode == http.StatusServiceUnavailable
	})
	b.await("it refuses new work", func() bool {
		r := b.do(last, "POST", "/v1/completions", guildKey, `{"model":"exact","prompt":"x","max_tokens":1}`)
		return r.res.StatusCode == http.StatusServiceUnavailable && r.res.Header.Get("Retry-After") != ""
	})
	b.Engines[0].SetSlow(1)
	s.readAll().requireComplete(prompt) // no stream is cut
	is.NoErr(<-ended)
}

func TestCallersResumeAfterTheDrainLimit(t *testing.T) {
	for name, stop := range map[string]func(context.Context, *Server) error{
		"drain limit": func(ctx context.Context, s *Server) error { return s.Shutdown(ctx) },
		"second signal": func(ctx context.Context, s *Server) error {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			return s.Shutdown(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 1, engines(1, nil))
			leaver := b.startEntry("leaver", 50*time.Millisecond)
			b.entries = b.entries[:1] // shut down by the test
			b.await("the engines are known", func() bool { return len(leaver.State().Engines) == 1 })
			b.Engines[0].SetSlow(20)
			prompt := promptOf(100)
			s := b.open(leaver, "exact", prompt).read(3)
			ended := make(chan error, 1)
			go func() { ended <- stop(t.Context(), leaver) }()
			s.readAll().requirePartial(prompt, "entry_leaving")
			is.True(fault.Is(<-ended, KindDrain))
			b.Engines[0].SetSlow(1)
			next := b.resume(b.entries[0], guildKey, s.id, s.last)
			next.text.WriteString(s.text.String())
			next.readAll().requireComplete(prompt)
			b.awaitFree()
		})
	}
}

func TestPromptBytesOverTheLimitAreRejected(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	b.Engines[0].Pause(true)
	const n = 8 // concurrent prompts; the limit set below admits three
	body := fmt.Sprintf(`{"model":"exact","prompt":%q}`, strings.Repeat("word", 300_000))
	codes := make(chan int, n)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b.entries[0].openai.LimitPrompts(3 * int64(len(body)))
	for range n {
		go func() {
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+b.entries[0].Addr()+"/v1/completions", strings.NewReader(body))
			if err != nil {
				return
			}
			req.Header.Set("Authorization", "Bearer "+guildKey)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return // cancelled at the end of the test
			}
			_ = res.Body.Close()
			codes <- res.StatusCode
		}()
	}
	for range n - 3 {
		is.Equal(<-codes, http.StatusServiceUnavailable)
	}
	is.Equal(b.entries[0].State().Streams.PromptsRefused, int64(n-3))
	cancel()
	b.await("the bytes are given back", func() bool { return b.entries[0].State().Streams.PromptBytes == 0 })
}
