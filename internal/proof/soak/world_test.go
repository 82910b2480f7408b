package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
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
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/ports"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/relay"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	entryCount  = 4
	engineCount = 5
	deskCount   = 3
	eventCount  = 6
	grace       = 4 // seconds
)

// process is a process of the soak. Only it is ever ended, by its id.
type process struct {
	role string
	args []string
	dir  string
	cmd  *exec.Cmd
	done chan struct{}
	line func([]byte) // takes lines of its standard output; nil keeps them in a file
}

// start starts the process anew.
func (p *process) start() error {
	p.cmd = exec.Command(os.Args[0], p.args...)
	p.cmd.Env = append(os.Environ(), roleEnv+"="+p.role)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.dir, p.role+"-"+filepath.Base(p.args[0])+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd.Stderr = log
	var out io.ReadCloser
	if p.line == nil {
		p.cmd.Stdout = log
	} else if out, err = p.cmd.StdoutPipe(); err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	cmd, line := p.cmd, p.line
	go func() {
		defer close(done)
		if out != nil {
			for sc := bufio.NewScanner(out); sc.Scan(); {
				line(sc.Bytes())
			}
		}
		_ = cmd.Wait() // what it ended with shows in its state
		_ = log.Close()
	}()
	return nil
}

// signal sends a signal; a process that is gone gets none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// upstream is a server behind its relay.
type upstream struct {
	process
	service  string
	instance string
	control  string
	via      *relay.Relay
	starts   int
}

// world is all processes of a soak.
type world struct {
	t         *testing.T
	dir       string
	store     process
	storeCtl  string
	storeVia  *relay.Relay
	entries   []*process
	addresses []string // that callers connect to
	ready     []string
	upstreams []*upstream
	version   int

	mu   sync.Mutex
	runs map[string][]ran
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), runs: map[string][]ran{}}
	if keep := os.Getenv("SOAK_LOGS"); keep != "" {
		w.dir = keep
	}
	t.Cleanup(w.close)
	free := ports.Free(t, 2+3*entryCount+2*(engineCount+deskCount))
	next := func() string {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(free[0]))
		free = free[1:]
		return a
	}
	store := next()
	w.storeCtl = next()
	w.store = process{role: roleStore, args: []string{store, w.storeCtl}, dir: w.dir}
	w.try(w.store.start())
	w.storeVia = w.relay(store)
	for i := range engineCount + deskCount {
		service, events := "engines", eventCount
		if i >= engineCount {
			service, events = "desk", 0
		}
		u := &upstream{service: service, instance: fmt.Sprintf("i-%d", i)}
		address := next()
		u.control = next()
		u.process = process{role: roleServer, args: []string{address, u.control, u.instance, strconv.Itoa(events)}, dir: w.dir, line: w.ran}
		u.via = w.relay(address)
		w.upstreams = append(w.upstreams, u)
		w.try(u.start())
	}
	for i := range entryCount {
		w.entries = append(w.entries, w.entry(i, next(), next(), next()))
	}
	w.await("the store", func() bool {
		select {
		case <-w.store.done:
			w.t.Fatalf("the store ended; see %s", w.dir)
		default:
		}
		return w.tell(state{Topic: "keyed.op", Key: "probe", Value: "0"}) == nil
	})
	w.configure()
	for _, u := range w.upstreams {
		w.register(u)
	}
	for _, e := range w.entries {
		w.try(e.start())
	}
	w.awaitReady()
	return w
}

func (w *world) try(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// note fails the test and lets it go on, as goroutines beside the test have to.
func (w *world) note(err error) {
	if err != nil {
		w.t.Error(err)
	}
}

// relay stands between the entries and a process.
func (w *world) relay(target string) *relay.Relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.try(err)
	return relay.New(ln, target)
}

