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
	// pipelinedPollInterval is how often a connection with unread bytes of a next
	// request is checked; these bytes hide its end, so that it can't be waited for.
	pipelinedPollInterval = 250 * time.Millisecond
	// A caller whose VM disappeared without closing the connection is detected by
	// keep-alive probes while the connection is idle, and by sent bytes that are not
	// acknowledged within unackedTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	unackedTimeout    = 5 * time.Second
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall
	// does not define.
	tcpUserTimeout = 18
)

// watcher detects that a caller closed or reset its connection. It only peeks at the
// bytes of a next request until consume is called.
type watcher struct {
	conn      net.Conn
	raw       syscall.RawConn
	gone      func()
	recvFlags atomic.Int32
	stopped   atomic.Bool
	quit      chan struct{}
	done      chan struct{}
}

// watch starts a watcher that calls gone at most once, when the connection ends. It
// returns nil if the connection can't be watched. Nothing else may read from the
// connection until stop.
func watch(conn net.Conn, gone func()) *watcher {
	if t, ok := conn.(goneNotifier); ok {
		return watchNotifier(conn, t, gone)
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	enableKeepAlive(conn, raw)
	w := &watcher{conn: conn, raw: raw, gone: gone, quit: make(chan struct{}), done: make(chan struct{})}
	w.recvFlags.Store(syscall.MSG_PEEK)
	go w.run()
	return w
}

// goneNotifier is a connection without a socket that reports the end of its peer.
type goneNotifier interface {
	Gone() <-chan struct{}
}

func watchNotifier(conn net.Conn, t goneNotifier, gone func()) *watcher {
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

// enableKeepAlive makes the kernel detect a caller whose VM disappeared.
func enableKeepAlive(conn net.Conn, raw syscall.RawConn) {
	if c, ok := conn.(*net.TCPConn); ok {
		// If this fails, the request's deadline still ends the call.
		_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
	if runtime.GOOS == "linux" {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
	}
}

// consume makes the watcher discard what the caller sends from now on. The connection
// can't serve a further request.
func (w *watcher) consume() {
	if w != nil {
		w.recvFlags.Store(0)
	}
}

// stop ends the watcher and clears the read deadline for the next request.
func (w *watcher) stop() {
	if w == nil {
		return
	}
	w.stopped.Store(true)
	close(w.quit)
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // unblocks run
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{}) // an error means that the connection is closed
}

func (w *watcher) run() {
	defer close(w.done)
	var (
		b   [1]byte
		n   int
		err error
	)
	recv := func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), b[:], int(w.recvFlags.Load())|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	for {
		if readErr := w.raw.Read(recv); readErr != nil || w.stopped.Load() {
			return
		}
		if n <= 0 || err != nil {
			w.gone()
			return
		}
		if w.recvFlags.Load() == 0 {
			continue
		}
		select {
		case <-time.After(pipelinedPollInterval):
		case <-w.quit:
			return
		}
	}
}
