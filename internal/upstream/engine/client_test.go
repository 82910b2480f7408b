package engine_test

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const readLimit = 10 * time.Second

func start(t *testing.T, cfg standin.Config) (*standin.Engine, *engine.Client) {
	t.Helper()
	e := standin.New(cfg)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = e.Server()
	srv.Start()
	t.Cleanup(srv.Close)
	t.Cleanup(e.Close)
	return e, engine.NewClient(netio.TCP(), cfg.Name, srv.Listener.Addr().String())
}

func fast() standin.Config {
	cfg := standin.Default("e1", "m")
	cfg.Step = time.Millisecond
	return cfg
}

func TestStreamIsReadToItsEnd(t *testing.T) {
	is := is.New(t)
	_, c := start(t, fast())
	s, err := c.Open(t.Context(), engine.Request{Stream: "s", Model: "m", Prompt: "p", MaxTokens: 50})
	is.NoErr(err)
	defer s.Close()
	var b strings.Builder
	for {
		p, err := s.Next(readLimit)
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		b.WriteString(p.Text)
	}
	is.Equal(b.String(), standin.Answer("p", 0, 50))
}

func TestSilentStreamResumesOnANewConnection(t *testing.T) {
	is := is.New(t)
	e, c := start(t, fast())
	s, err := c.Open(t.Context(), engine.Request{Stream: "s", Model: "m", Prompt: "p", MaxTokens: 50})
	is.NoErr(err)
	defer s.Close()
	_, err = s.Next(readLimit)
	is.NoErr(err)
	e.Silence()
	for err == nil {
		_, err = s.Next(50 * time.Millisecond)
	}
	is.True(fault.Is(err, engine.KindSilent))

	r, err := c.Resume(t.Context(), "s", s.At())
	is.NoErr(err)
	defer r.Close()
	p, err := r.Next(readLimit)
	is.NoErr(err)
	is.Equal(p.Pos, s.At().Pos)
}

func TestErrorKindsTellWhetherAnythingRan(t *testing.T) {
	is := is.New(t)
	e, c := start(t, fast())
	_, err := c.Open(t.Context(), engine.Request{Stream: "s", Model: "other", Prompt: "p", MaxTokens: 5})
	is.True(fault.Is(err, engine.KindRefused))
	_, err = c.Resume(t.Context(), "unknown", engine.Position{})
	is.True(fault.Is(err, engine.KindUnknownStream))
	e.LoseAnswers(1)
	is.True(fault.Is(c.Cancel(t.Context(), "s"), engine.KindLost))
	is.NoErr(c.Cancel(t.Context(), "s"))
	e.Die()
	_, err = c.Open(t.Context(), engine.Request{Stream: "s", Model: "m", Prompt: "p", MaxTokens: 5})
	is.True(fault.Is(err, engine.KindLost))
}

func TestHolds(t *testing.T) {
	is := is.New(t)
	e, c := start(t, fast())
	is.NoErr(c.Hold(t.Context(), engine.HoldRequest{Hold: "h", Tokens: 1000, TTL: time.Minute}))
	is.NoErr(c.Renew(t.Context(), "h", time.Minute))
	is.Equal(e.MemoryUsed(), 1000)
	is.NoErr(c.Release(t.Context(), "h"))
	is.Equal(e.MemoryUsed(), 0)
	l, err := c.Load(t.Context())
	is.NoErr(err)
	is.Equal(l.MemoryTotal, fast().Memory)
}
