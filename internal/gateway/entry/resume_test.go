package entry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// A stream breaks off while the other engine takes no connections for a moment. The answer was cut at
// once, though the engine went on long before the caller would have left.
func TestBrokenStreamWaitsForSilentEngine(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	var silent atomic.Pointer[string] // address
	env.check(func(sched *scheduler) bool {
		sched.unreachable = func(address string) bool { at := silent.Load(); return at != nil && *at == address }
		return true
	})
	ask := env.config["routes"].([]any)[3].(map[string]any)
	ask["target_latency_ms"], ask["timeout_ms"] = 2500, 9500
	env.configure()
	a := env.serve("engines", "i-1", server.CutEvent)
	b := env.serve("engines", "i-2")
	at := b.Addr()
	silent.Store(&at)
	got := env.askPatiently()
	env.await(func() bool { // until the first attempt to resume found no engine
		return len(a.Runs()) == 1 && env.check(func(sched *scheduler) bool { return sched.planners["engines"].Counts().Refused > 0 })
	})
	silent.Store(nil)
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}

// framed returns the three forms of a whole answer with a body, after its status line.
func framed(header, body string) map[string]string {
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return map[string]string{
		"length":     header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":     header + chunkedLine + chunk + "0\r\n\r\n",
		"connection": header + "\r\n" + body,
	}
}

// A stream has begun and breaks off, and the next engine answers with an error, in whatever form.
// Callers get whole events in order, without a gap or a repeat, and an end that looks complete
// only after the last one. They found the text of errors in their stream, or an end after it.
func TestBrokenStreamGetsNoOtherAnswer(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	type answer struct{ status, body string }
	answers := map[string]answer{
		"text":                        {"200 OK", "overloaded: try again later\n\n"},
		"text without end":            {"200 OK", "overloaded: try again later"},
		"text with an id":             {"200 OK", "id: none\noverloaded: x\n\n"},
		"JSON":                        {"200 OK", `{"error":{"message":"overloaded"}}` + "\n\n"},
		"event without id":            {"200 OK", "event: error\ndata: overloaded\n\n"},
		"field without data":          {"200 OK", "event: error\n\n"},
		"head":                        {"200 OK", head},
		"head with line feeds":        {"200 OK", strings.ReplaceAll(head, "\r\n", "\n") + "\n\n"},
		"lines of a head":             {"200 OK", "Server: x\nRetry-After: 1\n\n"},
		"events in 206":               {"206 Partial Content", server.Event(3) + server.Event(4)},
		"events in 202":               {"202 Accepted", server.Event(3) + server.Event(4)},
		"error after an event":        {"200 OK", server.Event(3) + "overloaded: try again later\n\n"},
		"error event after an event":  {"200 OK", server.Event(3) + "event: error\ndata: overloaded\n\n"},
		"head after an event":         {"200 OK", server.Event(3) + head},
		"gap":                         {"200 OK", server.Event(4) + server.Event(5) + server.Event(6)},
		"gap after an event":          {"200 OK", server.Event(3) + server.Event(6)},
		"earlier events":              {"200 OK", server.Events(2)},
		"no events by the connection": {"200 OK", ""},
		"comment":                     {"200 OK", ": none\n\n"},
	}
	for _, status := range []string{"301 Moved Permanently", "400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "504 Gateway Timeout"} {
		answers[status] = answer{status, "overloaded\n\n"}
		answers[status+" without a body"] = answer{status, ""}
		answers[status+" with an event"] = answer{status, server.Event(3)}
	}
	for name, a := range answers {
		for framing, text := range framed("HEADER", a.body) {
			if name == "no events by the connection" && framing != "connection" {
				continue // a whole answer: the stream was at its end
			}
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				checkBroken(t, "HTTP/1.1 "+a.status+"\r\n"+text)
			})
		}
	}
	t.Run("no seal", func(t *testing.T) {
		checkBroken(t, okLine+chunkedLine+"1f\r\n"+server.Event(3)+"\r\n0\r\n\r\n")
	})
}

// checkBroken lets a stream break off after two events and another engine answer in place of its rest.
func checkBroken(t *testing.T, answer string) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a, b := env.serve("engines", "i-1"), env.serve("engines", "i-2")
	raw := func(w io.Writer, header string) {
		_, _ = io.WriteString(w, strings.Replace(answer, "HEADER", header, 1))
	}
	b.SetRaw(raw)
	for range 20 { // until the one that breaks off was picked first
		a.SetScripts(server.CutEvent)
		b.SetScripts(slices.Repeat([]server.Script{server.Raw}, 3)...)
		env.restart("engines", a)
		env.restart("engines", b)
		r := env.do(env.request(http.MethodPost, "/ask/"))
		if len(b.Runs()) == 0 || b.Runs()[0].LastEvent != "2" {
			continue
		}
		is.Equal(r.status, http.StatusOK)
		is.True(r.err != nil) // it looks incomplete
		body := strings.ReplaceAll(r.body, ": none\n\n", "")
		is.True(body == server.Events(2) || body == server.Events(3)) // whole events in order
		return
	}
	t.Fatal("the engine that breaks off was never picked first")
}
