package scheduler

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
)

const (
	// sampledEngines is how many random engines are compared for a prompt that is not big.
	sampledEngines = 2
	// maxScannedEngines bounds the cost of a decision in a large fleet.
	maxScannedEngines = 64
	// spillWait is the wait above which engines of other failure domains are considered.
	spillWait = 50 * time.Millisecond
	// remoteDomainPenalty is added to the score of an engine in another failure domain.
	remoteDomainPenalty = 5 * time.Millisecond
	// minFirstToken is the approximate minimum time to the first token.
	minFirstToken = 60 * time.Millisecond
	// prefillInterferenceShare is the share of the prefill time by which the other streams
	// of the engine are delayed, for each stream.
	prefillInterferenceShare = 0.01
	// Added to the score of an engine for full memory, in proportion to its use, and for a
	// big prefill: both make its steps longer.
	fullMemoryPenalty = 20 * time.Millisecond
	bigPrefillPenalty = 20 * time.Millisecond
	// jitterShare randomizes scores, so that entries with the same reports do not all choose
	// the same engine.
	jitterShare = 0.05
	jitterSteps = 1024
	// atRiskShare is the share of the time to its deadline after which a big prompt without
	// its first token is at risk.
	atRiskShare = 0.05
	// minCachedBlocks is the prompt length in blocks from which more engines are compared to
	// find one with a cached prefix.
	minCachedBlocks = 4
	// blockTokens is the length of a block of the prefix cache.
	blockTokens = 256
)

// maxBacklogTime bounds, by class, the time of the prefill backlog of an engine at which a
// prompt is sent there. Otherwise it stays queued, where it can still be reordered.
var maxBacklogTime = [length.Count]time.Duration{
	800 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond,
}

// reservedMemoryShare is the share of an engine's memory that a class leaves free for
// shorter ones.
var reservedMemoryShare = [length.Count]float64{0, 0.05, 0.12, 0.12}

// candidate is an engine that could run a request. The zero value means none.
type candidate struct {
	engine  *model.Engine
	score   float64       // seconds; the lowest is best
	wait    time.Duration // for the backlog of the engine
	ideal   time.Duration // predicted time to the first token
	prefill int           // tokens that are not cached
}

// better returns the candidate with the lower score.
func (c candidate) better(other candidate) candidate {
	if other.engine == nil || c.engine != nil && c.score < other.score {
		return c
	}
	return other
}

// place assigns an engine or a group to the request if one has capacity, and reports
// whether it did.
func (p *Pool) place(t *Ticket, now time.Time) bool {
	if !p.mayStart(t.class, now) {
		return false
	}
	if t.grouped {
		return p.placeGroup(t, now)
	}
	c := p.choose(t, now)
	if c.engine == nil {
		return false
	}
	t.ideal = c.ideal
	p.assign(t, []*model.Engine{c.engine}, c.prefill, now)
	return true
}

// mayStart reports whether a request of the class may be placed now. While the pool is busy
// it limits big prompts to their share. Engines prefill big prompts after all others, so it
// also holds back medium prompts that would starve big ones already placed. It updates the
// credit of big prompts.
func (p *Pool) mayStart(c length.Class, now time.Time) bool {
	earned := bigShare * prefillEfficiency * p.entryRate() * now.Sub(p.bigCreditAt).Seconds()
	p.bigCredit, p.bigCreditAt = min(p.bigCredit+earned, maxBigCreditTokens), now
	switch {
	case c.Big():
		return p.bigCredit > 0 || !p.busy()
	case c == length.Medium:
		return p.utilization(length.Large) <= mediumWaitUtilization || !p.bigAtRisk(now)
	default:
		return true
	}
}

// bigAtRisk reports whether a placed big prompt without its first token has used more than
// atRiskShare of its time.
func (p *Pool) bigAtRisk(now time.Time) bool {
	for t := range p.bigPrefills {
		if float64(now.Sub(t.placedAt)) > atRiskShare*float64(t.job.Deadline.Sub(t.placedAt)) {
			return true
		}
	}
	return false
}

