// Package service passes callers' calls of plain services through.
package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	// Prefix is the path before the service's name.
	Prefix = "/v1/services/"
	// HeaderIdempotencyKey is the header with the key of a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"

	defaultTimeout = 30 * time.Second
	readLimit      = 10 * time.Second
	maxAnswer      = 16 << 20 // bytes
	uuidVersion    = 7
)

// Handler passes calls through. Its methods may be called from any goroutine.
type Handler struct {
	network *netio.Network
	view    func() *resource.View
	log     *log.Logger
	metrics tally.Scope
	turn    atomic.Uint64
}

// NewHandler returns a handler of the services in the view.
func NewHandler(network *netio.Network, view func() *resource.View, metrics tally.Scope, logger *log.Logger) *Handler {
	return &Handler{network: network, view: view, log: logger.WithPrefix("service"), metrics: metrics.SubScope("service")}
}

// call is one call of a service.
type call struct {
	service    *resource.Service
	path       string
	repeatable bool
	timeout    time.Duration
}

// Serve serves ANY /v1/services/{service}/{path}.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	c, apiErr := h.accept(ctx)
	if apiErr == nil {
		apiErr = h.forward(ctx, c)
	}
	if apiErr != nil {
		h.metrics.Tagged(map[string]string{"code": apiErr.Code}).Counter("refused").Inc(1)
		apiErr.Write(ctx)
	}
}

func (h *Handler) accept(ctx *fasthttp.RequestCtx) (*call, *reply.Error) {
	view := h.view()
	ws := view.WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		return nil, reply.Unauthorized()
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), Prefix), "/")
	svc := view.Service(name)
	if svc == nil {
		return nil, reply.NotFound("service_not_found", fmt.Sprintf("The service %q does not exist.", name))
	}
	spec := svc.Spec()
	c := &call{service: svc, path: "/" + path}
	c.repeatable = spec.Repeatable(string(ctx.Method()), c.path)
	if !c.repeatable {
		if apiErr := checkKey(ctx); apiErr != nil {
			return nil, apiErr
		}
	}
	timeout := spec.Timeout.Duration()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	var apiErr *reply.Error
	c.timeout, apiErr = reply.Patience(ctx, timeout, resource.MaxServiceTimeout)
	return c, apiErr
}

func checkKey(ctx *fasthttp.RequestCtx) *reply.Error {
	id, err := uuid.ParseBytes(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if err != nil || id.Version() != uuidVersion {
		return reply.InvalidRequest(HeaderIdempotencyKey, "This call may not be repeated: "+HeaderIdempotencyKey+" has to hold a UUIDv7 (RFC 9562).")
	}
	return nil
}

// forward sends the call to the service's servers in turn until one takes it. A
// call that may not be repeated goes on only while no byte of it has left.
func (h *Handler) forward(ctx *fasthttp.RequestCtx, c *call) *reply.Error {
	servers := c.service.Servers()
	run, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	first := int(h.turn.Add(1) % uint64(max(len(servers), 1)))
	var err error
	for i := range servers {
		u := servers[(first+i)%len(servers)]
		if err = h.exchange(run, ctx, c, u.Spec().Address); err == nil {
			return nil
		}
		h.log.Warn("A server did not answer.", "service", c.service.Name(), "upstream", u.Name(), "err", err)
		if !c.repeatable && !fault.Is(err, httpconn.KindUnsent) || run.Err() != nil {
			break
		}
	}
	if err == nil || fault.Is(err, httpconn.KindUnsent) {
		return reply.Overloaded("service_unavailable", "No server of the service can be reached.", time.Second)
	}
	return &reply.Error{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "no_answer",
		Message: "The service did not answer; the call may have run.", Ran: reply.RanUnknown,
	}
}

func (h *Handler) exchange(run context.Context, ctx *fasthttp.RequestCtx, c *call, addr string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.SetRequestURI("http://" + addr + c.path)
	req.URI().SetQueryStringBytes(ctx.URI().QueryString())
	req.Header.Del(fasthttp.HeaderAuthorization)
	req.Header.SetHost(addr)
	req.SetConnectionClose()
	x, err := httpconn.Do(run, h.network, addr, req, httpconn.Limits{First: c.timeout, Read: readLimit})
	if err != nil {
		return err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswer {
		return fail("read", KindTooLarge, errTooLarge)
	}
	ctx.SetStatusCode(x.Status())
	ctx.Response.Header.SetContentTypeBytes(x.Header().ContentType())
	ctx.SetBody(body)
	return nil
}

var errTooLarge = errors.New("the answer is longer than 16 MiB")
