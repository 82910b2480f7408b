package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// readAheadBytes is the size of the read ahead buffer of a caller's connection. Only the start
// of the next request arrives while one is served.
const readAheadBytes = 2 << 10

const (
	// discardTimeout and maxDiscardBytes bound what is read after the answer to a body that was not
	// read to its end.
	discardTimeout  = 300 * time.Millisecond
	maxDiscardBytes = 256 << 10
)

// callerConn is a caller's connection that is also read while a request is served, to detect at
// once that the caller disconnected. Bytes that arrive meanwhile are returned by the next Read.
type callerConn struct {
	net.Conn

	mu              sync.Mutex
	onGone          func() // called when the caller disconnects
	ahead           chan struct{}
	buf             []byte
	err             error
	started         time.Time // arrival of the first bytes of the current request
	betweenRequests bool      // the next bytes start a request
	waiting         bool      // blocked in Read between requests, with all answers written
	served          bool      // at least one request arrived
	answering       bool      // a request arrived whose answer may not be written yet
	expired         bool      // the read in progress fails unless a request has arrived
	onClose         func()
	unread          atomic.Bool // the caller may still send a body that is not read
}

func newCallerConn(c net.Conn, onClose func()) *callerConn {
	return &callerConn{Conn: c, betweenRequests: true, onClose: onClose}
}

// isAnswering reports whether an answer may not be written yet: the handler may have returned.
func (c *callerConn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answering
}

// Close closes the connection. If the caller may still send a body that is not read, it lets the answer
// arrive first.
func (c *callerConn) Close() error {
	c.onClose()
	if c.unread.Load() {
		c.discard()
	}
	return c.Conn.Close()
}

// endRead ends the read in progress and each later one until another deadline is set.
func (c *callerConn) endRead() {
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
}

// discard reads and drops a bounded part of what the caller still sends. A connection that is closed
// with unread bytes is reset, and the caller could lose the answer.
func (c *callerConn) discard() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // if this fails, so does the read
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	buf := make([]byte, readAheadBytes)
	for n := 0; n < maxDiscardBytes; {
		k, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		n += k
	}
}

// expire ends an idle connection and reports whether it was idle. Only the reader closes it, so that a
// request that arrives at the same time is either served or not read at all.
func (c *callerConn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		return false
	}
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	return true
}

// idle reports whether the connection served a request and waits for the next one. c.mu must be held.
func (c *callerConn) idle() bool {
	if !c.waiting || !c.served || c.expired {
		return false
	}
	select {
	case <-c.ahead:
		return c.ahead == nil // otherwise bytes of a request are buffered
	default:
		return true
	}
}

// Read returns the bytes that were read ahead, and then those of the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	ahead := c.ahead
	c.waiting = c.betweenRequests
	if c.betweenRequests { // all answers are written before the next request is read
		c.answering = false
	}
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
	if n > 0 && c.betweenRequests {
		c.betweenRequests, c.started = false, time.Now()
	}
	if n > 0 && c.expired { // the request was faster
		c.expired = false
		_ = c.SetReadDeadline(time.Now().Add(readTimeout)) // if it fails, so does the next read
	}
	return n, err
}

// watch calls onGone once if the caller disconnects before unwatch is called.
func (c *callerConn) watch(onGone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = onGone
	if c.ahead != nil {
		return // bytes of the next request are buffered already
	}
	// Clears the deadline of the last read. If that fails, the read ahead ends at that deadline.
	_ = c.SetReadDeadline(time.Time{})
	c.ahead = make(chan struct{})
	go c.readAhead(c.ahead)
}

// unwatch ends the watch.
func (c *callerConn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = nil
}

func (c *callerConn) readAhead(done chan struct{}) {
	buf := make([]byte, readAheadBytes)
	n, err := c.Conn.Read(buf)
	c.buf, c.err = buf[:n], err
	close(done)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	onGone := c.onGone
	c.onGone = nil
	c.mu.Unlock()
	if onGone != nil {
		onGone()
	}
}

// beginRequest returns the arrival time of the first bytes of the request that was read last, or
// the current time if they came together with the previous request. The next bytes start another
// request.
func (c *callerConn) beginRequest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.started
	if at.IsZero() {
		at = time.Now()
	}
	c.started, c.betweenRequests, c.served, c.answering = time.Time{}, true, true, true
	return at
}

// callerListener accepts callers' connections and keeps track of them.
type callerListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerListener(ln net.Listener) *callerListener {
	return &callerListener{Listener: ln, conns: map[*callerConn]bool{}}
}

// Accept returns a *callerConn.
func (l *callerListener) Accept() (net.Conn, error) {
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

// answering returns the number of connections on which an answer may not be written yet.
func (l *callerListener) answering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.isAnswering() {
			n++
		}
	}
	return n
}

// closeIdle ends the connections that wait for another request, so that callers reconnect to
// another entry, and returns their number.
func (l *callerListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.expire() {
			n++
		}
	}
	return n
}
