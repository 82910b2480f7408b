package placement

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package. Nothing ran where one is returned.
type Kind string

const (
	// KindNoEngine is the kind of a request for which no engine is left to try.
	KindNoEngine Kind = "no engine"
	// KindTooLarge is the kind of a request that the fleet as it stands can't hold.
	KindTooLarge Kind = "too large"
	// KindBusy is the kind of a request that found no memory in time.
	KindBusy Kind = "busy"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("placement")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// RetryAfter returns when to come back after an error of this package.
func RetryAfter(error) time.Duration { return retryAfter }
