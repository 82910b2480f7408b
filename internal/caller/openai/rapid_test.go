package openai

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/network"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// TestMain checks for leaked goroutines. Those of fasthttp's client are ignored, as
// they end some seconds after its last connection.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

const (
	rapidEngines   = 3
	rapidEventTime = 10 * time.Second // span in which streams start and failures are injected
	// rapidReleaseTime is how long after the end of the last caller all engine memory
	// must be free: the target of two seconds plus the longest backoff between cancels.
	rapidReleaseTime = 2*time.Second + cancelMaxBackoff
	// rapidConfirmTime is how long the last cancel's confirmation may take after the
	// memory is free: each response that a plan loses costs one backoff, and a plan
	// loses up to 8*4.
	rapidConfirmTime = 8 * 4 * cancelMaxBackoff
	slowestFactor    = 1e6
)

// Kinds of failures.
const (
	failDie = iota
	failRestart
	failPause
	failSlow
	failSilence
	failCut
	failLoseAnswers
	failMisdeliver
	failOrphaned // an orphan collector cancels every stream of the engine
	failures
)

type failure struct {
	at     time.Duration
	kind   int
	engine int
	n      int // 1 to 4
}

type caller struct {
	at          time.Duration
	prompt      string
	sampled     bool
	leavesAfter int // events before the caller disconnects; never if negative
}

type plan struct {
	callers  []caller
	failures []failure
}

func drawPlan(t *rapid.T) plan {
	var p plan
	at := rapid.IntRange(0, int(rapidEventTime/time.Millisecond))
	for i := range rapid.IntRange(1, 5).Draw(t, "callers") {
		p.callers = append(p.callers, caller{
			at:          time.Duration(at.Draw(t, "at")) * time.Millisecond,
			prompt:      fmt.Sprintf("prompt %d %d", i, rapid.IntRange(0, 99).Draw(t, "prompt")),
			sampled:     rapid.Bool().Draw(t, "sampled"),
			leavesAfter: rapid.IntRange(-40, 40).Draw(t, "leaves"),
		})
	}
	for range rapid.IntRange(0, 8).Draw(t, "failures") {
		p.failures = append(p.failures, failure{
			at:     time.Duration(at.Draw(t, "at")) * time.Millisecond,
			kind:   rapid.IntRange(0, failures-1).Draw(t, "kind"),
			engine: rapid.IntRange(0, rapidEngines-1).Draw(t, "engine"),
			n:      rapid.IntRange(1, 4).Draw(t, "n"),
		})
	}
	return p
}

// streamHarness is a handler with engines on a simulated network, for use in a synctest
// bubble.
type streamHarness struct {
	net     *network.Network
	engines []*standin.Engine
	servers []*http.Server
	clients []*engine.Client
	handler *Handler
	ws      *resource.Workspace
	ln      net.Listener

	connecting chan struct{}

	mu       sync.Mutex
	next     int
	problems []string
}

var testClass = errs.Class("test")

func newStreamHarness() (*streamHarness, error) {
	h := &streamHarness{net: network.New(), connecting: make(chan struct{}, 1)}
	for i := range rapidEngines {
		name := fmt.Sprintf("engine-%d", i)
		e := standin.New(standin.Default(name, "m"))
		ln, err := h.net.Host(name).Listen(name + ":1")
		if err != nil {
			return nil, err
		}
		srv := e.Server()
		go func() { _ = srv.Serve(ln) }()
		h.engines, h.servers = append(h.engines, e), append(h.servers, srv)
		h.clients = append(h.clients, engine.NewClient(h.net.Host("entry"), name, name+":1"))
	}
	fold := resource.NewFold()
	fold.Apply(1, resource.Change{ID: "a", Op: resource.OpPut, Kind: resource.TypeWorkspace, Name: "guild", Spec: json.RawMessage(`{}`)})
	h.ws = fold.View().Workspace("guild")
	h.handler = NewHandler(Seams{Owner: engine.Owner{VM: "entry", Incarnation: 1}, IDKey: "key"}, tally.NoopScope, log.New(io.Discard))
	var err error
	h.ln, err = h.net.Host("entry").Listen("entry:1")
	return h, err
}

func (h *streamHarness) close() {
	h.handler.Close()
	_ = h.ln.Close()
	for i, e := range h.engines {
		h.clients[i].Drop()
		_ = h.servers[i].Close()
		e.Close()
	}
}

// placeFunc returns a place function that uses the engines round-robin.
func (h *streamHarness) placeFunc(c *call) func(context.Context, map[string]bool) (*run, error) {
	attempts := 0
	return func(_ context.Context, tried map[string]bool) (*run, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for range h.clients {
			client := h.clients[h.next%len(h.clients)]
			h.next++
			if tried[client.Name()] {
				continue
			}
			attempts++
			rid := c.rid
			rid.attempt, rid.engine = attempts, client.Name()
			r := newRun(client, attempts, rid.stream())
			r.open = func(ctx context.Context, from int) (*engine.Stream, error) {
				return client.Open(ctx, engine.Request{
					Stream: rid.stream(), Owner: h.handler.seams.Owner, Model: "m", Prompt: c.prompt, MaxTokens: c.maxTokens, From: from,
				})
			}
			return r, nil
		}
		return nil, fault.New(&testClass, "place", placement.KindNoEngine, nil)
	}
}

