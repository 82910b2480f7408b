package resource

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid is the kind of an object that breaks the rules of its kind.
	KindInvalid Kind = "invalid"
	// KindConflict is the kind of a change that replaces another version than the current one.
	KindConflict Kind = "conflict"
	// KindInUse is the kind of a delete of an object that others refer to.
	KindInUse Kind = "in use"
	// KindSettled is the kind of a change whose id has a fate already.
	KindSettled Kind = "settled"
	// KindVoided is the kind of a change that was voided first, or came too late.
	KindVoided Kind = "voided"
	// KindSnapshot is the kind of a snapshot that can't be used.
	KindSnapshot Kind = "bad snapshot"
	// KindRecord is the kind of a log record that can't be decoded.
	KindRecord Kind = "bad record"
)

// resultOf returns the result that an error of the fold stands for.
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

// Violation names a field, its value and what is allowed there.
type Violation struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the violation as a sentence.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", v.Field, v.Value, v.Allowed)
}
