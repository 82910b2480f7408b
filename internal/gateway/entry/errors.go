package entry

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindListen means that an address can't be listened on.
	KindListen Kind = "can't listen"
	// KindUnsent means that no byte of the request was sent.
	KindUnsent Kind = "not sent"
	// KindNotRun means that the upstream states that it did not run the request.
	KindNotRun Kind = "not run"
	// KindUnknown means that the request was sent and may have run.
	KindUnknown Kind = "may have run"
	// KindTooLarge means that an upstream sent more than is allowed.
	KindTooLarge Kind = "too large"
	// KindRefused means that the entry refused the request without sending it.
	KindRefused Kind = "refused"
	// KindLease means that no memory could be reserved for a prompt.
	KindLease Kind = "memory not reserved"
	// KindHeld means that engines crash on a segment of the prompt.
	KindHeld Kind = "held back"
	// KindCallerGone means that the caller disconnected.
	KindCallerGone Kind = "caller left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("gateway")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
