package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	readBufferBytes = 8 << 10
	// maxQuietBytes is the most that an engine may send without an event: comments and framing
	// count, and an event in progress.
	maxQuietBytes = 2 * maxEventBytes
	// readQueueLen is how many reads of an engine are buffered for a slow caller.
	readQueueLen = 4
	// An engine that can't be connected to is given up only after a silence of
	// minUnreachableSilence, which is three passes. A leaving engine may refuse connections and
	// continue its streams, so the silence must also exceed the usual one: the gap that the route
	// allows, or unreachableSilenceFactor times the predicted time. After that reachability is
	// checked every unreachablePollInterval.
	minUnreachableSilence    = 200 * time.Millisecond
	unreachableSilenceFactor = 1.5
	unreachablePollInterval  = 50 * time.Millisecond
	minTimer                 = time.Millisecond
	// unframed is the length of an answer that ends with its connection.
	unframed = -2
)

// engineStream is the part of a stream that one engine serves, from its placement to its end.
type engineStream struct {
	c        *call
	ticket   *passes.Ticket
	timing   eventTiming // of the first event
	watch    *quarantine.Attempt
	lease    *memoryLease // reserved at helpers; nil if none is needed
	exchange *httpconn.Exchange
	splitter splitter
	reads    chan readResult
	stop     chan struct{}
	cancel   context.CancelFunc // ends the exchange
	started  bool               // some of the answer arrived
	received bool               // some of its body arrived
	events   int
	err      error // the answer is not sound; kept, as more of it may follow
	closed   bool
	silent   *engineStream // the stream that this one is to relieve; nil if it is the first
	backlog  []readResult  // received by goesOn and not consumed yet
	memory   answerMemory  // of all that was received and that the caller has not read
	unread   int           // bytes of blocks that the caller may not have read
}

// readResult is the result of one read from an engine.
type readResult struct {
	data []byte
	err  error
}

var (
	errSilent  = errors.New("no data arrived in time")
	errResumed = errors.New("the silent engine goes on")
)

// engineName returns the name of the engine that generates the answer.
func (es *engineStream) engineName() string {
	name, _ := es.ticket.Engine()
	return name
}

// eventTiming is the timing of the next event of a stream.
type eventTiming struct {
	since          time.Time
	target         time.Duration // objective after since; 0 if the answer is late already
	callerLeavesAt time.Time     // when the caller leaves if no event comes; zero means at the deadline
	delivered      int           // events already passed to the caller, which an engine that resumes reads with the prompt
}

// startOnEngine places the request and sends it to the engine, to continue after the last event
// of the splitter. The head of the answer has been read when it returns. It gives up if the silent
// stream that it is to relieve, if any, goes on. Errors are those of Place, reserve and attempt.
func (c *call) startOnEngine(after splitter, timing eventTiming, silent *engineStream) (*engineStream, platform.Answer, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	watch, held := c.s.quarantine.Watch(c.req.Segments, c.digest, cancel)
	if watch == nil {
		cancel()
		return nil, platform.Answer{}, fail("admit", KindHeld, fmt.Errorf("engines crash on segment %s", held))
	}
	t, err := c.s.sched.Place(ctx, c.service, c.job(timing, c.maybeRan > 0))
	if err != nil {
		cancel()
		watch.End(false)
		return nil, platform.Answer{}, heldOr(watch, err)
	}
	es := &engineStream{c: c, ticket: t, timing: timing, watch: watch, cancel: cancel, silent: silent, splitter: after.resume(), reads: make(chan readResult, readQueueLen), stop: make(chan struct{}), memory: answerMemory{of: c.s.bodies}}
	name, address := t.Engine()
	c.tried[name] = true
	load := t.Decision()
	c.s.log.Info("Placed.", "id", c.req.ID, "digest", c.digest, "workspace", c.workspace, "segments", c.req.Segments.String(), "tokens", c.req.Prompt, "upstream", name, "detour", c.s.reach.HasDetour(address), "helpers", len(t.Helpers()),
		"predicted_ms", t.Predicted().Milliseconds(), "waited_ms", time.Since(c.arrived).Milliseconds(), "read_ms", t.Read().Milliseconds(),
		"streams", load.Streams, "ahead_ms", load.Reads.Milliseconds(), "pass_ms", load.Pass.Milliseconds(),
		"memory", load.Memory, "usable", load.Usable, "shared", load.Shared, "others", fmt.Sprint(load.Others))
	helpers, err := es.reserve(t.Helpers())
	if err != nil {
		delete(c.tried, name) // it was not sent
		c.s.sched.warmup.Return(name)
		es.close(passes.Outcome{})
		return nil, platform.Answer{}, err
	}
	watch.Sent()
	x, ans, err := es.attempt(ctx, address, platform.Attempt{
		Instance: name, Helpers: helpers, Urgency: c.urgency(), LastEvent: after.lastID,
	}, c.mayAskAnother(c.sends+1, c.maybeRan+1))
	if fault.Is(err, KindUnsent) {
		c.unsent = append(c.unsent, name)
	}
	if err == nil && !c.accepts(ans.Status, after.lastID != "") {
		x.Close()
		err = fail("answer", KindUnknown, errInvalidAnswer)
	}
	if err != nil {
		es.checkCrash(err, false)
		err = heldOr(watch, err)
		c.s.log.Warn("An engine did not answer.", "id", c.req.ID, "upstream", name, "segments", c.req.Segments.String(), "status", ans.Status, "fault", ans.Fault, "err", err)
		es.failUnless(takesNothingNew(err), ans.Fault)
		return nil, ans, err
	}
	es.exchange, es.splitter.anything = x, ans.Status >= fasthttp.StatusMultipleChoices
	go es.readLoop()
	return es, ans, nil
}

