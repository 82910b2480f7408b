//go:build review

// The rig plays the cases of the review: it starts the product's entries as processes, with stand-ins
// of the store, the servers and the clients around them, on loopback addresses and the real clock.
//
//	rig CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, one line of JSON each, and exits with
// 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2

	program   = "target/dogwoodmill" // the deploy file's command is this program with "gateway"
	readyPath = "/dogwoodmill/readiness"
	host      = "h.example"

	// Bounds of pechat-fleet.
	drain         = 2000 * time.Millisecond
	propagation   = 2000 * time.Millisecond
	stability     = 3000 * time.Millisecond
	grace         = 8 * time.Second
	startupLimit  = 15 * time.Second
	requestMargin = 2 * time.Second
	restartDelay  = 500 * time.Millisecond // of the platform
)

// cases are the cases by name.
var cases = map[string]func(r *rig) (broken bool, why string){
	"keys":     keys,
	"leaving":  leaving,
	"channels": channels,
	"stopping": stopping,
	"closing":  closing,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// noRun is the panic of a case that can't run.
type noRun struct{ err error }

func require(err error) {
	if err != nil {
		panic(noRun{err})
	}
}

func play(name, record string) (code int) {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: f, dir: dir}
	defer func() {
		if e, ok := recover().(noRun); ok {
			r.note("couldn't run", map[string]any{"err": e.err.Error()})
			fmt.Fprintln(os.Stderr, e.err)
			code = exitNoRun
		}
		r.close()
	}()
	broken, why := cases[name](r)
	r.note("verdict", map[string]any{"broken": broken, "why": why, "trouble": r.trouble})
	fmt.Printf("%s: trouble=%v broken=%v: %s\n", name, r.trouble, broken, why)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// rig is what a case is played on.
type rig struct {
	trouble     bool
	start       time.Time
	dir         string
	closing     atomic.Bool
	quiet       bool // sends and runs are not noted
	descriptors int  // that an entry's process may have; 0: no limit
	store       *store.Server
	entries     []*entry
	servers     []*server

	mu     sync.Mutex
	record *os.File
}

// now returns the time since the start.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// note writes a line of the record.
func (r *rig) note(what string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record == nil {
		return
	}
	b, err := json.Marshal(fields)
	if err != nil {
		b = []byte(`"` + err.Error() + `"`)
	}
	fmt.Fprintf(r.record, "%8.3f %-12s %s\n", r.now().Seconds(), what, b)
}

func (r *rig) close() {
	r.closing.Store(true)
	for _, e := range r.entries {
		e.kill()
	}
	for _, s := range r.servers {
		s.exit()
	}
	if r.store != nil {
		r.store.Close()
	}
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Close()
	r.record = nil
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require(err)
	return ln
}

// Ports of entries are below those that the system gives to outgoing channels, so that none of these takes
// a port while an entry is started again.
const (
	firstPort = 12_000
	portCount = 18_000
)

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for range 100 {
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	panic(noRun{fmt.Errorf("no free port")})
}

// startStore starts the store, which the servers and the operator reach at any time.
func (r *rig) startStore() { r.store = store.Serve(listen()) }

// configure writes a version of the configuration. The store's answer confirms it.
func (r *rig) configure(config map[string]any) {
	b, err := json.Marshal(config)
	require(err)
	r.store.Put("keyed.op", "config", b)
	r.note("config", map[string]any{"config": config})
}

// entry is an entry's process.
type entry struct {
	r            *rig
	name         string
	front, ready string
	boot, log    string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// startEntry starts an entry and waits until it is ready. It tries other ports if another process has taken
// one meanwhile.
func (r *rig) startEntry(name, zone string) *entry {
	for range 3 {
		if e := r.tryEntry(name, zone); e != nil {
			return e
		}
	}
	panic(noRun{fmt.Errorf("%s does not start", name)})
}

// tryEntry starts an entry and returns it once it is ready, or nil if it has ended.
func (r *rig) tryEntry(name, zone string) *entry {
	port := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	peer := freePort()
	e := &entry{r: r, name: name, front: port(), ready: port()}
	b, err := json.Marshal(map[string]any{
		"node_name": name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"},
		"ip_address": "127.0.0.1", "zone": zone, "region": "r", "zones": map[string]string{"a": "r", "b": "r"},
		"listen_addresses": map[string]string{"front": e.front, "ready": e.ready}, "internal_port_range": []int{peer, peer},
		"seed_nodes": []string{}, "first_start": true, "heartbeat_ms": 1200,
		"limits":   map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 544, "file_descriptors": 8400},
		"bounds":   map[string]any{"stability_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_propagation_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 102},
		"platform": map[string]any{"address": r.store.Addr(), "form": "log"},
	})
	require(err)
	boot := filepath.Join(r.dir, name+".json")
	require(os.WriteFile(boot, b, 0o600))
	e.boot, e.log = boot, filepath.Join(r.dir, name+".log")
	e.spawn()
	r.entries = append(r.entries, e)
	r.await(name+" is ready", func() bool { return e.ended() || e.isReady() })
	if e.ended() {
		r.note("not started", map[string]any{"entry": name, "says": e.lastLine()})
		return nil
	}
	r.note("ready", map[string]any{"entry": name})
	return e
}

// isReady asks the entry whether it is ready, as the platform does.
func (e *entry) isReady() bool {
	res, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + e.ready + readyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// spawn starts the process.
func (e *entry) spawn() {
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require(err)
	cmd := exec.Command(program, "gateway")
	if n := e.r.descriptors; n > 0 { // the platform limits the process
		cmd = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s gateway", n, program))
	}
	cmd.Env = append(os.Environ(), "DOGWOODMILL_BOOT="+e.boot)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require(cmd.Start())
	done := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ends by a signal
		_ = log.Close()
		close(done)
	}()
}

// restart starts the process again once it has ended, as the platform does.
func (e *entry) restart() {
	<-e.done
	e.r.note("ended", map[string]any{"entry": e.name})
	time.Sleep(restartDelay)
	if e.r.closing.Load() {
		return
	}
	e.spawn()
	e.r.note("started", map[string]any{"entry": e.name})
}

// await waits until something holds.
func (r *rig) await(what string, ok func() bool) {
	for until := time.Now().Add(startupLimit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic(noRun{fmt.Errorf("%s: not in time", what)})
		}
	}
}

// line returns the last line with a text that the process wrote.
func (e *entry) line(text string) string {
	b, _ := os.ReadFile(e.log)
	out := ""
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, text) {
			out = line
		}
	}
	return out
}

