// Package grant asks an entry that owns a cold upstream for a request of its share, and answers such
// calls. A call is an HTTP request to the owner's port for other entries.
package grant

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	// Path is the path of a call.
	Path = "/grant"

	headerUpstream = "Upstream"
	// headBufferBytes is the size of the buffer for the head of an answer.
	headBufferBytes = 1 << 10
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable is the kind of a call without an answer.
	KindUnreachable Kind = "unreachable"
	// KindRefused is the kind of a call to an entry that has no request left, or is no owner.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("grant")

func fail(kind Kind, err error) error { return fault.New(&class, "ask", kind, err) }

// Serve answers a call. take takes a request to the upstream from the own share, and reports whether
// there was one.
func Serve(ctx *fasthttp.RequestCtx, logger *log.Logger, take func(upstream string) bool) {
	upstream := string(ctx.Request.Header.Peek(headerUpstream))
	granted := take(upstream)
	if !granted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	logger.Debug("Another entry asked for a request to a cold upstream.", "entry", ctx.RemoteAddr().String(), "upstream", upstream, "granted", granted)
}

// Ask asks the entry at an address for a request to an upstream.
func Ask(ctx context.Context, network *netio.Network, address, upstream string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(Path)
	req.Header.Set(headerUpstream, upstream)
	x, err := httpconn.Do(ctx, network, address, req, httpconn.Limits{Header: timeout, Read: timeout, Buffer: headBufferBytes})
	if err != nil {
		return fail(KindUnreachable, err)
	}
	defer x.Close()
	if x.Status() != fasthttp.StatusOK {
		return fail(KindRefused, fmt.Errorf("status %d", x.Status()))
	}
	return nil
}
