// Package engine is an HTTP client of model engines: token streams, memory holds,
// load reports and orders.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	callTimeout = 2 * time.Second
	// responseHeaderTimeout bounds the wait for the response header. The time to upload the
	// request body at uploadBytesPerSecond is added to it.
	responseHeaderTimeout = 2 * time.Second
	uploadBytesPerSecond  = 4 << 20 // bytes per second
	// streamBufferBytes is the size of the read buffer of each open stream, in bytes.
	streamBufferBytes = 2 << 10
)

// Owner identifies the entry that opened a stream or a hold.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Request opens a stream. Stream is its id; From is the position of the first token
// to return.
type Request struct {
	Stream    string `json:"stream"`
	Owner     Owner  `json:"owner"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Seed      uint64 `json:"seed"`
	From      int    `json:"from,omitempty"`
	Hold      string `json:"hold,omitempty"`
	Group     int    `json:"group,omitempty"`
}

// Usage holds the token counts of a stream.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Piece is one event of a stream: a token, or the end of the stream if Finish is set.
type Piece struct {
	Stream      string `json:"stream"`
	Incarnation uint64 `json:"incarnation"`
	Pos         int    `json:"pos"`
	Text        string `json:"text,omitempty"`
	Finish      string `json:"finish,omitempty"`
	Usage       *Usage `json:"usage,omitempty"`
}

// Load is a load report of an engine. Memory is in tokens.
type Load struct {
	Time          time.Time `json:"time"`
	Incarnation   uint64    `json:"incarnation"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	PrefillTokens int       `json:"prefill_tokens"`
	MemoryUsed    int       `json:"memory_used"`
	MemoryTotal   int       `json:"memory_total"`
	Leaving       bool      `json:"leaving"`
}

// StreamInfo describes a stream that an engine runs or still stores.
type StreamInfo struct {
	Stream   string `json:"stream"`
	Owner    Owner  `json:"owner"`
	Reserved int    `json:"reserved"` // memory, in tokens
	Produced int    `json:"produced"`
	Finish   string `json:"finish,omitempty"`
}

// HoldInfo describes a hold, which is a reservation of engine memory.
type HoldInfo struct {
	Hold    string    `json:"hold"`
	Owner   Owner     `json:"owner"`
	Tokens  int       `json:"tokens"`
	Expires time.Time `json:"expires"`
}

// HoldRequest reserves memory, in tokens, until the TTL expires.
type HoldRequest struct {
	Hold   string        `json:"hold"`
	Owner  Owner         `json:"owner"`
	Tokens int           `json:"tokens"`
	TTL    time.Duration `json:"ttl_ns"`
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	name              string
	addr              string
	network           *netio.Network
	rc                *rest.Client
	newestIncarnation atomic.Uint64 // highest engine incarnation observed
}

// NewClient returns a client of the engine at addr, a host:port.
func NewClient(network *netio.Network, name, addr string) *Client {
	return &Client{name: name, addr: addr, network: network, rc: rest.New(network, "http://"+addr, callTimeout)}
}

// Name returns the upstream's name.
func (c *Client) Name() string { return c.name }

// Addr returns the engine's address as host:port.
func (c *Client) Addr() string { return c.addr }

// Drop closes the idle connections to the engine. They may never answer again.
func (c *Client) Drop() { c.rc.CloseIdle() }

// observeIncarnation records an incarnation of the engine. Streams opened later drop
// pieces of lower incarnations as late.
func (c *Client) observeIncarnation(incarnation uint64) {
	for old := c.newestIncarnation.Load(); incarnation > old; old = c.newestIncarnation.Load() {
		if c.newestIncarnation.CompareAndSwap(old, incarnation) {
			return
		}
	}
}

// Open opens a stream. An error of KindRefused or KindUnsent means that nothing ran;
// after one of KindLost the stream may be running.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fail("open", KindRefused, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + c.addr + "/v1/streams")
	req.SetBodyRaw(body)
	first := responseHeaderTimeout + time.Duration(len(body))*time.Second/uploadBytesPerSecond
	return c.stream(ctx, "open", req, first, r.Stream, Position{Pos: r.From})
}

