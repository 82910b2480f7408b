package openai

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// rawEngine is a server that sends prepared pieces as fast as they are read. It does
// not allocate per token and keeps no goroutine for an idle stream.
type rawEngine struct {
	ln     net.Listener
	tokens int // per response; then the stream stays open and idle if hang is set
	hang   bool

	mu    sync.Mutex
	conns []net.Conn
}

func newRawEngine(b *testing.B, tokens int, hang bool) *rawEngine {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := &rawEngine{ln: ln, tokens: tokens, hang: hang}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	b.Cleanup(e.close)
	return e
}

func (e *rawEngine) close() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// serve reads one request and responds to it.
func (e *rawEngine) serve(conn net.Conn) {
	buf := make([]byte, 4<<10)
	n := 0
	for !strings.HasSuffix(string(buf[:n]), "}") {
		m, err := conn.Read(buf[n:])
		n += m
		if strings.HasPrefix(string(buf[:n]), "GET /v1/streams/") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			e.park(conn)
			return
		}
		if err != nil || !strings.HasPrefix(string(buf[:n]), "POST") {
			// Lists of holds are empty, and cancels are confirmed.
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]")
			_ = conn.Close()
			return
		}
	}
	_, rest, _ := strings.Cut(string(buf[:n]), `"stream":"`)
	id, _, _ := strings.Cut(rest, `"`)
	id = strings.Clone(id)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	e.send(conn, id)
	if !e.hang {
		_ = conn.Close()
		return
	}
	e.park(conn)
}

// park leaves a connection open and silent.
func (e *rawEngine) park(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, conn)
}

func (e *rawEngine) send(conn net.Conn, id string) {
	line := make([]byte, 0, 256)
	bw := bufio.NewWriterSize(conn, 4<<10)
	for pos := range e.tokens + 1 {
		line = append(line[:0], `data: {"stream":"`...)
		line = append(line, id...)
		line = append(line, `","incarnation":1,"pos":`...)
		line = strconv.AppendInt(line, int64(pos), 10)
		if pos < e.tokens {
			line = append(line, `,"text":"seal "}`...)
		} else if e.hang {
			break
		} else {
			line = append(line, `,"finish":"stop","usage":{"prompt_tokens":1,"completion_tokens":1,"cached_tokens":0}}`...)
		}
		line = append(line, "\n\n"...)
		_, _ = fmt.Fprintf(bw, "%x\r\n%s\r\n", len(line), line)
		if !e.hang && pos%8 != 0 {
			continue // one write per 8 tokens, so that the engine is not the bottleneck
		}
		_ = bw.Flush()
	}
	if !e.hang {
		_, _ = bw.WriteString("0\r\n\r\n")
	}
	_ = bw.Flush()
}

// benchHarness connects a handler to a raw engine over loopback.
type benchHarness struct {
	handler *Handler
	client  *engine.Client
	ws      *resource.Workspace
	ln      net.Listener
	gap     time.Duration // preset mean time between tokens
	relays  sync.WaitGroup
}

