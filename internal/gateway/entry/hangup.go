package entry

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangupPollInterval is how often a connection is checked whose next bytes are not read. Upstreams must
// have ended a request half a second after its caller left.
const hangupPollInterval = 100 * time.Millisecond

// hungUp reports whether the other end of a connection has closed or reset it, whatever bytes of it are
// unread. It returns false for connections without a file descriptor.
func hungUp(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(list, 0)
		gone = err == nil && n > 0 && list[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}
