package httpconn_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/rawserver"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

// ask sends a request to a server that sends the answer and ends the connection, and reads it.
func ask(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	s, err := rawserver.Start(rawserver.Answer(answer))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
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
			if !fault.Is(err, httpconn.KindNoAnswer) {
				t.Errorf("%q with %q: status %d, body %q, %v", line, framing, status, body, err)
			}
		}
	}
}

// Statuses and status lines that servers may send, in one piece or byte by byte, are answers.
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
