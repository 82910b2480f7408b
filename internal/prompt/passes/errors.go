package passes

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/refusal"
)

// Kind classifies the errors of this package. The prompt of a ticket with such an error was
// not sent to any engine.
type Kind string

const (
	// KindNoEngine means that no engine is left to try.
	KindNoEngine Kind = "no engine"
	// KindTooLarge means that the request needs more memory than the usable engines have.
	KindTooLarge Kind = "too large"
	// KindBusy means that the request can't be answered in time after the queued requests,
	// or that the queue is full.
	KindBusy Kind = "busy"
	// KindTooLate means that the request can't be answered in time any more.
	KindTooLate Kind = "too late"
	// KindCallerGone means that the caller left while the request waited.
	KindCallerGone Kind = "caller left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("passes")

const (
	// minRetryAfter is about two passes: the load doesn't change earlier.
	minRetryAfter = 120 * time.Millisecond
	// maxRetryAfter is a third of the callers' time limit, the longest that they wait before
	// a retry.
	maxRetryAfter = 5 * time.Second
)

func refuse(op string, kind Kind, after time.Duration, format string, args ...any) error {
	return fault.New(&class, op, kind, refusal.New(after, minRetryAfter, maxRetryAfter, format, args...))
}

// RetryAfter returns the time after which to retry for an error of this package.
func RetryAfter(err error) time.Duration { return refusal.After(err, minRetryAfter) }
