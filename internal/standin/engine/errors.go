package engine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid is the kind of a request that can never succeed.
	KindInvalid Kind = "invalid"
	// KindNotFound is the kind of a call for an unknown stream, hold or model.
	KindNotFound Kind = "not found"
	// KindFull is the kind of a call that found no memory or no place in the queue, or an
	// engine that is leaving.
	KindFull Kind = "full"
	// KindConflict is the kind of a stream or hold whose id is in use.
	KindConflict Kind = "conflict"
	// KindFenced is the kind of an order with an old fencing number.
	KindFenced Kind = "fenced"
	// KindDead is the kind of every call to a dead engine.
	KindDead Kind = "dead"
	// KindAnswerLost is the kind of a call that took effect but gets no answer.
	KindAnswerLost Kind = "answer lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("engine stand-in")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
