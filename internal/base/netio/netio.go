// Package netio abstracts dialing and listening: over TCP, or over an in-memory network
// in tests that run in virtual time.
package netio

import (
	"context"
	"net"
	"time"
)

const dialTimeout = time.Second

// Network dials and listens.
type Network struct {
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
}

// New returns a network that uses the two functions. Addresses are host:port.
func New(dial func(ctx context.Context, addr string) (net.Conn, error), listen func(addr string) (net.Listener, error)) *Network {
	return &Network{dial: dial, listen: listen}
}

// TCP returns a network over the TCP stack of the machine, with a dial timeout of one second. A read of a
// connection that it dialled returns io.EOF only if the other end has closed its side in order, and writes
// fail after that.
func TCP() *Network {
	d := net.Dialer{Timeout: dialTimeout}
	return New(
		func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
	)
}

// WithDialTimeout returns a network with a shorter dial timeout.
func (n *Network) WithDialTimeout(limit time.Duration) *Network {
	return New(func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return n.dial(ctx, addr)
	}, n.listen)
}

// Dial connects to the address.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) { return n.dial(ctx, addr) }

// Listen opens a listener on the address.
func (n *Network) Listen(addr string) (net.Listener, error) { return n.listen(addr) }
