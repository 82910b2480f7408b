package openai

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// leavingRetryAfter is the Retry-After of an entry that is shutting down.
const leavingRetryAfter = time.Second

// runError returns the caller's error for a request that failed before its first token
// while its call was not ended. If mayHaveRun is set, an engine may have run the request.
func runError(mayHaveRun bool, err error) *reply.Error {
	var p *placement.Error
	switch {
	case mayHaveRun:
		return engineLost(reply.RanUnknown)
	case errors.As(err, &p):
		return placementRefused(p.Kind(), placement.RetryAfter(err))
	case fault.Is(err, engine.KindRefused), fault.Is(err, engine.KindUnsent):
		return reply.Overloaded("overloaded", "No engine took the request.", placement.RetryAfter(err))
	default:
		return engineLost(reply.RanUnknown)
	}
}

// placementRefused returns the error for a request that placement refused.
func placementRefused(kind placement.Kind, after time.Duration) *reply.Error {
	switch kind {
	case placement.KindTooLarge:
		return reply.Overloaded("prompt_too_large_now", "No group of engines can hold the prompt at present.", after)
	case placement.KindNoEngine:
		return reply.Overloaded("no_engine", "No engine that serves the model can be reached at present.", after)
	case placement.KindTooLate:
		return reply.Overloaded("too_late", "The request waited and can't be answered within its time limit any more.", after)
	case placement.KindQueueFull:
		return reply.Overloaded("queue_full", "Too many requests wait at this entry.", after)
	case placement.KindRetries:
		return reply.Overloaded("retry_budget", "Engines failed the request, and the workspace's budget of retries is used up.", after)
	case placement.KindRule:
		return reply.RateLimited("refused_by_rule", "A rule of the operator refuses the request at present.", after)
	default:
		return reply.Overloaded("overloaded", "The request can't be answered within its time limit with the work ahead of it.", after)
	}
}

func engineLost(ran reply.Ran) *reply.Error {
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

func cancelled(ran reply.Ran) *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusConflict, Type: "invalid_request_error", Code: "cancelled",
		Message: "The request was cancelled before the answer was whole.", Ran: ran,
	}
}

// callerGone is the error for a caller that closed its connection and doesn't read it.
func callerGone(ran reply.Ran) *reply.Error {
	return &reply.Error{
		Status: statusClientClosed, Type: "invalid_request_error", Code: "caller_gone",
		Message: "The caller closed its connection.", Ran: ran,
	}
}

// resumedElsewhere is the error on the old connection of a response that its caller
// resumed on another.
func resumedElsewhere() *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusConflict, Type: "invalid_request_error", Code: "resumed_elsewhere",
		Message: "The answer goes on where its caller has resumed it.", Ran: reply.RanPartial,
	}
}

// entryLeaving is the error of an entry that is shutting down. It tells the caller to
// retry at another entry, or to resume there if the request may have run.
func entryLeaving(id string, ran reply.Ran) *reply.Error {
	if ran == reply.RanNo {
		return reply.Overloaded("leaving", "This entry is leaving; another one serves.", leavingRetryAfter)
	}
	return &reply.Error{
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: "entry_leaving",
		Message: "This entry is leaving. The answer goes on: GET " + ResponsesPrefix + id + " with Last-Event-ID.",
		Ran:     ran, RetryAfter: leavingRetryAfter,
	}
}
