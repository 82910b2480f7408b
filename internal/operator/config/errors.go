package config

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable is the kind of a change that was not made: the log can't be reached.
	KindUnavailable Kind = "log unavailable"
	// KindUnknown is the kind of a change that may yet take effect.
	KindUnknown Kind = "unknown"
	// KindRejected is the kind of a change that the fold rejected. The cause says why.
	KindRejected Kind = "rejected"
	// KindReused is the kind of a change whose id an earlier, other change has.
	KindReused Kind = "change id used"
	// KindExpired is the kind of a question about a change whose fate is kept no more.
	KindExpired Kind = "fate expired"
	// KindSnapshot is the kind of a snapshot that can't be used.
	KindSnapshot Kind = "bad snapshot"
	// KindNoSnapshot is the kind of a stream without a whole snapshot.
	KindNoSnapshot Kind = "no snapshot"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("config")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
