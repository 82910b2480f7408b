package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
)

// readAheadBytes is the size of the read ahead buffer of a caller's connection. Only the start
// of the next request arrives while one is served.
const readAheadBytes = 2 << 10

const (
	// discardTimeout and maxDiscardBytes bound what is read after the answer to a body that was not
	// read to its end.
	discardTimeout  = 300 * time.Millisecond
	maxDiscardBytes = 256 << 10
	// fileDescriptors are kept for files, and callerDescriptorShare is the callers' share of the others.
	// Each request may need a connection to an upstream.
	fileDescriptors       = 200
	callerDescriptorShare = 0.5
	// minConnections may be open in any case.
	minConnections = 16
	// acceptRetryDelay is the delay after an accept that failed.
	acceptRetryDelay = 10 * time.Millisecond
)

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
	limits          func() route.Limits // nil: none
	idleSince       time.Time           // when Read began to wait between requests
	headSince       time.Time           // when the HTTP library got the first bytes of the head
	headPending     bool                // the next deadline that the HTTP library sets is that of a head
	unread          atomic.Bool         // the caller may still send a body that is not read
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

// headerTimeout returns the time limit of a request's head.
func (c *callerConn) headerTimeout() time.Duration {
	if c.limits != nil {
		if d := c.limits().Header; d > 0 {
			return min(d, readTimeout)
		}
	}
	return readTimeout
}

// idleTimeout returns the time limit between requests.
func (c *callerConn) idleTimeout() time.Duration {
	if c.limits != nil {
		if d := c.limits().Idle; d > 0 {
			return d
		}
	}
	return idleTimeout
}

// SetReadDeadline sets the deadline at which the HTTP library ends a read. The limits of the configuration
// replace its own ones between requests and for a request's head.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case at.IsZero():
	case c.betweenRequests:
		at = time.Now().Add(c.idleTimeout())
	case c.headPending:
		c.headPending = false
		at = c.headSince.Add(c.headerTimeout())
	}
	return c.Conn.SetReadDeadline(at)
}

// applyLimits applies changed limits to a connection that waits for a request.
func (c *callerConn) applyLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.expired {
		_ = c.Conn.SetReadDeadline(c.idleSince.Add(c.idleTimeout())) // fails if the connection is closed
	}
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

// expire ends an idle connection and reports whether it was idle.
func (c *callerConn) expire() bool { return c.expireIf((*callerConn).idle) }

// expireWaiting ends a connection that waits for a request and reports whether it did.
func (c *callerConn) expireWaiting() bool { return c.expireIf((*callerConn).waitsForRequest) }

// expireIf ends a connection of which ok, called with c.mu held, reports true, and returns the result. Only
// the reader closes it, so that a request that arrives at the same time is either served or not read at all.
func (c *callerConn) expireIf(ok func(c *callerConn) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok(c) {
		return false
	}
	c.expired = true
	c.endRead()
	return true
}

// waitsSince returns since when the connection waits for a request, and whether it does. It may not have
// served one yet.
func (c *callerConn) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.waitsForRequest()
}

// idle reports whether the connection served a request and waits for the next one. c.mu must be held.
func (c *callerConn) idle() bool { return c.served && c.waitsForRequest() }

// waitsForRequest reports whether the connection waits for a request. c.mu must be held.
func (c *callerConn) waitsForRequest() bool {
	if !c.waiting || c.expired {
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
	if c.waiting {
		c.idleSince = time.Now()
	}
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
		c.betweenRequests, c.started, c.headSince, c.headPending = false, at, time.Now(), c.served
		_ = c.Conn.SetReadDeadline(c.headSince.Add(c.headerTimeout())) // if it fails, so does the next read
	}
	if n > 0 && c.expired { // the request was faster
		c.expired = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout())) // if it fails, so does the next read
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
	_ = c.Conn.SetReadDeadline(time.Time{})
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

	limits        func() route.Limits // nil: none
	most          int                 // connections; 0: no bound
	closedIdle    atomic.Int64        // connections closed to make room
	turnedAway    atomic.Int64        // connections closed at once, since no other one was idle
	acceptsFailed atomic.Int64

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerListener(ln net.Listener) *callerListener {
	return &callerListener{Listener: ln, conns: map[*callerConn]bool{}}
}

// maxConnections returns how many callers' connections a process may have with the given number of
// descriptors; 0: no bound.
func maxConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(minConnections, int(callerDescriptorShare*float64(descriptors-fileDescriptors)))
}

// Accept returns a *callerConn. Where descriptors are short, it closes idle connections and goes on.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil && l.makeRoom():
			return l.add(c), nil
		case err == nil:
			l.turnedAway.Add(1)
			_ = c.Close() // nothing was read
		case isTemporary(err):
			l.acceptsFailed.Add(1)
			l.closeLongestIdle()
			time.Sleep(acceptRetryDelay)
		default:
			return nil, err
		}
	}
}

// isTemporary reports whether an accept may succeed later.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// makeRoom closes the connection that has been idle longest where there are too many, and reports
// whether another one may be added.
func (l *callerListener) makeRoom() bool {
	n := l.open()
	if l.most == 0 || n < l.most {
		return true
	}
	return l.closeLongestIdle() && n < l.most+l.most/4 // closed connections are counted until their readers notice
}

// open returns the number of connections.
func (l *callerListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeLongestIdle ends the connection that has waited longest for a request, and reports whether
// there was one.
func (l *callerListener) closeLongestIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var (
		oldest *callerConn
		since  time.Time
	)
	for c := range l.conns {
		if at, ok := c.waitsSince(); ok && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest == nil || !oldest.expireWaiting() {
		return false
	}
	l.closedIdle.Add(1)
	return true
}

func (l *callerListener) add(c net.Conn) *callerConn {
	var conn *callerConn
	conn = newCallerConn(c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	})
	conn.limits = l.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn
}

// applyLimits applies changed limits to the connections that wait for a request.
func (l *callerListener) applyLimits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.applyLimits()
	}
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
