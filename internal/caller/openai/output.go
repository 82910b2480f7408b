package openai

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

const (
	// stallLimit is how long a caller may take none of the bytes that wait for it.
	stallLimit = 10 * time.Second
	// sendBuffer bounds what the kernel keeps for a caller that reads slowly, in bytes.
	sendBuffer = 64 << 10
	// maxPending bounds the bytes of a stream that wait for a caller, and
	// maxPendingAll those of all streams of the entry. Over the bound the engine is
	// read no further until the caller has read.
	maxPending    = 64 << 10
	maxPendingAll = 64 << 20
	keptBuffer    = 2 << 10 // bytes of an output's buffer that stay while it is empty
	chunkDigits   = 6       // hexadecimal digits of a chunk's length
	// maxEvent is the longest event that the digits can name, in bytes.
	maxEvent = 1<<(4*chunkDigits) - 1
)

var (
	errStalled  = errs.New("the caller takes no bytes")
	errTooLong  = errs.New("an event is longer than a chunk can be")
	errGone     = errs.New("the caller has gone")
	errHandover = errs.New("the entry is leaving")
	errTaken    = errs.New("the caller has resumed the answer on another connection")
)

// output writes the body of a streamed answer to a caller's connection. It
// writes without waiting while a bounded number of bytes waits for the caller, so
// that a slow caller does not hold back the engine. It belongs to one goroutine.
type output struct {
	conn    net.Conn
	raw     syscall.RawConn // nil where the connection can't be written without waiting
	chunked bool
	buf     []byte // bytes that wait are buf[off:]
	off     int
	all     *atomic.Int64 // bytes that wait in all outputs
	counted int           // of them in this one
	waiting atomic.Int64  // the same, for the state dump
	since   time.Time     // when bytes began to wait, or were last taken

	try    func(fd uintptr) bool // kept, so that a write allocates nothing
	tryN   int
	tryErr error
}

func newOutput(conn net.Conn, chunked bool, all *atomic.Int64) *output {
	o := &output{conn: conn, chunked: chunked, all: all}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	if b, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = b.SetWriteBuffer(sendBuffer) // it only bounds the kernel's memory
	}
	o.try = func(fd uintptr) bool {
		o.tryN, o.tryErr = syscall.Write(int(fd), o.buf[o.off:])
		return true
	}
	return o
}

// send sends what the function appends as one chunk of the body.
func (o *output) send(event func(b []byte) ([]byte, error)) error {
	if err := o.add(event); err != nil {
		return err
	}
	return o.write()
}

// add appends what the function appends as one chunk of the body.
func (o *output) add(event func(b []byte) ([]byte, error)) error {
	start := len(o.buf)
	b := o.buf
	if o.chunked {
		b = append(b, "000000\r\n"...)
	}
	body := len(b)
	b, err := event(b)
	if err != nil {
		return err
	}
	if o.chunked {
		if len(b)-body > maxEvent {
			return errTooLong
		}
		putHex(b[start:start+chunkDigits], len(b)-body)
		b = append(b, "\r\n"...)
	}
	o.buf = b
	return nil
}

// head appends bytes that are no part of the body, such as its head.
func (o *output) head(b []byte) { o.buf = append(o.buf, b...) }

// finish ends the body and waits until the caller has taken it.
func (o *output) finish() error {
	if o.chunked {
		o.buf = append(o.buf, "0\r\n\r\n"...)
	}
	return o.flush()
}

// write writes what the connection takes now. It waits for the caller where too
// much waits.
func (o *output) write() error {
	if err := o.writeNow(); err != nil {
		return err
	}
	if o.off == len(o.buf) {
		o.settle()
		return nil
	}
	o.settle()
	if time.Since(o.since) > stallLimit {
		return errStalled
	}
	if o.raw == nil || len(o.buf)-o.off > maxPending || o.all.Load() > maxPendingAll {
		return o.flush()
	}
	return nil
}

func (o *output) writeNow() error {
	for o.raw != nil && o.off < len(o.buf) {
		if err := o.raw.Write(o.try); err != nil {
			return err
		}
		switch {
		case errors.Is(o.tryErr, syscall.EINTR):
			continue
		case errors.Is(o.tryErr, syscall.EAGAIN):
			return nil
		case o.tryErr != nil:
			return o.tryErr
		}
		o.off += o.tryN
		o.since = time.Now()
	}
	return nil
}

// flush waits until the caller has taken everything.
func (o *output) flush() error {
	for o.off < len(o.buf) {
		if err := o.conn.SetWriteDeadline(time.Now().Add(stallLimit)); err != nil {
			return err
		}
		n, err := o.conn.Write(o.buf[o.off:])
		o.off += n
		if n == 0 && err != nil {
			return err
		}
	}
	o.settle()
	return o.conn.SetWriteDeadline(time.Time{})
}

// settle counts what waits and gives back the buffer of what was taken.
func (o *output) settle() {
	switch {
	case o.off < len(o.buf):
		if o.counted == 0 {
			o.since = time.Now()
		}
		if o.off > len(o.buf)/2 {
			o.buf = o.buf[:copy(o.buf, o.buf[o.off:])]
			o.off = 0
		}
	case cap(o.buf) > keptBuffer:
		o.buf, o.off = nil, 0
	default:
		o.buf, o.off = o.buf[:0], 0
	}
	n := len(o.buf) - o.off
	if n != o.counted {
		o.all.Add(int64(n - o.counted))
		o.counted = n
		o.waiting.Store(int64(n))
	}
}

// close ends the connection and forgets what waits.
func (o *output) close() {
	_ = o.conn.Close() // nothing more is written to it
	o.buf, o.off = nil, 0
	o.settle()
}

func putHex(b []byte, n int) {
	const digits = "0123456789abcdef"
	for i := len(b) - 1; i >= 0; i-- {
		b[i] = digits[n&0xf]
		n >>= 4
	}
}

// streamHead returns the head of a streamed answer.
func streamHead(id string, chunked bool) []byte {
	b := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\nConnection: close\r\nX-Request-Id: ")
	b = append(b, id...)
	if chunked {
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	b = append(b, "\r\nDate: "...)
	b = append(b, time.Now().UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")...)
	return append(b, "\r\n\r\n"...)
}
