package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

// Bounds of the sheets of loomwire-tx and pechat-fleet.
const (
	stabilityWindow   = 3 * time.Second
	configPropagation = 2 * time.Second
	drainTime         = 2 * time.Second
	graceSeconds      = 8
)

const (
	program      = "target/dogwoodmill"
	topicConfig  = "keyed.op"
	topicServers = "keyed.servers"
	readyTimeout = 15 * time.Second
	key          = "k1x7t2m9"
	tenant       = "studio"
	host         = "h.example"
)

// entry is a process of the product, started with the command of the deploy file.
type entry struct {
	name, zone  string
	front       string
	ready       string
	file        string
	cmd         *exec.Cmd
	done        chan struct{}
	connections http.Client
}

// world is a small deployment on loopback: entries, the platform's store behind a gate, and servers.
type world struct {
	dir     string
	store   *store.Server
	gates   []*gate // of the entries, in their order
	entries []*entry
	servers []*server
	version int
	logs    *os.File

	mu     sync.Mutex
	record *os.File
	began  time.Time
	ports  map[int]bool
}

func newWorld(record string) (*world, error) {
	w := &world{began: time.Now(), ports: map[int]bool{}}
	var err error
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "rig3-"); err != nil {
		return nil, err
	}
	if w.logs, err = os.Create(filepath.Join(w.dir, "entries.log")); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.store = store.Serve(ln)
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...)) // a lost line shows in the record
}

// freePort returns a port that is free for TCP and UDP, and not used before.
func (w *world) freePort() (int, error) {
	for range 1000 {
		u, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := u.LocalAddr().(*net.UDPAddr).Port
		ln, err := net.Listen("tcp", u.LocalAddr().String())
		_ = u.Close() // only a probe
		if err != nil || w.ports[port] {
			continue
		}
		_ = ln.Close() // only a probe
		w.ports[port] = true
		return port, nil
	}
	return 0, errors.New("found no free port")
}

func (w *world) freeAddress() (string, int, error) {
	port, err := w.freePort()
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), port, err
}

// fourZones are the failure domains of the entries of a small deployment.
var fourZones = []string{"waco-a", "waco-a", "temple-b", "bryan-c"}

// addEntries adds entries in the given zones, starts them and waits until they are ready.
func (w *world) addEntries(zones []string) error {
	for i, zone := range zones {
		e := &entry{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone}
		e.connections = http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		if err := w.writeSettings(e); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.start(e); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// writeSettings chooses the addresses of an entry and writes its settings file.
func (w *world) writeSettings(e *entry) error {
	var (
		peer int
		errs [4]error
		g    *gate
	)
	e.front, _, errs[0] = w.freeAddress()
	e.ready, _, errs[1] = w.freeAddress()
	_, peer, errs[2] = w.freeAddress()
	g, errs[3] = newGate(w.store.Addr())
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	w.gates = append(w.gates, g)
	b, err := json.Marshal(map[string]any{
		"node_name": e.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"},
		"ip_address": "127.0.0.1", "zone": e.zone, "region": "central-tx",
		"zones":               map[string]string{"waco-a": "central-tx", "temple-b": "central-tx", "bryan-c": "central-tx"},
		"listen_addresses":    map[string]string{"front": e.front, "ready": e.ready},
		"internal_port_range": []int{peer, peer}, "first_start": true,
		"limits":       map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 544, "file_descriptors": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": stabilityWindow.Milliseconds(), "acknowledge_ms": 4000, "catch_up_s": 4,
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceSeconds, "loss_slack_ms": 200, "config_propagation_ms": configPropagation.Milliseconds(),
			"back_ms": 250, "outer_bound_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 106, "recovery_s": 12,
			"pass_ms": 120, "stall_ms": 1500, "max_hold_ms": 20000, "release_ms": 4000, "max_idle_ms": 9000,
		},
		"platform": map[string]any{"address": g.addr(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "keep_s": 300},
	})
	if err != nil {
		return err
	}
	e.file = filepath.Join(w.dir, e.name+".json")
	return os.WriteFile(e.file, b, 0o600)
}

// silence makes the open channels between the entries and the store silent for good.
func (w *world) silence() {
	n := 0
	for _, g := range w.gates {
		n += g.silence()
	}
	w.note("%d open channels to the store go silent; new ones work", n)
}

// start starts the process of an entry.
func (w *world) start(e *entry) error {
	e.cmd = exec.Command(program, "gateway")
	e.cmd.Env = []string{"DOGWOODMILL_BOOT=" + e.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = w.logs, w.logs
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // how it ended is in the log
		close(done)
	}(e.cmd)
	w.note("entry %s started: callers at %s", e.name, e.front)
	return nil
}

// kill kills an entry and waits for its end.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill() // it may have ended
	<-e.done
}

// awaitReady waits until all entries say that they are ready.
func (w *world) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", e.name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.note("all entries are ready")
	return nil
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + e.ready + "/dogwoodmill/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // only the status matters
	return res.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS                   int
}

