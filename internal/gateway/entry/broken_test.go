package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// requireNoAnswer checks that callers of an entry get nothing of an answer that servers and engines
// send, directly and through another entry, and that a request that may be repeated gets another one.
// HEADER in it stands for the header lines of a sound answer.
func requireNoAnswer(t *testing.T, answer string) {
	t.Helper()
	for path, want := range map[string]string{"/look/": "plain answer", "/once/": "plain answer", "/ask/": server.Events(testEvents)} {
		t.Run("direct"+path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			service := "desk"
			if path == "/ask/" {
				service = "engines"
			}
			broken := env.serve(service, "i-1")
			broken.SetRaw(raw(answer))
			broken.SetChoice(func() server.Script { return server.Raw })
			env.serve(service, "i-2")
			for len(broken.Runs()) == 0 {
				r := env.do(env.request(http.MethodPost, path))
				if path == "/once/" && len(broken.Runs()) > 0 {
					requireBadGateway(t, r)
					continue
				}
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.header.Get("X-Response-Seal"), "seal-i-2")
				is.Equal(r.body, want)
			}
		})
		t.Run("through another entry"+path, func(t *testing.T) {
			t.Parallel()
			env, network, _, list := newCutEnv(t)
			network.set(cutRefuse)
			env.await(func() bool { return env.do(env.request(http.MethodPost, path)).status == http.StatusOK }) // callers of the first moment may be refused
			for _, s := range list {
				s.SetRaw(raw(answer))
				s.SetChoice(func() server.Script { return server.Raw })
			}
			requireBadGateway(t, env.do(env.request(http.MethodPost, path)))
		})
	}
}

// raw returns a function for SetRaw that sends an answer.
func raw(answer string) func(io.Writer, string) {
	return func(w io.Writer, header string) {
		_, _ = io.WriteString(w, strings.Replace(answer, "HEADER", header, 1)) // a failed write shows at the caller
	}
}

// requireBadGateway checks that a reply is the entry's own, and has nothing of a server's answer.
func requireBadGateway(t *testing.T, r reply) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.header.Get("X-Response-Seal"), "")
	is.Equal(r.body, "")
}

// A server sends an answer with the status 000, or with another one that no final answer has. Callers
// got it, as 200 with the server's seal and body.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 Odd", "000 after 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd", "101": "HTTP/1.1 101 Switching Protocols", "999": "HTTP/1.1 999 Odd",
	} {
		t.Run(name, func(t *testing.T) {
			requireNoAnswer(t, line+"\r\nHEADERContent-Length: 16\r\n\r\nid: 1\ndata: xx\n\n")
		})
	}
}

// A server sends a head in which the name of a field holds a blank or a control byte. Callers got the
// line, or the framing of the body as a part of it.
func TestInvalidFieldNameReachesNoCaller(t *testing.T) {
	const body = "Content-Length: 16\r\n\r\nid: 1\ndata: xx\n\n"
	for name, rest := range map[string]string{
		"blank within": "X Bad: v\r\n" + body, "blank at the end": "X-Bad : v\r\n" + body, "blank before": " X-Bad: v\r\n" + body, "control byte": "X\x01Bad: v\r\n" + body,
		"framing": "Transfer Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: xx\n\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			requireNoAnswer(t, "HTTP/1.1 200 OK\r\nHEADER"+rest)
		})
	}
}

// Callers get nothing of a trailer, whatever is in it.
func TestTrailersAreDropped(t *testing.T) {
	for _, field := range []string{"X-Good: v", "X Bad: v", "X-Bad : v", "X-Response-Seal: another"} {
		is := is.New(t)
		env := newTestEnv(t)
		env.configure()
		a := env.serve("desk", "i-1", server.Raw)
		a.SetRaw(raw("HTTP/1.1 200 OK\r\nHEADERTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + field + "\r\n\r\n"))
		r := env.do(env.request(http.MethodPost, "/once/"))
		is.Equal(r.body, "whole")
		is.Equal(r.header.Get("X-Response-Seal"), "seal-i-1")
		is.Equal(len(r.header.Values("X-Good"))+len(r.header.Values("X Bad"))+len(r.header.Values("X-Bad")), 0)
	}
}
