// Package logservice keeps the project's streams in topics of the platform's store.
package logservice

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// readMost bounds what one read returns, in bytes; the store's own bound is 1 MiB.
	readMost = 1 << 20
	// timeBytes are before each record's data: the writer's time of day, in Unix
	// nanoseconds. The store keeps no times of its own.
	timeBytes = 8
	// storeEpoch is the epoch of every stream: the store loses nothing that it has
	// acknowledged, so there is never another log.
	storeEpoch = "1"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable is the kind of a call that took no effect.
	KindUnavailable Kind = "unavailable"
	// KindRateLimited is the kind of an append over the store's rate limit. It took no effect.
	KindRateLimited Kind = "rate limited"
	// KindUnknown is the kind of an append that may have taken effect.
	KindUnknown Kind = "unknown"
	// KindGone is the kind of a read of offsets that the store no longer keeps.
	KindGone Kind = "records gone"
	// KindEpoch is the kind of a log that is another one than the one followed.
	KindEpoch Kind = "another log"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("log")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Record is a record of a stream. Its time is its writer's; the clocks of VMs may be
// seconds apart.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Bounds are the ends of a stream: the first offset kept and the next one. Offsets of
// streams start at 1, since 0 stands for none; those of the store's topics start at 0.
type Bounds struct {
	Epoch    string
	Earliest uint64
	Next     uint64
}

// Client reads and appends to streams. Its methods may be called from any goroutine.
type Client struct {
	store *platform.Store
}

// NewClient returns a client that keeps its streams in the store.
func NewClient(store *platform.Store) *Client { return &Client{store: store} }

// Append adds the records as one group and returns the offset of the first.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	now := uint64(time.Now().UnixNano())
	stamped := make([][]byte, 0, len(records))
	for _, r := range records {
		stamped = append(stamped, append(binary.BigEndian.AppendUint64(make([]byte, 0, timeBytes+len(r)), now), r...))
	}
	first, err := c.store.AppendLog(ctx, stream, stamped)
	if err != nil {
		return 0, classify("append", err)
	}
	return first + 1, nil
}

// Read returns records from the offset on, at most 1 MiB of them. With none there it
// waits up to wait for one and may then return none.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	records, ends, err := c.store.ReadLog(ctx, stream, max(from, 1)-1, readMost, wait)
	b := Bounds{Epoch: storeEpoch, Earliest: ends.First + 1, Next: ends.Next + 1}
	if fault.Is(err, platform.KindTrimmed) {
		b.Next = max(b.Next, b.Earliest) // the store names the first end alone
	}
	if err != nil {
		return nil, b, classify("read", err)
	}
	out := make([]Record, 0, len(records))
	for _, r := range records {
		if len(r.Data) < timeBytes {
			return nil, b, fail("read", KindUnknown, errNoTime)
		}
		at := time.Unix(0, int64(binary.BigEndian.Uint64(r.Data)))
		out = append(out, Record{Offset: r.Offset + 1, Time: at, Data: r.Data[timeBytes:]})
	}
	return out, b, nil
}

var errNoTime = errors.New("a record without a time")

// Appends returns the seam of an Appender of the stream.
func (c *Client) Appends(stream string) func(ctx context.Context, records [][]byte) (uint64, error) {
	return func(ctx context.Context, records [][]byte) (uint64, error) { return c.Append(ctx, stream, records) }
}

// Reads returns the seam of a Follower of the stream.
func (c *Client) Reads(stream string) func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
		return c.Read(ctx, stream, from, wait)
	}
}

// classify says what an error of the store means for a stream.
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
