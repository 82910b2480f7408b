// Package rest calls JSON interfaces over HTTP. No call is repeated here.
package rest

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	maxConnsPerHost = 64
	maxIdleConn     = 30 * time.Second
	dialTimeout     = time.Second
	maxAnswer       = 64 << 20 // bytes
)

// Client calls one server. Its methods may be called from any goroutine.
type Client struct {
	hc      *fasthttp.Client
	base    string
	token   string
	timeout time.Duration
}

// New returns a client over the network of the base URL, such as "http://127.0.0.1:9000".
// A call whose context has no earlier deadline ends after the timeout.
func New(network *netio.Network, base string, timeout time.Duration) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		hc: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdleConnDuration:       maxIdleConn,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxAnswer,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
				defer cancel()
				conn, err := network.Dial(ctx, addr)
				if err != nil {
					return nil, &unreachableError{err}
				}
				return conn, nil
			},
		},
	}
}

// WithToken returns a client that sends the bearer token.
func (c *Client) WithToken(token string) *Client {
	d := *c
	d.token = token
	return &d
}

// Base returns the base URL.
func (c *Client) Base() string { return c.base }

// Drop closes the idle connections, which may be silent for good.
func (c *Client) Drop() { c.hc.CloseIdleConnections() }

// Call sends in as JSON and decodes the answer into out. A nil in sends no body
// and a nil out ignores the answer. After a call with no answer the idle
// connections to the server are dropped.
func Call[In, Out any](ctx context.Context, c *Client, method, path string, in *In, out *Out) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fail(path, KindRequest, err)
		}
	}
	status, answer, retryAfter, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status >= fasthttp.StatusBadRequest {
		return fail(path, KindStatus, &StatusError{status: status, retryAfter: retryAfter, body: answer})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fail(path, KindDecode, err)
	}
	return nil
}

type result struct {
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
	ch := make(chan result, 1)
	go func() { ch <- c.exchange(deadline, method, path, body) }()
	select {
	case r := <-ch:
		return r.status, r.body, r.retryAfter, c.classify(path, r.err)
	case <-ctx.Done():
		return 0, nil, "", fail(path, KindNoAnswer, ctx.Err())
	}
}

func (c *Client) exchange(deadline time.Time, method, path string, body []byte) result {
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
		return result{err: err}
	}
	return result{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...),
		retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
}

func (c *Client) classify(path string, err error) error {
	if err == nil {
		return nil
	}
	c.Drop()
	var dial *unreachableError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return fail(path, KindUnreachable, err)
	}
	return fail(path, KindNoAnswer, err)
}
