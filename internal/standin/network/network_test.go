package network_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/network"
)

// connect returns the two ends of a connection from host a to host b.
func connect(t *testing.T, n *network.Network) (net.Conn, net.Conn) {
	t.Helper()
	ln, err := n.Host("b").Listen("10.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := n.Host("a").Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c, s
}

func TestDataAndCloseArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		c, s := connect(t, n)
		_, err := c.Write([]byte("hello"))
		is.NoErr(err)
		is.NoErr(c.Close())
		b, err := io.ReadAll(s)
		is.NoErr(err)
		is.Equal(string(b), "hello")
		is.NoErr(s.Close())
		is.Equal(n.OpenConns(), 0)
	})
}

func TestCutSilencesConnectionsForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		c, s := connect(t, n)
		n.Cut("a", "b")
		_, err := c.Write([]byte("lost"))
		is.NoErr(err)
		is.NoErr(s.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = s.Read(make([]byte, 8))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = n.Host("a").Dial(t.Context(), s.LocalAddr().String())
		is.True(errors.Is(err, context.DeadlineExceeded))

		n.Heal("a", "b")
		_, err = n.Host("a").Dial(t.Context(), s.LocalAddr().String())
		is.NoErr(err)
		is.NoErr(s.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = s.Read(make([]byte, 8))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

func TestReplacedDeadlineHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s := connect(t, network.New())
		for range 100 {
			is.NoErr(s.SetReadDeadline(time.Unix(1, 0)))
			is.NoErr(s.SetReadDeadline(time.Time{}))
			_, err := c.Write([]byte("x"))
			is.NoErr(err)
			_, err = s.Read(make([]byte, 1))
			is.NoErr(err)
		}
		is.NoErr(s.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := s.Read(make([]byte, 1))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

func TestKillResetsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		c, s := connect(t, n)
		n.Kill("b")
		_, err := c.Read(make([]byte, 8))
		is.True(err != nil && !errors.Is(err, io.EOF))
		_, err = n.Host("a").Dial(t.Context(), s.LocalAddr().String())
		is.True(err != nil)
	})
}

func TestHTTPOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		ln, err := n.Host("b").Listen("10.0.0.2:80")
		is.NoErr(err)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.WriteString(w, "late")
		})}
		go func() { _ = srv.Serve(ln) }()
		tr := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.Host("a").Dial(ctx, addr)
		}}
		res, err := (&http.Client{Transport: tr}).Get("http://10.0.0.2:80/")
		is.NoErr(err)
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(b), "late")
		is.NoErr(res.Body.Close())
		tr.CloseIdleConnections()
		is.NoErr(srv.Close())
	})
}
