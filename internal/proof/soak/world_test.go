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
	entryCount   = 6 // more than read the store for the others
	engineCount  = 5
	plainCount   = 3
	eventCount   = 6
	graceSeconds = 4
)

// process is a child process of the soak. Signals go to its process id only.
type process struct {
	role   string
	args   []string
	dir    string
	cmd    *exec.Cmd
	done   chan struct{}
	onLine func([]byte) // called for each line of standard output; nil writes the output to the log file
}

// start starts a new process of the role.
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
	if p.onLine == nil {
		p.cmd.Stdout = log
	} else if out, err = p.cmd.StdoutPipe(); err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	cmd, line := p.cmd, p.onLine
	go func() {
		defer close(done)
		if out != nil {
			for sc := bufio.NewScanner(out); sc.Scan(); {
				line(sc.Bytes())
			}
		}
		_ = cmd.Wait() // the result is in ProcessState
		_ = log.Close()
	}()
	return nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal; it has no effect on a process that has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// upstream is a server process and the relay in front of it.
type upstream struct {
	process
	service  string
	instance string
	control  string
	relay    *relay.Relay
	starts   int
}

// world holds all processes of a soak.
type world struct {
	t              *testing.T
	dir            string
	store          process
	storeControl   string
	storeRelay     *relay.Relay
	entries        []*process
	addresses      []string // that callers connect to, by entry
	readyAddresses []string // that serve the readiness probe, by entry
	upstreams      []*upstream
	version        int
	starting       sync.Mutex // held while a server is started or registered

	mu         sync.Mutex
	executions map[string][]execution // by attempt id
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), executions: map[string][]execution{}}
	if keep := os.Getenv("SOAK_LOGS"); keep != "" {
		w.dir = keep
	}
	t.Cleanup(w.close)
	free := ports.Free(t, 2+3*entryCount+2*(engineCount+plainCount))
	next := func() string {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(free[0]))
		free = free[1:]
		return a
	}
	store := next()
	w.storeControl = next()
	w.store = process{role: roleStore, args: []string{store, w.storeControl}, dir: w.dir}
	w.requireNoError(w.store.start())
	w.storeRelay = w.relay(store)
	for i := range engineCount + plainCount {
		service, events := "engines", eventCount
		if i >= engineCount {
			service, events = "desk", 0
		}
		u := &upstream{service: service, instance: fmt.Sprintf("i-%d", i)}
		address := next()
		u.control = next()
		u.process = process{role: roleServer, args: []string{address, u.control, u.instance, strconv.Itoa(events)}, dir: w.dir, onLine: w.recordExecution}
		u.relay = w.relay(address)
		w.upstreams = append(w.upstreams, u)
		w.requireNoError(u.start())
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
		return w.controlStore(storeCommand{Topic: "keyed.op", Key: "probe", Value: "0"}) == nil
	})
	w.configure()
	for _, u := range w.upstreams {
		w.register(u)
	}
	for _, e := range w.entries {
		w.requireNoError(e.start())
	}
	w.awaitReady()
	return w
}

func (w *world) requireNoError(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// reportError fails the test without ending it: Fatal may only be called in the test's goroutine.
func (w *world) reportError(err error) {
	if err != nil {
		w.t.Error(err)
	}
}

// relay starts a relay in front of a process.
func (w *world) relay(target string) *relay.Relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.requireNoError(err)
	return relay.New(ln, target)
}

// entry writes the settings of an entry and returns its process, not yet started.
func (w *world) entry(i int, front, ready, peer string) *process {
	_, port, err := net.SplitHostPort(peer)
	w.requireNoError(err)
	n, err := strconv.Atoi(port)
	w.requireNoError(err)
	b, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("vm-%d", i), "zone": string(rune('a' + i%3)), "ip_address": "127.0.0.1",
		"listen_addresses": map[string]string{"front": front, "ready": ready}, "internal_port_range": []int{n, n},
		"heartbeat_ms": 1200, "platform": map[string]string{"address": w.storeRelay.Addr()},
		"bounds": map[string]any{"grace_s": graceSeconds, "retry_budget_ratio": 0.2, "retry_budget_slack": 100, "budget_window_s": 10},
	})
	w.requireNoError(err)
	file := filepath.Join(w.t.TempDir(), fmt.Sprintf("vm-%d.json", i))
	w.requireNoError(os.WriteFile(file, b, 0o600))
	w.addresses, w.readyAddresses = append(w.addresses, front), append(w.readyAddresses, ready)
	return &process{role: roleEntry, args: []string{file}, dir: w.dir}
}

