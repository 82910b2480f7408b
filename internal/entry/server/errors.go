package server

import (
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSetting is the kind of a setting that is not allowed.
	KindSetting Kind = "bad setting"
	// KindListen is the kind of an address that can't be listened on.
	KindListen Kind = "can't listen"
	// KindDrain is the kind of a shutdown that left work behind.
	KindDrain Kind = "work left"
	// KindMissing is the kind of a record of the log, or an engine, that is not there.
	KindMissing Kind = "missing"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("entry")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }
