package engine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRefused is the kind of a call that the engine rejected. Nothing was executed.
	KindRefused Kind = "refused"
	// KindUnsent is the kind of a call that was not sent to the engine. Nothing was executed.
	KindUnsent Kind = "not sent"
	// KindLost is the kind of a call without a response, or of a broken stream. The engine
	// may have executed it or still be executing it.
	KindLost Kind = "lost"
	// KindUnknownStream is the kind of a resume of a stream that the engine doesn't have.
	KindUnknownStream Kind = "unknown stream"
	// KindSilent is the kind of a read that took longer than its limit.
	KindSilent Kind = "silent"
	// KindFenced is the kind of an order with an outdated fencing number. Nothing was
	// executed.
	KindFenced Kind = "fenced"
	// KindBadPiece is the kind of a stream that violated the protocol.
	KindBadPiece Kind = "bad piece"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("engine")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