// assign places the request on the given engines. Prefill is the number of tokens that each
// of them has to prefill.
func (p *Pool) assign(t *Ticket, members []*model.Engine, prefill int, now time.Time) {
	t.state, t.members, t.placedAt = statePlaced, members, now
	t.sends = t.sends[:0]
	for _, e := range members {
		t.sends = append(t.sends, e.Send(now, t.class, prefill, group.Share(t.job.need(), len(members))))
		e.Circuit().Sent(now)
	}
	if t.class.Big() {
		p.bigPrefills[t] = struct{}{}
	}
	if t.class.Big() && p.busy() {
		p.bigCredit -= float64(prefill * len(members))
	}
	p.clock.Served(t.startTag)
	p.flows[t.class].Add(now, float64(prefill*len(members)))
	p.counts.Placed++
	if p.distance(members[0]) > 0 {
		p.counts.Spilled++
	}
}

// choose returns the best of a sample of engines, preferring the entry's failure domain. If
// the sample has none, it scans up to maxScannedEngines in each list.
func (p *Pool) choose(t *Ticket, now time.Time) candidate {
	n := sampledEngines
	if t.class.Big() || p.cfg.Cached != nil && len(t.job.Blocks) >= minCachedBlocks {
		n = maxScannedEngines
	}
	best := p.best(t, p.localEngines, n, now)
	if best.engine == nil || best.wait > spillWait {
		best = p.best(t, p.remoteEngines, n, now).better(best)
	}
	if best.engine != nil || n == maxScannedEngines {
		return best
	}
	return p.best(t, p.remoteEngines, maxScannedEngines, now).better(p.best(t, p.localEngines, maxScannedEngines, now))
}

// best returns the best of up to n engines of a list, starting at a random one.
func (p *Pool) best(t *Ticket, list []*model.Engine, n int, now time.Time) candidate {
	var best candidate
	if len(list) == 0 {
		return best
	}
	start, step := p.cfg.Rand(len(list)), 1
	if n < len(list) && n == sampledEngines {
		step = 1 + p.cfg.Rand(len(list)-1)
	}
	for i := range min(n, len(list)) {
		best = p.evaluate(t, list[(start+i*step)%len(list)], now).better(best)
	}
	return best
}

// evaluate predicts the time and score of a request on an engine. It returns the zero
// candidate if the engine has no capacity now or would miss the deadline.
func (p *Pool) evaluate(t *Ticket, e *model.Engine, now time.Time) candidate {
	e.Sync()
	if !e.Usable(now) || t.job.Tried[e.Name()] {
		return candidate{}
	}
	if !roomFor(t, e) {
		return candidate{}
	}
	if t.class.Big() && e.RunsBig(now) {
		return candidate{}
	}
	rate := e.Rate()
	wait := seconds(float64(e.Backlog(now, t.class)) / rate)
	if wait > maxBacklogTime[t.class] {
		return candidate{}
	}
	prefill := t.job.Tokens
	if p.cfg.Cached != nil && len(t.job.Blocks) > 0 {
		prefill = max(1, prefill-blockTokens*p.cfg.Cached(e.Name(), t.job.Blocks))
	}
	prefillTime := seconds(float64(prefill) / rate)
	ideal := wait + prefillTime + minFirstToken
	if now.Add(p.plannedTime(t, ideal, e.Slowdown())).After(finishBy(t, now)) {
		return candidate{}
	}
	score := (wait + prefillTime).Seconds() * (1 + jitterShare*float64(p.cfg.Rand(jitterSteps))/jitterSteps)
	score += prefillTime.Seconds() * prefillInterferenceShare * float64(e.Streams())
	score += float64(t.outputTokens()) * p.tokenGap.Mean(defaultTokenGapSeconds) * (e.Slowdown() - 1)
	score += float64(p.distance(e)) * remoteDomainPenalty.Seconds()
	score += (1 - float64(e.Free())/float64(e.Memory())) * fullMemoryPenalty.Seconds()
	if e.RunsBig(now) {
		score += bigPrefillPenalty.Seconds()
	}
	return candidate{engine: e, score: score, wait: wait, ideal: ideal, prefill: prefill}
}

// roomFor reports whether an engine has free memory for a request and for the reserve of
// shorter classes. An empty engine accepts any request that fits.
func roomFor(t *Ticket, e *model.Engine) bool {
	free, need := e.Free(), t.job.need()
	reserved := int(reservedMemoryShare[t.class] * float64(e.Memory()))
	return free >= need+reserved || free >= need && free == e.Memory()
}

