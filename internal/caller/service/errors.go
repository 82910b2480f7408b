package service

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindTooLarge means that an answer is longer than the limit.
const KindTooLarge Kind = "too large"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("service")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
