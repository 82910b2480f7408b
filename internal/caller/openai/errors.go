package openai

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// errorFor returns what the caller gets for a request that failed before its
// first token.
func errorFor(err error) *reply.Error {
	var p *placement.Error
	switch {
	case fault.Is(err, placement.KindTooLarge):
		return reply.Overloaded("prompt_too_large_now", "No group of engines can hold the prompt at present.", placement.RetryAfter(err))
	case errors.As(err, &p):
		return reply.Overloaded("overloaded", "No engine can take the request at present.", placement.RetryAfter(err))
	case fault.Is(err, engine.KindRefused), fault.Is(err, engine.KindUnsent):
		return reply.Overloaded("overloaded", "No engine took the request.", placement.RetryAfter(err))
	default:
		return lost(reply.RanUnknown)
	}
}

func lost(ran reply.Ran) *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "engine_lost",
		Message: "The engine was lost before the answer was whole.", Ran: ran,
	}
}

func timedOut(ran reply.Ran) *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusGatewayTimeout, Type: "server_error", Code: "timeout",
		Message: "The request's time limit ended before the answer was whole.", Ran: ran,
	}
}