// entry returns an entry that is not started yet.
func (w *world) entry(i int, front, ready, peer string) *process {
	_, port, err := net.SplitHostPort(peer)
	w.try(err)
	n, err := strconv.Atoi(port)
	w.try(err)
	b, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("vm-%d", i), "zone": string(rune('a' + i%3)), "ip_address": "127.0.0.1",
		"listen_addresses": map[string]string{"front": front, "ready": ready}, "internal_port_range": []int{n, n},
		"heartbeat_ms": 1200, "platform": map[string]string{"address": w.storeVia.Addr()},
		"bounds": map[string]any{"grace_s": grace, "retry_budget_ratio": 0.2, "retry_budget_slack": 100, "budget_window_s": 10},
	})
	w.try(err)
	file := filepath.Join(w.t.TempDir(), fmt.Sprintf("vm-%d.json", i))
	w.try(os.WriteFile(file, b, 0o600))
	w.addresses, w.ready = append(w.addresses, front), append(w.ready, ready)
	return &process{role: roleEntry, args: []string{file}, dir: w.dir}
}

// ran notes a line of a server.
func (w *world) ran(line []byte) {
	var r ran
	if err := json.Unmarshal(line, &r); err != nil {
		return // a line that was cut by the end of its process
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.ID] = append(w.runs[r.ID], r)
}

// tell tells the store's control.
func (w *world) tell(st state) error {
	b, err := json.Marshal(st)
	if err != nil {
		return err
	}
	return post(w.storeCtl, b)
}

func post(address string, body []byte) error {
	res, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+address, "", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// follow gives a server a script. One that is down gets none.
func (u *upstream) follow(script ...server.Script) {
	b := make([]byte, len(script))
	for i, s := range script {
		b[i] = byte(s)
	}
	_ = post(u.control, b) // it may be down: then it fails by that
}

// register writes a server's entry.
func (w *world) register(u *upstream) {
	w.note(w.tell(state{Topic: "keyed.servers", Key: u.instance, Value: fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","slots":16,"state":"ready","sequence":1,"born":%d}`, u.service, u.via.Addr(), u.starts,
	)}))
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	route := func(prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":%d,"target_latency_ms":300,"service":%q,"max_attempts":2%s}`,
			prefix, prefix, kind, longPatience.Milliseconds(), service, more)
	}
	w.note(w.tell(state{Topic: "keyed.op", Key: "config", Value: fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[%s,%s],
		"tenants":[{"name":"guild","api_keys":["key-1"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000}}`, w.version,
		route("/once/", "non_idempotent", "desk", ""), route("/look/", "idempotent", "desk", ""),
		route("/ask/", "streaming", "engines", `,"resume_streams":true,"target_gap_ms":200`),
		`{"name":"desk","max_connections":100}`,
		`{"name":"engines","max_connections":100,"engine":{"slots":16,"kv_cache_tokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"hop_ms":0.1}}`)}))
}

// await waits until something holds. It has no time limit of its own: the test's ends it.
func (w *world) await(what string, ok func() bool) {
	w.t.Helper()
	for start := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if since := time.Since(start); since > awaitAtMost {
			w.t.Fatalf("%s: not within %s", what, since)
		}
	}
}

// awaitAtMost is far over what anything takes here, so that only what never comes fails.
const awaitAtMost = 2 * time.Minute

// awaitReady waits until all entries take callers.
func (w *world) awaitReady() {
	w.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, a := range w.ready {
		w.await(fmt.Sprintf("entry %d", i), func() bool {
			res, err := client.Get("http://" + a + platform.ReadyPath)
			if err != nil {
				return false
			}
			_ = res.Body.Close() // its status is all that matters
			return res.StatusCode == http.StatusOK
		})
	}
}

// restart starts an upstream that is down as a new process under its old name.
func (w *world) restart(u *upstream) {
	w.note(u.start())
	u.starts++
	w.register(u)
}

func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil {
			e.kill()
		}
	}
	for _, u := range w.upstreams {
		if u.cmd != nil {
			u.kill()
		}
		u.via.Close()
	}
	if w.store.cmd != nil {
		w.store.kill()
	}
	if w.storeVia != nil {
		w.storeVia.Close()
	}
}
