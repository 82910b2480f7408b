package engine

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRefused means that the engine rejected the call. Nothing was executed.
	KindRefused Kind = "refused"
	// KindUnsent means that the call was not sent to the engine. Nothing was executed.
	KindUnsent Kind = "not sent"
	// KindLost means that the call got no response or that the stream broke. The engine
	// may have executed it or still be executing it.
	KindLost Kind = "lost"
	// KindUnknownStream means that the engine doesn't have the stream to resume.
	KindUnknownStream Kind = "unknown stream"
	// KindSilent means that a read took longer than its limit.
	KindSilent Kind = "silent"
	// KindFenced means that the fencing number of the order is outdated. Nothing was
	// executed.
	KindFenced Kind = "fenced"
	// KindBadPiece means that the stream violated the protocol.
	KindBadPiece Kind = "bad piece"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("engine")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
