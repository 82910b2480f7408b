package placement

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
)

// Kind classifies the errors of this package. A request that gets one has not run.
type Kind = scheduler.Kind

// The kinds of error, which are the scheduler's.
const (
	KindNoEngine   = scheduler.KindNoEngine
	KindTooLarge   = scheduler.KindTooLarge
	KindBusy       = scheduler.KindBusy
	KindTooLate    = scheduler.KindTooLate
	KindQueueFull  = scheduler.KindQueueFull
	KindRule       = scheduler.KindRule
	KindRetries    = scheduler.KindRetries
	KindCallerGone = scheduler.KindCallerGone
)

// Error is the error type of this package.
type Error = scheduler.Error

// RetryAfter returns the time after which to retry after an error of this package.
func RetryAfter(err error) time.Duration { return scheduler.RetryAfter(err) }
