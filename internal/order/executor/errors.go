package executor

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotReady means that the entry has not read the stream to its end yet. The
	// call was not run.
	KindNotReady Kind = "not ready"
	// KindExpired means that the key is too old for its records to be known. This
	// call was not run; an earlier one may have been.
	KindExpired Kind = "key expired"
	// KindFuture means that the key's time is ahead of the entry's clock. The call
	// was not run.
	KindFuture Kind = "key from the future"
	// KindBodyDiffers means that the key belongs to another order. This call was not
	// run.
	KindBodyDiffers Kind = "other body"
	// KindUnavailable means that the log did not take the intent. This call was not
	// run.
	KindUnavailable Kind = "log unavailable"
	// KindVoid means that the order was not run and never will be.
	KindVoid Kind = "void"
	// KindPending means that the order is not known to have ended, or its answer
	// could not be read yet.
	KindPending Kind = "pending"
	// KindUnknown means that the order may have run.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("order")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
