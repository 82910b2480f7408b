package httpconn

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnsent means that nothing of the request was sent.
	KindUnsent Kind = "not sent"
	// KindNoAnswer means that the request may have reached the server but got no
	// complete response.
	KindNoAnswer Kind = "no answer"
	// KindSilent means that a read took longer than its limit.
	KindSilent Kind = "silent"
	// KindTooLarge means that the server sent more than is allowed.
	KindTooLarge Kind = "too large"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("upstream connection")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
