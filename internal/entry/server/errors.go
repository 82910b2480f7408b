package server

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSetting means that a setting is invalid.
	KindSetting Kind = "bad setting"
	// KindListen means that the entry could not listen on an address.
	KindListen Kind = "can't listen"
	// KindDrain means that the shutdown ended with requests in progress.
	KindDrain Kind = "work left"
	// KindMissing means that a log record or an engine does not exist.
	KindMissing Kind = "missing"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("entry")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
