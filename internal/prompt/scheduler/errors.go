package scheduler

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/refusal"
)

// Kind classifies the errors of this package. All of them mean that the request has not run.
type Kind string

const (
	// KindNoEngine means that no usable engine is left to try.
	KindNoEngine Kind = "no engine"
	// KindTooLarge means that no group of the current engines can hold the request in memory.
	KindTooLarge Kind = "too large"
	// KindBusy means that the request can't meet its deadline because of the work ahead
	// of it.
	KindBusy Kind = "busy"
	// KindTooLate means that a queued request can no longer meet its deadline.
	KindTooLate Kind = "too late"
	// KindQueueFull means that the queue was full.
	KindQueueFull Kind = "queue full"
	// KindRule means that a rule of the operator refuses the request.
	KindRule Kind = "rule"
	// KindRetries means that the retry budget of the workspace is used up.
	KindRetries Kind = "retry budget"
	// KindCallerGone means that the caller left before the request ran.
	KindCallerGone Kind = "caller left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("placement")

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

func refuse(op string, kind Kind, after time.Duration, format string, args ...any) error {
	return fault.New(&class, op, kind, refusal.New(after, minRetryAfter, maxRetryAfter, format, args...))
}

// RetryAfter returns the time after which to retry a request that failed with err.
func RetryAfter(err error) time.Duration { return refusal.After(err, 2*minRetryAfter) }