// recordExecution records a line of a server's output.
func (w *world) recordExecution(line []byte) {
	var r execution
	if err := json.Unmarshal(line, &r); err != nil {
		return // the line is incomplete because the process was killed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[r.ID] = append(w.executions[r.ID], r)
}

// controlStore sends a command to the store.
func (w *world) controlStore(st storeCommand) error {
	b, err := json.Marshal(st)
	if err != nil {
		return err
	}
	return post(w.storeControl, b)
}

func post(address string, body []byte) error {
	res, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+address, "", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// follow sets the script that the server follows; it has no effect on a server that is down.
func (u *upstream) follow(script ...server.Script) {
	b := make([]byte, len(script))
	for i, s := range script {
		b[i] = byte(s)
	}
	_ = post(u.control, b) // fails where the server is down
}

// register writes the registration of a server to the store.
func (w *world) register(u *upstream) {
	w.reportError(w.controlStore(storeCommand{Topic: "keyed.servers", Key: u.instance, Value: fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","slots":16,"state":"ready","sequence":1,"born":%d}`, u.service, u.relay.Addr(), u.starts,
	)}))
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.writeConfiguration()
}

// writeConfiguration writes the newest configuration, which has a route of its own.
func (w *world) writeConfiguration() {
	route := func(prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":%d,"target_latency_ms":300,"service":%q,"max_attempts":2%s}`,
			prefix, prefix, kind, quietDeadline.Milliseconds(), service, more)
	}
	w.reportError(w.controlStore(storeCommand{Topic: "keyed.op", Key: "config", Value: fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"services":[%s,%s],
		"tenants":[{"name":"guild","api_keys":["key-1"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000}}`, w.version,
		route(w.newestPrefix(), "idempotent", "desk", ""), route("/once/", "non_idempotent", "desk", ""), route("/look/", "idempotent", "desk", ""),
		route("/ask/", "streaming", "engines", `,"resume_streams":true,"target_gap_ms":200`),
		`{"name":"desk","max_connections":100}`,
		`{"name":"engines","max_connections":100,"engine":{"slots":16,"kv_cache_tokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"hop_ms":0.1}}`)}))
}

// await polls until the condition holds, and fails the test after awaitTimeout.
func (w *world) await(what string, ok func() bool) {
	w.t.Helper()
	for start := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if since := time.Since(start); since > awaitTimeout {
			w.t.Fatalf("%s: not within %s", what, since)
		}
	}
}

// awaitTimeout is far longer than any of the awaited conditions takes, so that only a condition
// that never holds fails the test.
const awaitTimeout = 2 * time.Minute

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() {
	w.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, a := range w.readyAddresses {
		w.await(fmt.Sprintf("entry %d", i), func() bool {
			res, err := client.Get("http://" + a + platform.ReadyPath)
			if err != nil {
				return false
			}
			_ = res.Body.Close() // only the status matters
			return res.StatusCode == http.StatusOK
		})
	}
}

// newestPrefix is the path prefix that only the newest configuration has a route for.
func (w *world) newestPrefix() string { return fmt.Sprintf("/newest-%d/", w.version) }

// writeAgain writes what a restored store may have lost: the configuration, and the registrations of
// servers that run.
func (w *world) writeAgain() {
	w.writeConfiguration()
	w.starting.Lock()
	defer w.starting.Unlock()
	for _, u := range w.upstreams {
		if u.running() {
			w.register(u)
		}
	}
}

// awaitConfigured waits until all entries have the newest configuration: they refuse an unknown key for
// its route, and know no such route before.
func (w *world) awaitConfigured() {
	w.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, address := range w.addresses {
		w.await(fmt.Sprintf("version %d at entry %d", w.version, i), func() bool {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+w.newestPrefix(), nil)
			w.requireNoError(err)
			req.Host = "h.example"
			res, err := client.Do(req)
			if err != nil {
				return false
			}
			_ = res.Body.Close() // only the status matters
			return res.StatusCode == http.StatusUnauthorized
		})
	}
}

// restart starts a new process for an upstream that is down and registers it under the same name.
func (w *world) restart(u *upstream) {
	w.starting.Lock()
	defer w.starting.Unlock()
	w.reportError(u.start())
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
		u.relay.Close()
	}
	if w.store.cmd != nil {
		w.store.kill()
	}
	if w.storeRelay != nil {
		w.storeRelay.Close()
	}
}
