package store

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the store has an outage.
	KindUnavailable Kind = "unavailable"
	// KindRateLimited means that an append exceeds the rate limit.
	KindRateLimited Kind = "rate limited"
	// KindGone means that a read starts before the earliest retained record.
	KindGone Kind = "records gone"
	// KindAnswerLost means that an append took effect and its response was lost.
	KindAnswerLost Kind = "answer lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("store stand-in")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
