package experiment

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFile is the kind of a description that can't be read or played. Its error
	// names the field.
	KindFile Kind = "description"
	// KindPlot is the kind of a plot that can't be drawn or written.
	KindPlot Kind = "plot"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("experiment")

func fail(op string, kind Kind, format string, args ...any) error {
	return fault.New(&class, op, kind, fmt.Errorf(format, args...))
}
