package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

func open(id, prompt string) engine.StreamRequest {
	return engine.StreamRequest{Stream: id, Model: "m", Prompt: prompt, MaxTokens: 200}
}

// read returns the text of a stream from the position on, and its last piece.
func read(ctx context.Context, e *engine.Engine, id string, pos int) (string, engine.Piece, error) {
	var b strings.Builder
	for ; ; pos++ {
		p, err := e.Read(ctx, id, pos)
		if err != nil || p.Finish != "" {
			return b.String(), p, err
		}
		b.WriteString(p.Text)
	}
}

// bubble runs f in a synctest bubble, with a fake clock.
func bubble(t *testing.T, f func(ctx context.Context, is *is.I)) {
	synctest.Test(t, func(t *testing.T) { f(t.Context(), is.New(t)) })
}

func TestStreamReturnsWholeAnswer(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		e := engine.New(engine.Default("e1", "m"))
		defer e.Close()
		is.NoErr(e.Open(open("s1", "hello")))
		text, end, err := read(ctx, e, "s1", 0)
		is.NoErr(err)
		is.Equal(text, engine.Answer("hello", 0, 200))
		is.Equal(end.Finish, "stop")
		is.Equal(e.MemoryUsed(), 0)

		again, _, err := read(ctx, e, "s1", 5)
		is.NoErr(err)
		is.True(strings.HasSuffix(text, again)) // a finished stream can be read again from any token
	})
}

func TestAnswerContinuesAtAnotherEngine(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		a, b := engine.New(engine.Default("a", "m")), engine.New(engine.Default("b", "m"))
		defer a.Close()
		defer b.Close()
		is.NoErr(a.Open(open("s", "hello")))
		p, err := a.Read(ctx, "s", 4)
		is.NoErr(err)
		a.Die()
		_, err = a.Read(ctx, "s", 5)
		is.True(fault.Is(err, engine.KindDead))

		req := open("s", "hello")
		req.From = 4
		is.NoErr(b.Open(req))
		q, err := b.Read(ctx, "s", 4)
		is.NoErr(err)
		is.Equal(p.Text, q.Text)
	})
}

func TestCancelFreesMemory(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		e := engine.New(engine.Default("e1", "m"))
		defer e.Close()
		is.NoErr(e.Open(open("s1", strings.Repeat("x", 40_000))))
		_, err := e.Read(ctx, "s1", 0)
		is.NoErr(err)
		is.True(e.MemoryUsed() > 10_000)
		is.NoErr(e.Cancel("s1"))
		is.Equal(e.MemoryUsed(), 0)
		is.NoErr(e.Cancel("unknown"))
	})
}

func TestMemoryIsNeverExceeded(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		cfg := engine.Default("e1", "m")
		cfg.Memory = 1000
		e := engine.New(cfg)
		defer e.Close()
		for _, id := range []string{"a", "b", "c"} {
			is.NoErr(e.Open(open(id, strings.Repeat(id, 1600)))) // 400 + 200 tokens
		}
		_, err := e.Read(ctx, "a", 0)
		is.NoErr(err)
		is.Equal(e.MemoryUsed(), 600)
		for _, id := range []string{"a", "b", "c"} {
			_, _, err := read(ctx, e, id, 0)
			is.NoErr(err)
		}
		is.True(fault.Is(e.Open(open("d", strings.Repeat("d", 4000))), engine.KindInvalid))
	})
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		e := engine.New(engine.Default("e1", "m"))
		defer e.Close()
		is.NoErr(e.Open(open("long", strings.Repeat("l", 1_000_000)))) // ten seconds of prefill
		time.Sleep(time.Second)
		short := open("short", "hello")
		short.Priority = 1
		is.NoErr(e.Open(short))
		start := time.Now()
		_, err := e.Read(ctx, "short", 0)
		is.NoErr(err)
		is.True(time.Since(start) <= 40*time.Millisecond)
	})
}

