package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/intake"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// bodyCase is a request whose body is not read to its end.
type bodyCase struct {
	name    string
	framing string
	body    string
	status  int
}

// Guards against bodies over the limit that are waited for or read on, and against requests that run
// though their body did not arrive.
func TestUnusableBodiesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	limit := env.entry.bodyLimit()
	over := strings.Repeat("x", limit+1)
	for i, c := range []bodyCase{
		{"announced over the limit, nothing sent", fmt.Sprintf("Content-Length: %d", limit+1), "", http.StatusRequestEntityTooLarge},
		{"announced far over the limit, asks to continue", "Content-Length: 99999999999\r\nExpect: 100-continue", "", http.StatusRequestEntityTooLarge},
		{"first byte over the limit in a chunk that goes on", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s", 4*limit, over), http.StatusRequestEntityTooLarge},
		{"one-byte chunks over the limit", "Transfer-Encoding: chunked", strings.Repeat("1\r\nx\r\n", limit+1), http.StatusRequestEntityTooLarge},
		{"endless chunk extension", "Transfer-Encoding: chunked", "1;" + strings.Repeat("e", 40<<10), http.StatusBadRequest},
		{"endless trailer", "Transfer-Encoding: chunked", "1\r\nx\r\n0\r\n" + strings.Repeat("T: e\r\n", 20<<10), http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(8 * time.Second))) // less than bodyStallTimeout
			go func() {
				_, _ = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: body-%d\r\n%s\r\n\r\n%s", i, c.framing, c.body) // the entry may close first
			}()
			br := bufio.NewReader(conn)
			res, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.True(res.Close)
			_, err = io.Copy(io.Discard, br)
			is.NoErr(err) // the connection ends without a reset
		})
	}
	is.Equal(len(desk.Runs()), 0)
	env.await(func() bool { return env.entry.intake.State().Used == 0 })
}

// Guards against a truncated body that is passed on as a whole one, and against memory of bodies that
// stays taken.
func TestBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	conn, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: cut\r\nContent-Length: 5000\r\n\r\nabc")
	is.NoErr(err)
	is.NoErr(conn.Close())
	conn, err = net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	var sizes []int
	limit := env.entry.bodyLimit()
	for _, n := range []int{0, 1, smallBlockBytes - 1, smallBlockBytes, smallBlockBytes + 1, smallBlockBytes + blockBytes, min(limit, smallBlockBytes+blockBytes+1), limit} {
		if n > limit {
			continue
		}
		sizes = append(sizes, n, n)
		body := strings.Repeat("0123456789abcdef", n/16+1)[:n]
		for _, text := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunks(body, 7)),
		} {
			_, err := fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: whole-%d-%d\r\nX-Deadline-Milliseconds: 4000\r\n%s", n, len(text), text)
			is.NoErr(err)
			res, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusOK)
			runs := desk.Runs()
			is.Equal(runs[len(runs)-1].Body, body)
		}
	}
	is.Equal(len(desk.Runs()), len(sizes)) // none of the one that was cut
	env.await(func() bool { return env.entry.intake.State().Used == 0 })
}

// chunks returns the content in chunks of n bytes.
func chunks(s string, n int) string {
	var b strings.Builder
	for len(s) > 0 {
		k := min(n, len(s))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", k, s[:k])
		s = s[k:]
	}
	return b.String()
}

// Guards against a refusal that says that the request did not run while it does: an evicted body is
// answered with 503, and its request never runs.
func TestEvictedBodyNeverRuns(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1", server.Whole)
	conn, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: evicted\r\nContent-Length: 3\r\n\r\nab")
	is.NoErr(err)
	env.await(func() bool { return env.entry.intake.State().Used > 0 })
	time.Sleep(500 * time.Millisecond) // longer than the time after which a body counts as stalled
	other, err := env.entry.intake.Open("192.0.2.1", func() {})
	is.NoErr(err)
	defer other.Release()
	is.NoErr(other.Take(int(env.entry.intake.State().Most)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Header.Get("Retry-After") != "")
	_, _ = io.WriteString(conn, "c") // may fail: the entry closes the connection
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(desk.Runs()), 0)
}

// writeEvery writes a byte after each pause until done is closed or the connection ends.
func writeEvery(w io.Writer, pause time.Duration, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		if _, err := w.Write([]byte("x")); err != nil {
			return
		}
	}
}

// Guards against bodies that hold their memory without an end: without content, and with a byte now and then.
func TestBodiesWithoutProgressEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration // between bytes
		ends  time.Duration
	}{
		{"silent", time.Hour, bodyStallTimeout},
		{"slow", 9 * time.Second, readTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, served := net.Pipe()
				conn := newCallerConn(served, func() {})
				memory := intake.New(intake.Settings{Most: 1 << 20, Now: time.Now, After: time.After, Changed: func(bool, intake.State) {}})
				body, err := memory.Open("192.0.2.1", conn.endRead)
				is.NoErr(err)
				done := make(chan struct{})
				go writeEvery(caller, c.pause, done)
				r := &bodyReader{conn: conn, stream: conn, memory: body, length: 100, limit: 100, started: time.Now()}
				start := time.Now()
				_, err = r.read()
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
				is.Equal(time.Since(start), c.ends)
				close(done)
				_ = caller.Close()
				_ = served.Close()
			})
		})
	}
}
