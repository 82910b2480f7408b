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
	readTimeout    = 10 * time.Second
	maxAnswerBytes = 16 << 20
	// minTries is the minimum number of tries of a repeatable call, even if the
	// service has fewer servers. Each try uses a new connection.
	minTries = 2
	// maxRuns is how many servers a repeatable call may run at: it may be what they fail of.
	maxRuns = 3
)

var errNoServer = errors.New("the service has no server")

// serveRepeatable sends a repeatable call to the servers in turn, each time on a new
// connection, until one answers.
func (h *Handler) serveRepeatable(ctx *fasthttp.RequestCtx, c *call) *reply.Error {
	run, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	answer, sent, err := h.send(run, c, true)
	switch {
	case err == nil:
		writeAnswer(ctx, answer)
		return nil
	case !sent:
		return reply.Overloaded("service_unavailable", "No server of the service can be reached.", time.Second)
	default:
		return badGateway("no_answer", "The service did not answer; the call may have run.")
	}
}

// badGateway returns the 502 error of a call that may have run.
func badGateway(code, message string) *reply.Error {
	return &reply.Error{
		Status: fasthttp.StatusBadGateway, Type: "server_error", Code: code, Message: message, Ran: reply.RanUnknown,
	}
}

// send sends the call to the service's servers in turn until one answers, or it may
// have run at maxRuns of them. If none answers, sent reports whether any byte may
// have been sent. A call that is not repeatable is retried only while no byte may
// have been sent. The time of a repeatable call is split among its tries, so that a
// silent connection leaves time for another.
func (h *Handler) send(ctx context.Context, c *call, repeatable bool) (answer *ledger.StoredAnswer, sent bool, err error) {
	servers := c.service.Servers()
	if len(servers) == 0 {
		return nil, false, errNoServer
	}
	tries := len(servers)
	if repeatable {
		tries = max(tries, minTries)
	}
	runs := 0
	first := int(h.nextServer.Add(1) % uint64(len(servers)))
	for i := range tries {
		u := servers[(first+i)%len(servers)]
		if answer, err = h.exchange(ctx, c, u.Spec().Address, tryLimits(ctx, c, repeatable, min(tries-i, maxRuns-runs))); err == nil {
			return answer, true, nil
		}
		h.log.Warn("A server did not answer.", "service", c.service.Name(), "upstream", u.Name(), "err", err)
		if !fault.Is(err, httpconn.KindUnsent) {
			runs++
		}
		sent = runs > 0
		if sent && !repeatable || runs == maxRuns || ctx.Err() != nil {
			break
		}
	}
	return nil, sent, err
}

// tryLimits returns the time limits of the next try. A repeatable call gets an equal
// share of the remaining time for each of the tries left.
func tryLimits(ctx context.Context, c *call, repeatable bool, left int) httpconn.Limits {
	deadline, ok := ctx.Deadline()
	if !repeatable || !ok {
		return httpconn.Limits{Header: c.timeout, Read: readTimeout}
	}
	share := time.Until(deadline) / time.Duration(left)
	return httpconn.Limits{Header: share, Read: min(readTimeout, share)}
}

// exchange sends the call to the server at addr on a new connection and reads the
// answer. The caller's key is not passed on.
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
	body, err := io.ReadAll(io.LimitReader(x, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, fail("read", KindTooLarge, errTooLarge)
	}
	return &ledger.StoredAnswer{
		Status: uint32(x.Status()), ContentType: string(x.Header().ContentType()), Body: body,
	}, nil
}

var errTooLarge = errors.New("the answer is longer than 16 MiB")

func writeAnswer(ctx *fasthttp.RequestCtx, a *ledger.StoredAnswer) {
	ctx.SetStatusCode(int(a.GetStatus()))
	ctx.Response.Header.SetContentType(a.GetContentType())
	ctx.SetBody(a.GetBody())
}
