// Package server is a fake upstream server for tests, which answers with a plain body or
// with a stream of events. A script for each request selects the fault to inject.
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

// Script selects how the server answers one request.
type Script int

// The scripts.
const (
	Whole        Script = iota // a whole response
	Reject                     // 503 before the request runs
	Fail                       // 500 after the request ran
	Reset                      // the request runs and the connection is reset without a response
	Unsealed                   // 200 without the response seal
	WrongAttempt               // the response has the attempt ID of another request
	Encoded                    // 200 with a Content-Encoding
	CutEvent                   // a stream that is cut within an event
	Unframed                   // a whole response without Content-Length
	Silent                     // no response
	StopEvent                  // a stream that stalls for good after some events
	PauseEvent                 // a stream that stalls for longPause after some events
	LateHead                   // a whole response after longPause
	Raw                        // what the function of SetRaw writes
)

const eventsBeforeFault = 2 // in scripts that cut, stop or pause a stream

// Run is a request that a server ran.
type Run struct {
	ID        string
	Header    http.Header
	Method    string
	URI       string
	Host      string
	Body      string
	LastEvent string
	Gone      chan struct{} // closed when the caller's connection has ended
}

// Server is a fake upstream server. It is safe for concurrent use.
type Server struct {
	instance string
	events   int
	ln       net.Listener
	wg       sync.WaitGroup

	mu      sync.Mutex
	onRun   func(*Run)
	raw     func(w io.Writer, header string)
	pace    float64
	deadly  func(*Run) bool // requests on which the server crashes; nil: none
	crashed bool
	choose  func() Script // replaces the scripts; nil: none
	limit   string        // named in answers; "": none
	leaving bool          // it says so in its answers
	reports int           // load reports served
	scripts []Script
	runs    []*Run
	conns   map[net.Conn]bool
}

// New starts a server on the listener. It answers with a stream of the given number of
// events, or with a plain body if that is 0. Requests take the scripts in order; later ones
// get Whole. Close stops it.
func New(ln net.Listener, instance string, events int, scripts ...Script) *Server {
	s := &Server{instance: instance, events: events, ln: ln, scripts: scripts, pace: 1, conns: map[net.Conn]bool{}}
	s.wg.Go(s.accept)
	return s
}

// Addr returns the server's host:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Instance returns the instance ID of the server.
func (s *Server) Instance() string { return s.instance }

// Runs returns the requests that the server ran.
func (s *Server) Runs() []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Run(nil), s.runs...)
}

// OnRun sets a callback that is called for each run before the response.
func (s *Server) OnRun(onRun func(*Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRun = onRun
}

// SetRaw sets the function that answers requests with script Raw. It gets the connection and the
// header lines of a sound response.
func (s *Server) SetRaw(raw func(w io.Writer, header string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = raw
}

// SetScripts replaces the remaining scripts and clears the recorded runs.
func (s *Server) SetScripts(scripts ...Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts, s.runs = scripts, nil
}

// SetChoice sets a function that names the script of each request in place of the scripts.
func (s *Server) SetChoice(choose func() Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose = choose
}

// SetPace sets the pace in load reports: how many times longer than declared a request takes.
func (s *Server) SetPace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

// SetDeadly makes the server crash as it begins to answer a request for which deadly returns true.
func (s *Server) SetDeadly(deadly func(*Run) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly = deadly
}

// SetPoison is SetDeadly for prompts with the segment.
func (s *Server) SetPoison(segment string) {
	s.SetDeadly(func(run *Run) bool {
		return strings.Contains(","+run.Header.Get("X-Prompt-Prefix"), ","+segment+":")
	})
}

// SetLimit sets the limit of requests a second that the server names in its answers; "" names none.
func (s *Server) SetLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Leave makes the server say in its answers that it leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// leavingHeader returns the header line of a server that leaves, or "".
func (s *Server) leavingHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return ""
	}
	return "Server-Leaving: 1\r\n"
}

// limitHeader returns the header line that names the limit, or "".
func (s *Server) limitHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == "" {
		return ""
	}
	return "Server-Limit: " + s.limit + "\r\n"
}

