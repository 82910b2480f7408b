package resource

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid means that the object fails validation.
	KindInvalid Kind = "invalid"
	// KindConflict means that the expected version of the change is not the current
	// one.
	KindConflict Kind = "conflict"
	// KindInUse means that other objects refer to the object to delete.
	KindInUse Kind = "in use"
	// KindSettled means that the id of the change already has a fate.
	KindSettled Kind = "settled"
	// KindVoided means that the change was voided or has expired.
	KindVoided Kind = "voided"
	// KindSnapshot means that the snapshot is unusable.
	KindSnapshot Kind = "bad snapshot"
	// KindRecord means that a log record can't be encoded or decoded.
	KindRecord Kind = "bad record"
)

// resultOf returns the result for an error returned by the fold.
func resultOf(err error) Result {
	switch {
	case err == nil:
		return ResultAccepted
	case fault.Is(err, KindInUse):
		return ResultInUse
	case fault.Is(err, KindInvalid):
		return ResultInvalid
	default:
		return ResultConflict
	}
}

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("resource")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Violation describes an invalid field: its path, its value and the allowed values.
type Violation struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", v.Field, v.Value, v.Allowed)
}
