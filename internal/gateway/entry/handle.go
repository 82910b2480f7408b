package entry

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// unknownRetry is when to come back to an entry that knows no configuration yet.
	unknownRetry = 300 * time.Millisecond
	// startWait is how long after its start an entry keeps requests that it can't serve
	// yet: reading the store takes a tenth of it.
	startWait = 700 * time.Millisecond
	// leavingRetry is when to come back after a refusal of an entry that leaves: the
	// next connection goes to another one, where one stays.
	leavingRetry = 50 * time.Millisecond
	// restartTime is the time from the end of an entry until it serves again: the platform
	// takes half a second, the entry reads the store in a tenth.
	restartTime = 700 * time.Millisecond
	// plainTime is more than a plain service takes, and leavingMargin is kept before a
	// leaving entry stops.
	plainTime     = 1500 * time.Millisecond
	leavingMargin = 500 * time.Millisecond
	// defaultPatience stands for callers and routes that tell no time limit.
	defaultPatience = 30 * time.Second
)

// handle serves a request of a caller.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	conn, _ := ctx.Conn().(*callerConn) // nil in tests without a connection
	arrived := time.Now()
	if conn != nil {
		arrived = conn.begin()
	}
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
	if s.stopping.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, s.comeBack())
		s.log.Warn("Refused.", "id", platform.DecodeRequest(&ctx.Request.Header).ID, "why", "stopping")
		return
	}
	c := s.admit(ctx, arrived)
	if c == nil {
		return
	}
	if s.refusing.Load() && !c.fits(time.Until(s.end)) {
		c.cancel()
		after := s.comeBack()
		refuse(ctx, fasthttp.StatusServiceUnavailable, after)
		s.log.Warn("Refused.", "id", c.req.ID, "why", "leaving", "left_ms", time.Until(s.end).Milliseconds(), "after_ms", after.Milliseconds())
		return
	}
	if conn != nil {
		conn.watch(func() {
			c.lost.Store(true)
			c.cancel()
		})
	}
	finish := func() {
		if conn != nil {
			conn.release()
		}
		c.cancel()
	}
	if c.engine != nil {
		s.streams.Add(1)
		c.serveStream(ctx, func() {
			finish()
			s.streams.Add(-1)
		})
		return
	}
	c.servePlain(ctx)
	finish()
}

// comeBack returns when a caller that a leaving entry refuses should come back: at once
// where another entry stays, and else when the first of those that leave serves again.
func (s *Server) comeBack() time.Duration {
	staying, left := s.exchange.Staying()
	if staying {
		return leavingRetry
	}
	back := s.end
	if !left.IsZero() && left.Add(s.cfg.Grace).Before(back) {
		back = left.Add(s.cfg.Grace)
	}
	return max(leavingRetry, time.Until(back.Add(restartTime)))
}

// fits reports whether a request that an entry takes while it is leaving is over
// before it stops.
func (c *call) fits(left time.Duration) bool {
	if c.engine == nil {
		return left > plainTime
	}
	return left > leavingMargin+c.route.Target+c.engine.Write(c.req.MaxOutput, c.engine.Pass(c.engine.Slots, 0))
}

// admit returns the call of a request that may be served, or nil where it is answered.
func (s *Server) admit(ctx *fasthttp.RequestCtx, arrived time.Time) *call {
	h := &ctx.Request.Header
	req := platform.DecodeRequest(h)
	status := 0
	s.belief.AwaitReady(time.Until(s.started.Add(startWait)))
	t := s.belief.Table()
	switch {
	case !sound(h):
		status = fasthttp.StatusBadRequest
		ctx.SetConnectionClose()
	case t == nil:
		refuse(ctx, fasthttp.StatusServiceUnavailable, unknownRetry)
		s.log.Warn("Refused.", "id", req.ID, "why", "no configuration is known")
		return nil
	case t.Limits().BodyBytes > 0 && len(ctx.Request.Body()) > t.Limits().BodyBytes:
		status = fasthttp.StatusRequestEntityTooLarge
	}
	if status != 0 {
		ctx.SetStatusCode(status)
		s.log.Warn("Refused.", "id", req.ID, "status", status, "why", "not a proper request")
		return nil
	}
	r := t.Match(string(h.Host()), string(h.RequestURI()))
	if r == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		s.log.Warn("Refused.", "id", req.ID, "status", fasthttp.StatusNotFound, "why", "no route", "version", t.Version())
		return nil
	}
	workspace, known := t.Workspace(req.Key)
	if t.Keyed() && !r.Public && !known {
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		s.log.Warn("Refused.", "id", req.ID, "status", fasthttp.StatusUnauthorized, "why", "key not known", "version", t.Version())
		return nil
	}
	c := &call{
		s: s, in: copyOf(&ctx.Request), req: req, route: r, service: r.Service(req.ID), workspace: workspace, version: t.Version(),
		arrived: arrived, tried: map[string]bool{},
	}
	if svc := t.Service(c.service); svc != nil {
		c.engine = svc.Engine
	}
	patience := defaultPatience
	if req.Patience > 0 {
		patience = req.Patience
	}
	if r.Timeout > 0 {
		patience = min(patience, r.Timeout)
	}
	c.deadline = c.arrived.Add(patience - lateMargin)
	c.ctx, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	s.belief.First(c.service)
	return c
}

// copyOf returns a copy that outlives the handler: a stream may be sent once more.
func copyOf(req *fasthttp.Request) *fasthttp.Request {
	out := &fasthttp.Request{}
	req.CopyTo(out)
	return out
}

// sound reports whether a request's framing can be read in one way only.
func sound(h *fasthttp.RequestHeader) bool {
	lengths, codings, hosts := 0, 0, 0
	lines := bytes.Split(h.RawHeaders(), []byte("\n"))
	for _, line := range lines {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\x00") || bytes.ContainsAny(value, "\r\x00") {
			return false
		}
		value = bytes.Trim(value, " \t")
		switch string(bytes.ToLower(name)) {
		case "content-length":
			lengths++
			if _, err := strconv.ParseUint(string(value), 10, 63); err != nil {
				return false
			}
		case "transfer-encoding":
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return false
			}
		case "host":
			hosts++
		}
	}
	return lengths <= 1 && codings <= 1 && lengths+codings <= 1 && hosts == 1
}