// inject causes a failure at its time, and ends it after its duration if it lasts.
func (h *streamHarness) inject(f failure) {
	time.Sleep(f.at)
	e, name := h.engines[f.engine], fmt.Sprintf("engine-%d", f.engine)
	lasts := time.Duration(f.n) * time.Second
	switch f.kind {
	case failDie:
		e.Die()
		time.Sleep(lasts)
		e.Restart()
	case failRestart:
		e.Restart()
	case failPause:
		e.Pause(true)
		time.Sleep(lasts)
		e.Pause(false)
	case failSlow:
		e.SetSlow(float64(20 * f.n))
		time.Sleep(lasts)
		e.SetSlow(1)
	case failSilence:
		h.net.Silence(name)
	case failCut:
		h.net.Cut("entry", name)
		time.Sleep(lasts)
		h.net.Heal("entry", name)
	case failLoseAnswers:
		e.LoseAnswers(f.n)
	case failMisdeliver:
		e.Misdeliver(standin.Misdelivery(f.n), f.n)
	case failOrphaned:
		list, _ := e.Streams() // a stopped engine has none
		for _, s := range list {
			_ = e.Cancel(s.Stream)
		}
	}
}

func (h *streamHarness) report(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// runCaller runs one caller and checks the response it read.
func (h *streamHarness) runCaller(p caller) {
	time.Sleep(p.at)
	rid, err := newResponseID()
	if err != nil {
		h.report("id: %v", err)
		return
	}
	rid.patience = time.Minute
	c := newCall(h.handler, &request{model: "d", prompt: p.prompt, maxTokens: 1000, stream: true}, rid, h.ws, time.Minute)
	c.src = newSource(sourceSeams{place: h.placeFunc(c), cancel: c.cancelRun, opened: c.setRun}, !p.sampled, 0)
	h.handler.streams.add(c)
	if apiErr := h.handler.readFirst(c); apiErr != nil {
		h.handler.endCall(c, nil, errors.New(apiErr.Code))
		if apiErr.Ran == "no" && h.ran(rid.request.String()) {
			h.report("%s was refused as not run, and an engine ran it", p.prompt)
		}
		return
	}
	near, far, err := h.connect()
	if err != nil {
		h.report("connect: %v", err)
		return
	}
	c.watcher = watch(far, func() { c.cancel(errCallerGone) })
	ready, err := h.handler.newStreamWriter(c, far, true)
	if err != nil {
		h.report("prepare: %v", err)
		return
	}
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		h.handler.relay(ready)
	}()
	h.read(p, near)
	_ = near.Close()
	<-relayed
}

// connect returns the two ends of a caller's connection.
func (h *streamHarness) connect() (near, far net.Conn, err error) {
	h.connecting <- struct{}{} // a channel, as synctest's time stops while a goroutine waits for a mutex
	defer func() { <-h.connecting }()
	if near, err = h.net.Host("caller").Dial(context.Background(), "entry:1"); err != nil {
		return nil, nil, err
	}
	far, err = h.ln.Accept()
	return near, far, err
}

func (h *streamHarness) ran(request string) bool {
	for _, e := range h.engines {
		for _, o := range e.Opened() {
			if o.Taken && strings.HasPrefix(o.Stream, request) {
				return true
			}
		}
	}
	return false
}

// read reads the response as the caller, and compares it with the text that every
// engine produces.
func (h *streamHarness) read(p caller, conn net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		h.report("%s: %v", p.prompt, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	var text strings.Builder
	done, failed, n := false, false, 0
	sc := bufio.NewScanner(res.Body)
	for (p.leavesAfter < 0 || n < p.leavesAfter) && sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		n++
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   *struct{ Code, Ran string }
		}
		switch {
		case data == "[DONE]":
			done = true
		case json.Unmarshal([]byte(data), &c) != nil:
			h.report("%s: event %q", p.prompt, data)
		case c.Error != nil:
			failed = c.Error.Ran == "partial"
		default:
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	want := standin.Answer(p.prompt, 0, 1000)
	left := p.leavesAfter >= 0 && n == p.leavesAfter
	switch {
	case !strings.HasPrefix(want, text.String()):
		h.report("%s: read %q, want %q", p.prompt, text.String(), want)
	case done && (failed || text.String() != want):
		h.report("%s: an end after %q, want %q", p.prompt, text.String(), want)
	case !done && !failed && !left:
		h.report("%s: cut without a word: %v", p.prompt, sc.Err())
	}
}

// run runs a plan and returns the problems found.
func (h *streamHarness) run(p plan) []string {
	var callers, failing sync.WaitGroup
	for _, c := range p.callers {
		callers.Go(func() { h.runCaller(c) })
	}
	for _, f := range p.failures {
		failing.Go(func() { h.inject(f) })
	}
	callers.Wait()
	failing.Wait()
	for _, e := range h.engines {
		e.SetSlow(slowestFactor) // streams that were not cancelled stay open
	}
	time.Sleep(rapidReleaseTime)
	for _, e := range h.engines {
		if n := e.MemoryUsed(); n != 0 {
			h.report("%s holds %d tokens", e.Name(), n)
		}
	}
	time.Sleep(rapidConfirmTime)
	st := h.handler.State()
	if st.Open != 0 || st.WaitingBytes != 0 || st.PromptBytes != 0 || st.Cancels != (CancelState{}) {
		h.report("after quiet: %+v", st)
	}
	h.close() // engines also close silenced connections
	time.Sleep(5 * time.Minute)
	if n := h.net.OpenConns(); n != 0 {
		h.report("%d connections are left", n)
	}
	return h.problems
}

// TestRapidStreams checks that under random failures callers read the complete
// response, or a prefix followed by an error, and that no stream, memory, cancel or
// connection is left afterwards.
func TestRapidStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) {
			h, err := newStreamHarness()
			if err != nil {
				problems = []string{err.Error()}
				return
			}
			problems = h.run(p)
		})
		if len(problems) > 0 {
			rt.Fatalf("%s\nplan %+v", strings.Join(problems, "\n"), p)
		}
	})
}
