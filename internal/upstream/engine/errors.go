package engine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRefused is the kind of a call that the engine refused: nothing ran.
	KindRefused Kind = "refused"
	// KindUnsent is the kind of a call that did not reach the engine: nothing ran.
	KindUnsent Kind = "not sent"
	// KindLost is the kind of a call or stream without an answer: it may have run or run on.
	KindLost Kind = "lost"
	// KindUnknownStream is the kind of a resume of a stream that the engine does not keep.
	KindUnknownStream Kind = "unknown stream"
	// KindSilent is the kind of a read that took longer than its limit.
	KindSilent Kind = "silent"
	// KindFenced is the kind of an order with an old fencing number: nothing ran.
	KindFenced Kind = "fenced"
	// KindBadPiece is the kind of a stream that broke the protocol.
	KindBadPiece Kind = "bad piece"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("engine")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
