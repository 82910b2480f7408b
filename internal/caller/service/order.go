package service

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const (
	// OrdersPrefix is the path prefix before the key of an order.
	OrdersPrefix = "/v1/orders/"
	// lookupTimeout limits the time to read an answer from the log.
	lookupTimeout = 5 * time.Second
)

// OrderStatus is the response body of GET /v1/orders/{key}.
type OrderStatus struct {
	Key    string       `json:"key"`
	State  ledger.State `json:"state"` // pending, done, void or unknown
	Answer *OrderAnswer `json:"answer,omitempty"`
}

// OrderAnswer is the service's answer to an order. Body holds a body that is valid
// UTF-8, Bytes any other. A body that is too long is not stored, and Omitted is its
// length.
type OrderAnswer struct {
	Status      uint32 `json:"status"`
	ContentType string `json:"content_type"`
	Body        string `json:"body,omitempty"`
	Bytes       []byte `json:"bytes,omitempty"`
	Omitted     uint64 `json:"omitted,omitempty"` // bytes
}

// serveOnce executes a call that is not repeatable, or returns the answer of an
// earlier call with the same key.
func (h *Handler) serveOnce(ctx *fasthttp.RequestCtx, c *call) *reply.Error {
	run, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	o := executor.Order{
		Workspace: c.workspace, Key: c.key,
		Fingerprint: ledger.FingerprintOf([]byte(c.service.Name()), c.request.Header.Method(), []byte(c.path), c.query, c.request.Body()),
	}
	answer, err := h.orders.Run(run, o, func(ctx context.Context) (*ledger.StoredAnswer, bool, error) {
		return h.send(ctx, c, false)
	})
	if err != nil {
		return orderError(err)
	}
	h.metrics.Counter("orders_answered").Inc(1)
	if answer.GetOmitted() > 0 {
		return &reply.Error{
			Status: fasthttp.StatusGone, Type: "invalid_request_error", Code: "answer_not_kept", Ran: reply.RanPartial,
			Message: "The order was executed before; its answer was too long to be kept.",
		}
	}
	writeAnswer(ctx, answer)
	return nil
}

// orderErrors maps the executor's errors to responses.
var orderErrors = map[executor.Kind]reply.Error{
	executor.KindNotReady: {
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "order_log_not_read", Ran: reply.RanNo,
		Message: "This entry has not read the order log yet. This call was not run; call again with the same key.", RetryAfter: time.Second,
	},
	executor.KindUnavailable: {
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "order_log_unavailable", Ran: reply.RanNo,
		Message: "The order log can't be written. This call was not run; call again with the same key.", RetryAfter: time.Second,
	},
	executor.KindExpired: {
		Status: fasthttp.StatusBadRequest, Type: "invalid_request_error", Code: "idempotency_key_expired", Ran: reply.RanUnknown,
		Param:   HeaderIdempotencyKey,
		Message: "The key is too old. This call was not run, but an earlier one with the key may have been.",
	},
	executor.KindFuture: {
		Status: fasthttp.StatusBadRequest, Type: "invalid_request_error", Code: "idempotency_key_in_the_future", Ran: reply.RanNo,
		Param:   HeaderIdempotencyKey,
		Message: "The time in the key has not come yet: check the clock that made it.",
	},
	executor.KindBodyDiffers: {
		Status: fasthttp.StatusUnprocessableEntity, Type: "invalid_request_error", Code: "idempotency_key_reused", Ran: reply.RanNo,
		Param:   HeaderIdempotencyKey,
		Message: "The key was used for another call. This call was not run.",
	},
	executor.KindVoid: {
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "order_void", Ran: reply.RanNo,
		Message: "The order was not run and never will be with this key; a new key may be used.", RetryAfter: time.Second,
	},
	executor.KindPending: {
		Status: fasthttp.StatusGatewayTimeout, Type: "server_error", Code: "order_pending", Ran: reply.RanUnknown,
		Message: "The order is being executed; ask for it at " + OrdersPrefix + "{key}.", RetryAfter: time.Second,
	},
	executor.KindUnknown: {
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "order_unknown", Ran: reply.RanUnknown,
		Message: "The order may have run, and it will not run again with this key. Ask the service, and " + OrdersPrefix + "{key} later.",
	},
}

func orderError(err error) *reply.Error {
	for kind, e := range orderErrors {
		if fault.Is(err, kind) {
			return &e
		}
	}
	return badGateway("order_unknown", "The order may have run.")
}

// ServeOrder serves GET /v1/orders/{key}.
func (h *Handler) ServeOrder(ctx *fasthttp.RequestCtx) {
	if apiErr := h.writeOrder(ctx); apiErr != nil {
		apiErr.Write(ctx)
	}
}

// writeOrder answers with the state of the order, or returns an error.
func (h *Handler) writeOrder(ctx *fasthttp.RequestCtx) *reply.Error {
	ws := h.view().WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		return reply.Unauthorized()
	}
	key, ok := ledger.ParseKey([]byte(strings.TrimPrefix(string(ctx.Path()), OrdersPrefix)))
	if !ok {
		return reply.InvalidRequest("key", "The key of an order is a UUIDv7 (RFC 9562).")
	}
	run, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	state, answer, err := h.orders.Look(run, ws.Name(), key)
	if err != nil {
		return orderError(err)
	}
	if state == ledger.StateNone {
		e := reply.NotFound("order_not_found", "No order with this key is known.")
		e.Ran = reply.RanUnknown
		return e
	}
	reply.JSON(ctx, fasthttp.StatusOK, OrderStatus{Key: key.String(), State: state, Answer: orderAnswer(answer)})
	return nil
}

func orderAnswer(a *ledger.StoredAnswer) *OrderAnswer {
	if a == nil {
		return nil
	}
	out := &OrderAnswer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: a.GetOmitted()}
	if utf8.Valid(a.GetBody()) {
		out.Body = string(a.GetBody())
	} else {
		out.Bytes = a.GetBody()
	}
	return out
}

// parseKey returns the idempotency key of a call that is not repeatable.
func parseKey(ctx *fasthttp.RequestCtx) (uuid.UUID, *reply.Error) {
	key, ok := ledger.ParseKey(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if !ok {
		return key, reply.InvalidRequest(HeaderIdempotencyKey, "This call may not be repeated: "+HeaderIdempotencyKey+" has to hold a UUIDv7 (RFC 9562).")
	}
	return key, nil
}
