// Package records serves the latest records of the store's topics from an entry that has read
// them to entries that the store rejects, or that save the store a call.
package records

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// path is the prefix of a request's path. The topic's name follows it.
	path = "/records/"
	// callTimeout bounds a call: a configuration has to be acknowledged within 4 s, and
	// messages between entries take a millisecond.
	callTimeout = time.Second
	// maxBodyBytes is the maximum size of an answer. The records of 3,900 servers take 1 MB.
	maxBodyBytes = 16 << 20
	// headBufferBytes is the size of the buffer for the head of an answer.
	headBufferBytes = 4 << 10
	// maxAnswers is how many answers are written at the same time. An entry that is refused reads the
	// store, which is sooner than its share of a link that more answers fill.
	maxAnswers = 64
)

var errTooLarge = errors.New("more bytes than allowed")

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable is the kind of a call without a complete, valid answer.
	KindUnreachable Kind = "unreachable"
	// KindUnknown is the kind of a call for a topic that the other entry does not have.
	KindUnknown Kind = "unknown topic"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("records")

func fail(kind Kind, err error) error { return fault.New(&class, "ask", kind, err) }

// answer is the JSON body of an answer.
type answer struct {
	Epoch   *uint64          `json:"epoch"`  // of the offset; earlier versions send none
	Offset  uint64           `json:"offset"` // up to which the entry has read the topic
	Records []platform.Keyed `json:"records"`
}

// Server serves records to other entries.
type Server struct {
	ln     net.Listener
	http   *fasthttp.Server
	log    *log.Logger
	newest func(topic string) ([]platform.Keyed, platform.Position, bool)
	done   chan struct{}

	mu      sync.Mutex
	compact map[string]compactAnswer // by topic: the last one, which many entries ask for at once
}

// compactAnswer is the compact encoding of a topic's records up to a position.
type compactAnswer struct {
	next platform.Position
	body []byte
}

// Serve starts a server on the listener. newest returns all latest records of a topic and the
// position up to which it was read, or false for an unknown topic. others serves the requests for
// other paths than those of records.
func Serve(ln net.Listener, logger *log.Logger, newest func(topic string) ([]platform.Keyed, platform.Position, bool), others fasthttp.RequestHandler) *Server {
	s := &Server{ln: ln, log: logger, newest: newest, done: make(chan struct{}), compact: map[string]compactAnswer{}}
	var answers atomic.Int64 // in progress
	s.http = &fasthttp.Server{
		NoDefaultServerHeader: true, DisableKeepalive: true, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		Handler: func(ctx *fasthttp.RequestCtx) {
			topic, ok := strings.CutPrefix(string(ctx.Path()), path)
			if !ok {
				others(ctx)
				return
			}
			if answers.Add(1) > maxAnswers {
				answers.Add(-1)
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				return
			}
			s.answer(ctx, topic, func() { answers.Add(-1) })
		},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln) // returns after Close
	}()
	return s
}

// Close stops the server and closes its listener.
func (s *Server) Close() {
	_ = s.ln.Close() // makes http.Serve return
	<-s.done
}

// answer sends a topic's records. written is called once they are written or given up.
func (s *Server) answer(ctx *fasthttp.RequestCtx, topic string, written func()) {
	list, next, ok := s.newest(topic)
	if !ok {
		written()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	b, err := s.encode(ctx, topic, list, next)
	if err != nil {
		written()
		s.log.Error("Encoding records failed.", "topic", topic, "err", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	s.log.Info("Sent records to another entry.", "to", ctx.RemoteAddr().String(), "topic", topic, "epoch", next.Epoch, "offset", next.Offset, "records", len(list), "bytes", len(b))
	ctx.SetBodyStream(&countedBody{Reader: bytes.NewReader(b), written: written}, len(b))
}

// encode returns the body of an answer: compact if the other entry decodes that, else JSON.
func (s *Server) encode(ctx *fasthttp.RequestCtx, topic string, list []platform.Keyed, next platform.Position) ([]byte, error) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)) != contentCompact {
		return json.Marshal(answer{Epoch: &next.Epoch, Offset: next.Offset, Records: list})
	}
	ctx.SetContentType(contentCompact)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.compact[topic]; ok && c.next == next {
		return c.body, nil
	}
	b, err := encodeCompact(list, next)
	if err == nil {
		s.compact[topic] = compactAnswer{next: next, body: b}
	}
	return b, err
}

// countedBody is a body that reports when the server has finished with it.
type countedBody struct {
	*bytes.Reader
	written func()
}

// Close reports the end. It always returns nil.
func (b *countedBody) Close() error {
	b.written()
	return nil
}

// Ask returns the latest records of a topic from the entry at an address, and the position up to
// which that entry has read the topic, in NoEpoch if it runs an earlier version.
func Ask(ctx context.Context, network *netio.Network, address, topic string) ([]platform.Keyed, platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(path + topic)
	req.Header.Set(fasthttp.HeaderAccept, contentCompact)
	x, err := httpconn.Do(ctx, network, address, req, httpconn.Limits{Header: callTimeout, Read: callTimeout, Buffer: headBufferBytes})
	if err != nil {
		return nil, platform.Position{}, fail(KindUnreachable, err)
	}
	defer x.Close()
	switch x.Status() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return nil, platform.Position{}, fail(KindUnknown, fmt.Errorf("status %d", x.Status()))
	default:
		return nil, platform.Position{}, fail(KindUnreachable, fmt.Errorf("status %d", x.Status()))
	}
	body, err := x.ReadAll(maxBodyBytes, time.Now().Add(callTimeout), nil)
	if err != nil {
		return nil, platform.Position{}, fail(KindUnreachable, err)
	}
	if string(x.Header().ContentType()) == contentCompact {
		list, next, err := decodeCompact(body)
		if err != nil {
			return nil, platform.Position{}, fail(KindUnreachable, err)
		}
		return list, checkEpoch(next), nil
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, platform.Position{}, fail(KindUnreachable, err)
	}
	next := platform.Position{Epoch: platform.NoEpoch, Offset: a.Offset}
	if a.Epoch != nil {
		next.Epoch = *a.Epoch
	}
	return a.Records, checkEpoch(next), nil
}

// checkEpoch returns a position in NoEpoch if its epoch can't be the store's.
func checkEpoch(p platform.Position) platform.Position {
	if p.Epoch > platform.MaxEpoch {
		p.Epoch = platform.NoEpoch
	}
	return p
}
