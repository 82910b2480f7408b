package scheduler

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
)

const (
	// choices is how many engines a short prompt looks at.
	choices = 2
	// maxScan bounds the engines that a decision looks at, however large the fleet.
	maxScan = 64
	// spillAfter is the wait from which other failure domains are looked at.
	spillAfter = 50 * time.Millisecond
	// hopCost is what another failure domain counts.
	hopCost = 5 * time.Millisecond
	// stepTime is about the shortest time to a first token.
	stepTime = 60 * time.Millisecond
	// harmShare is how much each stream of an engine suffers of a prefill's time.
	harmShare = 0.01
	// contextCost is what a full memory adds to the steps of a prompt, and
	// besideBig what a big prefill does.
	contextCost = 20 * time.Millisecond
	besideBig   = 20 * time.Millisecond
	// jitterShare spreads entries that see the same.
	jitterShare = 0.05
	jitterSteps = 1024
	// riskShare is the share of a big prompt's time from which medium ones give way.
	riskShare = 0.05
	// minBlocks is the number of blocks from which a cached prefix is looked for.
	minBlocks = 4
	// blockTokens is the length of a block.
	blockTokens = 256
)

// maxAhead is the time of work ahead at an engine up to which a prompt goes there.
// With more it waits at the entry, where its place can still change.
var maxAhead = [length.Count]time.Duration{
	800 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond,
}

// keepFree is the share of an engine's memory that a class leaves to shorter ones.
var keepFree = [length.Count]float64{0, 0.05, 0.12, 0.12}

// option is an engine that could run a request.
type option struct {
	engine  *model.Engine
	score   float64 // seconds, lowest best
	wait    time.Duration
	ideal   time.Duration
	prefill int // tokens that are not cached
}

// better returns the option with the lower score.
func (o option) better(than option) option {
	if than.engine == nil || o.engine != nil && o.score < than.score {
		return o
	}
	return than
}

// place gives the request an engine or a group where there is room.
func (p *Pool) place(t *Ticket, now time.Time) bool {
	if !p.mayStart(t.class, now) {
		return false
	}
	if t.grouped {
		return p.placeGroup(t, now)
	}
	o := p.choose(t, now)
	if o.engine == nil {
		return false
	}
	t.ideal = o.ideal
	p.grant(t, []*model.Engine{o.engine}, o.prefill, now)
	return true
}

// mayStart keeps big prompts within their share while shorter ones take most of
// the engines, and medium ones from starving big ones that were admitted: an
// engine serves a big prompt after all others.
func (p *Pool) mayStart(c length.Class, now time.Time) bool {
	earned := bigShare * efficiency * p.share() * now.Sub(p.credAt).Seconds()
	p.credit, p.credAt = min(p.credit+earned, maxCredit), now
	switch {
	case c.Big():
		return p.credit > 0 || !p.busy()
	case c == length.Medium:
		return p.use(length.Large) <= mediumUse || !p.bigAtRisk(now)
	default:
		return true
	}
}

// bigAtRisk reports whether a big prompt under way has used up much of its time.
func (p *Pool) bigAtRisk(now time.Time) bool {
	for t := range p.bigs {
		if float64(now.Sub(t.placedAt)) > riskShare*float64(t.job.Deadline.Sub(t.placedAt)) {
			return true
		}
	}
	return false
}

func (p *Pool) grant(t *Ticket, members []*model.Engine, prefill int, now time.Time) {
	t.state, t.members, t.placedAt = statePlaced, members, now
	t.sends = t.sends[:0]
	for _, e := range members {
		t.sends = append(t.sends, e.Send(now, t.class, prefill, group.Share(t.job.need(), len(members))))
		e.Circuit().Sent(now)
	}
	if t.class.Big() {
		p.bigs[t] = struct{}{}
	}
	if t.class.Big() && p.busy() {
		p.credit -= float64(prefill * len(members))
	}
	p.clock.Served(t.tag)
	p.flows[t.class].Add(now, float64(prefill*len(members)))
	p.counts.Placed++
	if p.distance(members[0]) > 0 {
		p.counts.Spilled++
	}
}

// choose returns the best engine of a few, of the own failure domain first.
func (p *Pool) choose(t *Ticket, now time.Time) option {
	n := choices
	if t.class.Big() || p.cfg.Cached != nil && len(t.job.Blocks) >= minBlocks {
		n = maxScan
	}
	best := p.best(t, p.own, n, now)
	if best.engine == nil || best.wait > spillAfter {
		best = p.best(t, p.others, n, now).better(best)
	}
	if best.engine != nil || n == maxScan {
		return best
	}
	return p.best(t, p.others, maxScan, now).better(p.best(t, p.own, maxScan, now))
}

// best returns the best of up to n engines of a list, from a random place on.
func (p *Pool) best(t *Ticket, list []*model.Engine, n int, now time.Time) option {
	var best option
	if len(list) == 0 {
		return best
	}
	start, step := p.cfg.Rand(len(list)), 1
	if n < len(list) && n == choices {
		step = 1 + p.cfg.Rand(len(list)-1)
	}
	for i := range min(n, len(list)) {
		best = p.consider(t, list[(start+i*step)%len(list)], now).better(best)
	}
	return best
}

