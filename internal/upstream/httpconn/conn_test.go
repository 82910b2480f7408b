package httpconn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

var limits = httpconn.Limits{Header: 10 * time.Second, Read: 10 * time.Second}

func request(srv *httptest.Server, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(srv.URL + path)
	return req
}

func server(t *testing.T) *httptest.Server {
	t.Helper()
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/whole", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	mux.HandleFunc("/cut", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hel")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("/endless", func(w http.ResponseWriter, _ *http.Request) {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(w, strings.Repeat("x", 1000))
		}
	})
	mux.HandleFunc("/silent", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hel")
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(release) })
	return srv
}

func TestWholeResponse(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	x, err := httpconn.Do(t.Context(), netio.TCP(), srv.Listener.Addr().String(), request(srv, "/whole"), limits)
	is.NoErr(err)
	defer x.Close()
	b, err := io.ReadAll(x)
	is.NoErr(err)
	is.Equal(string(b), "hello")
	is.Equal(x.Status(), http.StatusOK)
}

func TestClosedConnectionIsNotEOF(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	x, err := httpconn.Do(t.Context(), netio.TCP(), srv.Listener.Addr().String(), request(srv, "/cut"), limits)
	is.NoErr(err)
	defer x.Close()
	_, err = io.ReadAll(x)
	is.True(fault.Is(err, httpconn.KindNoAnswer))
}

func TestSilentConnectionTimesOut(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	x, err := httpconn.Do(t.Context(), netio.TCP(), srv.Listener.Addr().String(), request(srv, "/silent"),
		httpconn.Limits{Header: 10 * time.Second, Read: 50 * time.Millisecond})
	is.NoErr(err)
	defer x.Close()
	_, err = io.ReadAll(x)
	is.True(fault.Is(err, httpconn.KindSilent))
}

func TestContextEndsARead(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	ctx, cancel := context.WithCancel(t.Context())
	x, err := httpconn.Do(ctx, netio.TCP(), srv.Listener.Addr().String(), request(srv, "/silent"), limits)
	is.NoErr(err)
	defer x.Close()
	cancel()
	_, err = io.ReadAll(x)
	is.True(err != nil)
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + addr + "/")
	_, err = httpconn.Do(t.Context(), netio.TCP(), addr, req, limits)
	is.True(fault.Is(err, httpconn.KindUnsent))
}

// A server sends each response twice. The second copy belongs to no later request: not to one to
// the store, an engine or another entry, which all use this package.
func TestSecondCopyOfResponseIsDropped(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			_, _ = io.WriteString(c, whole+whole) // a failed write shows at the reader
		}
	}()
	for n := range 3 {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + ln.Addr().String() + "/")
		x, err := httpconn.Do(t.Context(), netio.TCP(), ln.Addr().String(), req, limits)
		is.NoErr(err)
		b, err := x.ReadAll(10, time.Now().Add(10*time.Second), nil)
		is.NoErr(err)
		is.Equal(string(b), fmt.Sprint(n))
		x.Close()
	}
}

// A response is bounded in bytes, in memory and in time, whatever its framing.
func TestResponseIsBounded(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	read := func(path string, most int, until time.Duration, take bool) error {
		x, err := httpconn.Do(t.Context(), netio.TCP(), srv.Listener.Addr().String(), request(srv, path), limits)
		is.NoErr(err)
		defer x.Close()
		_, err = x.ReadAll(most, time.Now().Add(until), func(int) bool { return take })
		return err
	}
	is.NoErr(read("/whole", 5, time.Minute, true))
	is.True(fault.Is(read("/whole", 4, time.Minute, true), httpconn.KindTooLarge))
	is.True(fault.Is(read("/whole", 5, time.Minute, false), httpconn.KindTooLarge))
	is.True(fault.Is(read("/silent", 5, 50*time.Millisecond, true), httpconn.KindSilent))
	is.True(fault.Is(read("/cut", 5, time.Minute, true), httpconn.KindNoAnswer))
}

// What is received is bounded until it is of use, whatever the reader takes of it.
func TestReceivedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	srv := server(t)
	const most = 100_000
	bounded := limits
	bounded.Bytes = most
	x, err := httpconn.Do(t.Context(), netio.TCP(), srv.Listener.Addr().String(), request(srv, "/endless"), bounded)
	is.NoErr(err)
	defer x.Close()
	buf, n := make([]byte, 4<<10), 0
	for err == nil && n <= 2*most {
		var k int
		k, err = x.Read(buf)
		n += k
	}
	is.True(fault.Is(err, httpconn.KindTooLarge))
	x.Progress()
	_, err = x.Read(buf)
	is.NoErr(err)
}

// FuzzResponse reads arbitrary bytes as a response. It must end, with at most as many bytes as
// allowed, a status that a final response may have and no blank in the name of a field, and a body
// shorter than declared is an error.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfirst", "HTTP/1.1 200 OK\r\n\r\nfirst",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nfirst\r\n0\r\nX-More: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfi", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\r\n\r\n", "HTTP/1.1 ",
		"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nfirst", "HTTP/1.1 101 Odd\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Bad: v\r\n\r\nfirst", "HTTP/1.1 200 OK\r\nX-A: b\r\n X-Bad : v\r\nContent-Length : 5\r\n\r\nfirst",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		const most = 64
		network := netio.New(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = io.Copy(io.Discard, far) // the request
			}()
			go func() {
				_, _ = far.Write(b) // ends when the reader closes
				_ = far.Close()
			}()
			return near, nil
		}, nil)
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://upstream/")
		x, err := httpconn.Do(t.Context(), network, "upstream", req, limits)
		if err != nil {
			return
		}
		defer x.Close()
		if x.Status() < 200 || x.Status() > 599 {
			t.Errorf("status %d", x.Status())
		}
		for name := range x.Header().All() {
			if bytes.ContainsAny(name, " \t") {
				t.Errorf("name %q", name)
			}
		}
		body, err := x.ReadAll(most, time.Now().Add(time.Minute), nil)
		if declared := x.Header().ContentLength(); err == nil && (len(body) > most || declared >= 0 && declared != len(body)) {
			t.Errorf("%d bytes of %d declared pass for a whole body", len(body), declared)
		}
	})
}

// A server ends the connection in the middle of its answer's head. It must be no answer: what is there of
// the head may name a status and a length, and a body that is missing would pass for an empty one.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Response-Seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Response-Seal: s\nContent-Length: 5\n\n",
	}
	for _, head := range heads {
		for n := range len(head) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, head[:n])
				_ = far.Close()
			}()
			network := netio.New(func(context.Context, string) (net.Conn, error) { return near, nil }, nil)
			req := fasthttp.AcquireRequest()
			req.SetRequestURI("http://h/")
			x, err := httpconn.Do(t.Context(), network, "h:1", req, limits)
			if err == nil {
				body, err := x.ReadAll(100, time.Now().Add(time.Second), nil)
				t.Errorf("after %d bytes of %q: status %d, length %d, body %q, %v", n, head, x.Status(), x.Header().ContentLength(), body, err)
				x.Close()
			}
		}
	}
}
