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
	// stallTimeout is how long a caller may read none of its pending bytes.
	stallTimeout = 10 * time.Second
	// sendBufferBytes limits the kernel's send buffer of a connection.
	sendBufferBytes = 64 << 10
	// maxPendingBytes limits the bytes of one stream that its caller has not read yet,
	// maxTotalPendingBytes those of all streams. Above either, a write blocks, and
	// nothing more is read from the engine until the caller has read.
	maxPendingBytes      = 64 << 10
	maxTotalPendingBytes = 64 << 20
	maxIdleBufferBytes   = 2 << 10 // a larger buffer is freed when it is empty
	chunkDigits          = 6       // hexadecimal digits of a chunk's length, zero-padded
	// maxEventBytes is the largest length that fits into chunkDigits.
	maxEventBytes = 1<<(4*chunkDigits) - 1
)

var (
	errStalled          = errs.New("caller read no bytes within the stall timeout")
	errEventTooLong     = errs.New("event exceeds the maximum chunk length")
	errCallerGone       = errs.New("caller closed its connection")
	errHandover         = errs.New("entry is shutting down")
	errResumedElsewhere = errs.New("caller resumed the response on another connection")
)

// output writes a streamed response to a caller's connection. Writes don't block
// until the pending bytes reach a limit, so that a slow caller does not hold back the
// engine. It is not safe for concurrent use, except for pending.
type output struct {
	conn           net.Conn
	raw            syscall.RawConn // nil if the connection has no non-blocking write
	chunked        bool
	buf            []byte // buf[off:] is pending
	off            int
	totalPending   *atomic.Int64 // of all outputs, in bytes
	pendingCounted int           // bytes of this output that totalPending includes
	pending        atomic.Int64  // pendingCounted, for the state dump
	stalledSince   time.Time     // when bytes became pending or were last written

	tryWrite func(fd uintptr) bool // stored, so that a write doesn't allocate a closure
	tryN     int
	tryErr   error
}

func newOutput(conn net.Conn, chunked bool, totalPending *atomic.Int64) *output {
	o := &output{conn: conn, chunked: chunked, totalPending: totalPending}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	if b, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = b.SetWriteBuffer(sendBufferBytes) // only limits the kernel's memory, so that a failure is harmless
	}
	o.tryWrite = func(fd uintptr) bool {
		o.tryN, o.tryErr = syscall.Write(int(fd), o.buf[o.off:])
		return true
	}
	return o
}

// send writes what event appends as one chunk of the body.
func (o *output) send(event func(b []byte) ([]byte, error)) error {
	if err := o.appendChunk(event); err != nil {
		return err
	}
	return o.write()
}

// appendChunk buffers what event appends as one chunk of the body. It returns
// errEventTooLong if it exceeds maxEventBytes.
func (o *output) appendChunk(event func(b []byte) ([]byte, error)) error {
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
		if len(b)-body > maxEventBytes {
			return errEventTooLong
		}
		putHex(b[start:start+chunkDigits], len(b)-body)
		b = append(b, "\r\n"...)
	}
	o.buf = b
	return nil
}

// appendRaw buffers bytes that are not part of the body, such as the HTTP header.
func (o *output) appendRaw(b []byte) { o.buf = append(o.buf, b...) }

// finish ends the body and blocks until everything is written.
func (o *output) finish() error {
	if o.chunked {
		o.buf = append(o.buf, "0\r\n\r\n"...)
	}
	return o.flush()
}

// write writes what the connection accepts without blocking. It blocks if too many
// bytes are pending, and returns errStalled after stallTimeout without progress.
func (o *output) write() error {
	if err := o.writeNow(); err != nil {
		return err
	}
	if o.off == len(o.buf) {
		o.updatePending()
		return nil
	}
	o.updatePending()
	if time.Since(o.stalledSince) > stallTimeout {
		return errStalled
	}
	if o.raw == nil || len(o.buf)-o.off > maxPendingBytes || o.totalPending.Load() > maxTotalPendingBytes {
		return o.flush()
	}
	return nil
}

func (o *output) writeNow() error {
	for o.raw != nil && o.off < len(o.buf) {
		if err := o.raw.Write(o.tryWrite); err != nil {
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
		o.stalledSince = time.Now()
	}
	return nil
}

// flush blocks until everything is written, or nothing was for stallTimeout.
func (o *output) flush() error {
	for o.off < len(o.buf) {
		if err := o.conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		n, err := o.conn.Write(o.buf[o.off:])
		o.off += n
		if n == 0 && err != nil {
			return err
		}
	}
	o.updatePending()
	return o.conn.SetWriteDeadline(time.Time{})
}

// updatePending updates the counts of pending bytes, and compacts or frees the buffer.
func (o *output) updatePending() {
	switch {
	case o.off < len(o.buf):
		if o.pendingCounted == 0 {
			o.stalledSince = time.Now()
		}
		if o.off > len(o.buf)/2 {
			o.buf = o.buf[:copy(o.buf, o.buf[o.off:])]
			o.off = 0
		}
	case cap(o.buf) > maxIdleBufferBytes:
		o.buf, o.off = nil, 0
	default:
		o.buf, o.off = o.buf[:0], 0
	}
	n := len(o.buf) - o.off
	if n != o.pendingCounted {
		o.totalPending.Add(int64(n - o.pendingCounted))
		o.pendingCounted = n
		o.pending.Store(int64(n))
	}
}

// close closes the connection and drops the pending bytes.
func (o *output) close() {
	_ = o.conn.Close() // a failed close loses nothing: no more bytes are written
	o.buf, o.off = nil, 0
	o.updatePending()
}

func putHex(b []byte, n int) {
	const digits = "0123456789abcdef"
	for i := len(b) - 1; i >= 0; i-- {
		b[i] = digits[n&0xf]
		n >>= 4
	}
}

// streamHeader returns the status line and HTTP header of a streamed response.
func streamHeader(id string, chunked bool) []byte {
	b := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\nConnection: close\r\nX-Request-Id: ")
	b = append(b, id...)
	if chunked {
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	b = append(b, "\r\nDate: "...)
	b = append(b, time.Now().UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")...)
	return append(b, "\r\n\r\n"...)
}
