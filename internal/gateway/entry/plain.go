package entry

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// attemptShare is the part of the remaining time that one server has to answer if the request
	// may be sent to another one.
	attemptShare = 0.4
	// minAttemptTime is the least time for a server's answer, if as much remains.
	minAttemptTime = 250 * time.Millisecond
	// maxAnswerBytes is the size limit of an answer of a plain service.
	maxAnswerBytes = 16 << 20
	// maxAnswerWireBytes is the size limit of an answer with its head and framing.
	maxAnswerWireBytes = 2 * maxAnswerBytes
	// plainRetryAfter is the Retry-After when no server of a plain service took the request.
	plainRetryAfter = 150 * time.Millisecond
)

// plainAnswer is a server's complete answer.
type plainAnswer struct {
	upstream string
	exchange *httpconn.Exchange // has the head; closed after the answer is relayed or dropped
	body     []byte
	memory   answerMemory
}

// release closes the exchange and frees the memory of the body.
func (a *plainAnswer) release() {
	a.exchange.Close()
	a.memory.hold(0)
}

func (a *plainAnswer) status() int { return a.exchange.Status() }

// failed reports whether the server answered with a 5xx status.
func (a *plainAnswer) failed() bool { return a.status() >= fasthttp.StatusInternalServerError }

// servePlain sends a request to servers of its service until one answers. A server's 5xx answer
// is relayed only if no other server answers better.
func (c *call) servePlain(ctx *fasthttp.RequestCtx) {
	var fallback *plainAnswer
	drop := func() {
		if fallback != nil {
			fallback.release()
		}
	}
	for {
		a, err := c.ask()
		switch {
		case err == nil && a.failed() && c.takePlainRetry(fail("answer", KindUnknown, nil)):
			c.s.log.Warn("A server failed.", "id", c.req.ID, "upstream", a.upstream, "status", a.status())
			drop()
			fallback = a
		case err == nil:
			drop()
			c.relay(ctx, a)
			return
		case fault.Is(err, KindRefused) || fault.Is(err, KindHeld):
			c.endPlain(ctx, fallback, err)
			return
		case c.takePlainRetry(err):
		case fallback == nil && c.expectsServers() && c.takeLaterRetry(err):
			pause.For(c.ctx, takeoverRetryDelay)
			c.forgetUnsent()
		default:
			c.endPlain(ctx, fallback, err)
			return
		}
	}
}

// ask sends the request to a server and returns its answer. The kind of an error is KindRefused if there
// is no server, KindHeld if servers crash on the request, or that of fetch.
func (c *call) ask() (*plainAnswer, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel() // by then the body is complete, or of no use
	watch, held := c.s.quarantine.Watch(nil, c.digest, cancel)
	if watch == nil {
		return nil, fail("admit", KindHeld, fmt.Errorf("servers crash on request %s", held))
	}
	k := c.pick()
	if k == nil {
		watch.End(false)
		return nil, fail("pick", KindRefused, errNoServer)
	}
	c.tried[k.Name()] = true
	c.s.log.Info("Sent.", "id", c.req.ID, "digest", c.digest, "workspace", c.workspace, "route", c.route.Name, "upstream", k.Name(), "detour", c.s.reach.HasDetour(k.Address()), "once", c.route.Repeat != route.Idempotent,
		"left_ms", c.remaining().Milliseconds())
	sent := time.Now()
	watch.Sent()
	a, err := c.fetch(ctx, cancel, k)
	c.s.sched.DonePick(c.service, k, c.outcome(k, watch, a, err))
	watch.End(err == nil && !a.failed())
	if err == nil {
		return a, nil
	}
	c.checkCrash(crashCheck{attempt: watch, upstream: k.Name(), address: k.Address(), suspect: true}, err)
	c.s.log.Warn("A server did not answer.", "id", c.req.ID, "digest", c.digest, "upstream", k.Name(), "took_ms", time.Since(sent).Milliseconds(), "err", err)
	if fault.Is(err, KindUnsent) {
		c.unsent = append(c.unsent, k.Name())
	}
	return nil, heldOr(watch, err)
}

// expectsServers reports whether a request that may have run, and so can't be refused, has time left to
// ask the servers again that took no connection: a sound one may be silent for a moment.
func (c *call) expectsServers() bool {
	return c.ctx.Err() == nil && c.maybeRan > 0 && len(c.unsent) > 0 && c.mayAskAnother(c.sends, c.maybeRan) &&
		c.remaining() > takeoverRetryDelay+minAttemptTime
}

