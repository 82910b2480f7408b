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
	// patience is that of callers beside faults, longPatience of those beside none.
	patience     = 4 * time.Second
	longPatience = 30 * time.Second
	dialWithin   = time.Second
	// perConnection is how many requests a caller sends on a connection at most.
	perConnection = 6
)

// attempt is a caller's try and what came back.
type attempt struct {
	id     string
	method string
	path   string
	body   string
	stream bool
	once   bool // it may run once at most
	sent   bool // whole
	status int  // 0 where no answer came
	head   http.Header
	answer string
	err    error // why the answer is not whole
	entry  int
	at     time.Time
	ended  time.Time
}

// callers ask until they are stopped.
type callers struct {
	addresses []string
	patience  time.Duration
	mu        sync.Mutex
	attempts  []*attempt
	wg        sync.WaitGroup
}

func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				c.connection(ctx, rng)
			}
		})
	}
}

// connection sends some requests on one connection to an entry.
func (c *callers) connection(ctx context.Context, rng *rand.Rand) {
	entry := rng.IntN(len(c.addresses))
	conn, err := net.DialTimeout("tcp", c.addresses[entry], dialWithin)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // the entry is down
		return
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for range 1 + rng.IntN(perConnection) {
		a := draw(rng)
		a.entry = entry
		c.ask(conn, br, a)
		if a.err != nil || a.status == 0 || a.head.Get("Connection") == "close" || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// draw returns a request.
func draw(rng *rand.Rand) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rng.Uint64())}
	switch rng.IntN(4) {
	case 0:
		a.method, a.path, a.once, a.body = "POST", "/once/"+a.id, true, "order "+a.id
	case 1:
		a.method, a.path = "GET", "/look/"+a.id
	default:
		a.method, a.path, a.stream, a.body = "POST", "/ask/"+a.id, true, "prompt "+a.id
	}
	return a
}

// ask sends a request and reads its answer.
func (c *callers) ask(conn net.Conn, br *bufio.Reader, a *attempt) {
	a.at = time.Now()
	defer func() {
		a.ended = time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts = append(c.attempts, a)
	}()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token key-1\r\nX-Deadline-Milliseconds: %d\r\nContent-Length: %d\r\n",
		a.method, a.path, a.id, c.patience.Milliseconds(), len(a.body))
	if a.stream {
		text += "X-Model: m\r\nX-Token-Counts: 1000,276\r\nX-Prompt-Prefix: a:1000\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(c.patience)) // a connection without one fails at the next step
	if _, a.err = io.Copy(conn, strings.NewReader(text+"\r\n"+a.body)); a.err != nil {
		return
	}
	a.sent = true
	var res *http.Response
	if res, a.err = http.ReadResponse(br, &http.Request{Method: a.method}); a.err != nil {
		return
	}
	a.status, a.head = res.StatusCode, res.Header
	var b []byte
	b, a.err = io.ReadAll(res.Body)
	a.answer = string(b)
	if res.Close {
		a.head.Set("Connection", "close")
	}
}

func (c *callers) list() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}