// Crashed reports whether the server has crashed.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// isDeadly reports whether the server crashes on a run.
func (s *Server) isDeadly(run *Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadly != nil && s.deadly(run)
}

// crash closes the listener and all connections.
func (s *Server) crash() {
	_ = s.ln.Close() // stops accept
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Reports returns the number of load reports served.
func (s *Server) Reports() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	return fmt.Sprintf(`{"stage":"combined","queue_depth":0,"pace":%g}`, s.pace)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.crash()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

func (s *Server) nextScript() Script {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choose != nil {
		return s.choose()
	}
	if len(s.scripts) == 0 {
		return Whole
	}
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	return script
}

func (s *Server) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != s.instance {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id"), s.instance)
		return
	}
	if req.URL.Path == "/dogwoodmill/report" {
		b := s.report()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		return
	}
	script := s.nextScript()
	if script == Reject {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id"))
		return
	}
	run := &Run{
		ID: req.Header.Get("X-Attempt-Id"), Header: req.Header, Method: req.Method, URI: req.RequestURI, Host: req.Host,
		Body: string(body), LastEvent: req.Header.Get("Last-Event-Id"), Gone: make(chan struct{}),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	onRun := s.onRun
	s.mu.Unlock()
	if onRun != nil {
		onRun(run)
	}
	s.wg.Go(func() {
		defer close(run.Gone)
		_, _ = br.ReadByte() // returns when the connection ends
	})
	s.answer(conn, run, script)
	if script == Silent || script == StopEvent {
		<-run.Gone
	}
}

func (s *Server) answer(conn net.Conn, run *Run, script Script) {
	id := run.ID
	if script == WrongAttempt {
		id = "another"
	}
	header := "X-Attempt-Id: " + id + "\r\n" + s.limitHeader() + s.leavingHeader()
	if script != Unsealed {
		header += "X-Response-Seal: seal-" + s.instance + "\r\n"
	}
	switch script {
	case Raw:
		s.mu.Lock()
		raw := s.raw
		s.mu.Unlock()
		raw(conn, header)
		return
	case Reset:
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close send a reset
		}
		_ = conn.Close()
		return
	case Silent:
		return
	case LateHead:
		time.Sleep(longPause)
	case Fail:
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\n"+header+"Content-Length: 5\r\n\r\nwrong")
		return
	case Encoded:
		header += "Content-Encoding: gzip\r\n"
	case Unframed:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"\r\nplain answer")
		return
	}
	if s.events > 0 {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	}
	if s.isDeadly(run) {
		time.Sleep(passTime)
		s.crash()
		return
	}
	if s.events == 0 {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 12\r\n\r\nplain answer")
		return
	}
	if err := s.stream(conn, run, script); err == nil {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

var errCut = errors.New("cut")

// longPause is long enough to make an entry resume the stream at another server.
const longPause = 1500 * time.Millisecond

// passTime is the time until a deadly request crashes the server, for a stream from the head of the
// answer: engines read prompts for a pass or longer before they write.
const passTime = 60 * time.Millisecond

// eventInterval separates the events, so that the reader gets each one on its own.
const eventInterval = 2 * time.Millisecond

func (s *Server) stream(conn net.Conn, run *Run, script Script) error {
	from, _ := strconv.Atoi(run.LastEvent) // 0 if there is none
	for i := from + 1; i <= s.events; i++ {
		event := Event(i)
		if script == CutEvent && i == from+1+eventsBeforeFault {
			event = event[:len(event)/2]
		}
		if script == PauseEvent && i == from+1+eventsBeforeFault {
			time.Sleep(longPause)
		}
		if script == StopEvent && i == from+1+eventsBeforeFault {
			return errCut
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		if script == CutEvent && i == from+1+eventsBeforeFault {
			return errCut
		}
		time.Sleep(eventInterval)
	}
	return nil
}

// Event returns the event with the ID.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", id)) }

// Events returns the body of a whole response of n events.
func Events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(i))
	}
	return b.String()
}
