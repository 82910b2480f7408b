package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes is the capacity of a pipe. A write to a full pipe waits.
const bufferBytes = 256 << 10

// pipe is one direction of a connection.
type pipe struct {
	mu      sync.Mutex
	data    []byte
	closed  bool          // by the sender; the receiver reads the remaining data and then io.EOF
	reset   bool          // reads and writes fail at once
	silent  bool          // written data never arrives
	changed chan struct{} // closed and replaced on each change
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

// update changes the pipe and wakes its waiters.
func (p *pipe) update(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns a channel to wait on if there is no data yet.
func (p *pipe) read(buf []byte) (int, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.reset:
		return 0, nil, net.ErrClosed
	case p.silent:
		return 0, p.changed, nil
	case len(p.data) > 0:
		n := copy(buf, p.data)
		p.data = p.data[n:]
		close(p.changed)
		p.changed = make(chan struct{})
		return n, nil, nil
	case p.closed:
		return 0, nil, io.EOF
	default:
		return 0, p.changed, nil
	}
}

// write returns a channel to wait on if the buffer is full.
func (p *pipe) write(buf []byte) (int, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.reset {
		return 0, nil, io.ErrClosedPipe
	}
	n := min(len(buf), bufferBytes-len(p.data))
	if n == 0 {
		return 0, p.changed, nil
	}
	p.data = append(p.data, buf[:n]...)
	close(p.changed)
	p.changed = make(chan struct{})
	return n, nil, nil
}

// deadline interrupts the waits of one direction.
type deadline struct {
	mu         sync.Mutex
	generation uint64 // counts calls of setAt, so that a replaced timer that still fires has no effect
	timer      *time.Timer
	expired    chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

func (d *deadline) setAt(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	left := time.Until(t)
	switch {
	case t.IsZero():
	case left <= 0:
		close(d.expired)
	default:
		generation := d.generation
		d.timer = time.AfterFunc(left, func() { d.expire(generation) })
	}
}

func (d *deadline) expire(generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generation == generation {
		close(d.expired)
	}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	local, remote addr
	in, out       *pipe
	readDeadline  *deadline
	writeDeadline *deadline
	gone          chan struct{} // closed when the other end has closed or the connection was reset
	onClose       func()
	once          sync.Once
}

// Read reads what the other end wrote.
func (c *conn) Read(buf []byte) (int, error) {
	return waitReady(c.readDeadline, func() (int, <-chan struct{}, error) { return c.in.read(buf) })
}

// Write writes to the other end.
func (c *conn) Write(buf []byte) (int, error) {
	total := 0
	for total < len(buf) {
		n, err := waitReady(c.writeDeadline, func() (int, <-chan struct{}, error) { return c.out.write(buf[total:]) })
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// waitReady calls fn until it returns no channel to wait on or the deadline expires.
func waitReady(d *deadline, fn func() (int, <-chan struct{}, error)) (int, error) {
	for {
		expired := d.done()
		select {
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		n, changed, err := fn()
		if err != nil || changed == nil {
			return n, err
		}
		select {
		case <-changed:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Close closes the connection. The other end reads the data sent so far and then io.EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.update(func() { c.out.closed = true })
		c.in.update(func() { c.in.reset = true })
		c.readDeadline.setAt(time.Time{})
		c.writeDeadline.setAt(time.Time{})
		c.onClose()
	})
	return nil
}

// Gone returns a channel that is closed when the other end has closed or was killed, even
// if data it sent is still unread. It is never closed for a silent connection.
func (c *conn) Gone() <-chan struct{} { return c.gone }

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.setAt(t)
	c.writeDeadline.setAt(t)
	return nil
}

// SetReadDeadline sets the read deadline. The zero time removes it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.setAt(t)
	return nil
}

// SetWriteDeadline sets the write deadline. The zero time removes it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.setAt(t)
	return nil
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String returns host:port. It implements net.Addr.
func (a addr) String() string { return string(a) }
