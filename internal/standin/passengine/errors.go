package passengine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package. A call that returns one had no effect.
type Kind string

const (
	// KindGone is the kind of a call to an engine that is dead.
	KindGone Kind = "gone"
	// KindFull is the kind of a request or reservation that found no memory or no free place.
	KindFull Kind = "full"
	// KindHelper is the kind of a request with a dead or busy helper or an unusable reservation.
	KindHelper Kind = "helper"
	// KindInvalid is the kind of a call with arguments that can never succeed.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("pass engine")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