// lastLine returns the last line that the process wrote.
func (e *entry) lastLine() string {
	b, _ := os.ReadFile(e.log)
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Kill()
	<-e.done
}

// term sends SIGTERM.
func (e *entry) term() {
	e.r.note("sigterm", map[string]any{"entry": e.name})
	require(e.cmd.Process.Signal(syscall.SIGTERM))
}

// run is a request that a server ran.
type run struct {
	ID      string
	Server  string
	Tenant  string
	Arrived time.Duration
	Whole   bool
}

// server is a server of a plain service. It serves until exit.
type server struct {
	r       *rig
	id      string
	service string
	zone    string
	work    time.Duration // of a plain answer, or between events
	events  int           // 0: a plain answer
	model   *model        // nil: it isn't one of model requests
	ln      net.Listener
	http    *http.Server
	born    int64

	mu      sync.Mutex
	leaving bool
	exited  bool
	runs    []run
}

func (r *rig) startServer(id, service, zone string, work time.Duration) *server {
	s := &server{r: r, id: id, service: service, zone: zone, work: work, ln: listen(), born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(s.ln) }() // until exit
	r.servers = append(r.servers, s)
	s.register("ready")
	return s
}

// startModel starts a server of model requests.
func (r *rig) startModel(id, service, zone string) *server {
	s := r.startServer(id, service, zone, 0)
	s.model = &model{slots: make(chan struct{}, engineSlots)}
	return s
}

// register writes the server's entry to the store.
func (s *server) register(state string) {
	b, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
	require(err)
	s.r.store.Put("keyed.servers", s.id, b)
}

