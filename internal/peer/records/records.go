// Package records hands the newest records of the store's topics from an entry that has
// read them to one that the store turns away, or that spares it the call.
package records

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
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
	// path is asked with the name of the topic behind it.
	path = "/records/"
	// askLimit bounds a call: the target allows 4 s for a configuration to be acknowledged,
	// and messages between entries take a millisecond.
	askLimit = time.Second
	// maxBody is the largest answer, in bytes: the target's 3,900 servers take 1 MB.
	maxBody = 16 << 20
	// headSize is room for the head of an answer, in bytes.
	headSize = 4 << 10
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable is the kind of a call that the other entry did not answer.
	KindUnreachable Kind = "unreachable"
	// KindUnknown is the kind of a call for a topic that the other entry does not know.
	KindUnknown Kind = "unknown topic"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("records")

func fail(kind Kind, err error) error { return fault.New(&class, "ask", kind, err) }

// answer is the body of an answer.
type answer struct {
	Offset  uint64           `json:"offset"` // that was read up to
	Records []platform.Keyed `json:"records"`
}

// Server answers other entries.
type Server struct {
	ln   net.Listener
	http *fasthttp.Server
	done chan struct{}
}

// Serve answers on the listener with what newest returns of a topic: all records and the
// offset that was read up to, or false where the topic is not known.
func Serve(ln net.Listener, logger *log.Logger, newest func(topic string) ([]platform.Keyed, uint64, bool)) *Server {
	s := &Server{ln: ln, done: make(chan struct{})}
	s.http = &fasthttp.Server{
		NoDefaultServerHeader: true, DisableKeepalive: true, ReadTimeout: askLimit,
		Handler: func(ctx *fasthttp.RequestCtx) { serve(ctx, logger, newest) },
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln) // ends with Close
	}()
	return s
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.ln.Close() // ends Serve
	<-s.done
}

func serve(ctx *fasthttp.RequestCtx, logger *log.Logger, newest func(topic string) ([]platform.Keyed, uint64, bool)) {
	topic, _ := strings.CutPrefix(string(ctx.Path()), path) // another path is no topic's name
	list, offset, ok := newest(topic)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	b, err := json.Marshal(answer{Offset: offset, Records: list})
	if err != nil {
		logger.Error("Records can't be encoded.", "topic", topic, "err", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	logger.Info("Handed records on.", "to", ctx.RemoteAddr().String(), "topic", topic, "offset", offset, "records", len(list))
	ctx.SetBody(b)
}

// Ask returns all newest records of a topic that the entry at an address has, and the
// offset that it has read up to.
func Ask(ctx context.Context, network *netio.Network, address, topic string) ([]platform.Keyed, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(path + topic)
	x, err := httpconn.Do(ctx, network, address, req, httpconn.Limits{Header: askLimit, Read: askLimit, Buffer: headSize})
	if err != nil {
		return nil, 0, fail(KindUnreachable, err)
	}
	defer x.Close()
	if x.Status() != fasthttp.StatusOK {
		return nil, 0, fail(KindUnknown, fmt.Errorf("status %d", x.Status()))
	}
	body, err := io.ReadAll(io.LimitReader(x, maxBody))
	if err != nil {
		return nil, 0, fail(KindUnreachable, err)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, fail(KindUnreachable, err)
	}
	return a.Records, a.Offset, nil
}
