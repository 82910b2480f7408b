package entry

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// tryShare is the share of the time left that one server has to answer a request
	// that may go to another one.
	tryShare = 0.4
	// minTry is the least time that a server has, where more is left.
	minTry = 250 * time.Millisecond
	// maxAnswer is the longest answer of a plain service, in bytes.
	maxAnswer = 16 << 20
	// busyRetry is when to come back after a plain service refused.
	busyRetry = 150 * time.Millisecond
)

// whole is a server's whole answer.
type whole struct {
	upstream string
	x        *httpconn.Exchange // its head; closed once the answer is passed on or dropped
	body     []byte
}

func (a *whole) status() int { return a.x.Status() }

// failed reports a failure of the server's own.
func (a *whole) failed() bool { return a.status() >= fasthttp.StatusInternalServerError }

// servePlain sends a request to servers of its service until one answers. A failure of a
// server's own is the answer where no other server does better.
func (c *call) servePlain(ctx *fasthttp.RequestCtx) {
	var kept *whole
	drop := func() {
		if kept != nil {
			kept.x.Close()
		}
	}
	for {
		k := c.s.belief.Pick(c.service, c.tried)
		if k == nil {
			c.endPlain(ctx, kept, fail("pick", KindRefused, errNoServer))
			return
		}
		c.tried[k.Name()] = true
		c.s.log.Info("Sent.", "id", c.req.ID, "route", c.route.Name, "upstream", k.Name(), "once", c.route.Repeat != route.Idempotent,
			"left_ms", c.left().Milliseconds())
		sent := time.Now()
		a, err := c.fetch(k)
		c.s.belief.DonePick(c.service, k, c.outcome(a, err))
		switch {
		case err == nil && a.failed() && c.againPlain(fail("answer", KindUnknown, nil)):
			c.s.log.Warn("A server failed.", "id", c.req.ID, "upstream", k.Name(), "status", a.status())
			drop()
			kept = a
			continue
		case err == nil:
			drop()
			c.relay(ctx, a)
			return
		}
		c.s.log.Warn("A server did not answer.", "id", c.req.ID, "upstream", k.Name(), "took_ms", time.Since(sent).Milliseconds(), "err", err)
		if !c.againPlain(err) {
			c.endPlain(ctx, kept, err)
			return
		}
	}
}

// againPlain reports whether the request may be sent to another server, where one is left:
// the retry budget is asked for nothing else.
func (c *call) againPlain(err error) bool {
	return c.s.belief.Others(c.service, c.tried) && c.again(err)
}

// endPlain answers with a server's own failure where there is one, and else refuses.
func (c *call) endPlain(ctx *fasthttp.RequestCtx, kept *whole, err error) {
	if kept == nil {
		c.refuse(ctx, err, busyRetry)
		return
	}
	c.s.log.Info("No other server does better.", "id", c.req.ID, "err", err)
	c.relay(ctx, kept)
}

// fetch sends the request to a server and reads the whole answer.
func (c *call) fetch(k *plain.Pick) (*whole, error) {
	limit := c.left()
	if c.route.Repeat == route.Idempotent && c.ran+1 < c.route.Attempts {
		limit = min(limit, max(minTry, time.Duration(tryShare*float64(limit))))
	}
	x, _, err := c.attempt(c.ctx, k.Address(), platform.Attempt{Instance: k.Name(), Urgency: c.route.Priority}, limit)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer))
	if err == nil && x.Header().ContentLength() >= 0 && len(body) != x.Header().ContentLength() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.Close()
		return nil, fail("read", KindUnknown, err)
	}
	return &whole{upstream: k.Name(), x: x, body: body}, nil
}

func (c *call) outcome(a *whole, err error) plain.Outcome {
	switch {
	case err == nil && a.failed():
		return plain.Failed
	case err == nil:
		return plain.Answered
	case c.lost.Load():
		return plain.CallerLeft
	default:
		return plain.Failed
	}
}

// relay answers with a server's whole answer. A status that promises that the
// request did not run is the server's to give only with its word for it.
func (c *call) relay(ctx *fasthttp.RequestCtx, a *whole) {
	defer a.x.Close()
	switch a.status() {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout:
		c.refuse(ctx, fail("answer", KindUnknown, nil), 0)
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, a.x.Header())
	ctx.Response.SetBodyRaw(a.body)
	c.count("answered")
	c.s.log.Info("Answered.", "id", c.req.ID, "route", c.route.Name, "upstream", a.upstream, "status", a.status(),
		"took_ms", time.Since(c.arrived).Milliseconds(), "sends", c.sends, "version", c.version)
}
