package membership

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable is the kind of a call that got no answer.
	KindUnreachable Kind = "unreachable"
	// KindReplaced is the kind of a call that another VM answered.
	KindReplaced Kind = "replaced"
	// KindForeign is the kind of a call to an entry of another failure domain.
	KindForeign Kind = "other failure domain"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("membership")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
