// Package relay is a TCP proxy for tests that injects network faults between two processes:
// delays, dropped data, resets and connections cut after a number of bytes.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the fault that a relay injects.
type Mode int32

// The modes.
const (
	Pass   Mode = iota // no fault
	Slow               // each read is delayed by slowDelay
	Mute               // connections stay open, all data is dropped
	OneWay             // data from the target is dropped
	Reset              // open and new connections are reset
)

const slowDelay = 150 * time.Millisecond

// unlimited is the byte limit of a direction that is not cut.
const unlimited = -1

// Relay forwards connections until it is closed. It is safe for concurrent use.
type Relay struct {
	ln            net.Listener
	target        string
	mode          atomic.Int32
	requestLimit  atomic.Int64 // byte limits of new connections, or unlimited
	responseLimit atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// New starts a relay that forwards the listener's connections to the target, a host:port.
func New(ln net.Listener, target string) *Relay {
	r := &Relay{ln: ln, target: target, conns: map[net.Conn]bool{}}
	r.CutNothing()
	r.wg.Go(r.accept)
	return r
}

// Addr returns the relay's host:port.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set changes the mode. It applies to open connections too.
func (r *Relay) Set(m Mode) {
	r.mode.Store(int32(m))
	if m == Reset {
		r.resetAll()
	}
}

// CutRequests resets each connection opened from now on after that many bytes to the
// target.
func (r *Relay) CutRequests(after int) { r.requestLimit.Store(int64(after)) }

// CutResponses resets each connection opened from now on after that many bytes from the
// target.
func (r *Relay) CutResponses(after int) { r.responseLimit.Store(int64(after)) }

// CutNothing removes the limits of CutRequests and CutResponses for new connections.
func (r *Relay) CutNothing() {
	r.requestLimit.Store(unlimited)
	r.responseLimit.Store(unlimited)
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.ln.Close() // stops accept
	r.resetAll()
	r.wg.Wait()
}

func (r *Relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // makes Close send a reset
	}
	_ = c.Close()
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.track(c)
		r.wg.Go(func() { r.forward(c) })
	}
}

func (r *Relay) forward(c net.Conn) {
	defer r.untrack(c)
	if Mode(r.mode.Load()) == Reset {
		resetConn(c)
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return // the target is down: close the connection
	}
	r.track(to)
	defer r.untrack(to)
	requestLimit, responseLimit := r.requestLimit.Load(), r.responseLimit.Load()
	r.wg.Go(func() {
		r.copy(c, to, false, responseLimit)
		_ = c.Close()
	})
	r.copy(to, c, true, requestLimit)
}

// copy forwards bytes in one direction until an end closes. It resets both connections
// after limit bytes, unless limit is unlimited.
func (r *Relay) copy(to, from net.Conn, toTarget bool, limit int64) {
	buf := make([]byte, 16<<10)
	for limit != 0 {
		if limit > 0 {
			buf = buf[:min(int64(len(buf)), limit)]
		}
		n, err := from.Read(buf)
		m := Mode(r.mode.Load())
		if m == Slow {
			time.Sleep(slowDelay)
		}
		if n > 0 && m != Mute && (m != OneWay || toTarget) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
		if limit > 0 {
			limit -= int64(n)
		}
	}
	resetConn(to)
	resetConn(from)
}
