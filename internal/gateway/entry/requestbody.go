package entry

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/intake"
)

const (
	// maxBodyBytes is the size limit of a request body. The configuration sets a lower one.
	maxBodyBytes = 8 << 20
	// requestMemoryShare is the share of the process's memory for request bodies.
	requestMemoryShare = 0.25
	// bodyStallTimeout limits the time without content of a body. Callers give up much earlier.
	bodyStallTimeout = 10 * time.Second
	// extendInterval is how often the deadline is set, since bodies in tiny chunks are read in many pieces.
	extendInterval = 50 * time.Millisecond
	// blockBytes is the size of the blocks in which a body arrives.
	blockBytes = 64 << 10
	// smallBlockBytes is the size of the first block, since most bodies are small.
	smallBlockBytes = 4 << 10
	// prefetchBytes is what the HTTP library reads of a body before the handler runs. It reads at
	// least one byte.
	prefetchBytes = 1
	// memoryRetryAfter is the Retry-After where memory for bodies is short.
	memoryRetryAfter = time.Second
)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errTruncated    = errors.New("the body is truncated")
)

// blocks are the buffers of bodies that arrive.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// requestBody is a request's body, whose memory is held until release.
type requestBody struct {
	content []byte
	memory  *intake.Body // nil if empty
}

func (b *requestBody) release() {
	if b.memory != nil {
		b.memory.Release()
	}
}

// newIntake returns the memory for request bodies.
func (s *Server) newIntake() *intake.Memory {
	most := int64(defaultBodyMemory)
	if s.cfg.Memory > 0 {
		most = int64(requestMemoryShare * float64(s.cfg.Memory))
	}
	logger := s.log.WithPrefix("intake")
	return intake.New(intake.Settings{Most: most, Now: time.Now, After: time.After, Changed: func(short bool, st intake.State) {
		logger.Warn("Memory for request bodies became short or free.", "short", short, "used", st.Used, "most", st.Most, "unfinished", st.Unfinished, "evicted", st.Evicted, "refused", st.Refused)
	}})
}

// bodyLimit returns the size limit of a request body in bytes.
func (s *Server) bodyLimit() int {
	if t := s.sched.Table(); t != nil && t.Limits().BodyBytes > 0 {
		return min(maxBodyBytes, t.Limits().BodyBytes)
	}
	return maxBodyBytes
}

// headerReceived prepares the reading of a body. One whose announced length is over the limit is not
// waited for: its length is cleared, and the handler finds it in the raw header.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.bodyLimit() {
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyStallTimeout}
}

// announcedLength returns the length of the body in the raw header, or 0.
func announcedLength(h *fasthttp.RequestHeader) int {
	for line := range bytes.Lines(h.RawHeaders()) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			n, _ := strconv.Atoi(string(bytes.TrimSpace(value))) // others are refused later
			return n
		}
	}
	return 0
}

// readBody reads the request's body as it arrives. The error is errBodyTooLarge, errTruncated, one of
// package intake or one of the connection or the framing.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, conn *callerConn) (*requestBody, error) {
	h, limit := &ctx.Request.Header, s.bodyLimit()
	length, stream := h.ContentLength(), ctx.RequestBodyStream()
	if length == 0 && announcedLength(h) > limit || length > limit {
		return nil, errBodyTooLarge
	}
	if length == 0 || stream == nil {
		return &requestBody{content: ctx.Request.Body()}, nil
	}
	evict := func() {}
	if conn != nil {
		evict = conn.endRead
	}
	memory, err := s.intake.Open(ctx.RemoteIP().String(), evict)
	if err != nil {
		return nil, err
	}
	r := &bodyReader{conn: conn, stream: stream, memory: memory, length: length, limit: limit, started: time.Now()}
	content, err := r.read()
	r.freeBlocks()
	if err == nil && !memory.Finish(len(content)) {
		err = r.evicted()
	}
	if err != nil {
		memory.Release()
		return nil, err
	}
	return &requestBody{content: content, memory: memory}, nil
}

