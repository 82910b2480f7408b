package passes

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
	// KindTooLarge is the kind of a request that the engines can't hold.
	KindTooLarge Kind = "too large"
	// KindBusy is the kind of a request that can't be answered in time with the
	// work that is ahead of it.
	KindBusy Kind = "busy"
	// KindTooLate is the kind of a request that can't be answered in time any more.
	KindTooLate Kind = "too late"
	// KindGone is the kind of a request whose caller left.
	KindGone Kind = "caller left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("passes")

const (
	// minRetryAfter is about two passes: sooner nothing has changed.
	minRetryAfter = 120 * time.Millisecond
	// maxRetryAfter is the longest that callers of the platform wait at all, a third of their patience.
	maxRetryAfter = 5 * time.Second
)

func refuse(op string, kind Kind, after time.Duration, format string, args ...any) error {
	return fault.New(&class, op, kind, refusal.New(after, minRetryAfter, maxRetryAfter, format, args...))
}

// RetryAfter returns when to come back after an error of this package.
func RetryAfter(err error) time.Duration { return refusal.After(err, minRetryAfter) }
