// Package fault provides the error type that all packages share: an operation, a kind
// and a cause, prefixed with the name of an errs class.
package fault

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error describes a failed operation. K is the kind type of the package that returns it.
type Error[K ~string] struct {
	op       string
	kind     K
	cause    error
	classErr error // has the class and the full text
}

// New returns an error of the class for the operation, with its kind and cause.
// With a nil cause the text ends after the kind.
func New[K ~string](class *errs.Class, op string, kind K, cause error) error {
	e := &Error[K]{op: op, kind: kind, cause: cause}
	if cause == nil {
		e.classErr = class.New("%s: %s", op, kind)
	} else {
		e.classErr = class.New("%s: %s: %v", op, kind, cause)
	}
	return e
}

// Op returns the operation that failed.
func (e *Error[K]) Op() string { return e.op }

// Kind returns the kind of the failure.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the errs error of the class and, if there is one, the cause.
func (e *Error[K]) Unwrap() []error {
	if e.cause == nil {
		return []error{e.classErr}
	}
	return []error{e.classErr, e.cause}
}

// Error returns "class: operation: kind: cause".
func (e *Error[K]) Error() string { return e.classErr.Error() }

// Is reports whether any error of type K in the chain of err has the kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.kind == kind
}