// takeLaterRetry reports whether the request, which may have run, may be sent once more. What a server
// took no connection for uses the retry that was taken for it.
func (c *call) takeLaterRetry(err error) bool {
	return fault.Is(err, KindUnsent) || c.s.sched.TakeRetry(c.service)
}

// takePlainRetry reports whether the request may be sent to another server. It takes nothing
// from the retry budget if there is no other server.
func (c *call) takePlainRetry(err error) bool {
	return c.s.sched.HasUntried(c.service, c.tried, c.homes) && c.takeRetry(err)
}

// endPlain relays fallback, a server's 5xx answer, or refuses if it is nil.
func (c *call) endPlain(ctx *fasthttp.RequestCtx, fallback *plainAnswer, err error) {
	if fallback == nil {
		after := plainRetryAfter
		if c.s.sched.LacksUpstreams(c.service, c.homes) {
			after = noUpstreamRetryAfter
		}
		c.refuse(ctx, err, after)
		return
	}
	c.s.log.Info("No other server answered better; relaying a failure.", "id", c.req.ID, "err", err)
	c.relay(ctx, fallback)
}

// fetch sends the request to a server and reads the complete answer. cancel ends ctx.
func (c *call) fetch(ctx context.Context, cancel context.CancelFunc, k *plain.Pick) (*plainAnswer, error) {
	limit := c.remaining()
	if c.mayAskAnother(c.sends+1, c.maybeRan+1) {
		stop := c.giveUpAfter(min(limit, max(minAttemptTime, time.Duration(attemptShare*float64(limit)))), cancel)
		defer stop()
	}
	until := time.Now().Add(limit)
	x, _, err := c.attempt(ctx, k.Address(), platform.Attempt{Instance: k.Name(), Urgency: c.urgency()}, limit, maxAnswerWireBytes)
	if err != nil {
		return nil, err
	}
	a := &plainAnswer{upstream: k.Name(), exchange: x, memory: answerMemory{of: c.s.bodies}}
	size := 0
	a.body, err = x.ReadAll(maxAnswerBytes, until, func(n int) bool {
		size += n
		return a.memory.hold(size)
	})
	if err != nil {
		a.release()
		c.countTooLarge(err)
		return nil, fail("read", KindUnknown, err)
	}
	return a, nil
}

// giveUpAfter calls abort after the given time, once another server takes the request: a sound one may
// be silent for a moment. The returned function ends that.
func (c *call) giveUpAfter(limit time.Duration, abort func()) (stop func()) {
	answered, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTimer(limit)
		defer t.Stop()
		for {
			select {
			case <-answered:
				return
			case <-t.C:
			}
			if c.hasRetry() && c.s.sched.HasReachable(c.service, c.tried, c.homes) {
				abort()
				return
			}
			t.Reset(unreachablePollInterval)
		}
	}()
	return func() {
		close(answered)
		<-done
	}
}

func (c *call) outcome(k *plain.Pick, watch *quarantine.Attempt, a *plainAnswer, err error) plain.Outcome {
	switch {
	case err == nil && a.failed():
		return plain.Failed
	case err == nil && (a.status() >= fasthttp.StatusBadRequest || c.s.reach.HasDetour(k.Address())):
		return plain.Untimed // an error is faster than an answer, a detour slower than the server
	case err == nil:
		return plain.Answered
	case takesNothingNew(err):
		return plain.CallerLeft // it says nothing about the server
	case c.callerGone.Load() || watch.Aborted():
		return plain.CallerLeft
	default:
		return plain.Failed
	}
}

// promisesNotRun reports whether a status tells the caller that the request did not run. It is not
// passed on from a server, which would have marked such an answer.
func promisesNotRun(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusRequestTimeout
}

// relay passes a server's answer to the caller.
func (c *call) relay(ctx *fasthttp.RequestCtx, a *plainAnswer) {
	if promisesNotRun(a.status()) {
		a.release()
		c.refuse(ctx, fail("answer", KindUnknown, nil), 0)
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, a.exchange.Header())
	a.exchange.Close()
	ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(a.body), release: a.release}, len(a.body))
	c.countOutcome("answered")
	c.s.log.Info("Answered.", "id", c.req.ID, "route", c.route.Name, "upstream", a.upstream, "status", a.status(),
		"took_ms", time.Since(c.arrived).Milliseconds(), "sends", c.sends, "version", c.version)
}