var engineFigures = map[string]any{
	"slots": 16, "kv_cache_tokens": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
	"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "hop_ms": 0.1,
}

// configure writes the next version of the configuration, which is confirmed when it returns.
func (w *world) configure(routes []route, services map[string]bool) {
	w.version += 3
	cfg := map[string]any{
		"version": w.version,
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	var list, svcs []any
	for _, r := range routes {
		timeout := r.timeoutMS
		if timeout == 0 {
			timeout = 3000
		}
		m := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": timeout, "target_latency_ms": 300, "priority": 1,
			"service": r.service, "max_attempts": 2, "public_access": false,
		}
		if r.kind == "streaming" {
			m["resume_streams"], m["session_affinity"], m["target_gap_ms"] = true, true, 200
		}
		list = append(list, m)
	}
	for name, engine := range services {
		m := map[string]any{"name": name, "health_check_path": "/health", "max_connections": 344, "protocol": "h1", "tls": false}
		if engine {
			m["engine"] = engineFigures
		}
		svcs = append(svcs, m)
	}
	cfg["routes"], cfg["services"] = list, svcs
	b, err := json.Marshal(cfg)
	if err != nil {
		panic(err) // only maps and strings
	}
	w.store.Put(topicConfig, "config", b)
	w.note("the operator wrote configuration %d; the store has confirmed it", w.version)
}

// addServers starts servers of a service in all zones by turns.
func (w *world) addServers(service string, n int) error {
	for i := range n {
		if _, err := w.addServer(fmt.Sprintf("i-%s-%d", service, i), service, fourZones[1:][i%3]); err != nil {
			return err
		}
	}
	return nil
}

// addDesk starts servers of the plain service "desk", and writes a configuration with a route to it.
func (w *world) addDesk(n int) error {
	w.configure([]route{{name: "r-status", prefix: "/status/", kind: "idempotent", service: "desk"}}, map[string]bool{"desk": false})
	return w.addServers("desk", n)
}

// addServer starts a server of a service and registers it.
func (w *world) addServer(id, service, zone string) (*server, error) {
	s, err := startServer(w, id, service, zone)
	if err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	w.register(s, "ready")
	return s, nil
}

func (w *world) register(s *server, state string) { w.store.Put(topicServers, s.id, beat(s, state)) }

// beat returns the next entry that a server writes.
func beat(s *server, state string) []byte {
	s.sequence++
	b, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 16, "state": state, "cold_remaining_ms": 0,
		"sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // only maps and strings
	}
	return b
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool // the body has ended in order
	err    error
}

// ask sends one client attempt to an entry and reads its answer.
func (*world) ask(e *entry, id, method, path, body string, deadline time.Duration, more map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	for k, v := range more {
		req.Header.Set(k, v)
	}
	res, err := e.connections.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }() // it was read
	b, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(b), whole: err == nil, err: err}
}

// close ends all processes and servers.
func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil {
			e.kill()
		}
	}
	for _, s := range w.servers {
		s.close()
	}
	for _, g := range w.gates {
		g.close()
	}
	w.store.Close()
	_ = w.record.Close() // a lost line shows in the record
	_ = w.logs.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir) // a temporary folder
	}
}
