package config

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the change was not made because the log is
	// unreachable.
	KindUnavailable Kind = "log unavailable"
	// KindUnknown means that the change may still take effect.
	KindUnknown Kind = "unknown"
	// KindRejected means that the fold rejected the change. The cause is the reason.
	KindRejected Kind = "rejected"
	// KindReused means that an earlier, different change has used the id.
	KindReused Kind = "change id used"
	// KindExpired means that the fates or records are no longer retained.
	KindExpired Kind = "fate expired"
	// KindSnapshot means that the snapshot is unusable.
	KindSnapshot Kind = "bad snapshot"
	// KindNoSnapshot means that the stream has no complete snapshot.
	KindNoSnapshot Kind = "no snapshot"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("config")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
