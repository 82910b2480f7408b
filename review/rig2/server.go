//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	id       string
	server   string // id of the server
	at       time.Time
	finished time.Time // zero: the whole answer was not written
	leaving  bool      // the server had reported that it leaves
}

// server is a stand-in of a server of the users. Its id stands for one incarnation.
type server struct {
	w       *world
	service string
	zone    string
	slots   int
	answer  func(s *server, c net.Conn, req *http.Request, r *run) // answers a request that runs

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	draining time.Time // when the store accepted the report; zero: it doesn't leave
	ln       net.Listener
	conns    map[net.Conn]bool
	up       bool
	starts   int
	stop     chan struct{} // ends the heartbeats
	runs     []*run
	crashes  []time.Time
	skipBeat func(s *server) bool // nil: each heartbeat reaches the store at once
}

// start starts an incarnation on the address, or on a new one, and registers it.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.ln, s.address, s.up, s.conns, s.stop = ln, ln.Addr().String(), true, map[net.Conn]bool{}, make(chan struct{})
	s.born, s.sequence, s.draining = time.Now().UnixMilli(), 0, time.Time{}
	s.id = fmt.Sprintf("i-%s-%s-%d", s.service, s.address[strings.LastIndexByte(s.address, ':')+1:], s.starts)
	go s.accept(ln)
	go s.beat(s.stop)
	s.w.rec.printf("server %s started", s.id)
	return nil
}

// entryOf returns the server's entry in the store. s.mu must be held.
func (s *server) entryOf() []byte {
	state := "ready"
	if !s.draining.IsZero() {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	return b
}

// write writes the entry with the next sequence, and reports whether the store accepted it.
func (s *server) write() bool {
	s.mu.Lock()
	s.sequence++
	id, b := s.id, s.entryOf()
	skip := s.skipBeat
	s.mu.Unlock()
	if skip != nil && skip(s) {
		return false
	}
	return s.w.put(id, b)
}

// beat writes the entry each heartbeat until the incarnation ends.
func (s *server) beat(stop chan struct{}) {
	s.write()
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.write()
		case <-stop:
			return
		}
	}
}

// drain reports that the server leaves, to the store and in all answers from now on.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = time.Now()
	id := s.id
	s.mu.Unlock()
	s.w.rec.printf("%s leaves; the store accepted its report: %v", id, s.write())
}

// end closes the port and resets all connections, and returns the id of the incarnation.
func (s *server) end() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return ""
	}
	s.up = false
	close(s.stop)
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return s.id
}

// exit ends the server after a drain: its entry is removed.
func (s *server) exit() {
	if id := s.end(); id != "" {
		_ = s.w.put(id, nil) // else it lapses
		s.w.rec.printf("server %s exited", id)
	}
}

// crash ends the server without a word. Its entry is removed after three intervals of silence, and it is
// back after the given time with a new id.
func (s *server) crash(back time.Duration) {
	id := s.end()
	if id == "" {
		return
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.w.rec.printf("server %s crashed", id)
	time.AfterFunc(lapseAfter, func() { _ = s.w.put(id, nil) })
	time.AfterFunc(back, func() {
		if err := s.start(); err != nil {
			s.w.rec.printf("server %s does not start: %v", s.address, err)
		}
	})
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.up {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = true
		id := s.id
		s.mu.Unlock()
		go func() {
			s.serve(c, id)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serve serves the requests of a connection, one at a time.
func (s *server) serve(c net.Conn, id string) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		if strings.HasPrefix(req.URL.Path, "/dogwoodmill/") || req.URL.Path == "/health" {
			b := `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queue_depth":0,"pace":1,"free_capacity":450000}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(b), b)
			continue
		}
		s.mu.Lock()
		r := &run{id: attempt, server: id, at: time.Now(), leaving: !s.draining.IsZero()}
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		s.answer(s, c, req, r)
		if r.finished.IsZero() {
			return
		}
	}
}

// begun returns the runs at all servers by the attempt's id.
func (w *world) begun() map[string][]*run {
	out := map[string][]*run{}
	for _, s := range w.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			out[r.id] = append(out[r.id], r)
		}
		s.mu.Unlock()
	}
	return out
}

// addServers starts servers of a service, spread over the zones.
func (w *world) addServers(service string, n, slots int, answer func(s *server, c net.Conn, req *http.Request, r *run)) error {
	zones := []string{"waco-a", "temple-b", "bryan-c"}
	for i := range n {
		s := &server{w: w, service: service, zone: zones[i%len(zones)], slots: slots, answer: answer}
		w.servers = append(w.servers, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// head returns the head of a sound answer, without its framing.
func head(r *run) string {
	h := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.id + "\r\nX-Response-Seal: seal." + r.server + "\r\n"
	if r.leaving {
		h += "Server-Leaving: 1\r\n"
	}
	return h
}

// answerPlain answers with a body of 800 bytes after some work.
func answerPlain(work time.Duration) func(s *server, c net.Conn, req *http.Request, r *run) {
	return func(s *server, c net.Conn, _ *http.Request, r *run) {
		time.Sleep(work)
		body := strings.Repeat("x", 800)
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(r), len(body), body); err == nil {
			s.mu.Lock()
			r.finished = time.Now()
			s.mu.Unlock()
		}
	}
}

const (
	streamEvents  = 8
	firstToken    = 60 * time.Millisecond // prompts are read meanwhile
	eventInterval = 40 * time.Millisecond
)

// answerStream answers with events. With a first token of a prompt for which deadly returns true the server
// crashes, and is back after some seconds.
func answerStream(deadly func(req *http.Request) bool, back time.Duration) func(s *server, c net.Conn, req *http.Request, r *run) {
	return func(s *server, c net.Conn, req *http.Request, r *run) {
		if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", head(r)); err != nil {
			return
		}
		time.Sleep(firstToken)
		if deadly(req) {
			s.crash(back)
			return
		}
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if there is none
		for i := from + 1; i <= streamEvents; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 50))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(eventInterval)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err == nil {
			s.mu.Lock()
			r.finished = time.Now()
			s.mu.Unlock()
		}
	}
}

// crashTimes returns the times of all crashes, in order.
func (w *world) crashTimes() []time.Time {
	var out []time.Time
	for _, s := range w.servers {
		s.mu.Lock()
		out = append(out, s.crashes...)
		s.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}
