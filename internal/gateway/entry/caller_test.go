package entry

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// keptConn is the caller's end of a keep-alive connection.
type keptConn struct {
	net.Conn
	is   *is.I
	conn *callerConn
}

func (k *keptConn) idle() bool {
	k.conn.mu.Lock()
	defer k.conn.mu.Unlock()
	return k.conn.idle()
}

func withKeptConn(t *testing.T, f func(k *keptConn)) {
	synctest.Test(t, func(t *testing.T) {
		caller, served := net.Pipe()
		k := &keptConn{Conn: caller, is: is.New(t), conn: newCallerConn(served, func() {})}
		f(k)
		_ = caller.Close()
		_ = served.Close()
		synctest.Wait()
	})
}

// request sends a request and returns its age when it is handled.
func (k *keptConn) request(text string) time.Duration {
	go func() { _, _ = k.Write([]byte(text)) }()
	buf := make([]byte, 64)
	n, err := k.conn.Read(buf)
	k.is.NoErr(err)
	k.is.Equal(string(buf[:n]), text)
	return time.Since(k.conn.beginRequest())
}

func TestRequestArrivalTimes(t *testing.T) {
	withKeptConn(t, func(k *keptConn) {
		k.is.Equal(k.request("refused at once"), time.Duration(0))
		time.Sleep(10 * time.Second)
		k.is.Equal(k.request("the next"), time.Duration(0)) // does not count from the previous request, which was not watched
		k.conn.watch(func() {})
		k.conn.unwatch()
		time.Sleep(10 * time.Second)
		k.is.Equal(k.request("after one that was watched"), time.Duration(0))
		k.is.Equal(time.Since(k.conn.beginRequest()), time.Duration(0)) // it arrived together with the previous one
	})
}

// A request that arrives while the previous one is served was sent to an upstream with more time than
// its caller had left.
func TestArrivalTimesOfRequestsReadAhead(t *testing.T) {
	withKeptConn(t, func(k *keptConn) {
		k.request("the first")
		k.conn.watch(func() {})
		go func() { _, _ = k.Write([]byte("two requests")) }()
		time.Sleep(time.Second)
		k.conn.unwatch()
		buf := make([]byte, 64)
		n, err := k.conn.Read(buf)
		k.is.NoErr(err)
		k.is.Equal(string(buf[:n]), "two requests")
		k.is.Equal(time.Since(k.conn.beginRequest()), time.Second)
		time.Sleep(time.Second)
		k.is.Equal(time.Since(k.conn.beginRequest()), 2*time.Second) // it arrived together with the previous one
	})
}

func TestIdleConnections(t *testing.T) {
	withKeptConn(t, func(k *keptConn) {
		wait := func() {
			go func() { _, _ = k.conn.Read(make([]byte, 64)) }()
			synctest.Wait()
		}
		wait()
		k.is.True(!k.idle()) // it has not sent a request
		go func() { _, _ = k.Write([]byte("refused at once")) }()
		synctest.Wait()
		k.is.True(!k.idle()) // the request is being read
		k.conn.beginRequest()
		k.is.True(!k.idle()) // the request is being handled
		wait()
		k.is.True(k.idle())
		go func() { _, _ = k.Write([]byte("a stream")) }()
		synctest.Wait()
		k.conn.beginRequest()
		k.conn.watch(func() {})
		k.is.True(!k.idle())
		k.conn.unwatch()
		k.is.True(!k.idle()) // the end of the answer is not written yet
		wait()
		k.is.True(k.idle())
	})
}

// lateConn is a connection on which bytes arrive as a deadline in the past is set.
type lateConn struct {
	net.Conn
	arrive  func() // writes the bytes
	arrived chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.arrived != nil {
		close(c.arrived)
		c.arrived = nil
	}
	return n, err
}

func (c *lateConn) SetReadDeadline(at time.Time) error {
	if arrived := c.arrived; arrived != nil && at.Before(time.Now()) {
		go c.arrive()
		<-arrived
	}
	return c.Conn.SetReadDeadline(at)
}

// A request arrives while an idle connection is closed. It was read, passed on and run, and its caller
// got no answer.
func TestRequestOnExpiringConnectionIsRead(t *testing.T) {
	withKeptConn(t, func(k *keptConn) {
		k.request("the first")
		k.conn.Conn = &lateConn{Conn: k.conn.Conn, arrive: func() { _, _ = k.Write([]byte("in two parts")) }, arrived: make(chan struct{})}
		parts := make(chan string, 2)
		go func() {
			for range cap(parts) {
				buf := make([]byte, 7)
				n, err := k.conn.Read(buf)
				k.is.NoErr(err)
				parts <- string(buf[:n])
			}
		}()
		synctest.Wait()
		k.is.True(k.conn.expire())
		k.is.Equal(<-parts+<-parts, "in two parts")
		k.conn.beginRequest()
		gone := make(chan error)
		go func() {
			_, err := k.conn.Read(make([]byte, 1))
			gone <- err
		}()
		synctest.Wait()
		k.is.True(k.conn.expire())
		k.is.True(!k.conn.expire())
		k.is.True(errors.Is(<-gone, os.ErrDeadlineExceeded))
	})
}
