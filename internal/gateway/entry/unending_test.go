package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	okLine      = "HTTP/1.1 200 OK\r\n"
	chunkedLine = "Transfer-Encoding: chunked\r\n\r\n"
	// maxSentBytes is more than an entry takes of any answer, with the buffers of the connection.
	maxSentBytes = maxAnswerWireBytes + 16<<20
)

// unending are answers that never end: what comes first, and what is repeated after it.
var unending = []struct {
	name, first, again string
	stream             bool // for a stream only
}{
	{name: "line of a head", first: "HTTP/1.1 200 OK\r\nX-Long: ", again: "x"},
	{name: "lines of a head", first: okLine, again: "X-More: y\r\n"},
	{name: "interim answers", first: "HTTP/1.1 100 Continue\r\n\r\n", again: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "status line", first: "", again: "0"},
	{name: "unframed body", first: okLine + "HEADER\r\n", again: "x"},
	{name: "chunked body", first: okLine + "HEADER" + chunkedLine, again: "1\r\nx\r\n"},
	{name: "chunk extension", first: okLine + "HEADER" + chunkedLine + "1", again: ";x"},
	{name: "chunk size", first: okLine + "HEADER" + chunkedLine, again: "0"},
	{name: "trailer", first: okLine + "HEADER" + chunkedLine + "0\r\n", again: "X-More: y\r\n"},
	{name: "event", first: okLine + "HEADER" + chunkedLine + "8\r\ndata: xx\r\n", again: "1\r\nx\r\n", stream: true},
	{name: "comments", first: okLine + "HEADER" + chunkedLine, again: "4\r\n: x\n\r\n1\r\n\n\r\n", stream: true},
	{name: "empty lines", first: okLine + "HEADER" + chunkedLine, again: "2\r\n\n\n\r\n", stream: true},
	{name: "no events", first: okLine + "HEADER" + chunkedLine, again: "6\r\nnoise\n\r\n", stream: true},
}

// sender writes an answer without end, fast or slowly, until the connection is closed.
func sender(first, again string, slow bool, sent *atomic.Int64) func(io.Writer, string) {
	return func(w io.Writer, header string) {
		n, err := io.WriteString(w, strings.Replace(first, "HEADER", header, 1))
		sent.Add(int64(n))
		block := again
		if !slow {
			block = strings.Repeat(again, 1+(32<<10)/len(again))
		}
		for err == nil {
			n, err = io.WriteString(w, block)
			sent.Add(int64(n))
			if slow {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

// A server sends bytes without end, in a head or a body, fast or slowly. The entry must close the
// connection within a bound of bytes and time, have its memory back, and get the answer from
// another server where the request may be sent again. Nothing of it is a complete success.
func TestUnendingAnswers(t *testing.T) {
	for _, u := range unending {
		paths := []string{"/look/", "/once/", "/ask/"}
		if u.stream {
			paths = paths[2:]
		}
		for _, path := range paths {
			for name, slow := range map[string]bool{"fast": false, "slow": true} {
				t.Run(u.name+path+name, func(t *testing.T) {
					t.Parallel()
					checkUnending(t, path, slow, u.first, u.again)
				})
			}
		}
	}
}

func checkUnending(t *testing.T, path string, slow bool, first, again string) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	service, want := "desk", "plain answer"
	if path == "/ask/" {
		service, want = "engines", server.Events(testEvents)
	}
	a := env.serve(service, "i-1", server.Raw, server.Raw, server.Raw)
	var sent atomic.Int64
	a.SetRaw(sender(first, again, slow, &sent))
	env.serve(service, "i-2")
	var (
		r     reply
		start time.Time
	)
	for len(a.Runs()) == 0 { // until the faulty one was picked
		req := env.request(http.MethodPost, path)
		req.Header.Set("X-Deadline-Milliseconds", "3000")
		start = time.Now()
		r = env.do(req)
	}
	<-a.Runs()[0].Gone // the connection is closed
	is.True(time.Since(start) < time.Minute)
	is.True(sent.Load() <= maxSentBytes)
	switch {
	case r.status != http.StatusOK:
		is.True(r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout)
		is.True(path == "/once/" || slow) // after a fast one there is time for another server
	case r.err == nil:
		is.Equal(strings.TrimLeft(r.body, ": x\n"), want)
	}
	env.await(func() bool { return env.entry.bodies.used.Load() == 0 })
}

// An answer over the size limit is a failure, never a part of it that looks complete.
func TestOversizedAnswerIsNoSuccess(t *testing.T) {
	for name, framing := range map[string]string{"unframed": "\r\n", "chunked": chunkedLine} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			a := env.serve("desk", "i-1", server.Raw)
			a.SetRaw(func(w io.Writer, header string) {
				const piece = "10000\r\n"
				_, err := io.WriteString(w, okLine+header+framing)
				for n := 0; n <= maxAnswerBytes && err == nil; n += 1 << 16 {
					if name == "chunked" {
						_, _ = io.WriteString(w, piece) // a failure shows in the next write
					}
					_, err = io.WriteString(w, strings.Repeat("x", 1<<16))
					if name == "chunked" {
						_, _ = io.WriteString(w, "\r\n")
					}
				}
				if name == "chunked" {
					_, _ = io.WriteString(w, "0\r\n\r\n")
				}
			})
			r := env.do(env.request(http.MethodPost, "/once/"))
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(r.header.Get("X-Response-Seal"), "")
		})
	}
}

