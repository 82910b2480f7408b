// Package slowread is a network for tests. Its connections are read only once a write to them has failed,
// so that the error that ends a connection is reported to the writer.
package slowread

import (
	"context"
	"net"
	"sync"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

// Network returns a network over the given one. Connections to an address (host:port) for which applies
// returns true are read late; others are as they were.
func Network(network *netio.Network, applies func(addr string) bool) *netio.Network {
	return netio.New(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := network.Dial(ctx, addr)
		if err != nil || !applies(addr) {
			return c, err
		}
		return &conn{Conn: c, failed: make(chan struct{})}, nil
	}, network.Listen)
}

// TCP returns a network over the TCP stack on which all connections are read late.
func TCP() *netio.Network { return Network(netio.TCP(), func(string) bool { return true }) }

// conn is a connection that is read late.
type conn struct {
	net.Conn

	once   sync.Once
	failed chan struct{} // closed when a write has failed, or the connection is closed
}

// Read waits until a write has failed.
func (c *conn) Read(p []byte) (int, error) {
	<-c.failed
	return c.Conn.Read(p)
}

// Write lets the connection be read if it fails.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.release()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *conn) release() { c.once.Do(func() { close(c.failed) }) }
