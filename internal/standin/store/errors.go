package store

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable is the kind of a call during an outage.
	KindUnavailable Kind = "unavailable"
	// KindRateLimited is the kind of an append over the rate limit.
	KindRateLimited Kind = "rate limited"
	// KindGone is the kind of a read before the earliest record kept.
	KindGone Kind = "records gone"
	// KindAnswerLost is the kind of an append that took effect and has no answer.
	KindAnswerLost Kind = "answer lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("store stand-in")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
