package scheduler

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/refusal"
)

// Kind classifies the errors of this package. Nothing ran where one is returned.
type Kind string

const (
	// KindNoEngine is the kind of a request for which no engine is left to try.
	KindNoEngine Kind = "no engine"
	// KindTooLarge is the kind of a request that the fleet as it stands can't hold.
	KindTooLarge Kind = "too large"
	// KindBusy is the kind of a request that can't be answered in time with the
	// work that is ahead of it.
	KindBusy Kind = "busy"
	// KindTooLate is the kind of a request that waited and can't be answered in time any more.
	KindTooLate Kind = "too late"
	// KindQueueFull is the kind of a request that found the queue full.
	KindQueueFull Kind = "queue full"
	// KindRule is the kind of a request that an operator's rule refuses.
	KindRule Kind = "rule"
	// KindRetries is the kind of a request whose workspace has used up its retries.
	KindRetries Kind = "retry budget"
	// KindGone is the kind of a request whose caller left.
	KindGone Kind = "caller left"
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

// RetryAfter returns when to come back after an error of this package.
func RetryAfter(err error) time.Duration { return refusal.After(err, 2*minRetryAfter) }
