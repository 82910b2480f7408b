package service

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	readLimit = 10 * time.Second
	maxAnswer = 16 << 20 // bytes
	// minTries is how often a call that may be repeated is sent, each time on a new
	// connection, where the service has fewer servers.
	minTries = 2
)

var errNoServer = errors.New("the service has no server")

// repeat sends a call that may be repeated to the servers in turn, each on a new
// connection, until one answers.
func (h *Handler) repeat(ctx *fasthttp.RequestCtx, c *call) *reply.Error {
	run, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	answer, sent, err := h.send(run, c, true)
	switch {
	case err == nil:
		write(ctx, answer)
		return nil
	case !sent:
		return reply.Overloaded("service_unavailable", "No server of the service can be reached.", time.Second)
	default:
		return noAnswer("no_answer", "The service did not answer; the call may have run.")
	}
}

func noAnswer(code, message string) *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: code, Message: message, Ran: reply.RanUnknown,
	}
}

// send sends the call to the service's servers in turn until one takes it. Where
// no server answers, sent tells whether a byte may have left. A call that may
// not be repeated goes on only while none has; the time of one that may is split,
// so that a silent connection leaves time for another.
func (h *Handler) send(ctx context.Context, c *call, repeatable bool) (answer *ledger.StoredAnswer, sent bool, err error) {
	servers := c.service.Servers()
	if len(servers) == 0 {
		return nil, false, errNoServer
	}
	tries := len(servers)
	if repeatable {
		tries = max(tries, minTries)
	}
	first := int(h.turn.Add(1) % uint64(len(servers)))
	for i := range tries {
		u := servers[(first+i)%len(servers)]
		if answer, err = h.exchange(ctx, c, u.Spec().Address, limitsOf(ctx, c, repeatable, tries-i)); err == nil {
			return answer, true, nil
		}
		h.log.Warn("A server did not answer.", "service", c.service.Name(), "upstream", u.Name(), "err", err)
		sent = sent || !fault.Is(err, httpconn.KindUnsent)
		if sent && !repeatable || ctx.Err() != nil {
			break
		}
	}
	return nil, sent, err
}

// limitsOf returns the time limits of one of the tries that are left.
func limitsOf(ctx context.Context, c *call, repeatable bool, left int) httpconn.Limits {
	deadline, ok := ctx.Deadline()
	if !repeatable || !ok {
		return httpconn.Limits{Header: c.timeout, Read: readLimit}
	}
	share := time.Until(deadline) / time.Duration(left)
	return httpconn.Limits{Header: share, Read: min(readLimit, share)}
}

func (h *Handler) exchange(ctx context.Context, c *call, addr string, limits httpconn.Limits) (*ledger.StoredAnswer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.request.CopyTo(req)
	req.SetRequestURI("http://" + addr + c.path)
	req.URI().SetQueryStringBytes(c.query)
	req.Header.Del(fasthttp.HeaderAuthorization)
	req.Header.SetHost(addr)
	req.SetConnectionClose()
	x, err := httpconn.Do(ctx, h.network, addr, req, limits)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, fail("read", KindTooLarge, errTooLarge)
	}
	return &ledger.StoredAnswer{
		Status: uint32(x.Status()), ContentType: string(x.Header().ContentType()), Body: body,
	}, nil
}

var errTooLarge = errors.New("the answer is longer than 16 MiB")

func write(ctx *fasthttp.RequestCtx, a *ledger.StoredAnswer) {
	ctx.SetStatusCode(int(a.GetStatus()))
	ctx.Response.Header.SetContentType(a.GetContentType())
	ctx.SetBody(a.GetBody())
}
