package httpconn_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/rawserver"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/slowread"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

// ask sends a request to a server that sends the answer and ends the connection, and reads it.
func ask(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	s, err := rawserver.Start(rawserver.Answer(answer))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + s.Addr() + "/")
	x, err := httpconn.Do(t.Context(), netio.TCP(), s.Addr(), req, limits)
	if err != nil {
		return 0, "", err
	}
	defer x.Close()
	b, err := x.ReadAll(100, time.Now().Add(10*time.Second), nil)
	return x.Status(), string(b), err
}

// A server sent an answer with the status 000, which was passed on as 200. Neither it nor another
// status that no final answer has may be taken for an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Odd", "HTTP/1.1 000", "HTTP/1.0 000 Odd", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd", "\r\nHTTP/1.1  000 Odd",
		"HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",
		"HTTP/1.1 20 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 2x0 Odd", "HTTP/1.1 200\tOdd",
	} {
		for _, framing := range []string{"Content-Length: 5\r\n", ""} {
			status, body, err := ask(t, line+"\r\n"+framing+"\r\nwrong")
			if !fault.Is(err, httpconn.KindNoAnswer) || !fault.Is(err, http1.KindStatus) {
				t.Errorf("%q with %q: status %d, body %q, %v", line, framing, status, body, err)
			}
		}
	}
}

// Status lines that servers may send begin an answer.
func TestValidStatusIsAnAnswer(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 299 Odd 000": 299,
		"HTTP/1.1 404 Not Found": 404, "HTTP/1.1 599 Odd": 599, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		for _, framing := range []string{"Content-Length: 5\r\n", ""} {
			status, body, err := ask(t, line+"\r\n"+framing+"\r\nwhole")
			is.NoErr(err)
			is.Equal(status, want)
			is.Equal(body, "whole")
		}
	}
}

// invalidFields are header fields whose name holds what no name may.
var invalidFields = []string{
	"X Bad: v", "X-Bad : v", " X-Bad: v", "\tX-Bad: v", "X\tBad: v", "X-Bad\t: v", "X\x00Bad: v", "X-Bad\x01: v", "X\x7fBad: v", "X\rBad: v", "\rX-Bad: v", "X\x0bBad: v",
	": v", " : v", "X-Bad", "X\xe4: v", "Content Length: 5", "Content-Length : 5", " Content-Length: 5",
	"Transfer Encoding: chunked", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "X-Response-Seal : s",
}

// A field with a blank in its name was passed on, or, if it was the framing of the body, not used. An answer
// with such a head must be none, wherever the field stands.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, field := range invalidFields {
		for name, answer := range map[string]string{
			"only":    ok + field + "\r\n\r\nwrong",
			"first":   ok + field + "\r\nX-A: b\r\n\r\nwrong",
			"last":    ok + "X-A: b\r\n" + field + "\r\n\r\nwrong",
			"between": ok + "Content-Length: 5\r\n" + field + "\r\nX-A: b\r\n\r\nwrong",
			"chunked": ok + "Transfer-Encoding: chunked\r\n" + field + "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
			"interim": "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n" + field + "\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwrong",
			"bare LF": ok + "X-A: b\n" + field + "\n\r\nwrong\r\n\r\n",
		} {
			if status, body, err := ask(t, answer); !fault.Is(err, httpconn.KindNoAnswer) || !fault.Is(err, http1.KindField) {
				t.Errorf("%s, %q: status %d, body %q, %v", name, field, status, body, err)
			}
		}
	}
}

// HTTP/1.0 has no transfer codings. The library left the field out, and chunks were passed on as the body,
// or cut at the length.
func TestChunkedAnswerOfEarlierVersionIsNoAnswer(t *testing.T) {
	const chunks = "5\r\nwrong\r\n0\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 15\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "HTTP/2.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		if status, body, err := ask(t, head+chunks); !fault.Is(err, httpconn.KindNoAnswer) {
			t.Errorf("%q: status %d, body %q, %v", head, status, body, err)
		}
	}
	is := is.New(t)
	for _, head := range []string{"HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n"} {
		_, body, err := ask(t, head+"whole")
		is.NoErr(err)
		is.Equal(body, "whole")
	}
}

// Names of all characters that RFC 9110 allows, and values with blanks and colons, are sound.
func TestValidFieldsAreAnAnswer(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{"X-Good: v", "x!#$%&'*+-.^_`|~09AZaz: v", "X-Good:v", "X-Good:", "X-Good: a b: c\td ", "X-Good: \xe4", "X: "} {
		status, body, err := ask(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 5\r\n\r\nwhole")
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, "whole")
	}
}

// uploadBytes is more than the buffers of a connection take.
const uploadBytes = 16 << 20

// upload sends a long body to a server over the network, and reads the answer.
func upload(t *testing.T, network *netio.Network, serve func(net.Conn)) (body string, err error) {
	t.Helper()
	s, err := rawserver.Start(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + s.Addr() + "/")
	req.Header.SetMethod("POST")
	req.SetBody(make([]byte, uploadBytes))
	x, err := httpconn.Do(t.Context(), network, s.Addr(), req, limits)
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := x.ReadAll(100, time.Now().Add(10*time.Second), nil)
	return string(b), err
}

// A server answers a long upload without a length, sends a part of the body and resets the connection
// while the upload is being written. The write gets the error, and the part passed for the whole body.
func TestResetOfUploadIsNoEnd(t *testing.T) {
	is := is.New(t)
	body, err := upload(t, slowread.TCP(), rawserver.Reset("HTTP/1.1 200 OK\r\n\r\npart of it"))
	is.Equal(body, "")
	is.True(fault.Is(err, httpconn.KindNoAnswer))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// A server answers a long upload early and whole, and resets the connection then: the answer has a length
// or chunks, or was ended in order before.
func TestEarlyAnswerIsWhole(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nwhole"
	for name, c := range map[string]struct {
		network *netio.Network
		serve   func(net.Conn)
	}{
		"length":                         {slowread.TCP(), rawserver.Reset("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")},
		"chunked":                        {slowread.TCP(), rawserver.Reset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")},
		"reset after its end":            {netio.TCP(), rawserver.EndThenReset(unframed)},
		"reset after its end, read late": {slowread.TCP(), rawserver.EndThenReset(unframed)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := upload(t, c.network, c.serve)
			is.NoErr(err)
			is.Equal(body, "whole")
		})
	}
}

// A server ends its answer and keeps the connection without reading the rest of the upload. The answer is
// whole at once, though the write of the upload waits.
func TestAnswerEndsBeforeUpload(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	body, err := upload(t, netio.TCP(), rawserver.EndAndKeep("HTTP/1.1 200 OK\r\n\r\nwhole", done))
	close(done)
	is.NoErr(err)
	is.Equal(body, "whole")
}