// Resume continues reading a stream at a position. It returns an error of
// KindUnknownStream if the engine doesn't have the stream.
func (c *Client) Resume(ctx context.Context, id string, at Position) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", c.addr, url.PathEscape(id), at.Pos))
	return c.stream(ctx, "resume", req, responseHeaderTimeout, id, at)
}

func (c *Client) stream(ctx context.Context, op string, req *fasthttp.Request, first time.Duration, id string, at Position) (*Stream, error) {
	x, err := httpconn.Do(ctx, c.network, c.addr, req, httpconn.Limits{Header: first, Read: responseHeaderTimeout, Buffer: streamBufferBytes})
	switch {
	case fault.Is(err, httpconn.KindUnsent):
		return nil, fail(op, KindUnsent, err)
	case err != nil:
		return nil, fail(op, KindLost, err)
	}
	if x.Status() == http.StatusOK {
		s := NewStream(Carrier{Read: x.ReadWithin, Close: x.Close}, id, at)
		s.minIncarnation, s.onIncarnation = c.newestIncarnation.Load(), c.observeIncarnation
		return s, nil
	}
	defer x.Close()
	kind := KindRefused
	if op == "resume" && x.Status() == http.StatusNotFound {
		kind = KindUnknownStream
	}
	return nil, fail(op, kind, statusError(x))
}

var errStatus = errors.New("answer")

func statusError(x *httpconn.Exchange) error {
	b := make([]byte, 512)
	n, _ := x.Read(b) // best effort: the text is only for logs
	return fmt.Errorf("%w: %d: %s", errStatus, x.Status(), b[:n])
}

// Cancel cancels a stream at the engine. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return call[struct{}, struct{}](ctx, c, "cancel", http.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// Streams lists the streams that the engine runs or still stores.
func (c *Client) Streams(ctx context.Context) ([]StreamInfo, error) {
	var out []StreamInfo
	err := call[struct{}](ctx, c, "streams", http.MethodGet, "/v1/streams", nil, &out)
	return out, err
}

// Holds lists the holds of the engine.
func (c *Client) Holds(ctx context.Context) ([]HoldInfo, error) {
	var out []HoldInfo
	err := call[struct{}](ctx, c, "holds", http.MethodGet, "/v1/holds", nil, &out)
	return out, err
}

// Load returns the engine's newest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := call[struct{}](ctx, c, "load", http.MethodGet, "/v1/load", nil, &l)
	if err == nil {
		c.observeIncarnation(l.Incarnation)
	}
	return l, err
}

// Hold reserves memory.
func (c *Client) Hold(ctx context.Context, r HoldRequest) error {
	return call[HoldRequest, struct{}](ctx, c, "hold", http.MethodPost, "/v1/holds", &r, nil)
}

// Renew extends a hold to ttl from now.
func (c *Client) Renew(ctx context.Context, hold string, ttl time.Duration) error {
	return call[HoldRequest, struct{}](ctx, c, "renew", http.MethodPut, "/v1/holds/"+url.PathEscape(hold), &HoldRequest{TTL: ttl}, nil)
}

// Release releases a hold. It is idempotent.
func (c *Client) Release(ctx context.Context, hold string) error {
	return call[struct{}, struct{}](ctx, c, "release", http.MethodDelete, "/v1/holds/"+url.PathEscape(hold), nil, nil)
}

func call[In, Out any](ctx context.Context, c *Client, op, method, path string, in *In, out *Out) error {
	err := rest.Call(ctx, c.rc, method, path, in, out)
	switch {
	case err == nil:
		return nil
	case rest.Status(err) != 0:
		return fail(op, KindRefused, err)
	case fault.Is(err, rest.KindUnreachable):
		return fail(op, KindUnsent, err)
	default:
		return fail(op, KindLost, err)
	}
}
