package experiment

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFile means that an experiment file can't be read or has an invalid field, which
	// the error names.
	KindFile Kind = "description"
	// KindPlot means that a plot can't be drawn or written.
	KindPlot Kind = "plot"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("experiment")

func fail(op string, kind Kind, format string, args ...any) error {
	return fault.New(&class, op, kind, fmt.Errorf(format, args...))
}
