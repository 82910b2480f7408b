package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// answerHead is the longest head of an answer, in bytes.
	answerHead = 16 << 10
	// lateMargin is kept before a request's time limit for the answer's way to the caller.
	lateMargin = 40 * time.Millisecond
)

var (
	errNoService = errors.New("no such service")
	errNoServer  = errors.New("no server can be used")
	errNotWhole  = errors.New("the answer is not the upstream's own")
)

// call is a request of a caller.
type call struct {
	s         *Server
	in        *fasthttp.Request // of the caller
	req       platform.Request
	route     *route.Route
	service   string
	engine    *passes.Figures // of the service; nil where it is a plain one
	workspace string
	version   int64 // of the configuration
	arrived   time.Time
	deadline  time.Time
	ctx       context.Context // ends with the caller, and at the deadline
	cancel    context.CancelFunc
	tried     map[string]bool
	sends     int         // attempts of which a byte may have left
	ran       int         // attempts that may have run
	holds     int         // times that memory was set aside for it
	lost      atomic.Bool // the caller left
}

// left returns the time until the request's limit.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// attempt sends the request to an upstream and returns its answer, of which the
// head was read within the limit. The answer ends with the context, which is the call's or
// a part of it. The errors' kinds tell what may have run.
func (c *call) attempt(ctx context.Context, address string, a platform.Attempt, limit time.Duration) (*httpconn.Exchange, platform.Answer, error) {
	a.Left, a.Workspace = c.left(), c.workspace
	req := fasthttp.AcquireRequest()
	platform.EncodeAttempt(&req.Header, &c.in.Header, a)
	req.SetBodyRaw(c.in.Body())
	x, err := httpconn.Do(ctx, c.s.upstreams, address, req, httpconn.Limits{Header: limit, Read: limit, Buffer: answerHead})
	if fault.Is(err, httpconn.KindUnsent) {
		if c.ctx.Err() == nil {
			c.s.reach.ReportFailure(address)
		}
		return nil, platform.Answer{}, fail("send", KindUnsent, err)
	}
	c.sends++
	if err != nil {
		c.ran++
		return nil, platform.Answer{}, fail("send", KindUnknown, err)
	}
	ans := platform.DecodeAnswer(x.Header())
	if ans.NotRun {
		x.Close()
		return nil, ans, fail("send", KindNotRun, fmt.Errorf("status %d", ans.Status))
	}
	c.ran++
	if ans.ID != c.req.ID && ans.ID != "" || ans.Encoded || ans.Status < fasthttp.StatusMultipleChoices && !ans.Sealed {
		x.Close()
		return nil, ans, fail("send", KindUnknown, errNotWhole)
	}
	return x, ans, nil
}

// again reports whether the request may be sent once more after an error.
func (c *call) again(err error) bool {
	switch {
	case c.ctx.Err() != nil || c.left() < minRetry || c.sends >= maxSends:
		return false
	case fault.Is(err, KindUnsent):
		return len(c.tried) < maxUnsent
	case fault.Is(err, KindNotRun):
	case c.route.Repeat != route.Idempotent || c.ran >= c.route.Attempts:
		return false
	}
	return c.s.belief.Again(c.service)
}

const (
	// minRetry is the least time left for which a request is sent once more.
	minRetry = 60 * time.Millisecond
	// maxSends bounds the upstreams that a request is sent to, whether they run it or not.
	maxSends = 4
	// maxUnsent bounds those that it could not be sent to: when a failure domain is cut off,
	// each try takes 150 ms, and within a second the entry knows which ones are there.
	maxUnsent = 8
)

// refuse answers that the request did not run and won't, or that it may have.
func (c *call) refuse(ctx *fasthttp.RequestCtx, err error, after time.Duration) {
	switch {
	case c.lost.Load():
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case c.ran > 0 && c.left() <= 0:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case c.ran > 0:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, after)
	}
	c.count("failed_" + strconv.Itoa(ctx.Response.StatusCode()))
	c.s.log.Warn("Failed.", "id", c.req.ID, "route", c.route.Name, "status", ctx.Response.StatusCode(), "err", err,
		"tokens", c.req.Prompt, "sends", c.sends, "ran", c.ran, "left_ms", c.left().Milliseconds(), "after_ms", after.Milliseconds(), "lost", c.lost.Load())
}

// refuse answers with a status that promises that the request did not run.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	ctx.SetStatusCode(status)
	if after > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprintf("%.3f", after.Seconds()))
	}
}
