// Package network is an in-memory network of named hosts for tests in virtual
// time. Hosts can be cut off from each other, connections can go silent for good,
// and a host can be lost with all its connections. A host named "vm-1/2" is the
// second instance of the machine "vm-1": cuts are between machines, and an
// instance that was lost never comes back.
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
	dialTimeout  = time.Second
	dialDelay    = time.Millisecond
	acceptQueue  = 256
	firstPort    = 10000
	unknownCause = "no host listens there"
)

// Network connects hosts. Its methods may be called from any goroutine.
type Network struct {
	mu        sync.Mutex
	port      int
	listeners map[string]*listener
	links     map[*link]struct{}
	cut       map[[2]string]bool
	dead      map[string]bool // instances
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

// Host returns the network as the named host sees it: it listens and dials as
// that host.
func (n *Network) Host(name string) *netio.Network {
	return netio.New(
		func(ctx context.Context, addr string) (net.Conn, error) { return n.dial(ctx, name, addr) },
		func(addr string) (net.Listener, error) { return n.listen(name, addr) },
	)
}

// Cut cuts two machines off from each other: connections that are open go silent for
// good, new ones are not answered.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = true
	n.silence(func(l *link) bool { return pair(l.hosts[0], l.hosts[1]) == pair(a, b) })
}

// Heal lets new connections between two machines through again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Silence makes every open connection of a machine silent for good.
func (n *Network) Silence(machine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(func(l *link) bool {
		return pair(l.hosts[0], machine) == pair(machine, machine) || pair(l.hosts[1], machine) == pair(machine, machine)
	})
}

// Kill resets every connection of an instance and closes its listeners. It can
// neither dial nor listen any more.
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

// Open returns the number of connections.
func (n *Network) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

func (n *Network) silence(which func(*link) bool) {
	for l := range n.links {
		if !which(l) {
			continue
		}
		for _, end := range l.ends {
			end.in.update(func() { end.in.silent = true })
		}
	}
}

// pair names two machines in one order.
func pair(a, b string) [2]string {
	a, _, _ = strings.Cut(a, "/")
	b, _, _ = strings.Cut(b, "/")
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// listen listens on host:port; port 0 takes a free one.
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
		<-ctx.Done() // nobody answers
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	return c, err
}

var errCut = errors.New("cut off")

func (n *Network) connect(host, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ln := n.listeners[address]
	if ln == nil || n.dead[host] {
		return nil, fmt.Errorf("dial %s: %s", address, unknownCause)
	}
	if n.cut[pair(host, ln.host)] {
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
	there, back := newHalf(), newHalf()
	n.port++
	l := &link{hosts: [2]string{host, ln.host}}
	own := addr(fmt.Sprintf("%s:%d", host, n.port))
	l.ends[0] = newConn(own, ln.address, back, there)
	l.ends[1] = newConn(ln.address, own, there, back)
	for i, end := range l.ends {
		end.forget = func() {
			l.tell(1 - i)
			n.forget(l)
		}
	}
	return l
}

func newConn(local, remote addr, in, out *half) *conn {
	return &conn{
		local: local, remote: remote, in: in, out: out,
		readBy: newDeadline(), writeBy: newDeadline(), gone: make(chan struct{}),
	}
}

// tell closes the Gone channel of an end, unless its connection is silent.
func (l *link) tell(i int) {
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

// forget drops a link both of whose ends are closed.
func (n *Network) forget(l *link) {
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
		l.tell(i)
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

// Close stops listening.
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

// Addr returns the address.
func (ln *listener) Addr() net.Addr { return ln.address }
