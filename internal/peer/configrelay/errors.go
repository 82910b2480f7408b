package configrelay

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNoPeer is the kind of a call that no other entry could answer.
	KindNoPeer Kind = "no entry answers"
	// KindBehind is the kind of an answer of an entry that has nothing newer.
	KindBehind Kind = "entry is behind"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("config relay")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
