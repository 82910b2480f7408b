package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose Read tells an end in order from a broken connection. Linux reports the
// error of a socket to one call only: if a Write gets it, Read returns io.EOF as if the other end had
// closed its side.
type conn struct {
	net.Conn

	writing sync.Mutex // held during a Write
	broken  error      // what the connection failed with, as reported to a Write; guarded by writing
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

// Read returns io.EOF only if the other end has closed its side in order, and otherwise what the
// connection failed with. A Write fails with os.ErrDeadlineExceeded once Read has returned io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := c.writeError(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// Write writes like the underlying connection.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && breaks(err) {
		c.broken = err
	}
	return n, err
}

// writeError returns what the connection failed with if a Write was told. A Write in progress may have been
// told and not have returned yet, or wait for the other end to read.
func (c *conn) writeError() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil { // in the past
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}

// breaks reports whether the error of a write is one that a read does not get any more. EPIPE is none: the
// other end has closed its side before, or the error was reported to another call.
func breaks(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
