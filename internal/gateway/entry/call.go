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
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// maxAnswerHeadBytes is the size limit of the head of an upstream's answer.
	maxAnswerHeadBytes = 16 << 10
	// answerMargin is reserved before the deadline for the transfer of the answer to the caller.
	answerMargin = 40 * time.Millisecond
)

var (
	errNoService     = errors.New("no such service")
	errNoServer      = errors.New("no server is available")
	errInvalidAnswer = errors.New("the answer is not valid")
	errStops         = errors.New("the entry stops before the answer can end")
)

// call is a caller's request.
type call struct {
	s          *Server
	callerReq  *fasthttp.Request
	req        platform.Request
	route      *route.Route
	service    string
	engine     *passes.Figures // of the service; nil for a plain service
	workspace  string
	owner      *route.Workspace // nil if the request has no known key
	homes      route.Homes
	digest     segment.ID // of the request without its attempt
	version    int64      // of the configuration
	arrived    time.Time
	deadline   time.Time
	endsBy     time.Time       // when the longest answer must have ended since the entry stops; zero: no such limit
	ctx        context.Context // ends at the deadline, or when the caller disconnects
	cancel     context.CancelFunc
	tried      map[string]bool
	unsent     []string    // of tried, those that the connection failed to
	sends      int         // attempts that may have sent a byte
	maybeRan   int         // attempts that may have run at the upstream
	leaseCount int         // number of memory leases requested
	callerGone atomic.Bool // the caller disconnected
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// attempt sends the request to an upstream and returns its answer once the head was read, for
// which limit is the time limit. Until Progress is called, at most the given bytes are received.
// The answer ends with ctx, which is c.ctx or derived from it.
// The kind of an error is KindUnsent, KindNotRun, or KindUnknown if the request may have run.
func (c *call) attempt(ctx context.Context, address string, a platform.Attempt, limit time.Duration, bytes int64) (*httpconn.Exchange, platform.Answer, error) {
	a.Left, a.Workspace = c.remaining(), c.workspace
	req := fasthttp.AcquireRequest()
	platform.EncodeAttempt(&req.Header, &c.callerReq.Header, a)
	req.SetBodyRaw(c.callerReq.Body())
	sentAt := time.Now()
	x, err := httpconn.Do(withUpstream(ctx, a.Instance), c.s.work, address, req, httpconn.Limits{Header: limit, Read: limit, Buffer: maxAnswerHeadBytes, Bytes: bytes, Connected: func() {
		platform.SetTimeLeft(&req.Header, c.remaining()) // connecting took some
	}})
	if fault.Is(err, httpconn.KindUnsent) {
		if c.ctx.Err() == nil && !takesNothingNew(err) {
			c.s.reach.ReportFailure(address)
		}
		c.s.sched.warmup.Return(a.Instance)
		return nil, platform.Answer{}, fail("send", KindUnsent, err)
	}
	c.sends++
	if err != nil {
		c.maybeRan++
		c.countTooLarge(err)
		return nil, platform.Answer{}, fail("send", KindUnknown, err)
	}
	ans := platform.DecodeAnswer(x.Header())
	if ans.ID != c.req.ID && (ans.ID != "" || ans.NotRun) { // another request's, a refusal too: this one may run
		x.Close()
		c.maybeRan++
		return nil, platform.Answer{Status: ans.Status}, fail("send", KindUnknown, errInvalidAnswer)
	}
	if ans.Limit > 0 || !ans.NotRun {
		c.s.sched.throttle.Heard(a.Instance, sentAt, ans.Limit)
	}
	if ans.Leaving && ans.Status != fasthttp.StatusMisdirectedRequest { // that is of another upstream
		c.s.sched.HeardLeaving(a.Instance, sentAt)
	}
	switch {
	case ans.Status == fasthttp.StatusMisdirectedRequest: // not counted, and of another upstream
		c.s.sched.warmup.Return(a.Instance)
	case ans.ColdKnown:
		c.s.sched.HeardCold(a.Instance, ans.Cold)
	}
	if ans.NotRun {
		x.Close()
		return nil, ans, fail("send", KindNotRun, fmt.Errorf("status %d", ans.Status))
	}
	c.maybeRan++
	if ans.Encoded || ans.Status < fasthttp.StatusMultipleChoices && !ans.Sealed {
		x.Close()
		return nil, ans, fail("send", KindUnknown, errInvalidAnswer)
	}
	return x, ans, nil
}

// takeRetry reports whether the request may be sent again after err. A retry after anything but
// KindUnsent is taken from the retry budget.
func (c *call) takeRetry(err error) bool {
	switch {
	case c.ctx.Err() != nil || c.remaining() < minRetryTime || c.sends >= maxSends:
		return false
	case fault.Is(err, KindUnsent):
		return len(c.tried) < maxUnsent
	case fault.Is(err, KindNotRun):
	case !c.mayRunAgain(c.maybeRan):
		return false
	}
	return c.s.sched.TakeRetry(c.service)
}

// mayRunAgain reports whether the route allows a further attempt after the given number of them
// that may have run.
func (c *call) mayRunAgain(ran int) bool {
	return c.route.Repeat == route.Idempotent && ran < c.route.Attempts
}

// mayAskAnother reports whether a further upstream may be asked after the given number of sends and
// of attempts that may have run.
func (c *call) mayAskAnother(sends, ran int) bool { return sends < maxSends && c.mayRunAgain(ran) }

// hasRetry reports whether there is time and budget for a retry.
func (c *call) hasRetry() bool { return c.remaining() >= minRetryTime && c.s.sched.HasRetry(c.service) }

// forgetUnsent makes the upstreams that got nothing of the request eligible again.
func (c *call) forgetUnsent() {
	for _, name := range c.unsent {
		delete(c.tried, name)
	}
	c.unsent = nil
}

const (
	// minRetryTime is the least remaining time for a retry.
	minRetryTime = 60 * time.Millisecond
	// maxSends limits the upstreams that a request is sent to, whether they run it or not.
	maxSends = 4
	// maxUnsent limits the upstreams tried if connections fail. If a failure domain is unreachable,
	// each try takes 150 ms, and the entry knows within a second which upstreams are reachable.
	maxUnsent = 8
	// heldRetryAfter is the Retry-After of requests on which upstreams crash: they are held for longer
	// than callers wait.
	heldRetryAfter = time.Minute
)

// refuse answers a failed request. A 503 status means that the request did not run and will not;
// if it may have run, the status is 502 or 504.
func (c *call) refuse(ctx *fasthttp.RequestCtx, err error, after time.Duration) {
	if fault.Is(err, KindHeld) {
		after = heldRetryAfter
	}
	switch {
	case c.callerGone.Load():
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case c.maybeRan > 0 && c.remaining() <= 0:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case c.maybeRan > 0:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, after)
	}
	c.countOutcome("failed_" + strconv.Itoa(ctx.Response.StatusCode()))
	c.s.log.Warn("Failed.", "id", c.req.ID, "route", c.route.Name, "status", ctx.Response.StatusCode(), "err", err,
		"tokens", c.req.Prompt, "sends", c.sends, "ran", c.maybeRan, "left_ms", c.remaining().Milliseconds(), "after_ms", after.Milliseconds(), "lost", c.callerGone.Load())
}

// refuse answers with a status that guarantees that the request did not run, and with a
// Retry-After header if after is positive.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	ctx.SetStatusCode(status)
	if after > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprintf("%.3f", after.Seconds()))
	}
}
