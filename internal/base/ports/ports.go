// Package ports finds free ports on loopback for tests whose processes are told where to
// listen.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the system gives to connections, so that none is taken
// between its choice and its use. Processes beside each other start at different ones.
const (
	first      = 10_000
	count      = 20_000
	perProcess = 97
)

var next atomic.Int64

// Free returns so many ports that were free for TCP and UDP a moment ago. A process gets
// none of them twice before it has had them all.
func Free(t testing.TB, n int) []int {
	t.Helper()
	var out []int
	for range count {
		if len(out) == n {
			return out
		}
		if port := first + (os.Getpid()*perProcess+int(next.Add(1)))%count; free(port) {
			out = append(out, port)
		}
	}
	t.Fatalf("%d of %d ports are free", len(out), n)
	return nil
}

func free(port int) bool {
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = u.Close() // it was only tried
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = ln.Close() // as above
	return true
}
