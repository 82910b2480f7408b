// Package tunnel connects an entry to upstreams through another entry, while it can't connect to
// them itself. A tunnel is an HTTP request to the other entry. After its head the connection carries
// the bytes to the upstream as they are, and those from it as the chunks of the response, which are
// complete only if the upstream has ended the connection in order.
package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// Path is the prefix of a request's path. The upstream's address follows it.
	Path = "/tunnel/"

	// idleTimeout is how long an upstream may send nothing, or the other entry take nothing. Whoever
	// opened the tunnel has shorter limits, unless its VM is lost.
	idleTimeout = time.Minute
	// lingerTimeout is how long the other entry may take to close its connection after an answer.
	lingerTimeout = time.Second
	bufferBytes   = 8 << 10
	// argWork is the query argument of a tunnel that is for something new.
	argWork = "work"
)

// Settings are the settings and dependencies of a Server.
type Settings struct {
	Network *netio.Network            // to upstreams, without tunnels; dials must have a time limit
	Known   func(address string) bool // whether tunnels may lead to the address
	// TakesWork reports whether a tunnel that was asked for with ForWork may lead to the address. If
	// it is nil, Known decides.
	TakesWork func(address string) bool
	Most      int // open tunnels
	Log       *log.Logger
}

// Server opens tunnels for other entries. It is safe for concurrent use.
type Server struct {
	cfg    Settings
	opened atomic.Int64
	done   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]net.Conn // of the open tunnels: the upstream's by the other entry's
}

// NewServer returns a server without tunnels.
func NewServer(cfg Settings) *Server { return &Server{cfg: cfg, conns: map[net.Conn]net.Conn{}} }

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Opened returns the number of tunnels opened since the start.
func (s *Server) Opened() int64 { return s.opened.Load() }

// Close breaks all tunnels off and opens no further ones.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c, upstream := range s.conns {
		interrupt(c)
		_ = upstream.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Serve serves a request for a tunnel.
func (s *Server) Serve(ctx *fasthttp.RequestCtx) {
	address := strings.TrimPrefix(string(ctx.Path()), Path)
	work := ctx.QueryArgs().Has(argWork)
	ctx.HijackSetNoResponse(true) // the head of the response depends on the dial
	ctx.Hijack(func(c net.Conn) { s.serve(c, address, work) })
}

// serve connects to the upstream and copies until either side ends.
func (s *Server) serve(c net.Conn, address string, work bool) {
	allowed := s.cfg.Known
	if work && s.cfg.TakesWork != nil {
		allowed = s.cfg.TakesWork
	}
	if !allowed(address) {
		s.reject(c, fasthttp.StatusNotFound, address, "takes nothing more, no upstream, or stopping")
		return
	}
	upstream, err := s.cfg.Network.Dial(context.Background(), address)
	if err != nil {
		s.reject(c, fasthttp.StatusBadGateway, address, err.Error())
		return
	}
	defer func() { _ = upstream.Close() }()
	if !s.add(c, upstream) {
		s.reject(c, fasthttp.StatusServiceUnavailable, address, "too many tunnels, or stopping")
		return
	}
	defer s.remove(c)
	s.opened.Add(1)
	if err := c.SetDeadline(time.Time{}); err != nil { // of reading the request
		return
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.Copy(upstream, c)
		// An upstream that takes no more may have answered. Closing either connection would lose that: the
		// other entry's is reset if bytes of it are unread.
		_, _ = io.Copy(io.Discard, c)
		_ = upstream.Close() // the other entry has given the request up, or has its answer
	}()
	err = copyAnswer(c, upstream)
	_ = upstream.Close()
	if err != nil {
		s.cfg.Log.Debug("A tunnel broke off.", "entry", c.RemoteAddr().String(), "address", address, "err", err)
		interrupt(c)
	} else {
		s.linger(c)
	}
	<-sent
}

// linger limits the time in which the other entry reads the end of an answer and closes its connection.
func (s *Server) linger(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed { // Close has interrupted it
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // it fails on a closed connection only
	}
}

