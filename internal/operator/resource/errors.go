package resource

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid is the kind of errors about an object that fails validation.
	KindInvalid Kind = "invalid"
	// KindConflict is the kind of errors about a change whose expected version is not
	// the current one.
	KindConflict Kind = "conflict"
	// KindInUse is the kind of errors about a delete of an object that others refer to.
	KindInUse Kind = "in use"
	// KindSettled is the kind of errors about a change whose id already has a fate.
	KindSettled Kind = "settled"
	// KindVoided is the kind of errors about a change that was voided or has expired.
	KindVoided Kind = "voided"
	// KindSnapshot is the kind of errors about an unusable snapshot.
	KindSnapshot Kind = "bad snapshot"
	// KindRecord is the kind of encoding and decoding errors of log records.
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