// All buffered answers together stay within the bound of memory. An answer for which none is left
// fails as one that may have run.
func TestBufferedAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a := env.serve("desk", "i-1", server.Raw, server.Raw)
	body := strings.Repeat("x", 1<<20)
	a.SetRaw(func(w io.Writer, header string) { _, _ = io.WriteString(w, okLine+header+"\r\n"+body) })
	r := env.do(env.request(http.MethodPost, "/once/"))
	is.Equal(r.body, body)
	env.await(func() bool { return env.entry.bodies.used.Load() == 0 })
	env.entry.bodies.most = 1 << 19
	r = env.do(env.request(http.MethodPost, "/once/"))
	is.Equal(r.status, http.StatusBadGateway)
	env.await(func() bool { return env.entry.bodies.used.Load() == 0 })
}

// An engine sends a byte now and then, but no event. It counts as silent, and another engine
// goes on.
func TestDribblingEngineIsSilent(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a := env.serve("engines", "i-1", server.Raw)
	a.SetRaw(func(w io.Writer, header string) {
		_, err := io.WriteString(w, okLine+header+chunkedLine+"1f\r\n"+server.Event(1)+server.Event(2)+"\r\n")
		for err == nil {
			_, err = io.WriteString(w, "1\r\nd\r\n")
			time.Sleep(100 * time.Millisecond)
		}
	})
	got := make(chan reply, 1)
	go func() { got <- env.do(env.request(http.MethodPost, "/ask/")) }()
	env.await(func() bool { return len(a.Runs()) == 1 })
	b := env.serve("engines", "i-2")
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}

// An engine falls silent and then sends comments, while another one is asked to go on and takes
// its time. Comments are no answer: the other one's events are.
func TestCommentsDoNotEndTakeover(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	a := env.serve("engines", "i-1", server.Raw)
	a.SetRaw(func(w io.Writer, header string) {
		_, err := io.WriteString(w, okLine+header+chunkedLine+"1f\r\n"+server.Event(1)+server.Event(2)+"\r\n")
		for err == nil {
			_, err = io.WriteString(w, "8\r\n: keep\n\n\r\n")
			time.Sleep(20 * time.Millisecond)
		}
	})
	got := env.askPatiently()
	env.await(func() bool { return len(a.Runs()) == 1 })
	env.serve("engines", "i-2", server.LateHead)
	r := <-got
	is.NoErr(r.err)
	is.Equal(strings.ReplaceAll(r.body, ": keep\n\n", ""), server.Events(testEvents))
}

