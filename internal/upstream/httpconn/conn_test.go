package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
