// Package reply holds what the callers' interfaces share: error and JSON responses,
// the bearer key and the request's time limit.
package reply

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderRequestID is the header with the ID of a request.
const HeaderRequestID = "X-Request-Id"

// Ran tells a caller whether a failed request was run.
type Ran string

const (
	// RanNo means that the request was not run and won't be.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
	// RanPartial means that a part of the request ran.
	RanPartial Ran = "partial"
)

// Error is an error response.
type Error struct {
	Status     int
	Type       string
	Code       string
	Param      string
	Message    string
	Ran        Ran
	RetryAfter time.Duration // no header if zero
}

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     Ran     `json:"ran"`
}

// JSON returns the error object without a trailing newline.
func (e *Error) JSON() []byte {
	o := errorObject{Message: e.Message, Type: e.Type, Code: e.Code, Ran: e.Ran}
	if e.Param != "" {
		o.Param = &e.Param
	}
	b, err := json.Marshal(errorBody{o})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null,"code":"internal","ran":"unknown"}}`)
	}
	return b
}

// Write sets the response to the error.
func (e *Error) Write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		secs := int(math.Ceil(e.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(secs))
	}
	ctx.SetBody(e.JSON())
}

// InvalidRequest returns a 400 error about a field of the request.
func InvalidRequest(param, message string) *Error {
	return &Error{
		Status: fasthttp.StatusBadRequest, Type: "invalid_request_error", Code: "invalid_value",
		Param: param, Message: message, Ran: RanNo,
	}
}

// Unauthorized returns the 401 error of a request without a valid key. It is
// the same whether or not the requested resource exists.
func Unauthorized() *Error {
	return &Error{
		Status: fasthttp.StatusUnauthorized, Type: "invalid_request_error", Code: "invalid_api_key",
		Message: "The bearer key is missing or not valid.", Ran: RanNo,
	}
}

// NotFound returns a 404 error.
func NotFound(code, message string) *Error {
	return &Error{
		Status: fasthttp.StatusNotFound, Type: "invalid_request_error", Code: code,
		Message: message, Ran: RanNo,
	}
}

// MethodNotAllowed sets the response to a 405 error that names the methods of the
// path.
func MethodNotAllowed(ctx *fasthttp.RequestCtx, allowed string) {
	(&Error{
		Status: fasthttp.StatusMethodNotAllowed, Type: "invalid_request_error", Code: "method_not_allowed",
		Message: string(ctx.Method()) + " is not served here; allowed: " + allowed + ".", Ran: RanNo,
	}).Write(ctx)
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
}

// Overloaded returns a 503 error that tells when to retry.
func Overloaded(code, message string, retryAfter time.Duration) *Error {
	return &Error{
		Status: fasthttp.StatusServiceUnavailable, Type: "server_error", Code: code,
		Message: message, Ran: RanNo, RetryAfter: retryAfter,
	}
}

// RateLimited returns a 429 error that tells when to retry.
func RateLimited(code, message string, retryAfter time.Duration) *Error {
	return &Error{
		Status: fasthttp.StatusTooManyRequests, Type: "rate_limit_error", Code: code,
		Message: message, Ran: RanNo, RetryAfter: retryAfter,
	}
}

// Bearer returns the bearer key of a request, or "" if there is none.
func Bearer(ctx *fasthttp.RequestCtx) string {
	scheme, key, ok := strings.Cut(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// JSON sets the response to the value as JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error("can't encode the answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}

// Patience returns the time limit that the caller set in X-Request-Timeout, or
// fallback if the header is missing. A value that is not a number of seconds above
// 0 and up to limit is a 400 error.
func Patience(ctx *fasthttp.RequestCtx, fallback, limit time.Duration) (time.Duration, *Error) {
	text := string(ctx.Request.Header.Peek(HeaderTimeout))
	if text == "" {
		return fallback, nil
	}
	secs, err := strconv.ParseFloat(text, 64)
	if err != nil || !(secs > 0 && secs <= limit.Seconds()) {
		return 0, InvalidRequest(HeaderTimeout, HeaderTimeout+": want a number of seconds, above 0 and up to "+
			strconv.FormatFloat(limit.Seconds(), 'g', -1, 64)+".")
	}
	return time.Duration(secs * float64(time.Second)), nil
}

// HeaderTimeout is the header with the caller's time limit in seconds.
const HeaderTimeout = "X-Request-Timeout"
