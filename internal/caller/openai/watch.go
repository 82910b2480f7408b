package openai

import (
	"errors"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pipelinedPoll is how often a connection is looked at whose caller has sent
	// bytes of a next request, which hide its end.
	pipelinedPoll = 250 * time.Millisecond
	// A caller whose VM vanished is noticed by probes while nothing is sent to it,
	// and by bytes that are not acknowledged within unackedLimit.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	unackedLimit  = 5 * time.Second
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
)

// watcher notices that a caller has closed or reset its connection. It leaves the
// bytes of a next request unread until consume is called.
type watcher struct {
	conn  net.Conn
	raw   syscall.RawConn
	gone  func()
	flags atomic.Int32
	ended atomic.Bool
	quit  chan struct{}
	done  chan struct{}
}

// watch starts a watcher that calls gone once. It returns nil where the
// connection can't be watched. No other reader may use the connection meanwhile.
func watch(conn net.Conn, gone func()) *watcher {
	if t, ok := conn.(teller); ok {
		return watchTeller(conn, t, gone)
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	probe(conn, raw)
	w := &watcher{conn: conn, raw: raw, gone: gone, quit: make(chan struct{}), done: make(chan struct{})}
	w.flags.Store(syscall.MSG_PEEK)
	go w.run()
	return w
}

// teller is a connection without a socket that tells when its other end is gone.
type teller interface {
	Gone() <-chan struct{}
}

func watchTeller(conn net.Conn, t teller, gone func()) *watcher {
	w := &watcher{conn: conn, quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		select {
		case <-t.Gone():
			gone()
		case <-w.quit:
		}
	}()
	return w
}

// probe lets the kernel notice a caller whose VM vanished.
func probe(conn net.Conn, raw syscall.RawConn) {
	if c, ok := conn.(*net.TCPConn); ok {
		// A connection without probes is still bounded by the request's deadline.
		_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	}
	if runtime.GOOS == "linux" {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
		})
	}
}

// consume makes the watcher drop what the caller still sends: the connection
// serves no further request.
func (w *watcher) consume() {
	if w != nil {
		w.flags.Store(0)
	}
}

// stop ends the watcher and leaves the connection fit for the next request.
func (w *watcher) stop() {
	if w == nil {
		return
	}
	w.ended.Store(true)
	close(w.quit)
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // unblocks it
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{}) // a closed connection serves no further request
}

func (w *watcher) run() {
	defer close(w.done)
	var (
		b   [1]byte
		n   int
		err error
	)
	look := func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), b[:], int(w.flags.Load())|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	for {
		if readErr := w.raw.Read(look); readErr != nil || w.ended.Load() {
			return
		}
		if n <= 0 || err != nil {
			w.gone()
			return
		}
		if w.flags.Load() == 0 {
			continue
		}
		select {
		case <-time.After(pipelinedPoll):
		case <-w.quit:
			return
		}
	}
}
