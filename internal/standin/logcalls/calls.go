// Package logcalls adapts the fake store to the calls of logservice.Client, without
// sockets, for tests in virtual time.
package logcalls

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

const maxReadBytes = 64 << 10

var class = errs.Class("log calls")

// translate converts an error of the fake store to the kind that logservice.Client returns.
func translate(err error) error {
	for from, to := range map[store.Kind]logservice.Kind{
		store.KindUnavailable: logservice.KindUnavailable,
		store.KindRateLimited: logservice.KindRateLimited,
		store.KindGone:        logservice.KindGone,
		store.KindAnswerLost:  logservice.KindUnknown,
	} {
		if fault.Is(err, from) {
			return fault.New(&class, "call", to, err)
		}
	}
	return err
}

// Append appends records to a stream like logservice.Client.Append.
func Append(ctx context.Context, s *store.Store, stream string, records [][]byte) (uint64, error) {
	first, _, err := s.Append(ctx, stream, records)
	if err != nil {
		return 0, translate(err)
	}
	return first + 1, nil
}

// Read reads records of a stream like logservice.Client.Read.
func Read(ctx context.Context, s *store.Store, stream string, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	recs, b, err := s.Read(ctx, stream, max(from, 1)-1, maxReadBytes, wait)
	if fault.Is(err, store.KindGone) && from > b.Next {
		err = nil // past the end
	}
	out := make([]logservice.Record, 0, len(recs))
	for _, r := range recs {
		out = append(out, logservice.Record{Offset: r.Offset + 1, Time: r.Time, Data: r.Data})
	}
	return out, bounds(b), translate(err)
}

// bounds converts the bounds of a topic, whose offsets start at 0, to those of a stream,
// whose offsets start at 1.
func bounds(b store.Bounds) logservice.Bounds {
	return logservice.Bounds{Epoch: b.Epoch, Earliest: b.First + 1, Next: b.Next + 1}
}
