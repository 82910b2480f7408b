package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// closeAll closes all connections.
func (l *callerListener) closeAll() {
	l.mu.Lock()
	list := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // the other end sees it
	}
}

// stopLoad is what callers of an entry that stops saw, by request.
type stopLoad struct {
	mu       sync.Mutex
	answered map[string]bool // in full
	refused  map[string]bool // with a status that promises that it did not run
}

func (l *stopLoad) note(id string, status int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case status == http.StatusOK && whole:
		l.answered[id] = true
	case status == http.StatusServiceUnavailable:
		l.refused[id] = true
	}
}

// call sends requests in pairs over kept connections, the second one right behind the first, until
// the entry accepts no more connections.
func (l *stopLoad) call(address, caller, path, want string) {
	for n := 0; ; n++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for kept := true; kept; n++ {
			ids := []string{fmt.Sprintf("%s-%d-a", caller, n), fmt.Sprintf("%s-%d-b", caller, n)}
			text := ""
			for _, id := range ids {
				text += fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: %s\r\n"+
					"X-Deadline-Milliseconds: 4000\r\nX-Model: m\r\nX-Token-Counts: 1460,400\r\nContent-Length: 0\r\n\r\n", path, id)
			}
			if _, err := io.WriteString(c, text); err != nil {
				break
			}
			for _, id := range ids {
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					kept = false
					break
				}
				body, err := io.ReadAll(res.Body)
				l.note(id, res.StatusCode, err == nil && string(body) == want)
				if res.Close {
					kept = false
					break
				}
			}
		}
		_ = c.Close() // the entry has closed it already, or will
	}
}

// An entry is stopped under load, with requests on new and on kept connections and others right
// behind them. Whatever ran was answered in full, and what was refused did not run.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk, engine := env.serve("desk", "i-1"), env.serve("engines", "i-2", slices.Repeat([]server.Script{server.PauseEvent}, 1000)...) // streams of 1.5 s
	load := &stopLoad{answered: map[string]bool{}, refused: map[string]bool{}}
	var callers sync.WaitGroup
	const callersPerPath = 4
	address := env.entry.callersLn.Addr().String()
	for i := range callersPerPath {
		callers.Go(func() { load.call(address, fmt.Sprint("plain-", i), "/once/", "plain answer") })
		callers.Go(func() { load.call(address, fmt.Sprint("stream-", i), "/ask/", server.Events(testEvents)) })
	}
	env.await(func() bool { return len(desk.Runs()) > 0 && len(engine.Runs()) > 0 })
	is.NoErr(env.entry.Shutdown(context.Background()))
	env.entry.callersLn.closeAll() // as the end of the process does
	callers.Wait()
	runs := append(desk.Runs(), engine.Runs()...)
	for _, r := range runs {
		if !load.answered[r.ID] {
			t.Errorf("%s ran and its caller got no whole answer", r.ID)
		}
		if load.refused[r.ID] {
			t.Errorf("%s ran, though its refusal states that it did not", r.ID)
		}
	}
	is.True(len(load.answered) > 2*callersPerPath)
}

// An entry stops while the answer of a request is still being written. Only the handler counted as in
// progress, so the process could end before, and the caller got a part of the answer or none.
func TestStopWaitsForAnswersToBeWritten(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1", server.Raw)
	const size = 8 << 20 // more than the connection takes unread
	desk.SetRaw(func(w io.Writer, header string) {
		_, _ = io.WriteString(w, okLine+header+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)) // a failure shows in the answer
		_, _ = w.Write(make([]byte, size))
	})
	c, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(env.request(http.MethodGet, "/look/").Write(c))
	env.await(func() bool { return len(desk.Runs()) == 1 && env.entry.inFlight.Load() == 0 })
	env.entry.stopAt = time.Now().Add(time.Minute)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		env.entry.drain(t.Context())
	}()
	select {
	case <-drained:
		t.Fatal("the entry stopped before the answer was written")
	case <-time.After(5 * drainPollInterval):
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
	<-drained
}

