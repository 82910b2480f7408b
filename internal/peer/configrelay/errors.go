package configrelay

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNoPeer marks a call that no other entry answered.
	KindNoPeer Kind = "no entry answers"
	// KindBehind marks a response of an entry that has no newer records.
	KindBehind Kind = "entry is behind"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("config relay")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
