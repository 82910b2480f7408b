package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that reached a server.
type run struct {
	at     time.Time
	id     string
	path   string
	ran    bool // false: it was turned away
	header http.Header
}

// server is a stand-in for a server of the users' platform. It serves one request on a connection.
type server struct {
	w                          *world
	id, service, zone, address string
	sequence                   int
	crashed                    bool // guarded by the service
	born                       time.Time
	ln                         net.Listener
	wg                         sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	runs   []run
	answer func(s *server, c net.Conn, req *http.Request) // nil: answerWhole
}

func startServer(w *world, id, service, zone string) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return serveOn(w, ln, id, service, zone), nil
}

// serveOn starts a server on a listener.
func serveOn(w *world, ln net.Listener, id, service, zone string) *server {
	s := &server{w: w, id: id, service: service, zone: zone, address: ln.Addr().String(), born: time.Now(), ln: ln, conns: map[net.Conn]bool{}}
	s.wg.Go(func() { s.accept(ln) })
	return s
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(c)
			_ = c.Close() // it may be closed already
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

func (s *server) serve(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // a probe of the connection, or a caller that gave up
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return // the caller gave up
	}
	if req.Header.Get("X-Expect-Instance") != s.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id"), s.id)
		return
	}
	if req.URL.Path == "/dogwoodmill/report" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"pace\":1}")
		return
	}
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	if answer == nil {
		answer = answerWhole
	}
	answer(s, c, req)
}

// reached records a request.
func (s *server) reached(req *http.Request, ran bool, what string) {
	id := req.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), id: id, path: req.URL.Path, ran: ran, header: req.Header})
	s.mu.Unlock()
	s.w.note("server %s of %s: %s reached it: %s", s.id, s.service, id, what)
}

// list returns the requests that reached the server.
func (s *server) list() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) setAnswer(f func(s *server, c net.Conn, req *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

// head is the start of a server's answer to a request that it ran.
func (s *server) head(req *http.Request, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\n", status, req.Header.Get("X-Attempt-Id"), s.id, req.Header.Get("X-Attempt-Id"))
}

const workTime = 15 * time.Millisecond

// answerOf returns the body of the answers of a service.
func answerOf(service string) string { return "done by " + service }

// answerWhole runs a request and answers it in full.
func answerWhole(s *server, c net.Conn, req *http.Request) {
	s.reached(req, true, "run")
	time.Sleep(workTime)
	body := answerOf(s.service)
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", s.head(req, "200 OK"), len(body), body)
}

// event returns an event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("t", 40)) }

// chunk returns a chunk of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// crash ends the server at once: its connections are reset and new ones refused.
func (s *server) crash() {
	_ = s.ln.Close() // new connections are refused
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the close resets it
		}
		_ = c.Close()
	}
}

func (s *server) close() {
	s.crash()
	s.wg.Wait()
}
