package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeConn is a connection whose reads return io.EOF, and whose writes return an error once the write
// deadline is set.
type fakeConn struct {
	net.Conn // nil

	writeErr error
	writing  chan struct{} // closed when a write has begun
	deadline chan struct{} // closed when the write deadline is set
	once     sync.Once
}

func newFakeConn(writeErr error) *fakeConn {
	return &fakeConn{writeErr: writeErr, writing: make(chan struct{}), deadline: make(chan struct{})}
}

func (*fakeConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *fakeConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.deadline
	return 0, c.writeErr
}

func (c *fakeConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// The system has reported the error of a connection to a write that has not returned when a read comes to
// the end. The read took that for the end of an answer.
func TestReadWaitsForFailingWrite(t *testing.T) {
	for _, c := range []struct{ write, read error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{net.ErrClosed, io.EOF},
		{nil, io.EOF},
	} {
		is := is.New(t)
		fake := newFakeConn(nil)
		if c.write != nil {
			fake.writeErr = &net.OpError{Op: "write", Err: c.write}
		}
		conn := newConn(fake)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write([]byte("x"))
			written <- err
		}()
		<-fake.writing
		for range 2 {
			_, err := conn.Read(make([]byte, 1))
			is.True(errors.Is(err, c.read))
		}
		is.Equal(<-written, fake.writeErr)
	}
}
