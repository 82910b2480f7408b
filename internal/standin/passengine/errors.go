package passengine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package. Nothing ran where one is returned.
type Kind string

const (
	// KindGone is the kind of a call to an engine that is dead.
	KindGone Kind = "gone"
	// KindFull is the kind of a request or reservation for which there is no room.
	KindFull Kind = "full"
	// KindHelper is the kind of a request whose helper can't help.
	KindHelper Kind = "helper"
	// KindInvalid is the kind of a call that no engine can carry out.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("pass engine")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
