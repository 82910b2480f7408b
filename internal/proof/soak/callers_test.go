package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// faultDeadline is the callers' deadline while faults are injected, quietDeadline without faults.
	faultDeadline = 4 * time.Second
	quietDeadline = 30 * time.Second
	dialTimeout   = time.Second
	// maxRequestsPerConn limits the requests that a caller sends on one connection.
	maxRequestsPerConn = 6
)

// attempt is a request as the caller sent it, and its response.
type attempt struct {
	id           string
	method       string
	path         string
	body         string
	stream       bool
	atMostOnce   bool // must not be executed more than once
	fullySent    bool
	status       int // 0 without a response
	header       http.Header
	responseBody string
	err          error // why the request or its response is incomplete
	entry        int   // index
	sentAt       time.Time
	endedAt      time.Time
}

// callers send requests until their context ends, and record every attempt.
type callers struct {
	addresses []string
	deadline  time.Duration
	mu        sync.Mutex
	attempts  []*attempt
	wg        sync.WaitGroup
}

func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				c.runConn(ctx, rng)
			}
		})
	}
}

// runConn sends a random number of requests on one connection to a random entry.
func (c *callers) runConn(ctx context.Context, rng *rand.Rand) {
	entry := rng.IntN(len(c.addresses))
	conn, err := net.DialTimeout("tcp", c.addresses[entry], dialTimeout)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // the entry is down
		return
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for range 1 + rng.IntN(maxRequestsPerConn) {
		a := randomRequest(rng)
		a.entry = entry
		c.send(conn, br, a)
		if a.err != nil || a.status == 0 || a.header.Get("Connection") == "close" || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// randomRequest draws a non-idempotent, an idempotent or a streaming request.
func randomRequest(rng *rand.Rand) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rng.Uint64())}
	switch rng.IntN(4) {
	case 0:
		a.method, a.path, a.atMostOnce, a.body = "POST", "/once/"+a.id, true, "order "+a.id
	case 1:
		a.method, a.path = "GET", "/look/"+a.id
	default:
		a.method, a.path, a.stream, a.body = "POST", "/ask/"+a.id, true, "prompt "+a.id
	}
	return a
}

// send sends a request, reads its response and records both.
func (c *callers) send(conn net.Conn, br *bufio.Reader, a *attempt) {
	a.sentAt = time.Now()
	defer func() {
		a.endedAt = time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts = append(c.attempts, a)
	}()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token key-1\r\nX-Deadline-Milliseconds: %d\r\nContent-Length: %d\r\n",
		a.method, a.path, a.id, c.deadline.Milliseconds(), len(a.body))
	if a.stream {
		text += "X-Model: m\r\nX-Token-Counts: 1000,276\r\nX-Prompt-Prefix: a:1000\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(c.deadline)) // if this fails, the write below fails too
	if _, a.err = io.Copy(conn, strings.NewReader(text+"\r\n"+a.body)); a.err != nil {
		return
	}
	a.fullySent = true
	var res *http.Response
	if res, a.err = http.ReadResponse(br, &http.Request{Method: a.method}); a.err != nil {
		return
	}
	a.status, a.header = res.StatusCode, res.Header
	var b []byte
	b, a.err = io.ReadAll(res.Body)
	a.responseBody = string(b)
	if res.Close {
		a.header.Set("Connection", "close")
	}
}

func (c *callers) snapshot() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}
