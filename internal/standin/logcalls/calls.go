// Package logcalls gives the log stand-in's calls the shape of the client's,
// without sockets, for tests in virtual time.
package logcalls

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/logservice"
)

const maxRead = 100 // records

var class = errs.Class("log calls")

// Translate gives an error of the stand-in the kind that the client would.
func Translate(err error) error {
	for from, to := range map[standin.Kind]logservice.Kind{
		standin.KindUnavailable: logservice.KindUnavailable,
		standin.KindRateLimited: logservice.KindRateLimited,
		standin.KindGone:        logservice.KindGone,
		standin.KindAnswerLost:  logservice.KindUnknown,
	} {
		if fault.Is(err, from) {
			return fault.New(&class, "call", to, err)
		}
	}
	return err
}

// Append appends records to a stream, like Client.Append.
func Append(ctx context.Context, l *standin.Log, stream string, records [][]byte) (uint64, error) {
	first, _, err := l.Append(ctx, stream, records)
	return first, Translate(err)
}

// Read reads records of a stream, like Client.Read.
func Read(ctx context.Context, l *standin.Log, stream string, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	recs, b, err := l.Read(ctx, stream, from, maxRead, wait)
	out := make([]logservice.Record, 0, len(recs))
	for _, r := range recs {
		out = append(out, logservice.Record(r))
	}
	return out, logservice.Bounds(b), Translate(err)
}
