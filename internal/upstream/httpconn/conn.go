// Package httpconn sends one HTTP request on one new connection and streams the
// answer, with a time limit on each read. It never repeats a request, and no
// connection outlives its answer: bytes of one answer cannot reach another.
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
	readBuffer  = 4 << 10  // bytes
	maxBuffered = 64 << 20 // bytes of an answer that is not streamed
)

// Limits are the time limits of an exchange.
type Limits struct {
	First time.Duration // to write the request and read the head of the answer
	Read  time.Duration // on each read of the body
	// Buffer is the size of the read buffer in bytes, which has to hold the head of
	// the answer; 4 KiB where it is 0.
	Buffer int
}

// Exchange is a request and its answer.
type Exchange struct {
	conn   net.Conn
	resp   *fasthttp.Response
	body   io.Reader
	limits Limits
	stop   func() bool
	wrote  chan struct{} // closed once nothing of the request is written any more
}

// Do connects to the address of the network and sends the request. The exchange that it
// returns must be closed. It ends when ctx does.
func Do(ctx context.Context, network *netio.Network, addr string, req *fasthttp.Request, limits Limits) (*Exchange, error) {
	conn, err := network.Dial(ctx, addr)
	if err != nil {
		return nil, fail("dial", KindUnsent, err)
	}
	x := &Exchange{conn: conn, limits: limits, resp: fasthttp.AcquireResponse(), wrote: make(chan struct{})}
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

func (x *Exchange) exchange(req *fasthttp.Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(x.limits.First)); err != nil {
		close(x.wrote) // the context ended first: nothing is written
		return err
	}
	go func() {
		defer close(x.wrote)
		_ = x.write(req) // an answer may come before all is written; a failure shows in what is read
	}()
	x.resp.StreamBody = true
	size := x.limits.Buffer
	if size == 0 {
		size = readBuffer
	}
	br := bufio.NewReaderSize(x.conn, size)
	if err := x.resp.ReadLimitBody(br, maxBuffered); err != nil {
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

// Status returns the HTTP status of the answer.
func (x *Exchange) Status() int { return x.resp.StatusCode() }

// Header returns the head of the answer.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.resp.Header }

// Read reads the body. A read that takes longer than its limit fails with KindSilent.
func (x *Exchange) Read(p []byte) (int, error) { return x.ReadWithin(p, x.limits.Read) }

// ReadWithin is Read with a limit of its own.
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

// Close closes the connection. The request is not used any more afterwards.
func (x *Exchange) Close() {
	if x.wrote == nil {
		return
	}
	x.stop()
	_ = x.conn.Close() // nothing more is read from it
	<-x.wrote
	x.wrote = nil
}

type emptyBody struct{}

func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
