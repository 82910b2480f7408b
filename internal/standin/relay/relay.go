// Package relay stands in for the network between two processes: it carries TCP
// connections to a target, and delays, mutes, resets or cuts them.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a relay does with what it carries.
type Mode int32

// The modes.
const (
	Pass   Mode = iota
	Slow        // everything takes a while longer
	Mute        // connections stay, and nothing comes through
	OneWay      // questions come through, answers don't
	Reset       // connections are reset, old and new ones
)

const slowBy = 150 * time.Millisecond

// unlimited is the limit of a direction that is not cut.
const unlimited = -1

// Relay carries connections until it is closed. Its methods may be called from any
// goroutine.
type Relay struct {
	ln       net.Listener
	target   string
	mode     atomic.Int32
	question atomic.Int64 // bytes after which a new connection is reset
	answer   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// New carries the listener's connections to the target, a host:port.
func New(ln net.Listener, target string) *Relay {
	r := &Relay{ln: ln, target: target, conns: map[net.Conn]bool{}}
	r.CutNothing()
	r.wg.Go(r.accept)
	return r
}

// Addr returns the relay's host:port.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set changes what the relay does from now on.
func (r *Relay) Set(m Mode) {
	r.mode.Store(int32(m))
	if m == Reset {
		r.resetAll()
	}
}

// CutQuestions resets connections that are opened from now on after so many bytes to the
// target, and CutAnswers after so many from it. CutNothing ends both.
func (r *Relay) CutQuestions(after int) { r.question.Store(int64(after)) }

// CutAnswers is described at CutQuestions.
func (r *Relay) CutAnswers(after int) { r.answer.Store(int64(after)) }

// CutNothing is described at CutQuestions.
func (r *Relay) CutNothing() {
	r.question.Store(unlimited)
	r.answer.Store(unlimited)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close() // ends accept
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
		_ = t.SetLinger(0) // closing resets
	}
	_ = c.Close()
}

func (r *Relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relay) drop(c net.Conn) {
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
		r.keep(c)
		r.wg.Go(func() { r.carry(c) })
	}
}

func (r *Relay) carry(c net.Conn) {
	defer r.drop(c)
	if Mode(r.mode.Load()) == Reset {
		resetConn(c)
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return // the target is down: so is the relay's side
	}
	r.keep(to)
	defer r.drop(to)
	question, answer := r.question.Load(), r.answer.Load()
	r.wg.Go(func() {
		r.copy(c, to, false, answer)
		_ = c.Close()
	})
	r.copy(to, c, true, question)
}

// copy carries bytes until one end closes, or resets both after so many.
func (r *Relay) copy(to, from net.Conn, question bool, limit int64) {
	buf := make([]byte, 16<<10)
	for limit != 0 {
		if limit > 0 {
			buf = buf[:min(int64(len(buf)), limit)]
		}
		n, err := from.Read(buf)
		m := Mode(r.mode.Load())
		if m == Slow {
			time.Sleep(slowBy)
		}
		if n > 0 && m != Mute && (m != OneWay || question) {
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