// Upstreams are silent as an entry is stopped. What came before it refuses was cut at the end without an
// answer, and so was what came after: requests that may take longer than the entry has left were taken
// and passed on, among them such as may not be repeated.
func TestStopLeavesNoRequestWithoutAnswer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	other := env.startOther()
	list := []*server.Server{env.serve("desk", "i-1", server.Silent, server.Silent), env.serve("engines", "i-2", server.Silent, server.Silent)}
	env.awaitOther(other, len(list))
	paths := []string{"/once/", "/ask/"}
	ask := func(id string) (<-chan reply, <-chan reply) {
		got := []chan reply{make(chan reply, 1), make(chan reply, 1)}
		for i, path := range paths {
			req := env.request(http.MethodPost, path)
			req.Header.Set("X-Attempt-Id", id+path)
			req.Header.Set("X-Deadline-Milliseconds", "9000")
			go func() { got[i] <- env.do(req) }()
		}
		return got[0], got[1]
	}
	early, earlyStream := ask("early")
	env.await(func() bool { return len(list[0].Runs())+len(list[1].Runs()) == 2 })
	env.entry.cfg.Grace = acceptWhileLeaving + maxPlainTime + 500*time.Millisecond // before the route's timeout
	stopped := make(chan error, 1)
	go func() { stopped <- env.entry.Shutdown(t.Context()) }()
	env.await(env.entry.refusing.Load)
	late, lateStream := ask("late")
	is.Equal((<-late).status, http.StatusServiceUnavailable)
	is.Equal((<-lateStream).status, http.StatusServiceUnavailable)
	is.Equal((<-early).status, http.StatusBadGateway) // they may have run
	is.Equal((<-earlyStream).status, http.StatusBadGateway)
	is.NoErr(<-stopped)
	is.Equal(len(list[0].Runs())+len(list[1].Runs()), 2)
}

// leave makes the entry refuse what it can't end within the given time.
func (env *testEnv) leave(left time.Duration) {
	env.entry.stopAt = time.Now().Add(left)
	env.entry.refusing.Store(true)
}

// All entries leave, and an engine is full of long contexts. Streams that this entry could not finish
// before it stopped were passed on, and cut in the middle.
func TestLeavingEntryTakesNoStreamThatItWouldCut(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	engine := env.serve("engines", "i-1")
	env.entry.sched.SetReport("127.0.0.1:1", passes.Report{Sends: []passes.Send{{
		Engine: "i-1", Context: 400_000, Gap: 800 * time.Millisecond, At: time.Now(), Ends: time.Now().Add(time.Minute), Writing: true,
	}}})
	ask := env.request(http.MethodPost, "/ask/")
	ask.Header.Set("X-Token-Counts", "1460,2000") // 44 passes of 90 ms, without contexts of 46 ms
	env.leave(3500 * time.Millisecond)
	is.Equal(env.do(ask).status, http.StatusServiceUnavailable)
	is.Equal(len(engine.Runs()), 0)
}

// An engine of an entry that leaves as the last one sends its first event so late that the rest would be
// cut. The caller got the head and some events of an answer that broke off; a failure tells it at once.
func TestLateFirstEventWhileLeavingFails(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	engine := env.serve("engines", "i-1", server.Raw)
	const left = 3500 * time.Millisecond
	stop := time.Now().Add(left)
	engine.SetRaw(func(w io.Writer, header string) {
		time.Sleep(time.Until(stop.Add(-300 * time.Millisecond)))
		_, _ = io.WriteString(w, okLine+header+"\r\nid: 1\ndata: 1\n\n") // the entry may have closed
	})
	ask := env.request(http.MethodPost, "/ask/")
	ask.Header.Set("X-Token-Counts", "1460,800") // 18 passes of 43 ms
	env.leave(left)
	is.Equal(env.do(ask).status, http.StatusBadGateway)
	is.Equal(len(engine.Runs()), 1)
}

// An entry that stops closes its idle connections while orders arrive on them. Those that were read after
// the connections had been listed ran, and their connections were closed without an answer.
func TestStopClosesNoConnectionUnderARequest(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	const callers = 200
	var conns [callers]net.Conn
	var readers [callers]*bufio.Reader
	send := func(i int, id string) {
		req := env.request(http.MethodPost, "/once/")
		req.Header.Set("X-Attempt-Id", id)
		_ = req.Write(conns[i]) // a failure shows as a missing answer
	}
	answered := func(i int) bool {
		res, err := http.ReadResponse(readers[i], nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(res.Body)
		return err == nil && string(body) == "plain answer"
	}
	for i := range conns {
		c, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		conns[i], readers[i] = c, bufio.NewReader(c)
		send(i, fmt.Sprint("first-", i))
		is.True(answered(i))
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := range conns {
			send(i, fmt.Sprint("second-", i))
		}
	})
	env.entry.callersLn.closeIdle()
	sending.Wait()
	whole := map[string]bool{}
	for i := range conns {
		whole[fmt.Sprint("second-", i)] = answered(i)
	}
	for _, r := range desk.Runs()[callers:] {
		if !whole[r.ID] {
			t.Errorf("%s ran, and its caller got no answer", r.ID)
		}
	}
}
