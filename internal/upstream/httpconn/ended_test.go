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

// The context ends just after the connection is there: the exchange ends, too. It once
// waited for ever for a write that had not begun.
func TestContextEndsAfterTheDial(t *testing.T) {
	is := is.New(t)
	network := netio.New(func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		_ = b.Close()
		return a, a.Close() // closed, as the end of the context does
	}, nil)
	_, err := httpconn.Do(t.Context(), network, "upstream", &fasthttp.Request{}, httpconn.Limits{First: 1, Read: 1})
	is.True(fault.Is(err, httpconn.KindNoAnswer))
}
