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
	// changesPath is the name in the path below which changes are asked for.
	changesPath = "changes"
	settlePath  = "settle"
)

// Change answers a question about a change.
type Change struct {
	ID     string          `json:"id"`
	Result resource.Result `json:"result"`
	Offset uint64          `json:"offset"` // that decided it
}

// serveChange serves GET changes/{id} and POST changes/{id}/settle.
func (h *Handler) serveChange(ctx *fasthttp.RequestCtx, rest string) {
	id, action, _ := strings.Cut(rest, "/")
	switch {
	case id != "" && action == "" && ctx.IsGet():
		h.fate(ctx, id)
	case id != "" && action == settlePath && ctx.IsPost():
		h.settle(ctx, id)
	default:
		write(ctx, fasthttp.StatusMethodNotAllowed, Error{
			Code:    "method_not_allowed",
			Message: "Served here: GET changes/{id} and POST changes/{id}/settle.",
		})
	}
}

func (h *Handler) fate(ctx *fasthttp.RequestCtx, id string) {
	t, ok := h.store.Fate(id)
	if !ok {
		write(ctx, fasthttp.StatusNotFound, Error{
			Code: "unknown", ChangeID: id,
			Message: fmt.Sprintf("No such change is in the log up to offset %d, or it is too old; it may yet take effect.", h.store.View().Offset()),
		})
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, Change{ID: t.ID, Result: t.Result, Offset: t.Offset})
}

// settle decides a change: it was accepted, was rejected, or never takes effect.
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
	t, err := h.store.Settle(context.Background(), id, base) // it has a time limit of its own
	if err != nil {
		h.log.Info("A change could not be settled.", "change", id, "err", err)
		writeError(ctx, resource.Change{ID: id, Base: base}, resource.Outcome{}, err)
		return
	}
	h.log.Info("A change is settled.", "change", id, "result", t.Result, "offset", t.Offset)
	reply.JSON(ctx, fasthttp.StatusOK, Change{ID: t.ID, Result: t.Result, Offset: t.Offset})
}

func settleHint(c resource.Change) string {
	return fmt.Sprintf("POST %s%s/%s/%s?base=%d decides it.", Prefix, changesPath, c.ID, settlePath, c.Base)
}
