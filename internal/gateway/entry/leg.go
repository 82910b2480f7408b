package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	readSize = 8 << 10 // bytes
	// readsAhead is how many reads of an engine wait for a slow caller.
	readsAhead = 4
	// cutSilence is the least silence after which an engine that can't be connected to is not
	// waited for: three passes. An engine that is leaving may take no connections any more and
	// go on with its streams, so that silence has to be longer than usual, too: than the route
	// allows, or than cutFactor times what was predicted. lookEvery is how often that is looked at.
	cutSilence = 200 * time.Millisecond
	cutFactor  = 1.5
	lookEvery  = 50 * time.Millisecond
)

// leg is a stream's time at one engine, from its place there to its end.
type leg struct {
	c      *call
	ticket *passes.Ticket
	held   *held // memory that helpers set aside; nil where they need not
	x      *httpconn.Exchange
	split  splitter
	reads  chan read
	stop   chan struct{}
	cancel context.CancelFunc // ends the exchange; nil before it was sent
	begun  bool               // something of its answer came
	over   bool
}

// read is what one read of an engine brought.
type read struct {
	data []byte
	err  error
}

var errSilent = errors.New("nothing came in time")

// name returns the name of the engine that writes.
func (l *leg) name() string {
	name, _ := l.ticket.Engine()
	return name
}

// due is when the next event of a stream is due.
type due struct {
	from   time.Time
	target time.Duration // from then on; 0 where the answer is late already
	leaves time.Time     // when the caller leaves without it; zero: at the deadline
	events int           // that were written already: they are read again, and not written
}

// begin places the request and sends it to engines, to go on behind the last event
// of a splitter. The leg that it returns has answered with a head.
func (c *call) begin(after splitter, d due) (*leg, platform.Answer, error) {
	written := min(d.events*c.engine.Stride, c.req.MaxOutput)
	t, err := c.s.belief.Place(c.ctx, c.service, passes.Job{
		ID: c.req.ID, Tokens: c.req.Prompt + written, MaxTokens: c.req.MaxOutput - written, ExpectedTokens: max(0, c.req.LikelyOutput-written), Bytes: len(c.in.Body()),
		Target: d.target, Gap: c.route.Gap, Arrived: d.from, Deadline: c.deadline, CallerLeavesAt: d.leaves, Begun: d.events > 0, MayHaveRun: c.ran > 0, Tried: c.tried,
	})
	if err != nil {
		return nil, platform.Answer{}, err
	}
	l := &leg{c: c, ticket: t, split: after.next(), reads: make(chan read, readsAhead), stop: make(chan struct{})}
	name, address := t.Engine()
	c.tried[name] = true
	seen := t.Decision()
	c.s.log.Info("Placed.", "id", c.req.ID, "tokens", c.req.Prompt, "upstream", name, "helpers", len(t.Helpers()),
		"predicted_ms", t.Predicted().Milliseconds(), "waited_ms", time.Since(c.arrived).Milliseconds(), "read_ms", t.Read().Milliseconds(),
		"streams", seen.Streams, "ahead_ms", seen.Reads.Milliseconds(), "pass_ms", seen.Pass.Milliseconds(),
		"memory", seen.Memory, "usable", seen.Usable, "others", fmt.Sprint(seen.Others))
	helpers, err := l.reserve(t.Helpers())
	if err != nil {
		delete(c.tried, name) // it was not asked to run anything
		l.close(passes.Outcome{})
		return nil, platform.Answer{}, err
	}
	x, ans, err := l.attempt(address, platform.Attempt{
		Instance: name, Helpers: helpers, Urgency: c.route.Priority, LastEvent: after.text,
	}, l.firstLimit())
	if err == nil && !c.accepts(ans.Status, after.text != "") {
		x.Close()
		err = fail("answer", KindUnknown, errNotWhole)
	}
	if err != nil {
		c.s.log.Warn("An engine did not answer.", "id", c.req.ID, "upstream", name, "status", ans.Status, "fault", ans.Fault, "err", err)
		l.failed(ans.Fault)
		return nil, ans, err
	}
	l.x = x
	go l.run()
	return l, ans, nil
}

// attempt sends the request to the engine that writes. It does not wait for the head of an
// answer that needs an engine that is cut off.
func (l *leg) attempt(address string, a platform.Attempt, limit time.Duration) (*httpconn.Exchange, platform.Answer, error) {
	ctx, cancel := context.WithCancel(l.c.ctx)
	l.cancel = cancel
	headed, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		l.awaitHead(headed, cancel)
	}()
	defer func() {
		close(headed)
		<-watched
	}()
	return l.c.attempt(ctx, address, a, limit)
}

// awaitHead gives up where an engine is cut off before the head came.
func (l *leg) awaitHead(headed <-chan struct{}, giveUp func()) {
	t := time.NewTimer(l.usualSilence())
	defer t.Stop()
	for {
		select {
		case <-headed:
			return
		case <-t.C:
		}
		if l.cutOff() != "" {
			giveUp()
			return
		}
		t.Reset(lookEvery)
	}
}

