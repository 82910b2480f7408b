// Package rest calls JSON APIs over HTTP. It never retries a call.
package rest

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	maxConnsPerHost  = 64
	maxIdleDuration  = 30 * time.Second
	dialTimeout      = time.Second
	maxResponseBytes = 64 << 20
)

// Client calls one server. It is safe for concurrent use.
type Client struct {
	hc      *fasthttp.Client
	base    string
	token   string
	timeout time.Duration
}

// New returns a client that connects over the network to the base URL, such as
// "http://127.0.0.1:9000". The timeout bounds each call whose context has no earlier
// deadline.
func New(network *netio.Network, base string, timeout time.Duration) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		hc: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdleConnDuration:       maxIdleDuration,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
				defer cancel()
				conn, err := network.Dial(ctx, addr)
				if err != nil {
					return nil, &unreachableError{err}
				}
				return http1.NewConn(conn), nil
			},
		},
	}
}

// WithToken returns a copy of the client that sends the bearer token.
func (c *Client) WithToken(token string) *Client {
	d := *c
	d.token = token
	return &d
}

// Base returns the base URL.
func (c *Client) Base() string { return c.base }

// CloseIdle closes the idle connections, which may be dead without having been closed.
func (c *Client) CloseIdle() { c.hc.CloseIdleConnections() }

// Call sends in as JSON and decodes the response into out. A nil in sends no body, and a
// nil out discards the response. A call that gets no response closes the idle connections
// to the server. Errors are of type *Error.
func Call[In, Out any](ctx context.Context, c *Client, method, path string, in *In, out *Out) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fail(path, KindRequest, err)
		}
	}
	status, respBody, retryAfter, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status >= fasthttp.StatusBadRequest {
		return fail(path, KindStatus, &StatusError{status: status, retryAfter: retryAfter, body: respBody})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return fail(path, KindDecode, err)
	}
	return nil
}

type response struct {
	status     int
	body       []byte
	retryAfter string
	err        error
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, string, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, "", fail(path, KindUnreachable, err)
	}
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan response, 1)
	go func() { done <- c.roundTrip(deadline, method, path, body) }()
	select {
	case r := <-done:
		return r.status, r.body, r.retryAfter, c.classify(path, r.err)
	case <-ctx.Done():
		return 0, nil, "", fail(path, KindNoAnswer, ctx.Err())
	}
}

func (c *Client) roundTrip(deadline time.Time, method, path string, body []byte) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.hc.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...),
		retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
}

func (c *Client) classify(path string, err error) error {
	if err == nil {
		return nil
	}
	c.CloseIdle()
	var dialErr *unreachableError
	if errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return fail(path, KindUnreachable, err)
	}
	return fail(path, KindNoAnswer, err)
}
