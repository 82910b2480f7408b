// Package engine is a client of model engines.
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
	// headTimeout bounds the time to get the head of an answer, beside the time
	// to send the prompt at uploadRate.
	headTimeout = 2 * time.Second
	uploadRate  = 4 << 20 // bytes a second
	// streamBuffer is what each open stream reads into, in bytes.
	streamBuffer = 2 << 10
)

// Owner names the entry that opened a stream or a hold.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Request opens a stream. Stream is its id; From is the first token wanted.
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

// Usage counts the tokens of a stream.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Piece is one token of a stream, or its end where Finish is set.
type Piece struct {
	Stream      string `json:"stream"`
	Incarnation uint64 `json:"incarnation"`
	Pos         int    `json:"pos"`
	Text        string `json:"text,omitempty"`
	Finish      string `json:"finish,omitempty"`
	Usage       *Usage `json:"usage,omitempty"`
}

// Load is a report of an engine's load.
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

// StreamInfo describes a stream that an engine keeps.
type StreamInfo struct {
	Stream   string `json:"stream"`
	Owner    Owner  `json:"owner"`
	Reserved int    `json:"reserved"` // tokens of memory
	Produced int    `json:"produced"`
	Finish   string `json:"finish,omitempty"`
}

// HoldInfo describes a hold of an engine.
type HoldInfo struct {
	Hold    string    `json:"hold"`
	Owner   Owner     `json:"owner"`
	Tokens  int       `json:"tokens"`
	Expires time.Time `json:"expires"`
}

// HoldRequest reserves memory until its time limit ends.
type HoldRequest struct {
	Hold   string        `json:"hold"`
	Owner  Owner         `json:"owner"`
	Tokens int           `json:"tokens"`
	TTL    time.Duration `json:"ttl_ns"`
}

// Client calls one engine. Its methods may be called from any goroutine.
type Client struct {
	name    string
	addr    string
	network *netio.Network
	rc      *rest.Client
	newest  atomic.Uint64 // incarnation of the engine that was seen
}

// NewClient returns a client of the engine at host:port.
func NewClient(network *netio.Network, name, addr string) *Client {
	return &Client{name: name, addr: addr, network: network, rc: rest.New(network, "http://"+addr, callTimeout)}
}

// Name returns the upstream's name.
func (c *Client) Name() string { return c.name }

// Addr returns the engine's host:port.
func (c *Client) Addr() string { return c.addr }

// Drop closes the idle connections to the engine, which may be silent for good.
func (c *Client) Drop() { c.rc.CloseIdle() }

// saw notes an incarnation of the engine. What an earlier one sent is late.
func (c *Client) saw(incarnation uint64) {
	for old := c.newest.Load(); incarnation > old; old = c.newest.Load() {
		if c.newest.CompareAndSwap(old, incarnation) {
			return
		}
	}
}

// Open opens a stream.
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
	first := headTimeout + time.Duration(len(body))*time.Second/uploadRate
	return c.stream(ctx, "open", req, first, r.Stream, Position{Pos: r.From})
}

// Resume goes on reading a stream at a position.
func (c *Client) Resume(ctx context.Context, id string, at Position) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", c.addr, url.PathEscape(id), at.Pos))
	return c.stream(ctx, "resume", req, headTimeout, id, at)
}

func (c *Client) stream(ctx context.Context, op string, req *fasthttp.Request, first time.Duration, id string, at Position) (*Stream, error) {
	x, err := httpconn.Do(ctx, c.network, c.addr, req, httpconn.Limits{First: first, Read: headTimeout, Buffer: streamBuffer})
	switch {
	case fault.Is(err, httpconn.KindUnsent):
		return nil, fail(op, KindUnsent, err)
	case err != nil:
		return nil, fail(op, KindLost, err)
	}
	if x.Status() == http.StatusOK {
		s := NewStream(Carrier{Read: x.ReadWithin, Close: x.Close}, id, at)
		s.oldest, s.saw = c.newest.Load(), c.saw
		return s, nil
	}
	defer x.Close()
	kind := KindRefused
	if op == "resume" && x.Status() == http.StatusNotFound {
		kind = KindUnknownStream
	}
	return nil, fail(op, kind, statusError(x))
}

var errBody = errors.New("answer")

func statusError(x *httpconn.Exchange) error {
	b := make([]byte, 512)
	n, _ := x.Read(b) // the text is for people only
	return fmt.Errorf("%w: %d: %s", errBody, x.Status(), b[:n])
}

// Cancel ends a stream at the engine. It may be repeated.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return call[struct{}, struct{}](ctx, c, "cancel", http.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// Streams lists the streams that the engine keeps.
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
		c.saw(l.Incarnation)
	}
	return l, err
}

// Hold reserves memory.
func (c *Client) Hold(ctx context.Context, r HoldRequest) error {
	return call[HoldRequest, struct{}](ctx, c, "hold", http.MethodPost, "/v1/holds", &r, nil)
}

// Renew starts the time limit of a hold anew.
func (c *Client) Renew(ctx context.Context, hold string, ttl time.Duration) error {
	return call[HoldRequest, struct{}](ctx, c, "renew", http.MethodPut, "/v1/holds/"+url.PathEscape(hold), &HoldRequest{TTL: ttl}, nil)
}

// Release ends a hold. It may be repeated.
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
