package config

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable is the kind of errors about a change that was not made
	// because the log is unreachable.
	KindUnavailable Kind = "log unavailable"
	// KindUnknown is the kind of errors about a change that may still take effect.
	KindUnknown Kind = "unknown"
	// KindRejected is the kind of errors about a change that the fold rejected. The
	// cause is the reason.
	KindRejected Kind = "rejected"
	// KindReused is the kind of errors about a change whose id an earlier, different
	// change has used.
	KindReused Kind = "change id used"
	// KindExpired is the kind of errors about fates and records that are no longer
	// retained.
	KindExpired Kind = "fate expired"
	// KindSnapshot is the kind of errors about an unusable snapshot.
	KindSnapshot Kind = "bad snapshot"
	// KindNoSnapshot is the kind of errors about a stream without a complete snapshot.
	KindNoSnapshot Kind = "no snapshot"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("config")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
