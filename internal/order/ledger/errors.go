package ledger

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindRecord means that a record can't be encoded or decoded.
const KindRecord Kind = "bad record"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("order ledger")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
