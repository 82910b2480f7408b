package entry

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// kept is a caller's end of a connection that is kept over several requests.
type kept struct {
	net.Conn
	is   *is.I
	conn *callerConn
}

func withKept(t *testing.T, f func(k *kept)) {
	synctest.Test(t, func(t *testing.T) {
		caller, ours := net.Pipe()
		k := &kept{Conn: caller, is: is.New(t), conn: newCallerConn(ours, func() {})}
		f(k)
		_ = caller.Close()
		_ = ours.Close()
		synctest.Wait()
	})
}

// request sends one and returns how old it was when it was handled.
func (k *kept) request(text string) time.Duration {
	go func() { _, _ = k.Write([]byte(text)) }()
	buf := make([]byte, 64)
	n, err := k.conn.Read(buf)
	k.is.NoErr(err)
	k.is.Equal(string(buf[:n]), text)
	return time.Since(k.conn.begin())
}

func TestEachRequestOfAConnectionHasItsOwnTime(t *testing.T) {
	withKept(t, func(k *kept) {
		k.is.Equal(k.request("refused at once"), time.Duration(0))
		time.Sleep(10 * time.Second)
		k.is.Equal(k.request("the next"), time.Duration(0)) // not as old as the one that nothing watched
		k.conn.watch(func() {})
		k.conn.release()
		time.Sleep(10 * time.Second)
		k.is.Equal(k.request("after one that was watched"), time.Duration(0))
		k.is.Equal(time.Since(k.conn.begin()), time.Duration(0)) // it came with the one before
	})
}

func TestIdleIsWhatWaitsForAnotherRequest(t *testing.T) {
	withKept(t, func(k *kept) {
		wait := func() {
			go func() { _, _ = k.conn.Read(make([]byte, 64)) }()
			synctest.Wait()
		}
		wait()
		k.is.True(!k.conn.idle()) // it has not sent any
		go func() { _, _ = k.Write([]byte("refused at once")) }()
		synctest.Wait()
		k.is.True(!k.conn.idle()) // it is read
		k.conn.begin()
		k.is.True(!k.conn.idle()) // it is handled
		wait()
		k.is.True(k.conn.idle())
		go func() { _, _ = k.Write([]byte("a stream")) }()
		synctest.Wait()
		k.conn.begin()
		k.conn.watch(func() {})
		k.is.True(!k.conn.idle())
		k.conn.release()
		k.is.True(!k.conn.idle()) // its last bytes are not written yet
		wait()
		k.is.True(k.conn.idle())
	})
}
