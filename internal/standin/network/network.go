// Package network is an in-memory network of named hosts for tests in virtual time. It
// injects partitions between machines, connections that go silent for good, and the loss of
// a host with all its connections. A host named "vm-1/2" is the second instance of the
// machine "vm-1": partitions are between machines, and a killed instance never comes back.
package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	dialTimeout    = time.Second
	dialDelay      = time.Millisecond
	acceptQueue    = 256
	firstPort      = 10000
	noListenerText = "no host listens there"
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	port      int
	listeners map[string]*listener
	links     map[*link]struct{}
	cut       map[[2]string]bool
	dead      map[string]bool // killed instances
}

// link is a connection with the hosts of its two ends.
type link struct {
	hosts [2]string
	ends  [2]*conn
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		port:      firstPort,
		listeners: map[string]*listener{},
		links:     map[*link]struct{}{},
		cut:       map[[2]string]bool{},
		dead:      map[string]bool{},
	}
}

// Host returns a network that listens and dials as the named host.
func (n *Network) Host(name string) *netio.Network {
	return netio.New(
		func(ctx context.Context, addr string) (net.Conn, error) { return n.dial(ctx, name, addr) },
		func(addr string) (net.Listener, error) { return n.listen(name, addr) },
	)
}

// Cut partitions two machines: open connections between them go silent for good, and new
// dials time out.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[machinePair(a, b)] = true
	n.silence(func(l *link) bool { return machinePair(l.hosts[0], l.hosts[1]) == machinePair(a, b) })
}

// Heal ends the partition of two machines. Connections that went silent stay silent.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, machinePair(a, b))
}

// HealAll ends all partitions.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Silence makes all open connections of a machine silent for good.
func (n *Network) Silence(machine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(func(l *link) bool {
		return machinePair(l.hosts[0], machine) == machinePair(machine, machine) || machinePair(l.hosts[1], machine) == machinePair(machine, machine)
	})
}

// Kill resets all connections of an instance and closes its listeners. The instance can no
// longer dial or listen.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = true
	for l := range n.links {
		if l.hosts[0] == host || l.hosts[1] == host {
			l.reset()
			delete(n.links, l)
		}
	}
	for _, ln := range n.listeners {
		if ln.host == host {
			ln.closeLocked()
		}
	}
}

// OpenConns returns the number of open connections.
func (n *Network) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

func (n *Network) silence(match func(*link) bool) {
	for l := range n.links {
		if !match(l) {
			continue
		}
		for _, end := range l.ends {
			end.in.update(func() { end.in.silent = true })
		}
	}
}

// machinePair returns the machines of two hosts in sorted order.
func machinePair(a, b string) [2]string {
	a, _, _ = strings.Cut(a, "/")
	b, _, _ = strings.Cut(b, "/")
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// listen opens a listener on host:port; port 0 takes a free port.
func (n *Network) listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := strings.CutSuffix(address, ":0"); ok {
		n.port++
		address = fmt.Sprintf("%s:%d", name, n.port)
	}
	if n.listeners[address] != nil || n.dead[host] {
		return nil, fmt.Errorf("listen %s: address already in use", address)
	}
	ln := &listener{network: n, host: host, address: addr(address), conns: make(chan net.Conn, acceptQueue), done: make(chan struct{})}
	n.listeners[address] = ln
	return ln, nil
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-time.After(dialDelay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := n.connect(host, address)
	if errors.Is(err, errCut) {
		<-ctx.Done() // a partitioned machine does not answer
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	return c, err
}

var errCut = errors.New("machines are partitioned")

func (n *Network) connect(host, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ln := n.listeners[address]
	if ln == nil || n.dead[host] {
		return nil, fmt.Errorf("dial %s: %s", address, noListenerText)
	}
	if n.cut[machinePair(host, ln.host)] {
		return nil, errCut
	}
	l := n.newLink(host, ln)
	select {
	case ln.conns <- l.ends[1]:
		n.links[l] = struct{}{}
		return l.ends[0], nil
	default:
		return nil, fmt.Errorf("dial %s: accept queue is full", address)
	}
}

func (n *Network) newLink(host string, ln *listener) *link {
	forward, backward := newPipe(), newPipe()
	n.port++
	l := &link{hosts: [2]string{host, ln.host}}
	local := addr(fmt.Sprintf("%s:%d", host, n.port))
	l.ends[0] = newConn(local, ln.address, backward, forward)
	l.ends[1] = newConn(ln.address, local, forward, backward)
	for i, end := range l.ends {
		end.onClose = func() {
			l.notifyGone(1 - i)
			n.removeClosed(l)
		}
	}
	return l
}

func newConn(local, remote addr, in, out *pipe) *conn {
	return &conn{
		local: local, remote: remote, in: in, out: out,
		readDeadline: newDeadline(), writeDeadline: newDeadline(), gone: make(chan struct{}),
	}
}

// notifyGone closes the Gone channel of an end, unless the connection is silent.
func (l *link) notifyGone(i int) {
	end := l.ends[i]
	end.in.mu.Lock()
	defer end.in.mu.Unlock()
	if end.in.silent {
		return
	}
	select {
	case <-end.gone:
	default:
		close(end.gone)
	}
}

// removeClosed removes the link if both of its ends are closed.
func (n *Network) removeClosed(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, end := range l.ends {
		end.in.mu.Lock()
		open := !end.in.reset
		end.in.mu.Unlock()
		if open {
			return
		}
	}
	delete(n.links, l)
}

func (l *link) reset() {
	for i, end := range l.ends {
		l.notifyGone(i)
		end.in.update(func() { end.in.reset = true })
	}
}

type listener struct {
	network *Network
	host    string
	address addr
	conns   chan net.Conn
	done    chan struct{}
}

// Accept returns the next connection.
func (ln *listener) Accept() (net.Conn, error) {
	select {
	case <-ln.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-ln.conns:
		return c, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; its connections stay open.
func (ln *listener) Close() error {
	ln.network.mu.Lock()
	defer ln.network.mu.Unlock()
	ln.closeLocked()
	return nil
}

func (ln *listener) closeLocked() {
	select {
	case <-ln.done:
	default:
		close(ln.done)
		delete(ln.network.listeners, string(ln.address))
	}
}

// Addr returns the address of the listener.
func (ln *listener) Addr() net.Addr { return ln.address }