// remove removes the server's entry from the store.
func (s *server) remove() { s.r.store.Put("keyed.servers", s.id, nil) }

// leave makes the server say in its answers that it leaves.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.r.note("leaving", map[string]any{"server": s.id})
}

// exit ends the server at once.
func (s *server) exit() {
	s.mu.Lock()
	was := s.exited
	s.exited = true
	s.mu.Unlock()
	if !was {
		s.r.note("exit", map[string]any{"server": s.id})
		_ = s.http.Close()
	}
}

func (s *server) list() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case s.model != nil && q.URL.Path == "/dogwoodmill/order":
		s.serveOrder(w)
		return
	case s.model != nil && q.URL.Path == "/dogwoodmill/report":
		s.serveReport(w)
		return
	}
	s.mu.Lock()
	n := len(s.runs)
	s.runs = append(s.runs, run{ID: id, Server: s.id, Tenant: q.Header.Get("X-Tenant"), Arrived: s.r.now()})
	s.mu.Unlock()
	if !s.r.quiet {
		s.r.note("run", map[string]any{"id": id, "server": s.id, "tenant": q.Header.Get("X-Tenant")})
	}
	if s.model != nil {
		s.serveModel(w, q, body, n)
		return
	}
	if s.events > 0 {
		s.stream(w, q, n)
		return
	}
	select {
	case <-time.After(s.work):
	case <-q.Context().Done(): // the channel is closed
		s.r.note("cut", map[string]any{"id": id, "server": s.id})
		return
	}
	s.mu.Lock()
	leaving := s.leaving
	s.runs[n].Whole = true
	s.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// stream answers with events, from the one after Last-Event-Id on.
func (s *server) stream(w http.ResponseWriter, q *http.Request, n int) {
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 if there is none
	for i := from + 1; i <= s.events; i++ {
		select {
		case <-time.After(s.work):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 65)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a failed write shows at the next event
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].Whole = true
}

// request is a request of a client.
type request struct {
	Entry   *entry
	ID      string
	Method  string
	Path    string
	Key     string // "": none
	Limit   time.Duration
	Headers map[string]string
	Body    []byte
}

// answer is what a client got.
type answer struct {
	Request request
	Sent    time.Duration
	Got     time.Duration
	Status  int // 0: none
	Header  http.Header
	Body    []byte
	Whole   bool
	Err     error
}

// send sends a request on a new channel and returns what came.
func (r *rig) send(q request) answer {
	a := answer{Request: q, Sent: r.now()}
	r.note("sent", map[string]any{"id": q.ID, "entry": q.Entry.name, "path": q.Path, "key": q.Key})
	ctx, cancel := context.WithTimeout(context.Background(), q.Limit+requestMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Entry.front+q.Path, bytes.NewReader(q.Body))
	require(err)
	req.Host = host
	req.Header.Set("X-Attempt-Id", q.ID)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(q.Limit.Milliseconds()))
	if q.Key != "" {
		req.Header.Set("Authorization", "Token "+q.Key)
	}
	for k, v := range q.Headers {
		req.Header.Set(k, v)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err == nil {
		a.Status, a.Header = res.StatusCode, res.Header
		a.Body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.Whole = err == nil
	}
	a.Got, a.Err = r.now(), err
	fields := map[string]any{"id": q.ID, "status": a.Status, "whole": a.Whole, "bytes": len(a.Body)}
	if err != nil {
		fields["err"] = err.Error()
	}
	if a.Header.Get("Server-Leaving") != "" {
		fields["leaving"] = a.Header.Get("X-Response-Seal")
	}
	r.note("answered", fields)
	return a
}

// every calls send for each i, the interval apart, until the end, and returns all answers.
func (r *rig) every(interval, length time.Duration, next func(i int) request) []answer {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out []answer
	)
	t := time.NewTicker(interval)
	defer t.Stop()
	for i, until := 0, time.Now().Add(length); time.Now().Before(until); i++ {
		q := next(i)
		wg.Go(func() {
			a := r.send(q)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		<-t.C
	}
	wg.Wait()
	return out
}
