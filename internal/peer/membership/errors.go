package membership

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable means that a call failed or got no reply in time.
	KindUnreachable Kind = "unreachable"
	// KindReplaced means that another VM answered at the entry's address.
	KindReplaced Kind = "replaced"
	// KindOtherDomain means that the called entry belongs to another failure domain.
	KindOtherDomain Kind = "other failure domain"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("membership")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
