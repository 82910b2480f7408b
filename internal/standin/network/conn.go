package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes is how much a sender may be ahead of its receiver.
const bufferBytes = 256 << 10

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	data   []byte
	closed bool // the sender closed: the receiver reads to the end
	reset  bool // both ends fail at once
	silent bool // bytes are taken and never arrive
	moved  chan struct{}
}

func newHalf() *half { return &half{moved: make(chan struct{})} }

// update changes the half and wakes whoever waits for it.
func (h *half) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.moved)
	h.moved = make(chan struct{})
}

// read returns a channel to wait for where there is nothing to read yet.
func (h *half) read(p []byte) (int, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.reset:
		return 0, nil, net.ErrClosed
	case h.silent:
		return 0, h.moved, nil
	case len(h.data) > 0:
		n := copy(p, h.data)
		h.data = h.data[n:]
		close(h.moved)
		h.moved = make(chan struct{})
		return n, nil, nil
	case h.closed:
		return 0, nil, io.EOF
	default:
		return 0, h.moved, nil
	}
}

// write returns a channel to wait for where the buffer is full.
func (h *half) write(p []byte) (int, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.reset {
		return 0, nil, io.ErrClosedPipe
	}
	n := min(len(p), bufferBytes-len(h.data))
	if n == 0 {
		return 0, h.moved, nil
	}
	h.data = append(h.data, p[:n]...)
	close(h.moved)
	h.moved = make(chan struct{})
	return n, nil, nil
}

// deadline ends the waits of one direction.
type deadline struct {
	mu    sync.Mutex
	set   uint64 // counts the calls of setAt: a timer of an earlier one does nothing
	timer *time.Timer
	over  chan struct{}
}

func newDeadline() *deadline { return &deadline{over: make(chan struct{})} }

func (d *deadline) setAt(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set++
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.over:
		d.over = make(chan struct{})
	default:
	}
	left := time.Until(t)
	switch {
	case t.IsZero():
	case left <= 0:
		close(d.over)
	default:
		set := d.set
		d.timer = time.AfterFunc(left, func() { d.expire(set) })
	}
}

func (d *deadline) expire(set uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.set == set {
		close(d.over)
	}
}

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.over
}

// conn is one end of a connection.
type conn struct {
	local, remote addr
	in, out       *half
	readBy        *deadline
	writeBy       *deadline
	gone          chan struct{} // closed when the other end closed or reset
	forget        func()
	once          sync.Once
}

// Read reads what the other end wrote.
func (c *conn) Read(p []byte) (int, error) {
	return wait(c.readBy, func() (int, <-chan struct{}, error) { return c.in.read(p) })
}

// Write writes to the other end.
func (c *conn) Write(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		n, err := wait(c.writeBy, func() (int, <-chan struct{}, error) { return c.out.write(p[total:]) })
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func wait(d *deadline, f func() (int, <-chan struct{}, error)) (int, error) {
	for {
		over := d.wait()
		select {
		case <-over:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		n, moved, err := f()
		if err != nil || moved == nil {
			return n, err
		}
		select {
		case <-moved:
		case <-over:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Close closes the connection. The other end reads what was sent and then the end.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.update(func() { c.out.closed = true })
		c.in.update(func() { c.in.reset = true })
		c.readBy.setAt(time.Time{})
		c.writeBy.setAt(time.Time{})
		c.forget()
	})
	return nil
}

// Gone is closed when the other end has closed or was lost, however much of what
// it sent is still unread. A silent connection never tells.
func (c *conn) Gone() <-chan struct{} { return c.gone }

// LocalAddr returns the own address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.readBy.setAt(t)
	c.writeBy.setAt(t)
	return nil
}

// SetReadDeadline ends the reads after t.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBy.setAt(t)
	return nil
}

// SetWriteDeadline ends the writes after t.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy.setAt(t)
	return nil
}

type addr string

// Network returns "memory".
func (addr) Network() string { return "memory" }

// String returns host:port.
func (a addr) String() string { return string(a) }