func TestPrefixIsCachedAndExported(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		a, b := engine.New(engine.Default("a", "m")), engine.New(engine.Default("b", "m"))
		defer a.Close()
		defer b.Close()
		prompt := strings.Repeat("x", 40_960) // ten blocks
		is.NoErr(a.Open(open("s1", prompt)))
		_, end, err := read(ctx, a, "s1", 0)
		is.NoErr(err)
		is.Equal(end.Usage.CachedTokens, 0)
		kv, err := a.Export("s1")
		is.NoErr(err)
		is.NoErr(b.Import(kv))
		is.NoErr(b.Open(open("s2", prompt)))
		_, end, err = read(ctx, b, "s2", 0)
		is.NoErr(err)
		is.Equal(end.Usage.CachedTokens, 10_240-1) // at least one token is prefilled

		events, err := a.Events(0)
		is.NoErr(err)
		is.Equal(len(events), 1)
		is.Equal(len(events[0].Stored), 40)
	})
}

func TestHoldsExpire(t *testing.T) {
	bubble(t, func(_ context.Context, is *is.I) {
		e := engine.New(engine.Default("e1", "m"))
		defer e.Close()
		is.NoErr(e.Hold(engine.HoldRequest{Hold: "h", Tokens: 430_000, TTL: 2 * time.Second}))
		is.True(fault.Is(e.Hold(engine.HoldRequest{Hold: "i", Tokens: 100_000, TTL: time.Second}), engine.KindFull))
		time.Sleep(time.Second)
		is.NoErr(e.Renew("h", 2*time.Second))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(e.MemoryUsed(), 430_000)
		time.Sleep(time.Second)
		is.Equal(e.MemoryUsed(), 0)
		is.True(fault.Is(e.Renew("h", time.Second), engine.KindNotFound))
	})
}

func TestOrdersAndFencing(t *testing.T) {
	bubble(t, func(_ context.Context, is *is.I) {
		cfg := engine.Default("e1", "m")
		cfg.ChecksFencing = true
		e := engine.New(cfg)
		defer e.Close()
		load := engine.Order{Order: "o1", Fence: 7, Action: engine.ActionLoadModel, Model: "n", Version: "2"}
		is.NoErr(e.Order(load))
		is.True(fault.Is(e.Open(engine.StreamRequest{Stream: "s", Model: "n", MaxTokens: 1}), engine.KindNotFound))
		time.Sleep(time.Second)
		is.NoErr(e.Open(engine.StreamRequest{Stream: "s", Model: "n", MaxTokens: 1}))
		old := engine.Order{Order: "o0", Fence: 6, Action: engine.ActionUnloadModel, Model: "n"}
		is.True(fault.Is(e.Order(old), engine.KindFenced))
		st, err := e.State()
		is.NoErr(err)
		is.Equal(st.Fence, uint64(7))
		is.Equal(len(st.Models), 2)
	})
}

func TestLoadReportLags(t *testing.T) {
	bubble(t, func(_ context.Context, is *is.I) {
		e := engine.New(engine.Default("e1", "m"))
		defer e.Close()
		is.NoErr(e.Open(open("s1", strings.Repeat("x", 400_000))))
		time.Sleep(100 * time.Millisecond)
		l, err := e.Load()
		is.NoErr(err)
		is.Equal(l.Running, 0)
		time.Sleep(250 * time.Millisecond)
		l, err = e.Load()
		is.NoErr(err)
		is.Equal(l.Running, 1)
	})
}

func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Default("e1", "m"))
	defer e.Close()
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = e.Server()
	srv.Start()
	defer srv.Close()

	body, err := json.Marshal(open("s1", "hello"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/v1/streams", bytes.NewReader(body))
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	_, err = bufio.NewReader(res.Body).ReadString('\n')
	is.NoErr(err)
	e.Silence()

	again, err := http.Get(srv.URL + "/v1/streams/s1?from=0")
	is.NoErr(err)
	defer func() { _ = again.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(again.Body)
	is.NoErr(err)
	is.True(strings.Contains(b.String(), `"finish":"stop"`))
}
