package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/golden"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/entry/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	testPrefillRate = 5_000_000 // tokens a second
	testStep        = 5 * time.Millisecond
)

// startCluster starts the cluster of dev on free ports and shuts it down after the test.
func startCluster(t *testing.T) *devCluster {
	t.Helper()
	engines := devEngineConfigs()
	for i := range engines {
		engines[i].PrefillRate, engines[i].Step = testPrefillRate, testStep
	}
	c, err := startDev(freePorts(), DefaultPort, engines, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range c.entries {
		go func() { _ = s.Serve() }()
	}
	t.Cleanup(c.Close)
	t.Cleanup(func() {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		for _, s := range c.entries {
			awaitIdle(t, s)
			if err := s.Shutdown(now); err != nil {
				t.Errorf("shutdown: %v", err)
			}
		}
	})
	if err := c.apply(t.Context()); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitIdle waits until the entry has no requests in progress. A caller reads the last byte
// of an answer slightly before the entry ends the request.
func awaitIdle(t *testing.T, s *server.Server) {
	t.Helper()
	for end := time.Now().Add(time.Minute); s.State().Busy > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s still has %d requests", s.VM(), s.State().Busy)
		}
	}
}

// freePorts returns a network that ignores the requested ports and listens on free ports that
// the kernel chooses.
func freePorts() *netio.Network {
	tcp := netio.TCP()
	return netio.New(tcp.Dial, func(string) (net.Listener, error) {
		return tcp.Listen(devHost + ":0")
	})
}

type answer struct {
	status int
	header http.Header
	body   string
}

func (c *devCluster) call(t *testing.T, entry int, method, path, key, body string, header ...string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+c.entries[entry].Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{status: res.StatusCode, header: res.Header, body: string(b)}
}

