package httpconn

import (
	"net"
	"sync/atomic"
)

// boundedConn is a connection that stops reading after a number of bytes.
type boundedConn struct {
	net.Conn
	most int64 // 0: no limit
	left atomic.Int64
}

func newBoundedConn(c net.Conn, most int64) *boundedConn {
	b := &boundedConn{Conn: c, most: most}
	b.reset()
	return b
}

// reset allows the full number of bytes again.
func (c *boundedConn) reset() { c.left.Store(c.most) }

// Read fails with errTooLarge once the limit is reached.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.most == 0 {
		return c.Conn.Read(p)
	}
	left := c.left.Load()
	if left <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.left.Add(-int64(n))
	return n, err
}
