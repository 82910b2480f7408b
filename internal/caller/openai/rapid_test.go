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

// TestMain finds goroutines that are left. Those of fasthttp's client end by
// themselves some seconds after its last connection.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

const (
	rapidEngines = 3
	rapidEvents  = 10 * time.Second // in which streams start and things fail
	// rapidQuiet is how long after the last caller's end all memory has to be free:
	// the aim, two seconds, and the slowest pause between two cancels.
	rapidQuiet = 2*time.Second + cancelSlowest
	// rapidConfirm is how long the last confirmation may take once the memory is
	// free: each of the answers that a plan loses costs a pause.
	rapidConfirm = 8 * 4 * cancelSlowest
	slowest      = 1e6
)

// What fails in a plan.
const (
	failDie = iota
	failRestart
	failPause
	failSlow
	failSilence
	failCut
	failLoseAnswers
	failMisdeliver
	failOrphaned // a collector cancels every stream of the engine
	failures
)

type failure struct {
	at     time.Duration
	kind   int
	engine int
	n      int // 1 to 4
}

type caller struct {
	at      time.Duration
	prompt  string
	sampled bool
	leaves  int // after this many events; never where negative
}

type plan struct {
	callers  []caller
	failures []failure
}

func drawPlan(t *rapid.T) plan {
	var p plan
	at := rapid.IntRange(0, int(rapidEvents/time.Millisecond))
	for i := range rapid.IntRange(1, 5).Draw(t, "callers") {
		p.callers = append(p.callers, caller{
			at:      time.Duration(at.Draw(t, "at")) * time.Millisecond,
			prompt:  fmt.Sprintf("prompt %d %d", i, rapid.IntRange(0, 99).Draw(t, "prompt")),
			sampled: rapid.Bool().Draw(t, "sampled"),
			leaves:  rapid.IntRange(-40, 40).Draw(t, "leaves"),
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

// streamWorld is a handler, engines and the network between them, in a bubble.
type streamWorld struct {
	net     *network.Network
	engines []*standin.Engine
	servers []*http.Server
	clients []*engine.Client
	h       *Handler
	ws      *resource.Workspace
	ln      net.Listener

	connecting chan struct{}

	mu    sync.Mutex
	next  int
	wrong []string
}

var testClass = errs.Class("test")

func newStreamWorld() (*streamWorld, error) {
	w := &streamWorld{net: network.New(), connecting: make(chan struct{}, 1)}
	for i := range rapidEngines {
		name := fmt.Sprintf("engine-%d", i)
		e := standin.New(standin.Default(name, "m"))
		ln, err := w.net.Host(name).Listen(name + ":1")
		if err != nil {
			return nil, err
		}
		srv := e.Server()
		go func() { _ = srv.Serve(ln) }()
		w.engines, w.servers = append(w.engines, e), append(w.servers, srv)
		w.clients = append(w.clients, engine.NewClient(w.net.Host("entry"), name, name+":1"))
	}
	fold := resource.NewFold()
	fold.Apply(1, resource.Change{ID: "a", Op: resource.OpPut, Kind: resource.TypeWorkspace, Name: "guild", Spec: json.RawMessage(`{}`)})
	w.ws = fold.View().Workspace("guild")
	w.h = NewHandler(Seams{Owner: engine.Owner{VM: "entry", Incarnation: 1}, IDKey: "key"}, tally.NoopScope, log.New(io.Discard))
	var err error
	w.ln, err = w.net.Host("entry").Listen("entry:1")
	return w, err
}

func (w *streamWorld) close() {
	w.h.Close()
	_ = w.ln.Close()
	for i, e := range w.engines {
		w.clients[i].Drop()
		_ = w.servers[i].Close()
		e.Close()
	}
}

// place gives the engines in turn.
func (w *streamWorld) place(c *call) func(context.Context, map[string]bool) (*run, error) {
	attempts := 0
	return func(_ context.Context, tried map[string]bool) (*run, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range w.clients {
			client := w.clients[w.next%len(w.clients)]
			w.next++
			if tried[client.Name()] {
				continue
			}
			attempts++
			rid := c.rid
			rid.attempt, rid.engine = attempts, client.Name()
			r := clientRun(client, attempts, rid.stream())
			r.open = func(ctx context.Context, from int) (*engine.Stream, error) {
				return client.Open(ctx, engine.Request{
					Stream: rid.stream(), Owner: w.h.seams.Owner, Model: "m", Prompt: c.prompt, MaxTokens: c.maxTokens, From: from,
				})
			}
			return r, nil
		}
		return nil, fault.New(&testClass, "place", placement.KindNoEngine, nil)
	}
}

// fail brings a failure about, and ends it where it lasts.
func (w *streamWorld) fail(f failure) {
	time.Sleep(f.at)
	e, name := w.engines[f.engine], fmt.Sprintf("engine-%d", f.engine)
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
		w.net.Silence(name)
	case failCut:
		w.net.Cut("entry", name)
		time.Sleep(lasts)
		w.net.Heal("entry", name)
	case failLoseAnswers:
		e.LoseAnswers(f.n)
	case failMisdeliver:
		e.Misdeliver(standin.Misdelivery(f.n), f.n)
	case failOrphaned:
		list, _ := e.Streams() // a dead engine has none
		for _, s := range list {
			_ = e.Cancel(s.Stream)
		}
	}
}

func (w *streamWorld) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// ask runs one caller and checks what it read.
func (w *streamWorld) ask(p caller) {
	time.Sleep(p.at)
	rid, err := newResponseID()
	if err != nil {
		w.report("id: %v", err)
		return
	}
	rid.patience = time.Minute
	c := newCall(w.h, &request{model: "d", prompt: p.prompt, maxTokens: 1000, stream: true}, rid, w.ws, time.Minute)
	c.src = newSource(sourceSeams{place: w.place(c), cancel: c.cancelRun, opened: c.setRun}, !p.sampled, 0)
	w.h.streams.add(c)
	if apiErr := w.h.first(c); apiErr != nil {
		w.h.end(c, nil, errors.New(apiErr.Code))
		if apiErr.Ran == "no" && w.ran(rid.request.String()) {
			w.report("%s was refused as not run, and an engine ran it", p.prompt)
		}
		return
	}
	near, far, err := w.connect()
	if err != nil {
		w.report("connect: %v", err)
		return
	}
	c.watcher = watch(far, func() { c.cancel(errGone) })
	ready, err := w.h.prepare(c, far, true)
	if err != nil {
		w.report("prepare: %v", err)
		return
	}
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		w.h.relay(ready)
	}()
	w.read(p, near)
	_ = near.Close()
	<-relayed
}

// connect returns the two ends of a caller's connection.
func (w *streamWorld) connect() (near, far net.Conn, err error) {
	w.connecting <- struct{}{} // virtual time stands still while a goroutine waits for a mutex
	defer func() { <-w.connecting }()
	if near, err = w.net.Host("caller").Dial(context.Background(), "entry:1"); err != nil {
		return nil, nil, err
	}
	far, err = w.ln.Accept()
	return near, far, err
}

func (w *streamWorld) ran(request string) bool {
	for _, e := range w.engines {
		for _, o := range e.Opened() {
			if o.Taken && strings.HasPrefix(o.Stream, request) {
				return true
			}
		}
	}
	return false
}

// read reads as the caller, and compares with what every engine produces.
func (w *streamWorld) read(p caller, conn net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.report("%s: %v", p.prompt, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	var text strings.Builder
	done, failed, n := false, false, 0
	sc := bufio.NewScanner(res.Body)
	for (p.leaves < 0 || n < p.leaves) && sc.Scan() {
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
			w.report("%s: event %q", p.prompt, data)
		case c.Error != nil:
			failed = c.Error.Ran == "partial"
		default:
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	want := standin.Answer(p.prompt, 0, 1000)
	left := p.leaves >= 0 && n == p.leaves
	switch {
	case !strings.HasPrefix(want, text.String()):
		w.report("%s: read %q, want %q", p.prompt, text.String(), want)
	case done && (failed || text.String() != want):
		w.report("%s: an end after %q, want %q", p.prompt, text.String(), want)
	case !done && !failed && !left:
		w.report("%s: cut without a word: %v", p.prompt, sc.Err())
	}
}

// run runs a plan and returns what was wrong.
func (w *streamWorld) run(p plan) []string {
	var callers, failing sync.WaitGroup
	for _, c := range p.callers {
		callers.Go(func() { w.ask(c) })
	}
	for _, f := range p.failures {
		failing.Go(func() { w.fail(f) })
	}
	callers.Wait()
	failing.Wait()
	for _, e := range w.engines {
		e.SetSlow(slowest) // nothing ends by itself
	}
	time.Sleep(rapidQuiet)
	for _, e := range w.engines {
		if n := e.MemoryUsed(); n != 0 {
			w.report("%s holds %d tokens", e.Name(), n)
		}
	}
	time.Sleep(rapidConfirm)
	st := w.h.State()
	if st.Open != 0 || st.WaitingBytes != 0 || st.PromptBytes != 0 || st.Cancels != (CancelState{}) {
		w.report("after quiet: %+v", st)
	}
	w.close() // the engines close their ends, also of connections that went silent
	time.Sleep(5 * time.Minute)
	if n := w.net.OpenConns(); n != 0 {
		w.report("%d connections are left", n)
	}
	return w.wrong
}

// TestRapidStreams checks that callers read what the engine produced, whole or a
// prefix with an error, whatever fails, and that nothing is left after quiet.
func TestRapidStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			w, err := newStreamWorld()
			if err != nil {
				wrong = []string{err.Error()}
				return
			}
			wrong = w.run(p)
		})
		if len(wrong) > 0 {
			rt.Fatalf("%s\nplan %+v", strings.Join(wrong, "\n"), p)
		}
	})
}
