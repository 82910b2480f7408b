package rest_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/rawserver"
)

// call calls a server that sends the answer.
func call(t *testing.T, answer string) error {
	t.Helper()
	s, err := rawserver.Start(rawserver.Answer(answer))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := rest.New(netio.TCP(), "http://"+s.Addr(), 10*time.Second)
	var out pair
	return rest.Call(t.Context(), c, "POST", "/swap", &pair{1, 2}, &out)
}

// An answer with the status 000 passed for one with 200.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	is := is.New(t)
	const after = " Odd\r\nContent-Length: 13\r\n\r\n{\"A\":2,\"B\":1}"
	is.NoErr(call(t, "HTTP/1.1 200"+after))
	for _, status := range []string{"000", "101", "999"} {
		is.True(fault.Is(call(t, "HTTP/1.1 "+status+after), rest.KindNoAnswer))
	}
}

// An answer with a blank in the name of a field passed for sound.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{"X Bad: v", "X-Bad : v", " X-Bad: v", "X\x01Bad: v"} {
		is.True(fault.Is(call(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n"+field+"\r\nContent-Length: 13\r\n\r\n{\"A\":2,\"B\":1}"), rest.KindNoAnswer))
	}
}

// A server answers a long call without a length, sends a whole JSON value and resets the connection
// while the call is being written. The value may be a part of the answer.
func TestResetOfCallIsNoAnswer(t *testing.T) {
	is := is.New(t)
	s, err := rawserver.Start(rawserver.Reset("HTTP/1.1 200 OK\r\n\r\n{}"))
	is.NoErr(err)
	defer s.Close()
	in := strings.Repeat("x", 16<<20) // more than the buffers of a connection take
	var out pair
	err = rest.Call(t.Context(), rest.New(netio.TCP(), "http://"+s.Addr(), 10*time.Second), "POST", "/swap", &in, &out)
	is.True(fault.Is(err, rest.KindNoAnswer))
}