func TestPromptThroughEachEntry(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	for i := range devEntries {
		a := c.call(t, i, "POST", "/v1/chat/completions", devGuildKey,
			`{"model":"assistant","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
		is.Equal(a.status, 200)
		is.True(a.header.Get("X-Request-Id") != "")
		var whole struct {
			Choices []struct{ Message struct{ Content string } }
		}
		is.NoErr(json.Unmarshal([]byte(a.body), &whole))
		is.Equal(whole.Choices[0].Message.Content, engine.Answer("user: hello\n", 0, 5))

		a = c.call(t, i, "POST", "/v1/completions", devGuildKey, `{"model":"assistant","stream":true,"max_tokens":5,"prompt":"hello"}`)
		is.Equal(a.status, 200)
		is.Equal(streamedText(t, a.body), engine.Answer("hello", 0, 5))
	}
}

// streamedText joins the chunks of a streamed text completion and checks that the event ids
// are consecutive and that the stream ends with [DONE].
func streamedText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	id, want, done := -1, 0, false
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		if s, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			if _, err := fmt.Sscan(s, &id); err != nil {
				t.Fatal(err)
			}
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			continue
		}
		var c struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		if id != want {
			t.Errorf("event %d has id %d", want, id)
		}
		want++
		text.WriteString(c.Choices[0].Text)
	}
	if !done {
		t.Error("the stream has no end")
	}
	return text.String()
}

func TestMillionTokens(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": true, "max_tokens": 3, "prompt": strings.Repeat("word", 1_000_000),
	})
	is.NoErr(err)
	a := c.call(t, 0, "POST", "/v1/completions", devGuildKey, string(body), "X-Request-Timeout", "600")
	is.Equal(a.status, 200)
	is.True(strings.Contains(a.body, "[DONE]"))
	for _, e := range c.Engines {
		is.Equal(e.MemoryUsed(), 0) // the engines of the group freed their memory
	}
}

func TestErrorBodies(t *testing.T) {
	c := startCluster(t)
	chat := "/v1/chat/completions"
	for _, tt := range []struct {
		name, method, path, key, body string
		status                        int
		header                        []string
	}{
		{"wrong_key", "POST", chat, "wrong", `{"model":"assistant"}`, 401, nil},
		{"wrong_key_unknown_model", "POST", chat, "wrong", `{"model":"nothing"}`, 401, nil},
		{"bad_json", "POST", chat, devGuildKey, `{"model":`, 400, nil},
		{"wrong_type", "POST", chat, devGuildKey, `{"model":"assistant","max_tokens":"x"}`, 400, nil},
		{"no_messages", "POST", chat, devGuildKey, `{"model":"assistant"}`, 400, nil},
		{"unknown_model", "POST", chat, devGuildKey, `{"model":"nothing","messages":[{"role":"user","content":"x"}]}`, 404, nil},
		{"bad_patience", "POST", chat, devGuildKey, `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, 400, []string{"X-Request-Timeout", "soon"}},
		{"too_long", "POST", chat, devGuildKey, `{"model":"assistant","messages":[{"role":"user","content":"` + strings.Repeat("x", 6_000_000) + `"}]}`, 400, nil},
		{"unknown_service", "GET", "/v1/services/nothing/x", devGuildKey, "", 404, nil},
		{"order_without_key", "POST", "/v1/services/orderdesk/orders", devGuildKey, "{}", 400, nil},
		{"order_with_other_uuid", "POST", "/v1/services/orderdesk/orders", devGuildKey, "{}", 400, []string{"Idempotency-Key", uuid.NewString()}},
		{"unknown_url", "GET", "/v1/nothing", devGuildKey, "", 404, nil},
		{"operator_without_token", "GET", "/apis/dogwoodmill/v1/workspaces", devGuildKey, "", 401, nil},
		{"operator_unknown_kind", "GET", "/apis/dogwoodmill/v1/pods", devToken, "", 404, nil},
		{"operator_unknown_field", "PUT", "/apis/dogwoodmill/v1/deployments/d", devToken, `{"spec":{"model":"m","contextTokens":1,"colour":1}}`, 422, nil},
		{"operator_bad_value", "PUT", "/apis/dogwoodmill/v1/deployments/d", devToken, `{"spec":{"model":"m","contextTokens":0}}`, 422, nil},
		{"operator_conflict", "PUT", "/apis/dogwoodmill/v1/deployments/assistant", devToken, `{"metadata":{"version":999},"spec":{"model":"m","contextTokens":1}}`, 409, nil},
		{"operator_in_use", "DELETE", "/apis/dogwoodmill/v1/deployments/assistant", devToken, "", 409, nil},
		{"dump_without_token", "GET", "/debug/state", "wrong", "", 401, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := c.call(t, 0, tt.method, tt.path, tt.key, tt.body, tt.header...)
			if a.status != tt.status {
				t.Errorf("status %d, want %d", a.status, tt.status)
			}
			golden.Equal(t, "error_"+tt.name+".json", append(bytes.TrimRight([]byte(a.body), "\n"), '\n'))
		})
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	conn, err := net.Dial("tcp", c.entries[0].Addr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", devMaxBody+1)
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
	golden.Equal(t, "error_body_too_large.json", append(b, '\n'))
}

func TestServices(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	a := c.call(t, 0, "GET", "/v1/services/registry/motifs/lion", devLoomwireKey, "")
	is.Equal(a.status, 200)
	is.Equal(strings.TrimSpace(a.body), `{"name":"lion","owner":"Varna workshop"}`)

	key := uuid.Must(uuid.NewV7()).String()
	a = c.call(t, 1, "POST", "/v1/services/orderdesk/orders", devGuildKey, `{"die":"lion"}`, "Idempotency-Key", key)
	is.Equal(a.status, 201)
	is.Equal(c.Desk.Executions(key), 1)
}

var volatileFields = []*regexp.Regexp{
	regexp.MustCompile(`("(?:incarnation|uptimeMs|reportAgeMs|slowReads|viaPeers|sinceMs|bytesSent|bytesReceived|budgetLeftBytes|suspicions|reach|known)": )-?\d+`),
	regexp.MustCompile(`("owned": )\d+`),
	regexp.MustCompile(`("(?:address|time)": )"[^"]*"`),
	// An entry that starts while the first objects are applied restores its state from the
	// other entry if that has some already, and from the log otherwise.
	regexp.MustCompile(`("restores": \d+,\s+"source": )"(?:log|peer)"`),
}

func TestStateDump(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	// An entry restored from another's state is healthy after its first read of the log, and
	// the engines' first reports arrive one after the other.
	settled := func(st server.State) bool {
		silent := func(e fleet.EngineState) bool { return e.ReportAgeMS < 0 }
		return st.Config.Healthy && len(st.Engines) > 0 && !slices.ContainsFunc(st.Engines, silent)
	}
	for !settled(c.entries[1].State()) && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	a := c.call(t, 1, "GET", "/debug/state", devToken, "")
	is.Equal(a.status, 200)
	var b bytes.Buffer
	is.NoErr(json.Indent(&b, []byte(a.body), "", "  "))
	text := b.Bytes()
	for _, re := range volatileFields {
		text = re.ReplaceAll(text, []byte(`${1}"-"`))
	}
	golden.Equal(t, "state.json", text)
}

func TestProcessEndpoints(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	is.Equal(c.call(t, 0, "GET", "/healthz", "", "").body, "ok\n")
	is.Equal(c.call(t, 0, "GET", "/readyz", "", "").body, "ready\n")
	is.Equal(c.call(t, 0, "GET", "/metrics", "", "").status, 200)
	is.Equal(strings.Count(c.call(t, 0, "GET", "/v1/models", devGuildKey, "").body, `"id":"assistant"`), 1)
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestHelp(t *testing.T) {
	for _, cmd := range []string{"", "entry", "gateway", "dev", "apply", "get", "delete", "watch", "settle", "dump", "load", "explain", "config check"} {
		t.Run("help "+cmd, func(t *testing.T) {
			code, out, _ := run(append(strings.Fields(cmd), "--help")...)
			if code != exitOK {
				t.Errorf("exit code %d", code)
			}
			golden.Equal(t, strings.TrimSuffix("help_"+strings.ReplaceAll(cmd, " ", "_"), "_")+".txt", []byte(out))
		})
	}
}

// An invalid settings file of the platform is a usage error that names the field.
func TestPlatformSettingsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                  "decode settings",
		`{"node_name": ""}`:  "node_name",
		`{"node_name": "n"}`: "zone",
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "node.json")
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			code, _, errOut := run("gateway", "--boot", path)
			is.Equal(code, exitUsage)
			is.True(strings.Contains(errOut, want))
		})
	}
	code, _, errOut := run("gateway", "--boot", filepath.Join(t.TempDir(), "none.json"))
	is.New(t).Equal(code, exitUsage)
	is.New(t).True(strings.Contains(errOut, "none.json"))
}

