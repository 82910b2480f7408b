package link_test

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
)

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

func post(t *testing.T, l *link.Link, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/twirp/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/protobuf")
	res, err := l.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(b)
}

func TestCallsAreSignedAndCounted(t *testing.T) {
	is := is.New(t)
	server := link.New(netio.TCP(), "b", "shared-key")
	server.Handle("/twirp/", http.HandlerFunc(echo))
	srv := httptest.NewServer(server)
	defer srv.Close()

	a := link.New(netio.TCP(), "a", "shared-key")
	status, body := post(t, a, srv.URL)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(a.Counters().Sent(), server.Counters().Received())
	is.Equal(a.Counters().Received(), server.Counters().Sent())

	status, _ = post(t, link.New(netio.TCP(), "a", "other-key"), srv.URL)
	is.Equal(status, http.StatusUnauthorized)
}

func TestUnsignedCallIsRejected(t *testing.T) {
	is := is.New(t)
	server := link.New(netio.TCP(), "b", "shared-key")
	server.Handle("/twirp/", http.HandlerFunc(echo))
	rec := httptest.NewRecorder()
	server.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/twirp/x", strings.NewReader("hello")))
	is.Equal(rec.Code, http.StatusUnauthorized)
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (w countingConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.in.Add(int64(n))
	return n, err
}

func (w countingConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.out.Add(int64(n))
	return n, err
}

func TestCountersApproximateBytesOnTheWire(t *testing.T) {
	is := is.New(t)
	server := link.New(netio.TCP(), "entry-02", "shared-key")
	server.Handle("/twirp/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", "5")
		echo(w, r)
	}))
	srv := httptest.NewServer(server)
	defer srv.Close()
	var in, out atomic.Int64
	network := netio.New(func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := netio.TCP().Dial(ctx, addr)
		return countingConn{conn, &in, &out}, err
	}, nil)
	a := link.New(network, "entry-01", "shared-key")
	for range 10 {
		post(t, a, srv.URL)
	}
	is.True(math.Abs(float64(a.Counters().Sent()-out.Load())) <= 0.1*float64(out.Load()))
	is.True(math.Abs(float64(a.Counters().Received()-in.Load())) <= 0.1*float64(in.Load()))
	t.Logf("counted %d and %d, on the wire %d and %d", a.Counters().Sent(), a.Counters().Received(), out.Load(), in.Load())
}
