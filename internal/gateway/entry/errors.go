package entry

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindListen is the kind of an address that can't be listened on.
	KindListen Kind = "can't listen"
	// KindUnsent is the kind of a request of which no byte was sent.
	KindUnsent Kind = "not sent"
	// KindNotRun is the kind of a request that the upstream says it did not run.
	KindNotRun Kind = "not run"
	// KindUnknown is the kind of a request that was sent and may have run.
	KindUnknown Kind = "may have run"
	// KindRefused is the kind of a request that the entry refuses; it was not sent.
	KindRefused Kind = "refused"
	// KindHold is the kind of a prompt for which memory could not be set aside.
	KindHold Kind = "memory not held"
	// KindGone is the kind of a request whose caller left.
	KindGone Kind = "caller left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("gateway")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