// bodyReader reads one body into blocks.
type bodyReader struct {
	conn     *callerConn // nil in tests without a connection
	stream   io.Reader
	memory   *intake.Body
	length   int // announced in bytes, or -1
	limit    int // bytes
	started  time.Time
	extended time.Time // when the deadline was last set
	first    []byte
	blocks   []*[blockBytes]byte
	filled   int // bytes of the last block
	size     int // bytes of content
}

// read returns the body's content.
func (r *bodyReader) read() ([]byte, error) {
	for {
		space, err := r.space()
		if err != nil {
			return nil, err
		}
		if err := r.extendDeadline(); err != nil {
			return nil, err
		}
		n, err := r.stream.Read(space)
		r.filled += n
		r.size += n
		switch {
		case r.size > r.limit:
			return nil, errBodyTooLarge
		case err == nil:
			continue
		case r.memory.Evicted():
			return nil, r.evicted()
		case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return nil, err
		case r.length >= 0 && r.size != r.length:
			return nil, errTruncated
		}
		return r.join()
	}
}

// space returns the free part of the last block, or of a further one for which memory was taken.
func (r *bodyReader) space() ([]byte, error) {
	switch {
	case r.first == nil:
		if err := r.memory.Take(smallBlockBytes); err != nil {
			return nil, err
		}
		r.first = make([]byte, smallBlockBytes)
	case len(r.blocks) == 0 && r.filled < len(r.first):
	case len(r.blocks) == 0 || r.filled == blockBytes:
		if err := r.memory.Take(blockBytes); err != nil {
			return nil, err
		}
		r.blocks, r.filled = append(r.blocks, blocks.Get().(*[blockBytes]byte)), 0
	}
	if len(r.blocks) == 0 {
		return r.first[r.filled:], nil
	}
	return r.blocks[len(r.blocks)-1][r.filled:], nil
}

// extendDeadline lets the next content arrive within bodyStallTimeout, and the whole body within
// readTimeout. Framing does not extend it.
func (r *bodyReader) extendDeadline() error {
	now := time.Now()
	if now.Sub(r.extended) >= extendInterval {
		r.extended = now
		r.memory.Progress(now)
		at := now.Add(bodyStallTimeout)
		if end := r.started.Add(readTimeout); at.After(end) {
			at = end
		}
		if r.conn != nil {
			_ = r.conn.Conn.SetReadDeadline(at) // if it fails, so does the read
		}
	}
	if r.memory.Evicted() { // the deadline that ends the read may have been replaced
		return r.evicted()
	}
	return nil
}

func (r *bodyReader) evicted() error { return r.memory.Take(0) }

// join returns the content as one slice.
func (r *bodyReader) join() ([]byte, error) {
	if len(r.blocks) == 0 {
		return r.first[:r.filled], nil
	}
	if err := r.memory.Take(r.size); err != nil {
		return nil, err
	}
	out := append(make([]byte, 0, r.size), r.first...)
	for i, b := range r.blocks {
		n := blockBytes
		if i == len(r.blocks)-1 {
			n = r.filled
		}
		out = append(out, b[:n]...)
	}
	return out, nil
}

func (r *bodyReader) freeBlocks() {
	for _, b := range r.blocks {
		blocks.Put(b)
	}
	r.blocks = nil
}

// refuseBody answers a request whose body was not read to its end. It was not run and never will be.
func (s *Server) refuseBody(ctx *fasthttp.RequestCtx, conn *callerConn, err error) {
	var netErr net.Error
	reason := "malformed"
	switch {
	case errors.Is(err, errBodyTooLarge):
		reason = "too_large"
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case fault.Is(err, intake.KindNoMemory):
		reason = "no_memory"
		refuse(ctx, fasthttp.StatusServiceUnavailable, memoryRetryAfter)
	case fault.Is(err, intake.KindEvicted):
		reason = "evicted"
		refuse(ctx, fasthttp.StatusServiceUnavailable, memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout():
		reason = "stalled"
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	ctx.SetConnectionClose()
	if conn != nil {
		conn.unread.Store(true)
	}
	s.metrics.Scope().Tagged(map[string]string{"reason": reason}).Counter("request_bodies_refused").Inc(1)
}
