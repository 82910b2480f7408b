// Package server stands in for a server of the users' platform: a plain one or one
// that streams events. Each answer follows a script, so that tests choose how a
// server fails.
package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Script tells how a server answers.
type Script int

// The ways to answer.
const (
	Whole      Script = iota // in full
	Reject                   // 503, not run
	Fail                     // 500, run
	Reset                    // run, and the connection is reset without an answer
	Unsealed                 // 200 without a seal
	Stranger                 // the answer of another request
	Encoded                  // 200 with a content encoding
	CutEvent                 // a stream that breaks off within an event
	Unframed                 // an answer without a length, whole
	Silent                   // no answer
	StopEvent                // a stream that falls silent after some events
	PauseEvent               // a stream that pauses after some events
)

const cutAfter = 2 // events before a stream breaks off or falls silent

// Run is a request that a server ran.
type Run struct {
	ID        string
	Header    http.Header
	Method    string
	URI       string
	Host      string
	Body      string
	LastEvent string
	Gone      chan struct{} // closed where the caller's connection ended
}

// Server is a server. Its methods may be called from any goroutine.
type Server struct {
	instance string
	events   int
	ln       net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	noted  func(*Run)
	pace   float64
	told   int // reports
	script []Script
	runs   []*Run
	conns  map[net.Conn]bool
}

// New starts a server on the listener that answers with so many events, or with a
// plain body where there are none. Close ends it.
func New(ln net.Listener, instance string, events int, script ...Script) *Server {
	s := &Server{instance: instance, events: events, ln: ln, script: script, pace: 1, conns: map[net.Conn]bool{}}
	s.wg.Go(s.accept)
	return s
}

// Addr returns the server's host:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Instance returns the server's id.
func (s *Server) Instance() string { return s.instance }

// Runs returns the requests that it ran.
func (s *Server) Runs() []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Run(nil), s.runs...)
}

// Note makes the server tell of each run before it answers.
func (s *Server) Note(noted func(*Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted = noted
}

// Follow makes the server follow a script from now on, and forgets its runs.
func (s *Server) Follow(script ...Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.runs = script, nil
}

// SetPace makes the server report that it takes so many times longer than declared.
func (s *Server) SetPace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

// Reports returns how often the server told how it is.
func (s *Server) Reports() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told++
	return fmt.Sprintf(`{"stage":"combined","queue_depth":0,"pace":%g}`, s.pace)
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.ln.Close() // ends accept
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

func (s *Server) next() Script {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return Whole
	}
	k := s.script[0]
	s.script = s.script[1:]
	return k
}

func (s *Server) serve(c net.Conn) {
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != s.instance {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.instance)
		return
	}
	if req.URL.Path == "/dogwoodmill/report" {
		b := s.report()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		return
	}
	k := s.next()
	if k == Reject {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	run := &Run{
		ID: req.Header.Get("X-Attempt-Id"), Header: req.Header, Method: req.Method, URI: req.RequestURI, Host: req.Host,
		Body: string(body), LastEvent: req.Header.Get("Last-Event-Id"), Gone: make(chan struct{}),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	noted := s.noted
	s.mu.Unlock()
	if noted != nil {
		noted(run)
	}
	s.wg.Go(func() {
		defer close(run.Gone)
		_, _ = br.ReadByte() // ends with the connection
	})
	s.answer(c, run, k)
	if k == Silent || k == StopEvent {
		<-run.Gone
	}
}

func (s *Server) answer(c net.Conn, run *Run, k Script) {
	id := run.ID
	if k == Stranger {
		id = "another"
	}
	head := "X-Attempt-Id: " + id + "\r\n"
	if k != Unsealed {
		head += "X-Response-Seal: seal-" + s.instance + "\r\n"
	}
	switch k {
	case Reset:
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closing resets
		}
		_ = c.Close()
		return
	case Silent:
		return
	case Fail:
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 5\r\n\r\nwrong")
		return
	case Encoded:
		head += "Content-Encoding: gzip\r\n"
	case Unframed:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\nplain answer")
		return
	}
	if s.events == 0 {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 12\r\n\r\nplain answer")
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if err := s.stream(c, run, k); err == nil {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

var errCut = errors.New("cut")

// longPause is a pause that makes an entry ask another server to go on.
const longPause = 1500 * time.Millisecond

// eventPause keeps events apart, so that each is read by itself.
const eventPause = 2 * time.Millisecond

func (s *Server) stream(c net.Conn, run *Run, k Script) error {
	from, _ := strconv.Atoi(run.LastEvent) // 0 where there is none
	for i := from + 1; i <= s.events; i++ {
		event := Event(i)
		if k == CutEvent && i == from+1+cutAfter {
			event = event[:len(event)/2]
		}
		if k == PauseEvent && i == from+1+cutAfter {
			time.Sleep(longPause)
		}
		if k == StopEvent && i == from+1+cutAfter {
			return errCut
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		if k == CutEvent && i == from+1+cutAfter {
			return errCut
		}
		time.Sleep(eventPause)
	}
	return nil
}

// Event returns the event with an id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", id)) }

// Events returns the events up to an id, as a whole answer has them.
func Events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(i))
	}
	return b.String()
}
