package httpconn_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

// If the context ends right after the dial, the request is never written. Do must return
// an error instead of waiting forever for the end of that write.
func TestContextEndsAfterTheDial(t *testing.T) {
	is := is.New(t)
	network := netio.New(func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		_ = b.Close()
		return a, a.Close() // closed, as by the end of the context
	}, nil)
	_, err := httpconn.Do(t.Context(), network, "upstream", &fasthttp.Request{}, httpconn.Limits{Header: 1, Read: 1})
	is.True(fault.Is(err, httpconn.KindNoAnswer))
}
