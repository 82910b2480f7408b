package tunnel

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/rawserver"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/slowread"
)

// listen serves each connection on loopback, and returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

const most = 2

// newServer returns a server for a few tunnels to one upstream, and the address of its entry.
func newServer(t *testing.T, upstream string) (*Server, string) {
	t.Helper()
	return newServerOn(t, netio.TCP(), upstream)
}

// newServerOn is newServer with the network to the upstream.
func newServerOn(t *testing.T, network *netio.Network, upstream string) (*Server, string) {
	t.Helper()
	s := NewServer(Settings{Network: network, Known: func(a string) bool { return a == upstream }, Most: most, Log: log.New(io.Discard)})
	t.Cleanup(s.Close)
	web := &fasthttp.Server{Handler: s.Serve}
	return s, listen(t, func(c net.Conn) { _ = web.ServeConn(c) })
}

// An answer may end with its connection. It must look complete only if the upstream ended it, and not
// if the upstream or the other entry broke off.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	for name, want := range map[string]error{"ends": nil, "resets": io.ErrUnexpectedEOF, "entry stops": io.ErrUnexpectedEOF} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s *Server
			upstream := listen(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, len("request")))
				_, _ = io.WriteString(c, "answer")
				switch name {
				case "resets":
					_ = c.(*net.TCPConn).SetLinger(0)
				case "entry stops":
					s.Close()
				}
				_ = c.Close()
			})
			s, entry := newServer(t, upstream)
			c, err := Dial(t.Context(), netio.TCP(), entry, upstream)
			is.NoErr(err)
			_, err = io.WriteString(c, "request")
			is.NoErr(err)
			b, err := io.ReadAll(c)
			is.Equal(err, want)
			is.True(want != nil || string(b) == "answer")
			is.NoErr(c.Close())
		})
	}
}

// A caller leaves. The upstream has to see it at once, and no tunnel stays open.
func TestUpstreamSeesThatTunnelIsGivenUp(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	upstream := listen(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	})
	s, entry := newServer(t, upstream)
	c, err := Dial(t.Context(), netio.TCP(), entry, upstream)
	is.NoErr(err)
	is.Equal(s.Open(), 1)
	is.NoErr(c.Close())
	<-gone
	s.Close()
	is.Equal(s.Open(), 0)
}

// Tunnels lead to upstreams only, and leave an entry room for its own callers.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	s, entry := newServer(t, upstream)
	_, err := Dial(t.Context(), netio.TCP(), entry, entry)
	is.True(fault.Is(err, KindRefused)) // not an upstream
	for range most {
		c, err := Dial(t.Context(), netio.TCP(), entry, upstream)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
	}
	_, err = Dial(t.Context(), netio.TCP(), entry, upstream)
	is.True(fault.Is(err, KindRefused)) // full
	is.Equal(s.Opened(), int64(most))
	_, err = Dial(t.Context(), netio.TCP(), "127.0.0.1:1", upstream)
	is.True(fault.Is(err, KindUnreachable))
}

// Another entry answers a request for a tunnel with the status 000, which passed for 200.
func TestInvalidStatusOpensNoTunnel(t *testing.T) {
	is := is.New(t)
	for status, opens := range map[string]bool{"200": true, "000": false, "101": false} {
		s, err := rawserver.Start(rawserver.Answer("HTTP/1.1 " + status + " Odd\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"))
		is.NoErr(err)
		c, err := Dial(t.Context(), netio.TCP(), s.Addr(), "127.0.0.1:1")
		is.Equal(err == nil, opens)
		is.True(opens || fault.Is(err, KindUnreachable) && fault.Is(err, http1.KindStatus))
		if err == nil {
			is.NoErr(c.Close())
		}
		s.Close()
	}
}

// Another entry sends a head with a blank in the name of a field, which may be the framing.
func TestInvalidFieldNameOpensNoTunnel(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{"X Bad: v", "X-Bad : v", " X-Bad: v", "X\x01Bad: v"} {
		s, err := rawserver.Start(rawserver.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + field + "\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"))
		is.NoErr(err)
		_, err = Dial(t.Context(), netio.TCP(), s.Addr(), "127.0.0.1:1")
		is.True(fault.Is(err, KindUnreachable) && fault.Is(err, http1.KindField))
		s.Close()
	}
}

// upload sends a long request to a server through a tunnel, whose connection to the server is read once a
// write to it has failed, and returns what comes back.
func upload(t *testing.T, serve func(net.Conn)) (string, error) {
	t.Helper()
	is := is.New(t)
	upstream, err := rawserver.Start(serve)
	is.NoErr(err)
	t.Cleanup(upstream.Close)
	_, entry := newServerOn(t, slowread.TCP(), upstream.Addr())
	c, err := Dial(t.Context(), netio.TCP(), entry, upstream.Addr())
	is.NoErr(err)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"+strings.Repeat("x", 16<<20)) // may fail when the tunnel ends
	}()
	b, err := io.ReadAll(c)
	is.NoErr(c.Close())
	<-sent
	return string(b), err
}

// A server answers a long upload without a length, sends a part of the body and resets the connection
// while the other entry writes the upload to it. The write gets the error, and the part must not look
// complete behind the tunnel.
func TestResetOfUploadThroughTunnelIsNoEnd(t *testing.T) {
	is := is.New(t)
	_, err := upload(t, rawserver.Reset("HTTP/1.1 200 OK\r\n\r\npart of it"))
	is.True(err != nil)
}

// A server answers a long upload whole, and takes no more of it. The other entry closed the tunnel when the
// write of the upload failed, and the answer was lost.
func TestEarlyAnswerThroughTunnelIsWhole(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\n\r\nwhole"
	b, err := upload(t, rawserver.EndThenReset(answer))
	is.NoErr(err)
	is.Equal(b, answer)
	const framed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	b, err = upload(t, rawserver.Reset(framed))
	is.True(err != nil)
	is.Equal(b, framed) // its own length tells that it is whole
}