// accepts reports whether an engine's status is the answer. A failure is no part of
// an answer that has begun; before that it is the answer where the request may not be
// sent once more.
func (c *call) accepts(status int, begun bool) bool {
	if begun {
		return status < fasthttp.StatusMultipleChoices
	}
	return status < fasthttp.StatusInternalServerError || c.route.Repeat != route.Idempotent || c.ran >= c.route.Attempts
}

// firstLimit bounds the wait for a first event by the prediction.
func (l *leg) firstLimit() time.Duration {
	return min(l.c.left(), firstFactor*l.ticket.Predicted()+firstExtra)
}

// reserve sets memory aside at the helpers that hold some, and returns the helpers
// as an attempt names them.
func (l *leg) reserve(list []passes.Helper) ([]string, error) {
	var (
		out  []string
		rest []string
		want []platform.Reservation
	)
	for i, h := range list {
		if h.Tokens == 0 {
			rest = append(rest, h.Address)
			continue
		}
		r := platform.Reservation{ID: fmt.Sprintf("%s-%d-%d", l.c.req.ID, l.c.holds, i), Instance: h.Name, Address: h.Address, Tokens: h.Tokens}
		want = append(want, r)
		out = append(out, r.Helper())
	}
	if len(want) == 0 {
		return rest, nil
	}
	l.c.holds++
	_, writer := l.ticket.Engine()
	h, err := l.c.s.reserve(l.c.ctx, l.c.req.ID, writer, want)
	if err != nil {
		return nil, err
	}
	l.held = h
	return append(out, rest...), nil
}

// run reads the engine's answer until it ends.
func (l *leg) run() {
	defer close(l.reads)
	for {
		buf := make([]byte, readSize)
		n, err := l.x.ReadWithin(buf, max(l.c.left(), minRetry))
		if n > 0 && l.held != nil {
			l.held.heard.Store(true)
		}
		select {
		case l.reads <- read{data: buf[:n], err: err}:
		case <-l.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// next returns the whole events of the next read. It waits no longer than the limit, and
// not for engines that are cut off; errSilent then leaves the leg as it is. io.EOF: the
// answer is whole.
func (l *leg) next(limit time.Duration) ([]byte, error) {
	began := time.Now()
	t := time.NewTimer(min(limit, l.usualSilence()))
	defer t.Stop()
	for {
		select {
		case r, ok := <-l.reads:
			if !ok {
				return nil, fail("read", KindUnknown, io.ErrUnexpectedEOF)
			}
			l.begun = true
			return l.take(r)
		case <-l.c.ctx.Done():
			return nil, fail("read", KindUnknown, l.c.ctx.Err())
		case <-t.C:
		}
		left := limit - time.Since(began)
		if left <= 0 || l.cutOff() != "" {
			return nil, errSilent
		}
		t.Reset(min(left, lookEvery))
	}
}

// usualSilence returns the silence from which an engine may be cut off.
func (l *leg) usualSilence() time.Duration {
	switch {
	case l.begun:
		return max(cutSilence, l.c.route.Gap)
	case l.held != nil: // its memory runs out where the engine can't be connected to
		return cutSilence
	}
	return max(cutSilence, time.Duration(cutFactor*float64(l.ticket.Predicted())))
}

// cutOff returns the address of an engine that the next event needs and that can't be
// connected to, or "": the one that writes, those that hold memory, and before the first
// event all that read.
func (l *leg) cutOff() string {
	cut := l.c.s.belief.cut
	if _, address := l.ticket.Engine(); cut(address) {
		return address
	}
	for _, h := range l.ticket.Helpers() {
		if (h.Tokens > 0 || !l.begun) && cut(h.Address) {
			return h.Address
		}
	}
	return ""
}

// failed closes the leg for a failure of the engine at an address, or where that is not
// told, of one that is cut off or else of the one that writes.
func (l *leg) failed(address string) {
	if address == "" {
		address = l.cutOff()
	}
	l.close(passes.Outcome{Failed: l.c.ctx.Err() == nil, FailedAddress: address})
}

func (l *leg) take(r read) ([]byte, error) {
	out := l.split.add(r.data)
	switch {
	case r.err == nil:
		return out, nil
	case !errors.Is(r.err, io.EOF):
		return out, fail("read", KindUnknown, r.err)
	case len(l.split.rest()) > 0 && l.x.Header().ContentLength() < -1:
		return out, fail("read", KindUnknown, io.ErrUnexpectedEOF) // it has no length, and ends within an event
	default:
		return append(out, l.split.rest()...), io.EOF
	}
}

// close ends the leg. It does nothing the second time.
func (l *leg) close(out passes.Outcome) {
	if l.over {
		return
	}
	l.over = true
	close(l.stop)
	if l.x != nil {
		l.x.Close()
	}
	if l.cancel != nil {
		l.cancel()
	}
	l.c.s.belief.Done(l.c.service, l.ticket, out)
	if l.held != nil {
		l.held.release()
	}
}