func TestSettingsAreChecked(t *testing.T) {
	entry := []string{
		"entry", "--vm=e1", "--failure-domain=a", "--log-url=http://127.0.0.1:1", "--vm-list-url=http://127.0.0.1:1",
		"--weight-store-url=http://127.0.0.1:1", "--operator-token=operator-token",
		"--peer-key=peer-key-1",
	}
	for _, tt := range []struct {
		args []string
		want string
	}{
		{append(entry, "--listen=nowhere"), `--listen: "nowhere" is not allowed; allowed: host:port`},
		{append(entry, "--log-url=ftp://x"), `--log-url: "ftp://x" is not allowed; allowed: http://host:port`},
		{append(entry, "--operator-token=x"), `--operator-token: "(hidden)" is not allowed; allowed: at least 8 characters`},
		{append(entry, "--peer-key=x"), `--peer-key: "(hidden)" is not allowed; allowed: at least 8 characters`},
		{append(entry, "--seeds=nowhere"), `--seeds: "nowhere" is not allowed; allowed: host:port`},
		{append(entry, "--drain=-1s"), `--drain: "-1s" is not allowed; allowed: above 0 and up to 1h0m0s`},
		{append(entry, "--max-body-bytes=0"), `--max-body-bytes: "0" is not allowed; allowed: 1 to 67108864`},
		{[]string{"dev", "--port=0"}, `--port: "0" is not allowed; allowed: 1 to 65534`},
		{[]string{"load", "--mix=1k"}, `--mix: "1k" is not allowed`},
		{[]string{"load", "--rate=0"}, `--rate: "0" is not allowed`},
		{[]string{"get", "upstreams", "--server=x", "--operator-token=t"}, `--server: "x" is not allowed; allowed: http://host:port`},
		{[]string{"nothing"}, "unexpected argument nothing"},
	} {
		t.Run(tt.want, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := run(tt.args...)
			is.Equal(code, exitUsage)
			is.True(strings.Contains(stderr, tt.want))
		})
	}
}

func TestSettingsFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("DOGWOODMILL_PORT", "0")
	code, _, stderr := run("dev")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(stderr, `--port: "0" is not allowed`))
}

func TestTakenPort(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", devHost+":0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	port := ln.Addr().(*net.TCPAddr).Port
	code, _, stderr := run("dev", fmt.Sprintf("--port=%d", port))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, fmt.Sprintf("port %d can't be used (--port moves it)", port)))
}