// job returns the request as the planner takes it.
func (c *call) job(timing eventTiming, mayHaveRun bool) passes.Job {
	written := min(timing.delivered*c.engine.Stride, c.req.MaxOutput)
	return passes.Job{
		ID: c.req.ID, Tokens: c.req.Prompt + written, MaxTokens: c.req.MaxOutput - written, ExpectedTokens: max(0, c.req.LikelyOutput-written), Bytes: len(c.callerReq.Body()),
		Target: timing.target, Gap: c.route.Gap, Arrived: timing.since, Deadline: c.deadline, CallerLeavesAt: timing.callerLeavesAt, EndsBy: c.endsBy, Allows: c.s.sched.allows(c.homes), Begun: timing.delivered > 0, MayHaveRun: mayHaveRun, Tried: c.tried,
	}
}

// othersTake reports whether a retry is left and engines that were not tried take the prompt.
func (es *engineStream) othersTake() bool {
	return es.c.hasRetry() && es.c.s.sched.Admits(es.c.service, es.c.job(es.timing, true))
}

// attempt sends the request to the engine that generates the answer. If another one may be asked
// after it, it stops waiting for the head as awaitHead does.
func (es *engineStream) attempt(ctx context.Context, address string, a platform.Attempt, another bool) (*httpconn.Exchange, platform.Answer, error) {
	headRead, watcherDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watcherDone)
		es.awaitHead(headRead, es.cancel, another)
	}()
	defer func() {
		close(headRead)
		<-watcherDone
	}()
	return es.c.attempt(ctx, address, a, es.c.remaining(), maxQuietBytes)
}

