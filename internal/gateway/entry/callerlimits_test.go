package entry

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
)

// readAsLibrary sets the deadlines that the HTTP library sets before and after the first byte of a
// later request, and returns the error of the first read that fails.
func readAsLibrary(c *callerConn) error {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	for {
		if _, err := c.Read(make([]byte, 8)); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
	}
}

// Guards against limits of the configuration that have no effect: idle connections stayed open for
// 120 s, and a head could take 30 s.
func TestConfiguredTimeouts(t *testing.T) {
	for _, c := range []struct {
		name    string
		sent    bool          // the first byte of a head
		changed time.Duration // the idle limit after 2 s; 0: unchanged
		ends    time.Duration
	}{
		{"idle", false, 0, 15 * time.Second},
		{"head", true, 0, 3 * time.Second},
		{"shorter idle limit while open", false, 5 * time.Second, 5 * time.Second},
		{"longer idle limit while open", false, 30 * time.Second, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, served := net.Pipe()
				var limits atomic.Pointer[route.Limits]
				limits.Store(&route.Limits{Header: 3 * time.Second, Idle: 15 * time.Second})
				conn := newCallerConn(served, func() {})
				conn.limits = func() route.Limits { return *limits.Load() }
				conn.beginRequest() // the one before
				start := time.Now()
				ended := make(chan error, 1)
				go func() { ended <- readAsLibrary(conn) }()
				if c.sent {
					_, err := caller.Write([]byte("P"))
					is.NoErr(err)
				}
				if c.changed > 0 {
					time.Sleep(2 * time.Second)
					limits.Store(&route.Limits{Header: 3 * time.Second, Idle: c.changed})
					conn.applyLimits()
				}
				is.True(errors.Is(<-ended, os.ErrDeadlineExceeded))
				is.Equal(time.Since(start), c.ends)
				_ = caller.Close()
				_ = served.Close()
			})
		})
	}
}

// scriptedListener accepts what its function returns.
type scriptedListener struct {
	net.Listener

	accept func() (net.Conn, error)
}

// Accept implements net.Listener.
func (l *scriptedListener) Accept() (net.Conn, error) { return l.accept() }

// Guards against an accept that fails for want of descriptors and ends the process.
func TestFailedAcceptEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, served := net.Pipe()
		fails := 3
		l := newCallerListener(&scriptedListener{accept: func() (net.Conn, error) {
			if fails--; fails >= 0 {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
			}
			return served, nil
		}})
		c, err := l.Accept()
		is.NoErr(err)
		is.Equal(l.acceptsFailed.Load(), int64(3))
		_ = c.Close()
		_ = caller.Close()
		l.Listener = &scriptedListener{accept: func() (net.Conn, error) { return nil, net.ErrClosed }}
		_, err = l.Accept()
		is.True(errors.Is(err, net.ErrClosed)) // the listener was closed
	})
}

// Guards against new connections that close busy ones, or others than the one that is idle longest.
func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var callers []net.Conn
		l := newCallerListener(&scriptedListener{accept: func() (net.Conn, error) {
			caller, served := net.Pipe()
			callers = append(callers, caller)
			return served, nil
		}})
		l.most = 4
		ended := make(chan int, 16)
		accept := func(i int) {
			c, err := l.Accept()
			is.NoErr(err)
			go func() {
				_, _ = c.Read(make([]byte, 8))
				if i > 0 { // the first one is busy
					_ = c.Close()
					ended <- i
				}
			}()
			synctest.Wait()
			time.Sleep(time.Second)
		}
		accept(0)
		_, err := callers[0].Write([]byte("P"))
		is.NoErr(err)
		for i := 1; i < 6; i++ {
			accept(i)
		}
		synctest.Wait()
		is.Equal(len(ended), 2)
		is.Equal(<-ended, 1)
		is.Equal(<-ended, 2)
		is.Equal(l.closedIdle.Load(), int64(2))
		is.Equal(l.open(), 4)
		for _, c := range callers {
			_ = c.Close()
		}
	})
}
