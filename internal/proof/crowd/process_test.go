// Package crowd runs an entry as a process on loopback under callers that abuse it, and checks that
// the process stays alive and within its memory and descriptors.
package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dogwoodmill/dogwoodmill/internal/base/ports"
	"github.com/dogwoodmill/dogwoodmill/internal/command/cli"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// roleEnv makes the test binary run the product's gateway command.
	roleEnv = "CROWD_ROLE"
	// memoryMB is the entry's memory_mb. The peak of its resident memory must not exceed it.
	memoryMB = 128
	// descriptors is the entry's file_descriptors. Its open descriptors must not exceed it.
	descriptors = 400
	// bodyLimit is max_body_bytes of the configuration.
	bodyLimit = 4 << 20
	// streamEvents give a stream of 8 MB.
	streamEvents = 4000
	// awaitTimeout is far longer than any awaited condition takes.
	awaitTimeout = 2 * time.Minute
)

func TestMain(m *testing.M) {
	if os.Getenv(roleEnv) != "" {
		os.Exit(cli.Main([]string{"gateway", "--boot", os.Args[1]}, os.Stdout, os.Stderr))
	}
	goleak.VerifyTestMain(m)
}

// entry is a process of the product with stand-ins of the store and of servers in this process.
type entry struct {
	t       *testing.T
	address string // for callers
	cmd     *exec.Cmd
	done    chan struct{}
}

// startEntry starts an entry and awaits its readiness. Tests don't run in parallel, so one entry runs at a time.
func startEntry(t *testing.T) *entry {
	t.Helper()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	st := store.Serve(listen())
	t.Cleanup(st.Close)
	desk, engine := server.New(listen(), "i-desk", 0), server.New(listen(), "i-engine", streamEvents)
	t.Cleanup(desk.Close)
	t.Cleanup(engine.Close)
	for instance, s := range map[string]*server.Server{"desk": desk, "engines": engine} {
		st.Put(platform.ServersTopic, s.Instance(), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":200,"state":"ready","sequence":1,"born":0}`, instance, s.Addr()))
	}
	st.Put(platform.ConfigTopic, platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":60000,"target_latency_ms":300,"service":"desk","max_attempts":2},
		{"name":"ask","host":"h.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":60000,"target_latency_ms":300,"service":"engines","max_attempts":2,"resume_streams":true,"target_gap_ms":200}],
		"services":[{"name":"desk","max_connections":300},{"name":"engines","max_connections":300,"engine":{"slots":200,"kv_cache_tokens":4500000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"hop_ms":0.1}}],
		"tenants":[{"name":"guild","api_keys":["key-1"]}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, bodyLimit))
	free := ports.Free(t, 3)
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(free[i])) }
	b, err := json.Marshal(map[string]any{
		"node_name": "vm-1", "zone": "a", "ip_address": "127.0.0.1",
		"listen_addresses": map[string]string{"front": address(0), "ready": address(1)}, "internal_port_range": []int{free[2], free[2]},
		"heartbeat_ms": 1200, "platform": map[string]string{"address": st.Addr()},
		"limits": map[string]any{"memory_mb": memoryMB, "file_descriptors": descriptors},
		"bounds": map[string]any{"grace_s": 4, "retry_budget_ratio": 0.2, "retry_budget_slack": 100, "budget_window_s": 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm-1.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	e := &entry{t: t, address: address(0), cmd: exec.Command(os.Args[0], file), done: make(chan struct{})}
	e.cmd.Env = append(os.Environ(), roleEnv+"=entry")
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(e.done)
		_ = e.cmd.Wait() // the result is in ProcessState
	}()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill() // fails if it has ended
		<-e.done
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	e.await("readiness", func() bool {
		res, err := client.Get("http://" + address(1) + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = res.Body.Close() // only the status matters
		return res.StatusCode == http.StatusOK
	})
	return e
}

func (e *entry) await(what string, ok func() bool) {
	e.t.Helper()
	for start := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		e.checkAlive()
		if since := time.Since(start); since > awaitTimeout {
			e.t.Fatalf("%s: not within %s", what, since)
		}
	}
}

func (e *entry) checkAlive() {
	e.t.Helper()
	select {
	case <-e.done:
		e.t.Fatalf("the entry has ended: %v", e.cmd.ProcessState)
	default:
	}
}

// memory returns the peak and the present resident memory in MB.
func (e *entry) memory() (peak, now int) {
	e.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		e.t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1]) // other lines have no number
		switch f[0] {
		case "VmHWM:":
			peak = kb >> 10
		case "VmRSS:":
			now = kb >> 10
		}
	}
	return peak, now
}

// openDescriptors returns the number of open descriptors.
func (e *entry) openDescriptors() int {
	e.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		e.t.Fatal(err)
	}
	return len(list)
}

// check fails the test unless the process is alive and within its memory and descriptors.
func (e *entry) check() {
	e.t.Helper()
	e.checkAlive()
	peak, now := e.memory()
	fds := e.openDescriptors()
	e.t.Logf("resident memory: peak %d MB, now %d MB; descriptors: %d", peak, now, fds)
	if peak > memoryMB && !raceDetector {
		e.t.Errorf("the peak of resident memory is %d MB, above memory_mb %d", peak, memoryMB)
	}
	if fds > descriptors {
		e.t.Errorf("%d descriptors are open, more than file_descriptors %d", fds, descriptors)
	}
}

// awaitOrdinaryAnswer awaits that an ordinary request is answered.
func (e *entry) awaitOrdinaryAnswer() {
	e.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	e.await("an ordinary answer", func() bool {
		n++
		req, err := http.NewRequest(http.MethodPost, "http://"+e.address+"/once/1", strings.NewReader("an order"))
		if err != nil {
			e.t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Authorization", "Token key-1")
		req.Header.Set("X-Attempt-Id", fmt.Sprintf("ordinary-%d", n))
		req.Header.Set("X-Deadline-Milliseconds", "8000")
		res, err := client.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close() // only the status matters
		return res.StatusCode == http.StatusOK
	})
}