// A server sends its answer twice. The caller's next request on the same connection gets its own
// answer.
func TestSecondCopyOfAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a := env.serve("desk", "i-1", server.Raw)
	a.SetRaw(func(w io.Writer, header string) {
		whole := okLine + header + "Content-Length: 5\r\n\r\nfirst"
		_, _ = io.WriteString(w, whole+whole)
	})
	is.Equal(env.do(env.request(http.MethodGet, "/look/")).body, "first")
	for range 3 {
		is.Equal(env.do(env.request(http.MethodGet, "/look/")).body, "plain answer")
	}
}

// An engine's answer breaks off. The caller's kept connection is closed, so that nothing that
// comes on it can pass for the rest of that answer or for another one.
func TestBrokenAnswerClosesCallersConnection(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("engines", "i-1", server.CutEvent)
	c, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	const head = " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Model: m\r\nX-Token-Counts: 1460,400\r\nContent-Length: 0\r\n"
	_, err = io.WriteString(c, "POST /ask/"+head+"X-Attempt-Id: a\r\n\r\nPOST /ask/"+head+"X-Attempt-Id: b\r\n\r\n")
	is.NoErr(err)
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(all), "HTTP/1.1 "), 1)
	is.True(!strings.HasSuffix(string(all), "0\r\n\r\n")) // the last chunk of a complete answer
}

// Many engines send events without end. Each stream kept up to a megabyte and nothing bounded them
// together, so that the process exceeded its memory. Now they share the memory for answers.
func TestStreamsShareMemoryOfAnswers(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.entry.bodies.most = 1 << 18
	a := env.serve("engines", "i-1", server.Raw)
	a.SetRaw(func(w io.Writer, header string) { // an event within the size limit
		_, _ = io.WriteString(w, okLine+header+"\r\ndata: "+strings.Repeat("x", 1<<19)+"\n\n")
	})
	got := make(chan reply, 1)
	go func() { got <- env.do(env.request(http.MethodPost, "/ask/")) }()
	env.await(func() bool { return len(a.Runs()) == 1 })
	env.serve("engines", "i-2")
	r := <-got
	is.True(len(r.body) < 1<<18)
	is.True(r.status == http.StatusBadGateway || r.body == server.Events(testEvents)) // as soon as the other one is known
	env.await(func() bool { return env.entry.bodies.used.Load() == 0 })
}

// Servers that send without end have taken all memory for answers. The usual answers of sound
// servers failed with them, of orders that had run, too.
func TestUsualAnswersNeedNoFreeMemory(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "i-1")
	env.serve("engines", "i-2")
	bodies := env.entry.bodies
	for range 3 { // none takes more than it leaves free
		is.True(bodies.take(0, bodies.most/4))
	}
	is.True(!bodies.take(bodies.most/4, bodies.most/4))
	bodies.used.Store(bodies.most)
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).body, "plain answer")
	is.Equal(env.do(env.request(http.MethodPost, "/ask/")).body, server.Events(testEvents))
	is.Equal(bodies.used.Load(), bodies.most)
}

// An engine sends comments as fast as they are read. The time by which an event must have come was
// noticed only in a pause between two reads, so that no other engine was asked in time.
func TestFastCommentsDoNotHideSilence(t *testing.T) {
	is := is.New(t)
	s := &Server{bodies: newBodyMemory(0), sched: newScheduler("a", platform.RetryBound{}, log.New(io.Discard))}
	es := &engineStream{
		c: &call{s: s, ctx: t.Context(), route: &route.Route{Gap: time.Hour}}, started: true,
		reads: make(chan readResult, readQueueLen), memory: answerMemory{of: s.bodies},
	}
	const reads = 500_000
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(es.reads)
		for range reads {
			select {
			case es.reads <- readResult{data: []byte(": x\n\n")}:
			case <-stop:
				return
			}
		}
	}()
	var err error
	for until := time.Now().Add(20 * time.Millisecond); err == nil; {
		past := !time.Now().Before(until)
		_, _, err = es.next(until)
		is.True(!past || errors.Is(err, errSilent))
	}
	is.True(errors.Is(err, errSilent))
}