func newBenchHarness(b *testing.B, e *rawEngine) *benchHarness {
	b.Helper()
	fold := resource.NewFold()
	fold.Apply(1, resource.Change{ID: "a", Op: resource.OpPut, Kind: resource.TypeWorkspace, Name: "guild", Spec: json.RawMessage(`{}`)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := &benchHarness{
		handler: NewHandler(Seams{Owner: engine.Owner{VM: "entry", Incarnation: 1}, IDKey: "key"}, tally.NoopScope, log.New(io.Discard)),
		client:  engine.NewClient(netio.TCP(), "engine", e.ln.Addr().String()),
		ws:      fold.View().Workspace("guild"),
		ln:      ln,
	}
	b.Cleanup(func() {
		for _, c := range h.handler.streams.all() {
			c.cancel(errHandover)
		}
		h.relays.Wait()
		_ = ln.Close()
		h.handler.Close()
	})
	return h
}

// open starts one streamed response and returns the caller's end of its connection.
func (h *benchHarness) open(b *testing.B) net.Conn {
	b.Helper()
	rid, err := newResponseID()
	if err != nil {
		b.Fatal(err)
	}
	c := newCall(h.handler, &request{model: "m", prompt: "hello", maxTokens: 10, stream: true}, rid, h.ws, time.Hour)
	c.src = newSource(sourceSeams{place: func(context.Context, map[string]bool) (*run, error) {
		r := newRun(h.client, 1, c.rid.stream())
		r.open = func(ctx context.Context, from int) (*engine.Stream, error) {
			return h.client.Open(ctx, engine.Request{Stream: c.rid.stream(), Owner: h.handler.seams.Owner, Model: "m", Prompt: c.prompt, MaxTokens: c.maxTokens, From: from})
		}
		return r, nil
	}, cancel: c.cancelRun, opened: c.setRun}, false, time.Hour)
	near, err := net.Dial("tcp", h.ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	far, err := h.ln.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c.watcher = watch(far, func() { c.cancel(errCallerGone) })
	h.handler.streams.add(c)
	if apiErr := h.handler.readFirst(c); apiErr != nil {
		b.Fatal(apiErr.Message)
	}
	c.src.meanGap = h.gap
	p, err := h.handler.newStreamWriter(c, far, true)
	if err != nil {
		b.Fatal(err)
	}
	c.watcher.consume()
	h.relays.Go(func() { h.handler.relay(p) })
	return near
}

// BenchmarkTokenDirect reads tokens from the engine without an entry.
func BenchmarkTokenDirect(b *testing.B) {
	e := newRawEngine(b, b.N, false)
	conn, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	b.ReportAllocs()
	b.ResetTimer()
	_, _ = io.WriteString(conn, `POST {"stream":"0199aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee.1.60"}`)
	if _, err := io.Copy(io.Discard, conn); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTokenThroughEntry reads tokens that an entry relays. The difference from
// BenchmarkTokenDirect is the entry's overhead per token.
func BenchmarkTokenThroughEntry(b *testing.B) {
	h := newBenchHarness(b, newRawEngine(b, b.N, false))
	b.ReportAllocs()
	b.ResetTimer()
	conn := h.open(b)
	defer func() { _ = conn.Close() }()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkIdleStream measures the heap and stack memory of streams that wait for
// their next token, less the memory of as many streams read without an entry.
func BenchmarkIdleStream(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_000} { // each stream takes four file descriptors
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				direct := streamMemory(b, n, func(e *rawEngine) func() net.Conn {
					return func() net.Conn {
						conn, err := net.Dial("tcp", e.ln.Addr().String())
						if err != nil {
							b.Fatal(err)
						}
						_, _ = io.WriteString(conn, `POST {"stream":"s"}`)
						return conn
					}
				})
				through := streamMemory(b, n, func(e *rawEngine) func() net.Conn {
					h := newBenchHarness(b, e)
					h.gap = time.Minute // no read times out while the streams are opened
					return func() net.Conn { return h.open(b) }
				})
				b.ReportMetric(float64(through-direct)/float64(n), "B/stream")
			}
		})
	}
}

// streamMemory returns the memory of n open streams in bytes.
func streamMemory(b *testing.B, n int, prepare func(*rawEngine) func() net.Conn) int64 {
	b.Helper()
	e := newRawEngine(b, 1, true)
	defer e.close() // frees its file descriptors
	open := prepare(e)
	before := memoryInUse()
	conns := make([]net.Conn, 0, n)
	buf := make([]byte, 4<<10)
	for range n {
		conn := open()
		for got := ""; !strings.Contains(got, "seal"); { // until the first token
			m, err := conn.Read(buf)
			if err != nil {
				b.Fatal(err)
			}
			got += string(buf[:m])
		}
		conns = append(conns, conn)
	}
	after := memoryInUse()
	for _, c := range conns {
		_ = c.Close()
	}
	return after - before
}

func memoryInUse() int64 {
	var m runtime.MemStats
	for range 3 { // stacks shrink and pools drain over several collections
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkParse decodes a chat request of 10,000 tokens (40 KB).
func BenchmarkParse(b *testing.B) {
	body := []byte(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"` +
		strings.Repeat("word", 10_000) + `"}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parse(apiChat, body); err != nil {
			b.Fatal(err.Message)
		}
	}
}
