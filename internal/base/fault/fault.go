// Package fault holds the error shape shared by the error types of all packages:
// an operation, a kind and a cause, under the prefix of an errs class.
package fault

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is a failed operation. K is the kind type of the package that returns it.
type Error[K ~string] struct {
	op      string
	kind    K
	cause   error
	classed error // carries the class and the text
}

// New returns an error of the class for the operation, with its kind and cause.
// A nil cause leaves the operation and the kind alone.
func New[K ~string](class *errs.Class, op string, kind K, cause error) error {
	e := &Error[K]{op: op, kind: kind, cause: cause}
	if cause == nil {
		e.classed = class.New("%s: %s", op, kind)
	} else {
		e.classed = class.New("%s: %s: %v", op, kind, cause)
	}
	return e
}

// Op returns the operation that failed.
func (e *Error[K]) Op() string { return e.op }

// Kind returns the kind of the failure.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the errs error of the class, and the cause where there is one.
func (e *Error[K]) Unwrap() []error {
	if e.cause == nil {
		return []error{e.classed}
	}
	return []error{e.classed, e.cause}
}

// Error returns "class: operation: kind: cause".
func (e *Error[K]) Error() string { return e.classed.Error() }

// Is reports whether any error of type K in the chain of err has the kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.kind == kind
}