// consider predicts a request at an engine. The option is empty where the engine
// can't take it now or would not answer in time.
func (p *Pool) consider(t *Ticket, e *model.Engine, now time.Time) option {
	e.Sync()
	if !e.Usable(now) || t.job.Tried[e.Name()] {
		return option{}
	}
	if !roomFor(t, e) {
		return option{}
	}
	if t.class.Big() && e.RunsBig(now) {
		return option{}
	}
	rate := e.Rate()
	wait := seconds(float64(e.Backlog(now, t.class)) / rate)
	if wait > maxAhead[t.class] {
		return option{}
	}
	prefill := t.job.Tokens
	if p.cfg.Cached != nil && len(t.job.Blocks) > 0 {
		prefill = max(1, prefill-blockTokens*p.cfg.Cached(e.Name(), t.job.Blocks))
	}
	own := seconds(float64(prefill) / rate)
	ideal := wait + own + stepTime
	if now.Add(p.planned(t, ideal, e.Slow())).After(limit(t, now)) {
		return option{}
	}
	score := (wait + own).Seconds() * (1 + jitterShare*float64(p.cfg.Rand(jitterSteps))/jitterSteps)
	score += own.Seconds() * harmShare * float64(e.Streams())
	score += float64(t.output()) * p.gap.Mean(priorGap) * (e.Slow() - 1)
	score += float64(p.distance(e)) * hopCost.Seconds()
	score += (1 - float64(e.Free())/float64(e.Memory())) * contextCost.Seconds()
	if e.RunsBig(now) {
		score += besideBig.Seconds()
	}
	return option{engine: e, score: score, wait: wait, ideal: ideal, prefill: prefill}
}

// roomFor reports whether an engine's memory has room for a request and leaves
// what its class leaves to shorter ones. An empty engine takes what it holds.
func roomFor(t *Ticket, e *model.Engine) bool {
	free, need := e.Free(), t.job.need()
	kept := int(keepFree[t.class] * float64(e.Memory()))
	return free >= need+kept || free >= need && free == e.Memory()
}

func (p *Pool) placeGroup(t *Ticket, now time.Time) bool {
	for _, d := range p.domains {
		for _, e := range d {
			e.Sync()
		}
		name := d[0].Domain()
		members := group.Members(d, t.job.need(), p.groups[name], t.job.Tried, now)
		if members == nil {
			continue
		}
		prefill := group.Share(t.job.Tokens, len(members))
		t.ideal = seconds(float64(prefill)/members[0].Rate()) + stepTime
		if now.Add(p.planned(t, t.ideal, 1)).After(limit(t, now)) {
			continue
		}
		p.groups[name] += len(members)
		p.grant(t, members, prefill, now)
		return true
	}
	return false
}

// FirstToken notes that the first token came.
func (p *Pool) FirstToken(t *Ticket) {
	if t.state != statePlaced || !t.firstAt.IsZero() {
		return
	}
	now := p.cfg.Now()
	t.firstAt = now
	p.prefilled(t)
	ratio := now.Sub(t.placedAt).Seconds() / t.ideal.Seconds()
	stretch := &p.stretch[t.class]
	for i, s := range t.sends {
		t.members[i].Observe(now, ratio/max(stretch.Mean(ratio), 1))
		s.FirstToken()
	}
	stretch.AddAt(now, ratio)
}

// Leave ends a ticket whose caller left before it ran, and frees what it has.
func (p *Pool) Leave(t *Ticket) {
	p.Done(t, Outcome{})
	if t.err == nil {
		t.err = refuse("wait", KindGone, minRetryAfter, "the caller left")
	}
}

// Done ends a ticket, placed or waiting, and frees what it has.
func (p *Pool) Done(t *Ticket, out Outcome) {
	now := p.cfg.Now()
	switch t.state {
	case stateOver:
		return
	case stateWaiting:
		p.lanes[t.class].Remove(t.item)
		p.clock.Refund(t.job.Workspace, t.weight(), t.work())
	case statePlaced:
		p.release(t, now)
		p.learn(t, out, now)
	}
	t.state = stateOver
	p.shared.Running.Release(t.job.Verdict)
}

func (p *Pool) prefilled(t *Ticket) {
	if t.class.Big() {
		delete(p.bigs, t)
	}
}

func (p *Pool) release(t *Ticket, now time.Time) {
	if t.firstAt.IsZero() {
		p.prefilled(t)
	}
	for _, s := range t.sends {
		s.Done(now)
	}
	if t.grouped {
		p.groups[t.members[0].Domain()] -= len(t.members)
	}
}

func (p *Pool) learn(t *Ticket, out Outcome, now time.Time) {
	for _, e := range t.members {
		switch {
		case out.Failed:
			e.Circuit().Failed(now)
		case out.Answered:
			e.Circuit().Succeeded(now)
		}
	}
	if t.firstAt.IsZero() {
		if ratio := now.Sub(t.placedAt).Seconds() / t.ideal.Seconds(); ratio > p.stretch[t.class].Mean(priorStretch) && !out.Failed {
			p.stretch[t.class].AddAt(now, ratio)
		}
		return
	}
	if out.Answered && out.Tokens > 1 {
		gap := now.Sub(t.firstAt).Seconds() / float64(out.Tokens-1)
		t.members[0].Observe(now, gap/max(p.gap.Mean(gap), 1e-6))
		p.gap.AddAt(now, gap)
	}
}

// HoldFailed lets a request wait again after its engines could not be held. The
// broken one is the engine that failed, or "" where one was only full.
func (p *Pool) HoldFailed(t *Ticket, broken string) {
	if t.state != statePlaced {
		return
	}
	now := p.cfg.Now()
	for _, e := range t.members {
		if e.Name() == broken {
			e.Circuit().Failed(now)
		}
	}
	p.release(t, now)
	t.state, t.members = stateWaiting, nil
	t.notBefore = now.Add(holdRetry + seconds(holdRetry.Seconds()*float64(p.cfg.Rand(jitterSteps))/jitterSteps))
	if !p.push(t, now) {
		p.fail(t, refuse("hold", KindQueueFull, minRetryAfter, "%d requests wait", p.shared.Bounds.Count()))
	}
}