// interrupt ends the reads and writes of a hijacked connection: the HTTP library closes it only after
// its handler has returned.
func interrupt(c net.Conn) { _ = c.SetDeadline(time.Now()) }

// add registers an open tunnel, and reports whether there is room for it.
func (s *Server) add(c, upstream net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.Most {
		return false
	}
	s.done.Add(1)
	s.conns[c] = upstream
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.done.Done()
}

func (s *Server) reject(c net.Conn, status int, address, why string) {
	s.cfg.Log.Debug("Opened no tunnel.", "entry", c.RemoteAddr().String(), "address", address, "status", status, "why", why)
	var resp fasthttp.Response
	resp.SetStatusCode(status)
	bw := bufio.NewWriter(c)
	_ = resp.Write(bw) // without a response the other entry counts this one as unreachable
	_ = bw.Flush()
}

// copyAnswer writes the head of the response, and what the upstream sends as its chunks.
func copyAnswer(c, upstream net.Conn) error {
	bw := bufio.NewWriterSize(c, bufferBytes)
	var head fasthttp.ResponseHeader
	head.SetStatusCode(fasthttp.StatusOK)
	head.SetContentLength(-1) // chunked
	if err := head.Write(bw); err != nil {
		return err
	}
	chunks := httputil.NewChunkedWriter(bw)
	buf := make([]byte, bufferBytes)
	for {
		if err := errors.Join(c.SetWriteDeadline(time.Now().Add(idleTimeout)), bw.Flush(), upstream.SetReadDeadline(time.Now().Add(idleTimeout))); err != nil {
			return err
		}
		n, err := upstream.Read(buf)
		if n > 0 {
			if _, err := chunks.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return errors.Join(chunks.Close(), bw.Flush())
		case err != nil:
			return errors.Join(err, bw.Flush())
		}
	}
}

// conn is a tunnel's connection to the other entry, which reads what the upstream sends.
type conn struct {
	net.Conn

	answer io.Reader
}

// Read returns io.EOF if the upstream has ended the connection in order, and io.ErrUnexpectedEOF if
// it, or the other entry, has not.
func (c *conn) Read(p []byte) (int, error) { return c.answer.Read(p) }

// workKey is the key of ForWork.
type workKey struct{}

// ForWork returns a context for tunnels to send an upstream something new, which one that leaves does not
// take.
func ForWork(ctx context.Context) context.Context { return context.WithValue(ctx, workKey{}, true) }

// Dial connects to the upstream at an address through another entry, until ctx ends. Nothing has been
// sent to the upstream if it fails.
func Dial(ctx context.Context, network *netio.Network, entry, address string) (net.Conn, error) {
	c, err := network.Dial(ctx, entry)
	if err != nil {
		return nil, fail("dial", KindUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks open
	r := http1.NewReader(c)
	br := bufio.NewReaderSize(r, bufferBytes)
	uri := Path + address
	if ctx.Value(workKey{}) != nil {
		uri += "?" + argWork // earlier versions ignore it
	}
	err = open(c, br, entry, uri)
	stopped := !stop()
	switch {
	case r.Err() != nil:
		err = fail("open", KindUnreachable, r.Err())
	case stopped && err == nil:
		err = fail("open", KindUnreachable, ctx.Err())
	}
	if err != nil {
		_ = c.Close() // nothing was sent to the upstream
		return nil, err
	}
	return &conn{Conn: c, answer: httputil.NewChunkedReader(br)}, nil
}

// open sends the request for the tunnel and reads the head of the response.
func open(c net.Conn, br *bufio.Reader, entry, uri string) error {
	var req fasthttp.Request
	req.Header.SetHost(entry)
	req.Header.SetRequestURI(uri)
	bw := bufio.NewWriter(c)
	if err := errors.Join(req.Write(bw), bw.Flush()); err != nil {
		return fail("open", KindUnreachable, err)
	}
	var head fasthttp.ResponseHeader
	if err := head.Read(br); err != nil {
		return fail("open", KindUnreachable, err)
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return fail("open", KindRefused, fmt.Errorf("status %d", head.StatusCode()))
	}
	return nil
}