func (p *Pool) placeGroup(t *Ticket, now time.Time) bool {
	for _, d := range p.domains {
		for _, e := range d {
			e.Sync()
		}
		name := d[0].Domain()
		members := group.Members(d, t.job.need(), p.groupEngines[name], t.job.Tried, now)
		if members == nil {
			continue
		}
		prefill := group.Share(t.job.Tokens, len(members))
		t.ideal = seconds(float64(prefill)/members[0].Rate()) + minFirstToken
		if now.Add(p.plannedTime(t, t.ideal, 1)).After(finishBy(t, now)) {
			continue
		}
		p.groupEngines[name] += len(members)
		p.assign(t, members, prefill, now)
		return true
	}
	return false
}

// FirstToken records the first token of a placed ticket. Only the first call has an effect.
func (p *Pool) FirstToken(t *Ticket) {
	if t.state != statePlaced || !t.firstTokenAt.IsZero() {
		return
	}
	now := p.cfg.Now()
	t.firstTokenAt = now
	p.endBigPrefill(t)
	ratio := now.Sub(t.placedAt).Seconds() / t.ideal.Seconds()
	stretch := &p.stretch[t.class]
	for i, s := range t.sends {
		t.members[i].Observe(now, ratio/max(stretch.Mean(ratio), 1))
		s.FirstToken()
	}
	stretch.AddAt(now, ratio)
}

// Leave ends a ticket whose caller left before it ran, and releases its resources.
func (p *Pool) Leave(t *Ticket) {
	p.Done(t, Outcome{})
	if t.err == nil {
		t.err = refuse("wait", KindCallerGone, minRetryAfter, "the caller left")
	}
}

// Done ends a placed or queued ticket and releases its resources. Later calls have no
// effect.
func (p *Pool) Done(t *Ticket, out Outcome) {
	now := p.cfg.Now()
	switch t.state {
	case stateDone:
		return
	case stateWaiting:
		p.queues[t.class].Remove(t.item)
		p.clock.Refund(t.job.Workspace, t.weight(), t.cost())
	case statePlaced:
		p.release(t, now)
		p.recordOutcome(t, out, now)
	}
	t.state = stateDone
	p.shared.Running.Release(t.job.Verdict)
}

func (p *Pool) endBigPrefill(t *Ticket) {
	if t.class.Big() {
		delete(p.bigPrefills, t)
	}
}

func (p *Pool) release(t *Ticket, now time.Time) {
	if t.firstTokenAt.IsZero() {
		p.endBigPrefill(t)
	}
	for _, s := range t.sends {
		s.Done(now)
	}
	if t.grouped {
		p.groupEngines[t.members[0].Domain()] -= len(t.members)
	}
}

func (p *Pool) recordOutcome(t *Ticket, out Outcome, now time.Time) {
	for _, e := range t.members {
		switch {
		case out.Failed:
			e.Circuit().Failed(now)
		case out.Answered:
			e.Circuit().Succeeded(now)
		}
	}
	if t.firstTokenAt.IsZero() {
		if ratio := now.Sub(t.placedAt).Seconds() / t.ideal.Seconds(); ratio > p.stretch[t.class].Mean(defaultStretch) && !out.Failed {
			p.stretch[t.class].AddAt(now, ratio)
		}
		return
	}
	if out.Answered && out.Tokens > 1 {
		tokenGap := now.Sub(t.firstTokenAt).Seconds() / float64(out.Tokens-1)
		t.members[0].Observe(now, tokenGap/max(p.tokenGap.Mean(tokenGap), 1e-6))
		p.tokenGap.AddAt(now, tokenGap)
	}
}

// HoldFailed queues a placed request again after the memory of its engines could not be
// held. Failed is the name of the engine that failed, or "" if an engine was only full.
func (p *Pool) HoldFailed(t *Ticket, failed string) {
	if t.state != statePlaced {
		return
	}
	now := p.cfg.Now()
	for _, e := range t.members {
		if e.Name() == failed {
			e.Circuit().Failed(now)
		}
	}
	p.release(t, now)
	t.state, t.members = stateWaiting, nil
	t.notBefore = now.Add(minHoldRetryDelay + seconds(minHoldRetryDelay.Seconds()*float64(p.cfg.Rand(jitterSteps))/jitterSteps))
	if !p.enqueue(t, now) {
		p.fail(t, refuse("hold", KindQueueFull, minRetryAfter, "%d requests are queued", p.shared.Bounds.Count()))
	}
}