func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	server := "--server=http://" + c.entries[1].Addr()
	token := "--operator-token=" + devToken
	file := filepath.Join(t.TempDir(), "objects.yaml")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }

	write("kind: rules\nmetadata: {name: long-last}\nspec: {minPromptTokens: 100000, priority: -1}\n")
	code, out, _ := run("apply", "-f", file, server, token)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "rules/long-last created (version "))
	_, out, _ = run("apply", "-f", file, server, token)
	is.True(strings.HasPrefix(out, "rules/long-last unchanged"))
	write("kind: rules\nmetadata: {name: long-last}\nspec: {minPromptTokens: 100000, priority: -2}\n")
	_, out, _ = run("apply", "-f", file, server, token)
	is.True(strings.HasPrefix(out, "rules/long-last changed"))
	write("kind: rules\nmetadata: {name: long-last, version: 1}\nspec: {priority: 3}\n")
	code, _, _ = run("apply", "-f", file, server, token)
	is.Equal(code, exitConflict)
	write("kind: rules\nmetadata: {name: long-last}\nspec: {priority: 99}\n")
	code, _, stderr := run("apply", "-f", file, server, token)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(stderr, "spec.priority: 99 is not allowed; allowed: -10 to 10"))

	code, out, _ = run("get", "rule", "long-last", "-o", "yaml", server, token)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "priority: -2"))
	code, out, _ = run("get", "rules", server, token)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "long-last"))
	code, _, _ = run("delete", "rules", "long-last", server, token)
	is.Equal(code, exitOK)
	code, _, stderr = run("delete", "rules", "long-last", server, token)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, "There is no rules/long-last."))
	applyDirectory(t, server, token)
	code, out, _ = run("dump", server, token)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, `"vm": "entry-2"`))
}

// applyDirectory applies a directory of files whose objects refer to each other.
func applyDirectory(t *testing.T, server, token string) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)) }
	write("a.yaml", "kind: rule\nmetadata: {name: first}\nspec: {deployment: small, priority: 1}\n")
	write("b.json", `{"kind":"deployments","metadata":{"name":"small"},"spec":{"model":"m","contextTokens":1000}}`)
	write("notes.txt", "not read")
	code, out, _ := run("apply", "-f", dir, "--dry-run", server, token)
	is.Equal(code, exitOK)
	is.Equal(out, "deployments/small would be created (version 0)\nrules/first would be created (version 0)\n")
	code, _, _ = run("get", "deployments", "small", server, token)
	is.Equal(code, exitFailed) // nothing was sent
	code, _, stderr := run("apply", "-f", dir, server, token)
	is.Equal(code, exitOK)
	is.Equal(stderr, "")
	write("a.yaml", "kind: rule\nmetadata: {name: first}\nspec: {deployment: small, priority: 2}\n")
	code, out, _ = run("apply", "-f", dir, "--dry-run", server, token)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "rules/first would be changed"))
	is.True(strings.HasSuffix(out, "    deployment: small\n  - priority: 1\n  + priority: 2\n"))

	write("a.yaml", "kind: rule\nmetadata: {name: first}\nspec: {priority: 99}\n---\nkind: rule\nmetadata: {name: second}\nspec: {refuse: 3}\n")
	code, _, stderr = run("apply", "-f", dir, server, token)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(stderr, "document 1 (rules/first): bad file: resource: check: invalid: spec.priority: 99 is not allowed; allowed: -10 to 10"))
	is.True(strings.Contains(stderr, "document 2 (rules/second)")) // all errors are reported at once

	code, out, _ = run("get", "rules", "first", server, token)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "NAME    WORKSPACE   DEPLOYMENT   PROMPT TOKENS   PRIORITY"))
	code, _, stderr = run("delete", "deployments", "small", server, token)
	is.Equal(code, exitConflict)
	is.True(strings.Contains(stderr, "deployments/small is in use: rules/first refers to it."))
	code, out, _ = run("settle", "no-such-change", server, token)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "no-such-change voided (offset "))
	code, _, _ = run("get", "rules", "--server=http://127.0.0.1:1", token)
	is.Equal(code, exitNoEntry)
}

func TestLoadCommand(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	code, out, _ := run("load", "--target=http://"+c.entries[0].Addr()+",http://"+c.entries[1].Addr(),
		"--rate=50", "--duration=500ms", "--mix=100=1", "--max-tokens=2", "-o", "json")
	is.Equal(code, exitOK)
	var s struct{ Results map[string]int }
	is.NoErr(json.Unmarshal([]byte(out), &s))
	is.True(s.Results["ok"] > 0)
	is.Equal(len(s.Results), 1)
}

func TestGracefulShutdownFinishesStreams(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	type got struct {
		text string
		err  error
	}
	ch := make(chan got, 1)
	req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+c.entries[0].Addr()+"/v1/completions",
		strings.NewReader(`{"model":"assistant","stream":true,"max_tokens":60,"prompt":"hello"}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+devGuildKey)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	go func() {
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		ch <- got{string(b), err}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(c.entries[0].Shutdown(ctx))
	g := <-ch
	is.NoErr(g.err)
	is.Equal(streamedText(t, g.text), engine.Answer("hello", 0, 60))
	c.entries = c.entries[1:]
}