// awaitHead calls abort before the head arrives if the silent engine goes on. If another engine
// may be asked and takes the prompt, it also does so once a needed engine is unreachable or the head
// took too long: a sound engine may be silent for a moment. A prompt that holds memory elsewhere
// doesn't wait longer, whether another one takes it or not.
func (es *engineStream) awaitHead(headRead <-chan struct{}, abort func(), another bool) {
	until := time.Now().Add(es.firstEventTimeout(another))
	delay := es.unreachableCheckDelay()
	if es.silent != nil {
		delay = unreachablePollInterval
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	for {
		select {
		case <-headRead:
			return
		case <-t.C:
		}
		late := another && time.Now().After(until)
		overdue := late || another && es.unreachableEngine() != ""
		if es.silentGoesOn() || late && es.lease != nil || overdue && es.othersTake() {
			abort()
			return
		}
		t.Reset(unreachablePollInterval)
	}
}

// accepts reports whether a response with the status is passed to the caller. A failure can't be
// part of a resumed answer. Otherwise it is the answer if the request may not be sent again.
func (c *call) accepts(status int, resumed bool) bool {
	if promisesNotRun(status) {
		return false
	}
	if resumed {
		return status == fasthttp.StatusOK
	}
	return status < fasthttp.StatusInternalServerError || !c.mayRunAgain(c.maybeRan)
}

// heldOr returns err, or that of a held prompt if the attempt was aborted because of that.
func heldOr(watch *quarantine.Attempt, err error) error {
	if watch.Aborted() {
		return fail("read", KindHeld, err)
	}
	return err
}

// silentGoesOn reports whether the engine that this one is to relieve has sent an event since.
func (es *engineStream) silentGoesOn() bool { return es.silent != nil && es.silent.goesOn() }

// receive moves what has arrived to the backlog, as long as there is memory.
func (es *engineStream) receive() {
	for es.hold() {
		select {
		case r, ok := <-es.reads:
			if !ok {
				return
			}
			es.backlog = append(es.backlog, r)
		default:
			return
		}
	}
}

// goesOn reports whether a further event has arrived. It keeps what it receives for next.
func (es *engineStream) goesOn() bool {
	es.receive()
	probe := es.splitter
	probe.buf = slices.Clone(probe.buf)
	for _, r := range es.backlog {
		if _, events, err := probe.add(r.data); events > 0 || err != nil {
			return err == nil
		}
	}
	return false
}

// ended reports whether the backlog has the end of the answer.
func (es *engineStream) ended() bool {
	return len(es.backlog) > 0 && es.backlog[len(es.backlog)-1].err != nil
}

// firstEventTimeout limits the wait for the first event by its prediction if another attempt is
// allowed after this one. The last attempt is waited for as long as the caller waits.
func (es *engineStream) firstEventTimeout(another bool) time.Duration {
	if !another {
		return es.c.remaining()
	}
	return min(es.c.remaining(), firstEventFactor*es.ticket.Predicted()+firstEventSlack)
}

// reserve reserves memory at the helpers that need some, and returns all helpers in the form
// that an attempt sends. It fails if an engine was evacuated since it was chosen.
func (es *engineStream) reserve(list []passes.Helper) ([]string, error) {
	var (
		out           []string
		withoutMemory []string
		reservations  []platform.Reservation
	)
	if es.needsEvacuated() {
		return nil, fail("reserve", KindLease, errEvacuated)
	}
	for i, h := range list {
		if h.Tokens == 0 {
			withoutMemory = append(withoutMemory, h.Address)
			continue
		}
		r := platform.Reservation{ID: fmt.Sprintf("%s-%d-%d", es.c.req.ID, es.c.leaseCount, i), Instance: h.Name, Address: h.Address, Tokens: h.Tokens}
		reservations = append(reservations, r)
		out = append(out, r.Helper())
	}
	if len(reservations) == 0 {
		return withoutMemory, nil
	}
	es.c.leaseCount++
	_, writer := es.ticket.Engine()
	lease, err := es.c.s.reserve(es.c.ctx, es.c.req.ID, writer, reservations)
	if err != nil {
		return nil, err
	}
	es.lease = lease
	return append(out, withoutMemory...), nil
}

// readLoop reads the engine's answer until it ends.
func (es *engineStream) readLoop() {
	defer close(es.reads)
	for {
		buf := make([]byte, readBufferBytes)
		n, err := es.exchange.ReadWithin(buf, max(es.c.remaining(), minRetryTime))
		if n > 0 && es.lease != nil {
			es.lease.writerActive.Store(true)
		}
		select {
		case es.reads <- readResult{data: buf[:n], err: err}:
		case <-es.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// next returns the complete blocks of the next read, and the number of events among them. It
// returns errSilent, and leaves the stream open, at the given time unless an event or the end of the
// answer has arrived, or sooner if a needed engine is unreachable. io.EOF means that the answer is
// complete.
func (es *engineStream) next(until time.Time) (blocks []byte, events int, err error) {
	if es.err != nil {
		return nil, 0, es.err
	}
	if !time.Now().Before(until) && !es.goesOn() && !es.ended() {
		return nil, 0, errSilent // also while bytes that are no event keep coming
	}
	if len(es.backlog) > 0 {
		r := es.backlog[0]
		es.backlog = es.backlog[1:]
		return es.consume(r)
	}
	t := time.NewTimer(max(minTimer, min(time.Until(until), es.unreachableCheckDelay())))
	defer t.Stop()
	for {
		select {
		case r, ok := <-es.reads:
			if !ok {
				return nil, 0, fail("read", KindUnknown, io.ErrUnexpectedEOF)
			}
			es.started = true
			return es.consume(r)
		case <-es.c.ctx.Done():
			return nil, 0, fail("read", KindUnknown, es.c.ctx.Err())
		case <-t.C:
		}
		left := time.Until(until)
		if left <= 0 || es.unreachableEngine() != "" {
			return nil, 0, errSilent
		}
		if !es.started && es.silentGoesOn() {
			return nil, 0, errResumed
		}
		t.Reset(min(left, unreachablePollInterval))
	}
}

// unreachableCheckDelay returns the silence after which unreachable engines are given up.
func (es *engineStream) unreachableCheckDelay() time.Duration {
	switch {
	case es.started:
		return max(minUnreachableSilence, es.c.route.Gap)
	case es.lease != nil: // the lease expires if the engine is unreachable
		return minUnreachableSilence
	}
	return max(minUnreachableSilence, time.Duration(unreachableSilenceFactor*float64(es.ticket.Predicted())))
}

// unreachableEngine returns the address of an unreachable engine that the next event needs, or
// "". Needed are the writer, the helpers that hold memory, and before the first event all
// helpers.
func (es *engineStream) unreachableEngine() string {
	unreachable := es.c.s.sched.unreachable
	if _, address := es.ticket.Engine(); unreachable(address) {
		return address
	}
	for _, h := range es.ticket.Helpers() {
		if (h.Tokens > 0 || !es.started) && unreachable(h.Address) {
			return h.Address
		}
	}
	return ""
}

// fail closes the stream after a failure of the engine at address. If address is "", the failure
// is that of an unreachable engine if there is one, and otherwise of the writer. None has failed
// where the caller left or the silent engine goes on.
func (es *engineStream) fail(address string) {
	if address == "" {
		address = es.unreachableEngine()
	}
	es.close(passes.Outcome{Failed: es.c.ctx.Err() == nil && !es.silentGoesOn() && !es.watch.Aborted(), FailedAddress: address})
}

// failUnless is fail, or closes the stream without a failure of an engine if spared is set.
func (es *engineStream) failUnless(spared bool, address string) {
	if spared {
		es.close(passes.Outcome{})
		return
	}
	es.fail(address)
}

// hold takes the memory of all that is buffered, and reports whether there is enough.
func (es *engineStream) hold() bool {
	n := cap(es.splitter.buf) + es.unread
	for _, r := range es.backlog {
		n += len(r.data)
	}
	return es.memory.hold(n)
}

func (es *engineStream) consume(r readResult) (blocks []byte, events int, err error) {
	defer func() {
		if err != nil && !errors.Is(err, io.EOF) {
			es.err = err
		}
	}()
	out, events, err := es.splitter.add(r.data)
	es.received = es.received || len(r.data) > 0
	if es.events += events; events > 0 {
		es.exchange.Progress()
		es.unread = 0 // the caller has read the blocks before this read
	}
	es.unread += len(out)
	if err == nil && !es.hold() {
		err = fail("read", KindTooLarge, errNoMemory)
	}
	rest := es.splitter.remainder()
	switch {
	case err != nil:
		es.c.countTooLarge(err)
		return out, events, err
	case r.err == nil:
		return out, events, nil
	case !errors.Is(r.err, io.EOF):
		es.c.countTooLarge(r.err)
		return out, events, fail("read", KindUnknown, r.err)
	case (len(rest) > 0 || es.lacksEvents()) && !es.splitter.anything:
		return out, events, fail("read", KindUnknown, io.ErrUnexpectedEOF)
	case len(rest) > 0:
		return append(out, rest...), events + 1, io.EOF
	default:
		return out, events, io.EOF
	}
}

// lacksEvents reports whether an answer that has ended has no event though it should: only an empty
// one whose end is framed says that nothing is left.
func (es *engineStream) lacksEvents() bool {
	return es.events == 0 && (es.received || es.exchange.Header().ContentLength() == unframed)
}

// close ends the stream at the engine. Further calls do nothing.
func (es *engineStream) close(out passes.Outcome) {
	if es.closed {
		return
	}
	es.closed = true
	close(es.stop)
	if es.exchange != nil {
		es.exchange.Close()
	}
	es.cancel()
	es.splitter.buf, es.backlog = nil, nil
	es.memory.hold(0)
	es.watch.End(out.Answered && !es.splitter.anything)
	es.c.s.sched.Done(es.c.service, es.ticket, out)
	if es.lease != nil {
		es.lease.release()
	}
}
