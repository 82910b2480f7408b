// Package service forwards callers' calls to plain services. A call that must not be
// repeated runs as an order.
package service

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const (
	// Prefix is the path prefix before the service's name.
	Prefix = "/v1/services/"
	// HeaderIdempotencyKey is the header with the key of a call that is not repeatable.
	HeaderIdempotencyKey = "Idempotency-Key"

	defaultTimeout = 30 * time.Second
)

// Orders executes calls that are not repeatable, and looks up their state.
type Orders struct {
	Run  func(ctx context.Context, o executor.Order, send executor.Send) (*ledger.StoredAnswer, error)
	Look func(ctx context.Context, workspace string, key uuid.UUID) (ledger.State, *ledger.StoredAnswer, error)
}

// Handler forwards calls. Its methods may be called from any goroutine.
type Handler struct {
	network    *netio.Network
	view       func() *resource.View
	orders     Orders
	log        *log.Logger
	metrics    tally.Scope
	nextServer atomic.Uint64 // round-robin counter
}

// NewHandler returns a handler for the services in the view.
func NewHandler(
	network *netio.Network, view func() *resource.View, orders Orders, metrics tally.Scope, logger *log.Logger,
) *Handler {
	return &Handler{
		network: network, view: view, orders: orders,
		log: logger.WithPrefix("service"), metrics: metrics.SubScope("service"),
	}
}

// call is one call of a service.
type call struct {
	workspace  string
	service    *resource.Service
	request    *fasthttp.Request
	path       string
	query      []byte
	repeatable bool
	key        uuid.UUID // set if not repeatable
	timeout    time.Duration
}

// Serve serves any method of /v1/services/{service}/{path}.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	c, apiErr := h.parseCall(ctx)
	switch {
	case apiErr != nil:
	case c.repeatable:
		apiErr = h.serveRepeatable(ctx, c)
	default:
		apiErr = h.serveOnce(ctx, c)
	}
	if apiErr != nil {
		h.metrics.Tagged(map[string]string{"code": apiErr.Code}).Counter("refused").Inc(1)
		apiErr.Write(ctx)
	}
}

// parseCall authenticates and validates the request.
func (h *Handler) parseCall(ctx *fasthttp.RequestCtx) (*call, *reply.Error) {
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
	c := &call{
		workspace: ws.Name(), service: svc,
		request: &ctx.Request, path: "/" + path, query: ctx.URI().QueryString(),
	}
	c.repeatable = spec.Repeatable(string(ctx.Method()), c.path)
	var apiErr *reply.Error
	if !c.repeatable {
		if c.key, apiErr = parseKey(ctx); apiErr != nil {
			return nil, apiErr
		}
	}
	timeout := spec.Timeout.Duration()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	c.timeout, apiErr = reply.Patience(ctx, timeout, resource.MaxServiceTimeout)
	return c, apiErr
}
