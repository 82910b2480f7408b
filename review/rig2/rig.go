//go:build review2

// Command rig2 plays the cases 6 to 10 of the second review: it starts entries by the command of the
// deploy file, with stand-ins of the platform's store, servers and clients, and checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	longestCase = 115 * time.Second
)

// Names that all cases share.
const (
	host       = "guild.example"
	heartbeat  = 1200 * time.Millisecond
	graceS     = 8
	drainTime  = 2 * time.Second // drain_ms
	stability  = 3 * time.Second // stability_window_ms
	lapseAfter = 3 * heartbeat   // an entry of a silent server is removed
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// printf writes a line with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is the store, the servers and the entries of a case.
type world struct {
	rec      *record
	dir      string // temporary
	store    *store.Store
	storeLn  net.Listener
	storeSrv *http.Server
	entries  []*entry
	servers  []*server
	version  int

	mu        sync.Mutex
	storeDown bool // servers can't write either
}

// entry is a process of the project.
type entry struct {
	name         string
	front, ready string
	boot         string // path of its settings
	cmd          *exec.Cmd
	done         chan struct{}
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, store: store.New(), storeLn: ln}
	w.storeSrv = &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.storeSrv.Serve(ln) }()
	return w, nil
}

// freePort returns a port that is free for TCP and UDP.
func freePort() (int, error) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		_ = ln.Close()
		if err == nil {
			_ = c.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// startEntry starts an entry by the command of the deploy file, with settings like those of a small site.
func (w *world) startEntry(name, zone string) (*entry, error) {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	e := &entry{name: name, front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	b, err := json.MarshalIndent(map[string]any{
		"node_name": name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"},
		"ip_address": "127.0.0.1", "zone": zone, "region": "central-tx",
		"zones":               map[string]string{"waco-a": "central-tx", "temple-b": "central-tx", "bryan-c": "central-tx"},
		"listen_addresses":    map[string]string{"front": e.front, "ready": e.ready},
		"internal_port_range": []int{ports[2], ports[2]}, "heartbeat_ms": heartbeat.Milliseconds(), "first_start": true,
		"limits": map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 544, "file_descriptors": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"stability_window_ms": stability.Milliseconds(), "acknowledge_ms": 4000, "drain_ms": drainTime.Milliseconds(), "grace_s": graceS,
			"config_propagation_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 106,
			"release_ms": 4000, "max_hold_ms": 20000, "max_idle_ms": 9000, "stall_ms": 1500,
		},
		"platform": map[string]any{"address": w.storeLn.Addr().String(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "keep_s": 300},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	boot := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(boot, b, 0o600); err != nil {
		return nil, err
	}
	e.boot = boot
	if err := w.launch(e); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, nil
}

// launch starts the process of an entry.
func (w *world) launch(e *entry) error {
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/dogwoodmill", "gateway") // as in the deploy file
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "DOGWOODMILL_BOOT=" + e.boot}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	cmd, done := e.cmd, make(chan struct{})
	e.done = done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// restartEntries kills all entries at the same moment and starts them again.
func (w *world) restartEntries() error {
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
	}
	for _, e := range w.entries {
		<-e.done
	}
	w.rec.printf("all entries were killed")
	time.Sleep(500 * time.Millisecond) // the platform starts a process again after a short delay
	for _, e := range w.entries {
		if err := w.launch(e); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// awaitReady waits until all entries answer their readiness probe with 200.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range w.entries {
		for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			res, err := client.Get("http://" + e.ready + "/dogwoodmill/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
		}
		w.rec.printf("%s is ready", e.name)
	}
	return nil
}

// configure writes a version of the configuration.
func (w *world) configure(routes, services []map[string]any) error {
	w.version++
	b, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "guild", "api_keys": []string{"key-guild"}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", b)
	w.rec.printf("the operator wrote version %d", w.version)
	return nil
}

// close ends all that the case started. It keeps the entries' logs beside the record where KEEP_LOGS names
// a folder.
func (w *world) close() {
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	for _, s := range w.servers {
		s.exit()
	}
	_ = w.storeSrv.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// setStoreDown begins or ends an outage of the store: it answers 503.
func (w *world) setStoreDown(down bool) {
	w.mu.Lock()
	w.storeDown = down
	w.mu.Unlock()
	w.store.SetOutage(down)
	w.rec.printf("the store is down: %v", down)
}

// put writes for a server, and reports whether the store accepted it.
func (w *world) put(id string, value []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown {
		return false
	}
	w.store.Put("keyed.servers", id, value)
	return true
}

// engineService is a service of model servers in the configuration.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 344, "protocol": "h1", "engine": map[string]any{
		"slots": 16, "kv_cache_tokens": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
		"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.1,
		"usual": map[string]int{"prompt": 4960, "answer": 1541},
	}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 52, "protocol": "h1"}
}

func main() {
	dir := flag.String("dir", "", "folder of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	cases := map[string]func(w *world, trouble bool) (broken bool, err error){
		"blame": playBlame, "blame-restart": playBlameRestart, "beat": playBeat, "retry-after": playRetryAfter,
	}
	play := cases[flag.Arg(0)]
	if play == nil || *dir == "" {
		fmt.Fprintln(os.Stderr, "usage: rig2 -dir FOLDER [-trouble=false] CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play, *dir, *trouble))
}

func playCase(play func(w *world, trouble bool) (bool, error), dir string, trouble bool) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	time.AfterFunc(longestCase, func() {
		rec.printf("not run: too slow")
		w.close()
		os.Exit(exitNotRun)
	})
	defer w.close()
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
