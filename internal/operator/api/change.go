package api

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

const (
	// changesPath is the path segment of the changes, in place of a kind.
	changesPath = "changes"
	settlePath  = "settle"
)

// Change is the body of an answer about a change.
type Change struct {
	ID     string          `json:"id"`
	Result resource.Result `json:"result"`
	Offset uint64          `json:"offset"` // of the record that decided the result
}

// serveChange serves GET changes/{id} and POST changes/{id}/settle.
func (h *Handler) serveChange(ctx *fasthttp.RequestCtx, rest string) {
	id, action, _ := strings.Cut(rest, "/")
	switch {
	case id != "" && action == "" && ctx.IsGet():
		h.getChange(ctx, id)
	case id != "" && action == settlePath && ctx.IsPost():
		h.settle(ctx, id)
	default:
		write(ctx, fasthttp.StatusMethodNotAllowed, Error{
			Code:    "method_not_allowed",
			Message: "Served here: GET changes/{id} and POST changes/{id}/settle.",
		})
	}
}

func (h *Handler) getChange(ctx *fasthttp.RequestCtx, id string) {
	fate, ok := h.store.Fate(id)
	if !ok {
		write(ctx, fasthttp.StatusNotFound, Error{
			Code: "unknown", ChangeID: id,
			Message: fmt.Sprintf("No such change is in the log up to offset %d, or it is too old; it may yet take effect.", h.store.View().Offset()),
		})
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, Change{ID: fate.ID, Result: fate.Result, Offset: fate.Offset})
}

// settle answers with the result of a change. A change that is not yet in the log is
// voided, so that it never takes effect.
func (h *Handler) settle(ctx *fasthttp.RequestCtx, id string) {
	var base uint64
	if raw := ctx.QueryArgs().Peek("base"); len(raw) > 0 {
		n, err := strconv.ParseUint(string(raw), 10, 64)
		if err != nil {
			writeError(ctx, resource.Change{}, resource.Outcome{}, resource.Invalid("base", string(raw), "the offset that the answer named"))
			return
		}
		base = n
	}
	fate, err := h.store.Settle(context.Background(), id, base) // Settle has its own timeout
	if err != nil {
		h.log.Info("Failed to settle a change.", "change", id, "err", err)
		writeError(ctx, resource.Change{ID: id, Base: base}, resource.Outcome{}, err)
		return
	}
	h.log.Info("Settled a change.", "change", id, "result", fate.Result, "offset", fate.Offset)
	reply.JSON(ctx, fasthttp.StatusOK, Change{ID: fate.ID, Result: fate.Result, Offset: fate.Offset})
}

// settleHint tells the operator how to settle a change with an unknown outcome.
func settleHint(c resource.Change) string {
	return fmt.Sprintf("POST %s%s/%s/%s?base=%d decides it.", Prefix, changesPath, c.ID, settlePath, c.Base)
}
