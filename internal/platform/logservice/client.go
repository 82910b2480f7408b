// Package logservice implements append-only record streams on topics of the platform's
// store, with batching appenders and followers.
package logservice

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// maxReadBytes bounds the records of one read in bytes. The store's own limit is 1 MiB, and
	// minReadBytes the lowest that can be asked for.
	maxReadBytes = 1 << 20
	minReadBytes = 1 << 10
	// timestampBytes is the size of the header of each record: the writer's wall-clock time
	// in Unix nanoseconds, since the store keeps no timestamps.
	timestampBytes = 8
	// unnamedEpoch is the epoch of every stream of a store that names none.
	unnamedEpoch = "1"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the call failed without effect.
	KindUnavailable Kind = "unavailable"
	// KindRateLimited means that the store's rate limit rejected the append, without
	// effect.
	KindRateLimited Kind = "rate limited"
	// KindUnknown means that the append may have taken effect.
	KindUnknown Kind = "unknown"
	// KindGone means that the store no longer keeps the offsets to read.
	KindGone Kind = "records gone"
	// KindEpoch means that the log is not the one followed so far.
	KindEpoch Kind = "another log"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("log")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Record is a record of a stream. Time is the writer's wall clock; the clocks of VMs
// may differ by seconds.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Bounds are the first offset that a stream keeps and the next one to be written.
// Stream offsets start at 1, with 0 for none; offsets of the store's topics start at 0.
type Bounds struct {
	Epoch    string
	Earliest uint64
	Next     uint64
}

// Client reads and appends to streams. It is safe for concurrent use.
type Client struct {
	store *platform.Store
}

// NewClient returns a Client of the streams in the store.
func NewClient(store *platform.Store) *Client { return &Client{store: store} }

// Append appends the records as one group and returns the offset of the first.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	now := uint64(time.Now().UnixNano())
	stamped := make([][]byte, 0, len(records))
	for _, r := range records {
		stamped = append(stamped, append(binary.BigEndian.AppendUint64(make([]byte, 0, timestampBytes+len(r)), now), r...))
	}
	first, err := c.store.AppendLog(ctx, stream, stamped)
	if err != nil {
		return 0, classify("append", err)
	}
	return first + 1, nil
}

// Read returns at most 1 MiB of records starting at the offset. If there is none it
// waits up to the given time for one and may return no records. Past the end it returns
// none at once.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	records, ends, err := c.store.ReadLog(ctx, stream, max(from, 1)-1, maxReadBytes, wait)
	gone := fault.Is(err, platform.KindTrimmed)
	if gone { // the store tells the end only with records that it has
		var endsErr error
		if _, ends, endsErr = c.store.ReadLog(ctx, stream, ends.First, minReadBytes, 0); endsErr != nil {
			return nil, Bounds{Epoch: epochName(ends.Epoch)}, classify("read", endsErr)
		}
	}
	b := Bounds{Epoch: epochName(ends.Epoch), Earliest: ends.First + 1, Next: ends.Next + 1}
	if gone && from > b.Next {
		return nil, b, nil
	}
	if err != nil {
		return nil, b, classify("read", err)
	}
	out := make([]Record, 0, len(records))
	for _, r := range records {
		if len(r.Data) < timestampBytes {
			return nil, b, fail("read", KindUnknown, errNoTimestamp)
		}
		at := time.Unix(0, int64(binary.BigEndian.Uint64(r.Data)))
		out = append(out, Record{Offset: r.Offset + 1, Time: at, Data: r.Data[timestampBytes:]})
	}
	return out, b, nil
}

// epochName returns the epoch of the store, which changes when it is restored from a copy.
func epochName(n uint64) string {
	if n == platform.NoEpoch {
		return unnamedEpoch
	}
	return strconv.FormatUint(n, 10)
}

var errNoTimestamp = errors.New("the record is too short for a timestamp")

// Appends returns the Append function for an Appender of the stream.
func (c *Client) Appends(stream string) func(ctx context.Context, records [][]byte) (uint64, error) {
	return func(ctx context.Context, records [][]byte) (uint64, error) { return c.Append(ctx, stream, records) }
}

// Reads returns the Read function for a Follower of the stream.
func (c *Client) Reads(stream string) func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
		return c.Read(ctx, stream, from, wait)
	}
}

// classify converts an error of the store to one of this package.
func classify(op string, err error) error {
	switch {
	case fault.Is(err, platform.KindRateLimited):
		return fail(op, KindRateLimited, err)
	case fault.Is(err, platform.KindTrimmed):
		return fail(op, KindGone, err)
	case fault.Is(err, platform.KindRefused):
		return fail(op, KindUnavailable, err)
	default:
		return fail(op, KindUnknown, err)
	}
}
