package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/ports"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/rawserver"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/slowread"
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
// line, or chunks as the body where the line was its framing.
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

// A server sends chunks in an answer of HTTP/1.0, which has none. Callers got them as the body.
func TestChunkedAnswerOfEarlierVersionReachesNoCaller(t *testing.T) {
	requireNoAnswer(t, "HTTP/1.0 200 OK\r\nHEADERTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: xx\n\n\r\n0\r\n\r\n")
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

// A server answers a long upload without a length, sends a part of the body and resets the connection
// while the upload is being written, directly or through another entry. Callers got the part as a whole
// answer.
func TestResetOfUploadReachesNoCaller(t *testing.T) {
	for _, path := range []string{"/look/", "/once/", "/ask/"} {
		for name, isDirect := range map[string]bool{"direct": true, "through another entry": false} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s, err := rawserver.Start(rawserver.Reset("HTTP/1.1 200 OK\r\nX-Attempt-Id: request-1\r\nX-Response-Seal: seal-i-1\r\n\r\nid: 1\ndata: x\n\n"))
				is.NoErr(err)
				defer s.Close()
				env := newUploadEnv(t, s.Addr(), isDirect)
				service := "desk"
				if path == "/ask/" {
					service = "engines"
				}
				env.register(service, "i-1", s.Addr())
				r := env.upload(path)
				if path == "/ask/" && r.err != nil {
					return // an event was passed on, and the stream broke off
				}
				requireBadGateway(t, r)
			})
		}
	}
}

// uploadBytes is more than the buffers of a connection to a server take that does not read.
const uploadBytes = 8 << 20

// newUploadEnv returns an environment that takes long uploads. Its entry reads connections to the server
// once a write to them has failed, or connects to it through another entry that does so.
func newUploadEnv(t *testing.T, server string, isDirect bool) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	_ = env.entry.Shutdown(cancelledContext())
	network := slowread.Network(netio.TCP(), func(addr string) bool { return addr == server })
	if !isDirect {
		startEntryOn(t, "vm-2", "b", env.store.Addr(), ports.Free(t, 1)[0], network)
		cut := &cutNetwork{servers: map[string]bool{server: true}, kind: cutRefuse}
		network = cut.network()
	}
	env.entry = startEntryOn(t, "vm-1", "a", env.store.Addr(), env.entry.cfg.PeerPort, network)
	env.config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": uploadBytes}
	env.configure()
	if !isDirect {
		env.await(func() bool {
			staying, _ := env.entry.exchange.Staying()
			return staying
		})
	}
	return env
}

// upload sends a request with a long body, and again while no other entry is known to reach the server.
func (env *testEnv) upload(path string) reply {
	env.t.Helper()
	for {
		req := env.request(http.MethodPost, path)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes))), uploadBytes
		if r := env.do(req); r.status != http.StatusServiceUnavailable {
			return r
		}
	}
}

// A server answers a long upload early and whole, though it takes no more of it. Callers get the answer,
// also through another entry.
func TestEarlyAnswerReachesCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: request-1\r\nX-Response-Seal: seal-i-1\r\n"
	for name, serve := range map[string]func(net.Conn){
		"length, then reset":  rawserver.Reset(head + "Content-Length: 12\r\n\r\nplain answer"),
		"chunked, then reset": rawserver.Reset(head + "Transfer-Encoding: chunked\r\n\r\nc\r\nplain answer\r\n0\r\n\r\n"),
		"end, then reset":     rawserver.EndThenReset(head + "\r\nplain answer"),
	} {
		for how, isDirect := range map[string]bool{"direct": true, "through another entry": false} {
			t.Run(how+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s, err := rawserver.Start(serve)
				is.NoErr(err)
				defer s.Close()
				env := newUploadEnv(t, s.Addr(), isDirect)
				env.register("desk", "i-1", s.Addr())
				r := env.upload("/once/")
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				is.Equal(r.body, "plain answer")
			})
		}
	}
}
