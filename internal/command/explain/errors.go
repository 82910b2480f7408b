package explain

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindInput means that reading the log input failed.
const KindInput Kind = "input"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("explain")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
