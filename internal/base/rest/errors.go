package rest

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRequest means that the request could not be encoded.
	KindRequest Kind = "bad request"
	// KindUnreachable means that nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindNoAnswer means that no response came; the call may have taken effect.
	KindNoAnswer Kind = "no answer"
	// KindStatus means that the response has a status of 400 or more.
	KindStatus Kind = "status"
	// KindDecode means that the response could not be decoded.
	KindDecode Kind = "bad answer"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("rest")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// unreachableError marks a failed dial: nothing was sent.
type unreachableError struct{ error }

// Unwrap returns the error of the dial.
func (e *unreachableError) Unwrap() error { return e.error }

// StatusError is the cause of an error of KindStatus.
type StatusError struct {
	status     int
	retryAfter string
	body       []byte
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// RetryAfter returns the Retry-After header, or "".
func (e *StatusError) RetryAfter() string { return e.retryAfter }

// Body returns the response body.
func (e *StatusError) Body() []byte { return e.body }

// Error returns the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.body) }

// Status returns the HTTP status in the chain of err, or 0 if there is none.
func Status(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.status
	}
	return 0
}
