// Package httpconn sends a single HTTP request on a new connection and streams the
// response, with a time limit on each read. It never retries a request or reuses a
// connection, so bytes of one response can't end up in another.
package httpconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	defaultReadBufferBytes = 4 << 10  // bytes
	maxBufferedBodyBytes   = 64 << 20 // size limit of a response body that is not streamed
	minBodyBytes           = 4 << 10  // first piece of memory of ReadAll
)

var (
	errTooLarge = errors.New("more bytes than allowed")
	errNoMemory = errors.New("no memory is left for it")
)

// Limits are the time limits of an exchange.
type Limits struct {
	Header time.Duration // from sending the request to the end of the response header
	Read   time.Duration // for each read of the body
	// Buffer is the size of the read buffer in bytes. It must hold the response header.
	// 0 means 4 KiB.
	Buffer int
	// Bytes is the most that is received, header and framing included, until the next call of
	// Progress. A server in trouble may send without end. 0 means no limit.
	Bytes int64
	// Connected is called once the connection is there, before any of the request is sent. It may
	// change the request. nil: nothing is called.
	Connected func()
}

// Exchange is a request and its response.
type Exchange struct {
	conn      *boundedConn
	resp      *fasthttp.Response
	body      io.Reader
	limits    Limits
	stop      func() bool
	writeDone chan struct{} // closed when writing the request has ended
}

// Do connects to addr on the network and sends the request. The caller must close the
// exchange. Ending ctx aborts it, and nothing is sent if it has ended by then. An error is of KindUnsent if the connection failed and
// of KindNoAnswer if the request may have reached the server.
func Do(ctx context.Context, network *netio.Network, addr string, req *fasthttp.Request, limits Limits) (*Exchange, error) {
	dialled, err := network.Dial(ctx, addr)
	if err != nil {
		return nil, fail("dial", KindUnsent, err)
	}
	if err := ctx.Err(); err != nil {
		_ = dialled.Close() // unused
		return nil, fail("dial", KindUnsent, err)
	}
	if limits.Connected != nil {
		limits.Connected()
	}
	conn := newBoundedConn(dialled, limits.Bytes)
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
		_ = x.write(req) // the response may be whole; if the connection is broken, reads fail, too
	}()
	x.resp.StreamBody = true
	size := x.limits.Buffer
	if size == 0 {
		size = defaultReadBufferBytes
	}
	r := http1.NewReader(x.conn)
	if err := x.resp.ReadLimitBody(bufio.NewReaderSize(r, size), maxBufferedBodyBytes); err != nil {
		return cmp.Or(r.Err(), err)
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
	case errors.Is(err, errTooLarge):
		return n, fail("read", KindTooLarge, err)
	default:
		return n, fail("read", KindNoAnswer, err)
	}
}

// Progress starts the limit on received bytes anew: what came so far was of use.
func (x *Exchange) Progress() { x.conn.reset() }

// ReadAll reads the body to its end. It fails with KindTooLarge if it has more than most bytes or
// if take, which is called with the size of each further piece of memory unless it is nil, returns
// false; with KindSilent if it does not end by the given time; and with KindNoAnswer if it is shorter than
// declared.
func (x *Exchange) ReadAll(most int, until time.Time, take func(n int) bool) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			more := min(max(minBodyBytes, cap(body)), most+1-len(body))
			if take != nil && !take(more) {
				return nil, fail("read", KindTooLarge, errNoMemory)
			}
			body = append(make([]byte, 0, len(body)+more), body...)
		}
		n, err := x.ReadWithin(body[len(body):cap(body)], time.Until(until))
		body = body[:len(body)+n]
		switch {
		case len(body) > most:
			return nil, fail("read", KindTooLarge, errTooLarge)
		case errors.Is(err, io.EOF):
			if declared := x.Header().ContentLength(); declared >= 0 && declared != len(body) {
				return nil, fail("read", KindNoAnswer, io.ErrUnexpectedEOF)
			}
			return body, nil
		case err != nil:
			return nil, err
		}
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
