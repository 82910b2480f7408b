package httpconn

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnsent is the kind of a request of which nothing was sent.
	KindUnsent Kind = "not sent"
	// KindNoAnswer is the kind of a request that may have reached the server but got no complete
	// response.
	KindNoAnswer Kind = "no answer"
	// KindSilent is the kind of a read that took longer than its limit.
	KindSilent Kind = "silent"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("upstream connection")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
