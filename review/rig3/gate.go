package main

import (
	"net"
	"sync"
)

// gate forwards connections to a target. Open connections can be made silent for good: they stay open,
// and what either end sends is dropped. New connections work.
type gate struct {
	ln     net.Listener
	target string
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]*flow
}

// flow is a forwarded connection, with its two ends.
type flow struct {
	mu     sync.Mutex
	silent bool
}

func (f *flow) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func newGate(target string) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln, target: target, conns: map[net.Conn]*flow{}}
	g.wg.Go(g.accept)
	return g, nil
}

func (g *gate) addr() string { return g.ln.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.ln.Accept()
		if err != nil {
			return
		}
		g.wg.Go(func() { g.forward(c) })
	}
}

func (g *gate) forward(c net.Conn) {
	to, err := net.Dial("tcp", g.target)
	if err != nil {
		_ = c.Close() // the target is down
		return
	}
	f := &flow{}
	g.mu.Lock()
	g.conns[c], g.conns[to] = f, f
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyUnless(f, to, c)
	}()
	copyUnless(f, c, to)
	<-done
	g.mu.Lock()
	delete(g.conns, c)
	delete(g.conns, to)
	g.mu.Unlock()
}

// copyUnless forwards one direction until the flow is silent. The end of a silent connection is not passed on.
func copyUnless(f *flow, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if f.isSilent() {
			if err != nil {
				_ = from.Close() // the other end never learns of it
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close() // the other end is gone
				return
			}
		}
		if err != nil {
			_ = to.Close() // passes the end on
			return
		}
	}
}

// silence makes the open connections silent for good, and returns their number.
func (g *gate) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, f := range g.conns {
		f.mu.Lock()
		if !f.silent {
			f.silent = true
			n++
		}
		f.mu.Unlock()
	}
	return n
}

func (g *gate) close() {
	_ = g.ln.Close() // ends accepting
	g.mu.Lock()
	for c := range g.conns {
		_ = c.Close() // ends the copies
	}
	g.mu.Unlock()
	g.wg.Wait()
}
