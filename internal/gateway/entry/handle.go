package entry

import (
	"bytes"
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// noConfigRetryAfter is the Retry-After of an entry that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// startupWait is how long after its start an entry delays requests that it can't serve yet.
	// Reading the store takes a tenth of it.
	startupWait = 700 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a leaving entry if others stay: the next connection
	// goes to one of them.
	leavingRetryAfter = 50 * time.Millisecond
	// restartTime is the time from the end of an entry until it serves again: half a second for the
	// platform to restart it and a tenth of a second to read the store.
	restartTime = 700 * time.Millisecond
	// maxPlainTime is an upper bound of the usual time of a plain request.
	maxPlainTime = 1500 * time.Millisecond
	// leavingMargin is reserved between the end of the longest answer to a stream and the stop of the
	// entry, since a sound engine may be silent for a second.
	leavingMargin = 1200 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a time limit.
	defaultTimeout = 30 * time.Second
)

// handle serves a caller's request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerConn) // nil in tests without a connection
	body, err := s.readBody(ctx, conn)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	arrived := time.Now()
	if conn != nil {
		arrived = conn.beginRequest()
	}
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
	if err != nil {
		s.refuseBody(ctx, conn, err)
		return
	}
	s.serve(ctx, conn, body, arrived)
}

// serve serves a request whose body has arrived.
func (s *Server) serve(ctx *fasthttp.RequestCtx, conn *callerConn, body *requestBody, arrived time.Time) {
	if s.stopping.Load() {
		body.release()
		refuse(ctx, fasthttp.StatusServiceUnavailable, s.retryAfter())
		s.log.Warn("Refused.", "id", platform.DecodeRequest(&ctx.Request.Header).ID, "why", "stopping")
		return
	}
	c := s.admit(ctx, body.content, arrived)
	if c == nil {
		body.release()
		return
	}
	if s.refusing.Load() && !s.acceptsWhileLeaving(c) {
		c.cancel()
		body.release()
		after := s.retryAfter()
		refuse(ctx, fasthttp.StatusServiceUnavailable, after)
		s.log.Warn("Refused.", "id", c.req.ID, "why", "leaving", "left_ms", time.Until(s.stopAt).Milliseconds(), "after_ms", after.Milliseconds())
		return
	}
	if conn != nil {
		conn.watch(func() {
			c.callerGone.Store(true)
			c.cancel()
		})
	}
	finish := func() {
		if conn != nil {
			conn.unwatch()
		}
		c.cancel()
		body.release()
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

// retryAfter returns the Retry-After of a leaving entry: short if another entry stays, otherwise
// the time until the first of the leaving entries serves again.
func (s *Server) retryAfter() time.Duration {
	staying, left := s.exchange.Staying()
	if staying {
		return leavingRetryAfter
	}
	servesAt := s.stopAt
	if !left.IsZero() && left.Add(s.cfg.Grace).Before(servesAt) {
		servesAt = left.Add(s.cfg.Grace)
	}
	return max(leavingRetryAfter, time.Until(servesAt.Add(restartTime)))
}

// acceptsWhileLeaving reports whether this leaving entry accepts a request. If another entry can serve it
// instead, its deadline must be before the stop. Otherwise a plain request must be expected to end, and
// a stream gets a time to end by, with which the planner places or refuses it.
func (s *Server) acceptsWhileLeaving(c *call) bool {
	if staying, _ := s.exchange.Staying(); staying {
		return c.deadline.Before(s.stopAt)
	}
	if c.engine == nil {
		return time.Until(s.stopAt) > maxPlainTime
	}
	c.endsBy = s.stopAt.Add(-leavingMargin)
	return true
}

// admit checks a request and returns its call, or nil if the request was answered with a
// refusal.
func (s *Server) admit(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *call {
	h := &ctx.Request.Header
	req := platform.DecodeRequest(h)
	status := 0
	s.sched.AwaitReady(time.Until(s.started.Add(startupWait)))
	t := s.sched.Table()
	switch {
	case !hasSoundFraming(h):
		status = fasthttp.StatusBadRequest
		ctx.SetConnectionClose()
	case t == nil:
		refuse(ctx, fasthttp.StatusServiceUnavailable, noConfigRetryAfter)
		s.log.Warn("Refused.", "id", req.ID, "why", "no configuration is known")
		return nil
	case t.Limits().BodyBytes > 0 && len(body) > t.Limits().BodyBytes:
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
	owner := t.Workspace(req.Key)
	if t.Keyed() && !r.Public && owner == nil {
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		s.log.Warn("Refused.", "id", req.ID, "status", fasthttp.StatusUnauthorized, "why", "key not known", "version", t.Version())
		return nil
	}
	c := &call{
		s: s, callerReq: cloneRequest(h, body), req: req, route: r, service: r.Service(req.ID), version: t.Version(),
		arrived: arrived, tried: map[string]bool{},
	}
	c.setOwner(owner)
	c.digest = c.makeDigest()
	if svc := t.Service(c.service); svc != nil {
		c.engine = svc.Engine
	}
	timeout := defaultTimeout
	if req.Patience > 0 {
		timeout = req.Patience
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	c.deadline = c.arrived.Add(timeout - answerMargin)
	c.ctx, c.cancel = context.WithDeadline(withHomes(s.calls, c.homes), c.deadline)
	s.sched.CountRequest(c.service)
	return c
}

// makeDigest returns an ID of what an upstream gets of the request, whoever's attempt it is: a request
// that is sent again has the same one.
func (c *call) makeDigest() segment.ID {
	r := c.callerReq
	own := binary.BigEndian.AppendUint64(nil, uint64(c.req.OwnSegment))
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(c.workspace), r.Header.Method(), r.Header.Host(), r.Header.RequestURI(), own, r.Body()} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // writing to a hash can't fail
		_, _ = h.Write(part)
	}
	return segment.ID(h.Sum64())
}

// cloneRequest returns a request that outlives the handler, because a stream may be sent again.
// The body is not copied.
func cloneRequest(h *fasthttp.RequestHeader, body []byte) *fasthttp.Request {
	out := &fasthttp.Request{}
	h.CopyTo(&out.Header)
	out.SetBodyRaw(body)
	return out
}

// hasSoundFraming reports whether the framing of a request is unambiguous, which prevents
// request smuggling.
func hasSoundFraming(h *fasthttp.RequestHeader) bool {
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
