// Package httpconn sends a single HTTP request on a new connection and streams the
// response, with a time limit on each read. It never retries a request or reuses a
// connection, so bytes of one response can't end up in another.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	defaultReadBufferBytes = 4 << 10  // bytes
	maxBufferedBodyBytes   = 64 << 20 // size limit of a response body that is not streamed
)

// Limits are the time limits of an exchange.
type Limits struct {
	Header time.Duration // from sending the request to the end of the response header
	Read   time.Duration // for each read of the body
	// Buffer is the size of the read buffer in bytes. It must hold the response header.
	// 0 means 4 KiB.
	Buffer int
}

// Exchange is a request and its response.
type Exchange struct {
	conn      net.Conn
	resp      *fasthttp.Response
	body      io.Reader
	limits    Limits
	stop      func() bool
	writeDone chan struct{} // closed when writing the request has ended
}

// Do connects to addr on the network and sends the request. The caller must close the
// exchange. Ending ctx aborts it. An error is of KindUnsent if the connection failed and
// of KindNoAnswer if the request may have reached the server.
func Do(ctx context.Context, network *netio.Network, addr string, req *fasthttp.Request, limits Limits) (*Exchange, error) {
	conn, err := network.Dial(ctx, addr)
	if err != nil {
		return nil, fail("dial", KindUnsent, err)
	}
	x := &Exchange{conn: conn, limits: limits, resp: fasthttp.AcquireResponse(), writeDone: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	if err := x.exchange(req); err != nil {
		x.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, fail("exchange", KindNoAnswer, err)
	}
	return x, nil
}

// exchange sends the request and reads the response header.
func (x *Exchange) exchange(req *fasthttp.Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(x.limits.Header)); err != nil {
		close(x.writeDone) // ctx ended first: the write never starts
		return err
	}
	go func() {
		defer close(x.writeDone)
		_ = x.write(req) // the response may come before the end of the write; a failed write shows as a failed read
	}()
	x.resp.StreamBody = true
	size := x.limits.Buffer
	if size == 0 {
		size = defaultReadBufferBytes
	}
	br := bufio.NewReaderSize(x.conn, size)
	if err := x.resp.ReadLimitBody(br, maxBufferedBodyBytes); err != nil {
		return err
	}
	if x.body = x.resp.BodyStream(); x.body == nil {
		x.body = &emptyBody{}
	}
	return nil
}

func (x *Exchange) write(req *fasthttp.Request) error {
	bw := bufio.NewWriter(x.conn)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// Status returns the HTTP status code.
func (x *Exchange) Status() int { return x.resp.StatusCode() }

// Header returns the response header.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.resp.Header }

// Read reads the response body. A read that takes longer than Limits.Read fails with
// KindSilent.
func (x *Exchange) Read(p []byte) (int, error) { return x.ReadWithin(p, x.limits.Read) }

// ReadWithin is like Read with the given limit instead of Limits.Read.
func (x *Exchange) ReadWithin(p []byte, limit time.Duration) (int, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, fail("read", KindNoAnswer, err)
	}
	n, err := x.body.Read(p)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, fail("read", KindSilent, err)
	default:
		return n, fail("read", KindNoAnswer, err)
	}
}

// Close closes the connection and waits for the write to end. After it the request may
// be reused.
func (x *Exchange) Close() {
	if x.writeDone == nil {
		return
	}
	x.stop()
	_ = x.conn.Close() // no more reads
	<-x.writeDone
	x.writeDone = nil
}

type emptyBody struct{}

func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
