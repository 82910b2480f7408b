package records_test

import (
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/records"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

func TestAsk(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	want := []platform.Keyed{{Key: "a", Value: []byte{0, 255}, Offset: 3}, {Key: "b", Value: []byte("x"), Offset: 7}}
	s := records.Serve(ln, log.New(io.Discard), func(topic string) ([]platform.Keyed, platform.Position, bool) {
		return want, platform.Position{Epoch: 2, Offset: 8}, topic == "known"
	}, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	got, next, err := records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "known")
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(next, platform.Position{Epoch: 2, Offset: 8})
	_, _, err = records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "other")
	is.True(fault.Is(err, records.KindUnknown))
	s.Close()
	_, _, err = records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "known")
	is.True(fault.Is(err, records.KindUnreachable))
}
