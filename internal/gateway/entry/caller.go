package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// callerBuffer holds what a caller sends while its request is served: the start of
// the next one.
const callerBuffer = 2 << 10 // bytes

// callerConn is a connection of a caller that is read also while a request is
// served, so that a caller that leaves is noticed at once. What is read meanwhile
// is handed to the next Read.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	gone    func() // called where the caller leaves
	ahead   chan struct{}
	buf     []byte
	err     error
	started time.Time // when the first bytes of the request that is read came
	fresh   bool      // the next bytes begin a request
	waiting bool      // for them: all before them is answered
	served  bool      // a request came
	closed  func()
}

func newCallerConn(c net.Conn, closed func()) *callerConn {
	return &callerConn{Conn: c, fresh: true, closed: closed}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// idle reports whether the connection has served requests and waits for another one.
func (c *callerConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || !c.served {
		return false
	}
	select {
	case <-c.ahead:
		return c.ahead == nil // else bytes of a request wait
	default:
		return true
	}
}

// Read reads what the caller sent, first what was read ahead.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	ahead := c.ahead
	c.waiting = c.fresh
	c.mu.Unlock()
	var (
		n   int
		err error
	)
	if ahead != nil {
		<-ahead
		n = copy(p, c.buf)
		if c.buf = c.buf[n:]; len(c.buf) == 0 {
			if n == 0 {
				err = c.err
			}
			c.mu.Lock()
			c.ahead = nil
			c.mu.Unlock()
		}
	}
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if n > 0 && c.fresh {
		c.fresh, c.started = false, time.Now()
	}
	return n, err
}

// watch calls gone once if the caller leaves before release.
func (c *callerConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = gone
	if c.ahead != nil {
		return // bytes of a next request wait already
	}
	// The limit of the last read is over; no limit set means that the read lasts.
	_ = c.SetReadDeadline(time.Time{})
	c.ahead = make(chan struct{})
	go c.readAhead(c.ahead)
}

// release ends the watch.
func (c *callerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = nil
}

func (c *callerConn) readAhead(done chan struct{}) {
	buf := make([]byte, callerBuffer)
	n, err := c.Conn.Read(buf)
	c.buf, c.err = buf[:n], err
	close(done)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	gone := c.gone
	c.gone = nil
	c.mu.Unlock()
	if gone != nil {
		gone()
	}
}

// begin returns when the first bytes of the request came that was read last, or now
// where they came with the one before. The next bytes begin another request.
func (c *callerConn) begin() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.started
	if at.IsZero() {
		at = time.Now()
	}
	c.started, c.fresh, c.served = time.Time{}, true, true
	return at
}

// callers listens for callers and knows their connections.
type callers struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallers(ln net.Listener) *callers {
	return &callers{Listener: ln, conns: map[*callerConn]bool{}}
}

// Accept returns a connection that can be watched.
func (l *callers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var conn *callerConn
	conn = newCallerConn(c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn, nil
}

// closeIdle closes the connections that wait for another request, so that callers
// send it elsewhere, and returns how many there were.
func (l *callers) closeIdle() int {
	l.mu.Lock()
	var list []*callerConn
	for c := range l.conns {
		if c.idle() {
			list = append(list, c)
		}
	}
	l.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // its caller sends nothing more on it
	}
	return len(list)
}
