package owner

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRecord means that a record can't be encoded or decoded.
	KindRecord Kind = "bad record"
	// KindUnclaimed means that the upstream could not be claimed.
	KindUnclaimed Kind = "not claimed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("upstream owner")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
