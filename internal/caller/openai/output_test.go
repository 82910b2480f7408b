package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func appendText(s string) func([]byte) ([]byte, error) {
	return func(b []byte) ([]byte, error) { return append(b, s...), nil }
}

func TestStalledCallerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe() // a write blocks until near is read
		defer func() { _ = near.Close() }()
		var all atomic.Int64
		o := newOutput(far, true, &all)
		start := time.Now()
		err := o.send(appendText("hello"))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), stallTimeout)
		is.True(all.Load() > 0)
		o.close()
		is.Equal(all.Load(), int64(0))
	})
}

func TestSlowCallerWithinStallTimeoutIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		done := make(chan struct{})
		defer func() { <-done }()
		go func() {
			defer close(done)
			b := make([]byte, 1)
			for {
				time.Sleep(stallTimeout / 2)
				if _, err := near.Read(b); err != nil {
					return
				}
			}
		}()
		var all atomic.Int64
		o := newOutput(far, true, &all)
		defer o.close()
		is.NoErr(o.send(appendText("x")))
	})
}

// TestPendingBytesOfSlowCallerAreBounded checks that a full socket leaves a bounded
// number of pending bytes, and that they arrive in order.
func TestPendingBytesOfSlowCallerAreBounded(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	near, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = near.Close() }()
	far, err := ln.Accept()
	is.NoErr(err)
	var all atomic.Int64
	o := newOutput(far, true, &all)
	defer o.close()
	o.appendRaw([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	var want strings.Builder
	event := strings.Repeat("seal ", 200)
	for all.Load() == 0 { // the caller reads nothing: the socket fills, and send doesn't block
		is.NoErr(o.send(appendText(event)))
		want.WriteString(event)
	}
	is.True(all.Load() <= maxPendingBytes)
	got := make(chan string, 1)
	go func() {
		res, err := http.ReadResponse(bufio.NewReader(near), nil)
		if err != nil {
			got <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		b, _ := io.ReadAll(res.Body) // compared below
		got <- string(b)
	}()
	for range 4 * maxPendingBytes / len(event) { // above maxPendingBytes, send blocks until the caller reads
		is.NoErr(o.send(appendText(event)))
		want.WriteString(event)
		is.True(all.Load() <= maxPendingBytes+int64(len(event))+chunkDigits+4)
	}
	is.NoErr(o.finish())
	is.True(bytes.Equal([]byte(<-got), []byte(want.String())))
	is.Equal(all.Load(), int64(0))
}
