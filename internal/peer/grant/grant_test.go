package grant_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/grant"
)

// Guards against a refusal, or the answer of an earlier version, that is taken for a grant.
func TestAsk(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	known, left := true, 1
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if !known {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		is.Equal(string(ctx.Path()), grant.Path)
		grant.Serve(ctx, log.New(io.Discard), func(upstream string) bool {
			left--
			return upstream == "i-1?/%" && left >= 0
		})
	}, DisableKeepalive: true}
	go func() { _ = s.Serve(ln) }()
	ask := func() error {
		return grant.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "i-1?/%", 5*time.Second)
	}
	is.NoErr(ask())
	is.True(fault.Is(ask(), grant.KindRefused))
	known = false
	is.True(fault.Is(ask(), grant.KindRefused))
	is.NoErr(s.Shutdown())
	is.True(fault.Is(ask(), grant.KindUnreachable))
}
