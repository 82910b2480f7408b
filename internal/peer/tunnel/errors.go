package tunnel

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable means that the other entry can't be reached.
	KindUnreachable Kind = "entry unreachable"
	// KindRefused means that the other entry does not connect to the upstream.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("tunnel")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
