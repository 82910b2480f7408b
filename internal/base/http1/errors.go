package http1

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindStatus means that a response has no valid status.
	KindStatus Kind = "invalid status"
	// KindField means that the name of a header field is not valid.
	KindField Kind = "invalid field name"
	// KindFraming means that the head does not tell where the body ends.
	KindFraming Kind = "faulty framing"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("http/1")

func fail(kind Kind, err error) error { return fault.New(&class, "read head", kind, err) }
