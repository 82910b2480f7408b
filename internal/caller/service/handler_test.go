package service

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

// servers simulates a network of servers, each with a failure mode.
type servers struct {
	modes map[string]string // by address

	mu  sync.Mutex
	got map[string]int // requests read, by address
}

var errRefused = errors.New("refused")

func (s *servers) dial(_ context.Context, addr string) (net.Conn, error) {
	mode := s.modes[addr]
	if mode == "refuses" {
		return nil, errRefused
	}
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		s.mu.Lock()
		s.got[addr]++
		s.mu.Unlock()
		switch mode {
		case "answers":
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			_, _ = far.Read(make([]byte, 1)) // unlike TCP, a pipe refuses deadlines once the other side has closed
		case "silent":
			_, _ = far.Read(make([]byte, 1)) // until the other side closes
		}
	}()
	return near, nil
}

// serviceView returns a view of a service with n servers, h:1 and so on.
func serviceView(t *testing.T, n int) *resource.View {
	t.Helper()
	f := resource.NewFold()
	type object struct {
		kind resource.Type
		name string
		spec any
	}
	list := []object{
		{resource.TypeService, "s", resource.ServiceSpec{}},
		{resource.TypeWorkspace, "w", resource.WorkspaceSpec{Keys: []string{resource.HashKey("key")}}},
	}
	for i := 1; i <= n; i++ {
		list = append(list, object{resource.TypeUpstream, fmt.Sprint("u", i), resource.UpstreamSpec{Address: fmt.Sprint("h:", i), FailureDomain: "a", Service: "s"}})
	}
	for _, o := range list {
		raw, err := json.Marshal(o.spec)
		if err != nil {
			t.Fatal(err)
		}
		out, _ := f.Apply(f.Offset()+1, resource.Change{ID: o.name, Op: resource.OpPut, Kind: o.kind, Name: o.name, Spec: raw})
		if out.Err() != nil {
			t.Fatal(out.Err())
		}
	}
	return f.View()
}

// runOnce stands in for the executor: it sends the order and returns the result.
func runOnce(ctx context.Context, _ executor.Order, send executor.Send) (*ledger.StoredAnswer, error) {
	answer, sent, err := send(ctx)
	switch {
	case err == nil:
		return answer, nil
	case !sent:
		return nil, fault.New(&class, "send", executor.KindVoid, err)
	default:
		return nil, fault.New(&class, "send", executor.KindUnknown, err)
	}
}

// The round-robin counter starts with the second server. A repeatable call moves on to
// the next server after any failure, any other call only if nothing was sent.
func TestServersThatFail(t *testing.T) {
	for _, tt := range []struct {
		method, second, first string
		status                int
		want                  string
		got                   string // requests that the first and the second server read
	}{
		{"GET", "silent", "answers", 200, "ok", "1 1"},
		{"GET", "cuts", "answers", 200, "ok", "1 1"},
		{"GET", "refuses", "answers", 200, "ok", "1 0"},
		{"GET", "silent", "silent", 502, `"ran":"unknown"`, "1 1"},
		{"GET", "refuses", "refuses", 503, `"ran":"no"`, "0 0"},
		{"POST", "answers", "answers", 200, "ok", "0 1"},
		{"POST", "refuses", "answers", 200, "ok", "1 0"},
		{"POST", "silent", "answers", 502, `"ran":"unknown"`, "0 1"},
		{"POST", "cuts", "answers", 502, `"ran":"unknown"`, "0 1"},
		{"POST", "refuses", "refuses", 503, `"ran":"no"`, "0 0"},
	} {
		t.Run(tt.method+" "+tt.second+" "+tt.first, func(t *testing.T) {
			view := serviceView(t, 2)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &servers{modes: map[string]string{"h:1": tt.first, "h:2": tt.second}, got: map[string]int{}}
				h := NewHandler(netio.New(s.dial, nil), func() *resource.View { return view },
					Orders{Run: runOnce}, tally.NoopScope, log.New(io.Discard))
				var ctx fasthttp.RequestCtx
				ctx.Request.Header.SetMethod(tt.method)
				ctx.Request.SetRequestURI("/v1/services/s/x")
				ctx.Request.Header.Set("Authorization", "Bearer key")
				ctx.Request.Header.Set(HeaderIdempotencyKey, "01890000-0000-7000-8000-000000000001")
				h.Serve(&ctx)
				synctest.Wait()
				is.Equal(ctx.Response.StatusCode(), tt.status)
				is.True(strings.Contains(string(ctx.Response.Body()), tt.want))
				is.Equal(fmt.Sprint(s.got["h:1"], " ", s.got["h:2"]), tt.got)
			})
		})
	}
}

// A call crashes each server that runs it. One that may be repeated must not take down all of them.
func TestCallThatCrashesServersIsGivenUp(t *testing.T) {
	const count, maxCrashes = 8, 3
	view := serviceView(t, count)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &servers{modes: map[string]string{}, got: map[string]int{}}
		for i := 1; i <= count; i++ {
			s.modes[fmt.Sprint("h:", i)] = "cuts"
		}
		h := NewHandler(netio.New(s.dial, nil), func() *resource.View { return view }, Orders{Run: runOnce}, tally.NoopScope, log.New(io.Discard))
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/v1/services/s/x")
		ctx.Request.Header.Set("Authorization", "Bearer key")
		h.Serve(&ctx)
		synctest.Wait()
		is.Equal(ctx.Response.StatusCode(), http.StatusBadGateway)
		is.True(len(s.got) <= maxCrashes)
	})
}
