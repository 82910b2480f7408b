package executor

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotReady is the kind of a call at an entry that has not read the stream yet. Not run.
	KindNotReady Kind = "not ready"
	// KindExpired is the kind of a key that is too old to be known. This call was not run.
	KindExpired Kind = "key expired"
	// KindFuture is the kind of a key whose time has not come. Not run.
	KindFuture Kind = "key from the future"
	// KindBodyDiffers is the kind of a call whose key belongs to another order. This call was not run.
	KindBodyDiffers Kind = "other body"
	// KindUnavailable is the kind of a call whose intent took no effect. This call was not run.
	KindUnavailable Kind = "log unavailable"
	// KindVoid is the kind of an order that was not run and never will be.
	KindVoid Kind = "void"
	// KindPending is the kind of an order that another attempt is executing.
	KindPending Kind = "pending"
	// KindUnknown is the kind of an order that may have run.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("order")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
