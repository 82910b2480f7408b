package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// readAheadBytes is the size of the read ahead buffer of a caller's connection. Only the start
// of the next request arrives while one is served.
const readAheadBytes = 2 << 10

// callerConn is a caller's connection that is also read while a request is served, to detect at
// once that the caller disconnected. Bytes that arrive meanwhile are returned by the next Read.
type callerConn struct {
	net.Conn

	mu              sync.Mutex
	onGone          func() // called when the caller disconnects
	ahead           chan struct{}
	buf             []byte
	bufAt           time.Time // arrival of buf
	readAt          time.Time // arrival of what Read returned last
	err             error
	started         time.Time // arrival of the first bytes of the current request
	betweenRequests bool      // the next bytes start a request
	waiting         bool      // blocked in Read between requests, with all answers written
	served          bool      // at least one request arrived
	answering       bool      // a request arrived whose answer may not be written yet
	polling         bool      // pollHangup runs
	expired         bool      // the read in progress fails unless a request has arrived
	onClose         func()
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

// Close closes the connection.
func (c *callerConn) Close() error {
	c.onClose()
	return c.Conn.Close()
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
		at  time.Time // arrival of bytes that were read ahead
	)
	if ahead != nil {
		<-ahead
		n, at = copy(p, c.buf), c.bufAt
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
		at = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if n > 0 {
		c.readAt = at
	}
	if n > 0 && c.betweenRequests {
		c.betweenRequests, c.started = false, at
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
		select {
		case <-c.ahead: // bytes of the next request are buffered already
			c.startPoll()
		default: // the read ahead goes on
		}
		return
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
	c.buf, c.bufAt, c.err = buf[:n], time.Now(), err
	close(done)
	switch {
	case err == nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.startPoll()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.gone()
	}
}

// gone calls onGone, once.
func (c *callerConn) gone() {
	c.mu.Lock()
	onGone := c.onGone
	c.onGone = nil
	c.mu.Unlock()
	if onGone != nil {
		onGone()
	}
}

// startPoll starts pollHangup unless it runs. c.mu must be held.
func (c *callerConn) startPoll() {
	if !c.polling && c.onGone != nil {
		c.polling = true
		go c.pollHangup()
	}
}

// pollHangup calls onGone once the caller disconnects, until the connection isn't watched any more. It
// reads nothing: the caller may send any number of bytes ahead.
func (c *callerConn) pollHangup() {
	for {
		c.mu.Lock()
		if c.onGone == nil {
			c.polling = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if hungUp(c.Conn) {
			c.gone()
		}
		time.Sleep(hangupPollInterval)
	}
}

// beginRequest returns the arrival time of the first bytes of the request that was read last: its
// caller's time runs from then on, also while a previous request is served. The next bytes start another
// request.
func (c *callerConn) beginRequest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.started
	if at.IsZero() {
		at = c.readAt // they came together with the previous request
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
