// Package ports finds free loopback ports for tests whose processes get their listen
// addresses by configuration.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
)

// The range lies below the system's ephemeral ports, so that no outgoing connection takes
// a port between its choice and its use. Each process starts at an offset that depends on
// its process ID, so that concurrent test processes choose different ports.
const (
	firstPort = 10_000
	portCount = 20_000
	pidStride = 97
)

var offset atomic.Int64

// Free returns n ports that were just found free for both TCP and UDP. A process gets a
// port again only after it went through the whole range.
func Free(t testing.TB, n int) []int {
	t.Helper()
	var out []int
	for range portCount {
		if len(out) == n {
			return out
		}
		if port := firstPort + (os.Getpid()*pidStride+int(offset.Add(1)))%portCount; isFree(port) {
			out = append(out, port)
		}
	}
	t.Fatalf("found only %d of %d free ports", len(out), n)
	return nil
}

func isFree(port int) bool {
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = u.Close() // only a probe
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = ln.Close() // only a probe
	return true
}

// Refusing returns a loopback address that refuses connections until the test ends: its port is
// bound, so that no other process can listen there.
func Refusing(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) }) // only the port is lost with it
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("bound to %v", bound)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(addr.Port))
}
