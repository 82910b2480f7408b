package placement

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
)

// Kind classifies the errors of this package. Nothing ran where one is returned.
type Kind = scheduler.Kind

// The kinds of error, as the scheduler describes them.
const (
	KindNoEngine  = scheduler.KindNoEngine
	KindTooLarge  = scheduler.KindTooLarge
	KindBusy      = scheduler.KindBusy
	KindTooLate   = scheduler.KindTooLate
	KindQueueFull = scheduler.KindQueueFull
	KindRule      = scheduler.KindRule
	KindRetries   = scheduler.KindRetries
	KindGone      = scheduler.KindGone
)

// Error is the error type of this package.
type Error = scheduler.Error

// RetryAfter returns when to come back after an error of this package.
func RetryAfter(err error) time.Duration { return scheduler.RetryAfter(err) }
