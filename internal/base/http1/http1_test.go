package http1_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
)

// read reads a response, whole and byte by byte, and returns what Reader passes on of it.
func read(t *testing.T, response string) (string, error) {
	t.Helper()
	is := is.New(t)
	b, err := io.ReadAll(http1.NewReader(strings.NewReader(response)))
	single, singleErr := io.ReadAll(http1.NewReader(iotest.OneByteReader(strings.NewReader(response))))
	is.Equal(err == nil, singleErr == nil)
	is.True(err != nil || string(single) == string(b))
	return string(b), err
}

// The body of a response, and what follows it, are passed on as they are.
func TestOnlyHeadIsChecked(t *testing.T) {
	is := is.New(t)
	const sound = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Line: a: b\r\nX-Empty:\r\n\r\nHTTP/1.1 000 Odd\r\nX Bad: v\r\n\r\n"
	b, err := read(t, sound)
	is.NoErr(err)
	is.Equal(b, sound)
}

// Each response of a kept connection is checked, and nothing of a bad head is passed on.
func TestEachResponseOfAConnectionIsChecked(t *testing.T) {
	is := is.New(t)
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	near, far := net.Pipe()
	go func() {
		for _, response := range []string{first, "HTTP/1.1 000 Odd\r\n\r\n"} {
			_, _ = io.CopyN(io.Discard, far, int64(len("request")))
			_, _ = io.WriteString(far, response)
		}
	}()
	c := http1.NewConn(near)
	buf := make([]byte, 100)
	_, err := io.WriteString(c, "request")
	is.NoErr(err)
	n, err := c.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), first)
	_, err = io.WriteString(c, "request")
	is.NoErr(err)
	for range 2 {
		n, err = c.Read(buf)
		is.Equal(n, 0)
		is.True(fault.Is(err, http1.KindStatus))
	}
	is.NoErr(c.Close())
}

// A head may have bare LF line ends, as the library takes them. Its fields are checked all the same.
func TestBareLineFeeds(t *testing.T) {
	is := is.New(t)
	const sound = "HTTP/1.1 200 OK\nX-A: b\n\nX Bad: v\n"
	b, err := read(t, sound)
	is.NoErr(err)
	is.Equal(b, sound)
	_, err = read(t, "HTTP/1.1 200 OK\nX Bad: v\n\n")
	is.True(fault.Is(err, http1.KindField))
}

// net/http leaves names with blanks in a header.
func TestCheckHeader(t *testing.T) {
	is := is.New(t)
	is.NoErr(http1.CheckHeader(http.Header{"X-Good": {"v"}, "Content-Length": {"5"}}))
	for _, name := range []string{"X Bad", "X-Bad ", ""} {
		is.True(fault.Is(http1.CheckHeader(http.Header{"X-Good": {"v"}, name: {"v"}}), http1.KindField))
	}
}
