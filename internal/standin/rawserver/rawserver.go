// Package rawserver is a fake server for tests that writes any bytes, which need not be a valid
// HTTP response.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// receiveBytes is the receive buffer of connections that are reset.
const receiveBytes = 4 << 10

// Server is a fake server on loopback. It is safe for concurrent use.
type Server struct {
	ln net.Listener
	wg sync.WaitGroup
}

// Start starts a server that passes each connection to serve and closes it afterwards. Close stops
// it. An error is that of the listener.
func Start(serve func(c net.Conn)) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln}
	s.wg.Go(func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			s.wg.Go(func() {
				serve(c)
				_ = c.Close() // it may be closed already
			})
		}
	})
	return s, nil
}

// Addr returns the server's host:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the server and waits for its connections to end.
func (s *Server) Close() {
	_ = s.ln.Close() // ends accepting
	s.wg.Wait()
}

// Answer returns a function for Start that reads a request to its end and writes the answer.
func Answer(answer string) func(net.Conn) {
	return func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return // the client has given up
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, answer) // a failed write shows at the client
	}
}

// Reset returns a function for Start that writes the answer to a request and resets the connection while
// the body of the request is being written.
func Reset(answer string) func(net.Conn) {
	return early(answer, func(c *net.TCPConn) { _ = c.SetLinger(0) }) // makes the close a reset
}

// EndThenReset returns a function for Start that writes the answer to a request and ends it in order, and
// resets the connection then. The body of the request is still being written.
func EndThenReset(answer string) func(net.Conn) {
	return early(answer, func(c *net.TCPConn) {
		_ = c.CloseWrite() // the close resets, as there are unread bytes
	})
}

// EndAndKeep returns a function for Start that writes the answer to a request and ends it in order, and
// keeps the connection without reading until done is closed.
func EndAndKeep(answer string, done <-chan struct{}) func(net.Conn) {
	return early(answer, func(c *net.TCPConn) {
		_ = c.CloseWrite() // the client sees its end
		<-done
	})
}

// early returns a function for Start that reads the head of a request and a few kilobytes of its body,
// writes the answer and calls end.
func early(answer string, end func(*net.TCPConn)) func(net.Conn) {
	return func(c net.Conn) {
		t, ok := c.(*net.TCPConn)
		if !ok || t.SetReadBuffer(receiveBytes) != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return // the client has given up
		}
		_, _ = io.WriteString(c, answer) // a failed write shows at the client
		end(t)
	}
}
