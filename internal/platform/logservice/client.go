// Package logservice is a client of the platform's append-only log service.
package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
)

const (
	// callTimeout bounds an append.
	callTimeout = 5 * time.Second
	// readSlack is added to the time that a read may wait for a record.
	readSlack = 2 * time.Second
	// maxCall bounds a read that waits for a record.
	maxCall = time.Minute
	// MaxRecords is the largest number of records asked for in one read.
	MaxRecords = 1000
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable is the kind of a call that took no effect.
	KindUnavailable Kind = "unavailable"
	// KindRateLimited is the kind of an append over the service's rate limit. It took no effect.
	KindRateLimited Kind = "rate limited"
	// KindUnknown is the kind of an append that may have taken effect.
	KindUnknown Kind = "unknown"
	// KindGone is the kind of a read of offsets that the service no longer keeps.
	KindGone Kind = "records gone"
	// KindEpoch is the kind of a log that is another one than the one followed.
	KindEpoch Kind = "another log"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("log service")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Record is a record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Bounds are the ends of a stream: the first offset kept and the next one.
type Bounds struct {
	Epoch    string `json:"epoch"`
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendAnswer struct {
	Bounds
	First uint64 `json:"first"`
}

type readAnswer struct {
	Bounds
	Records []Record `json:"records"`
}

// Client calls the log service. Its methods may be called from any goroutine.
type Client struct {
	rc *rest.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(network *netio.Network, base string) *Client {
	return &Client{rc: rest.New(network, base, maxCall)}
}

// Append adds the records as one group and returns the offset of the first.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out appendAnswer
	err := rest.Call(ctx, c.rc, http.MethodPost, recordsPath(stream), &appendRequest{Records: records}, &out)
	if err != nil {
		return 0, classify("append", err)
	}
	return out.First, nil
}

// Read returns the records from the offset on. With none there it waits up to
// wait for one and may then return none.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	return c.read(ctx, stream, from, MaxRecords, wait)
}

func (c *Client) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]Record, Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", recordsPath(stream), from, limit, wait.Milliseconds())
	var out readAnswer
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, path, nil, &out)
	if rest.Status(err) == http.StatusGone {
		return nil, goneBounds(err), classify("read", err)
	}
	if err != nil {
		return nil, Bounds{}, classify("read", err)
	}
	return out.Records, out.Bounds, nil
}

// goneBounds returns the bounds that an answer 410 carries; none where it has none.
func goneBounds(err error) Bounds {
	var st *rest.StatusError
	var b Bounds
	if !errors.As(err, &st) || json.Unmarshal(st.Body(), &b) != nil {
		return Bounds{}
	}
	return b
}

// Bounds returns the ends of the stream.
func (c *Client) Bounds(ctx context.Context, stream string) (Bounds, error) {
	var out Bounds
	path := "/v1/streams/" + url.PathEscape(stream)
	if err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, path, nil, &out); err != nil {
		return Bounds{}, classify("bounds", err)
	}
	return out, nil
}

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

// ReadsFew returns a seam that reads at most limit records at once, for streams
// whose records are large.
func (c *Client) ReadsFew(stream string, limit int) func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) ([]Record, Bounds, error) {
		return c.read(ctx, stream, from, limit, wait)
	}
}

func recordsPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// classify says what an error means for the caller. Only the service itself says
// 503 before it acts; any other status of 500 or more may come from something
// between that lost the answer.
func classify(op string, err error) error {
	switch status := rest.Status(err); {
	case status == http.StatusTooManyRequests:
		return fail(op, KindRateLimited, err)
	case status == http.StatusGone:
		return fail(op, KindGone, err)
	case status == http.StatusServiceUnavailable,
		status >= http.StatusBadRequest && status < http.StatusInternalServerError,
		fault.Is(err, rest.KindUnreachable), fault.Is(err, rest.KindRequest):
		return fail(op, KindUnavailable, err)
	default:
		return fail(op, KindUnknown, err)
	}
}
