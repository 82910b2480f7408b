package passes

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUnsplitRead is the longest read that is not split over engines: it delays
	// other streams by less than the shortest pause limits.
	maxUnsplitRead = 80 * time.Millisecond
	// basePauseMargin is subtracted from a stream's pause limit for prediction errors and
	// for requests of up to entriesWithoutMargin entries that are not reported yet. Each
	// further entry adds pauseMarginPerEntry, up to maxPauseMargin in total.
	basePauseMargin      = 30 * time.Millisecond
	entriesWithoutMargin = 4
	pauseMarginPerEntry  = 500 * time.Microsecond
	maxPauseMargin       = 60 * time.Millisecond
	// readOverrunFactor is how many times longer than predicted a pass with a read may
	// take: it takes 1.01 times in the median, and 1.12 to 1.21 at the 90th percentile.
	readOverrunFactor = 1.1
	// minPauseLimit is the least pause limit of a stream, also of streams without one.
	minPauseLimit = 50 * time.Millisecond
	// firstEventShare is the share of the time left within which the first event must be
	// predicted.
	firstEventShare = 0.8
	// earlyStopShare is the share of the time left from which an earlier first event is not
	// worth another engine.
	earlyStopShare = 0.55
	// maxPauseRank is the rank of engines whose pause limit a request would shorten.
	maxPauseRank = 2
	// maxCandidates limits the engines of a decision, and so its time to 0.3 ms. It is enough
	// for six long prompts that are each split over maxReaders engines.
	maxCandidates = 100
	// maxReaders is the most engines that may read one prompt: 16 helpers and the writer.
	maxReaders = 17
	// messageRoundTrip is the network time to an engine and back.
	messageRoundTrip = 4 * time.Millisecond
	// minPrediction replaces shorter predictions when the actual time is divided by the
	// predicted one.
	minPrediction = 10 * time.Millisecond
	// maxReportedOthers is the most engines listed in Decision.Others.
	maxReportedOthers = 3
	// lastResortSlots is the number of an engine's slots that are used only where no equally
	// suitable engine has other slots: another entry may have taken them without its report
	// having arrived. 2.6% to 4.4% of short prompts in the last slot have a late first
	// event, of others at most 0.3%.
	lastResortSlots = 1
	// idleReadShare is the share of the service's longest pause limit that a read on an engine
	// without streams may take: later requests wait for it, and those with long limits start
	// there. An engine with that much to read counts as fully busy.
	idleReadShare = 0.875
	// minFirstEventShareToHarm is the share of the time left that the first event must take for
	// delays of other streams to be accepted: a request with more time waits instead.
	minFirstEventShareToHarm = 0.75
	// minNetGainShare is the least share of a request's weight that must remain after the
	// losses of other streams.
	minNetGainShare = 0.6
	// maxReadPricePerSecond is the weight that a second of reading yields on engines that
	// are fully busy with long prompts: 210,000 tokens weigh 22 and take 3 s to read.
	maxReadPricePerSecond = 7.0
	// zeroPriceBusyShare is the share of busy engines up to which a read costs nothing,
	// and maxPriceBusyShare that from which it costs maxReadPricePerSecond.
	zeroPriceBusyShare = 0.15
	maxPriceBusyShare  = 0.5
	// reportDelay is how long it takes until the other entries know of a send: its batch, the
	// way to a relay, the batch there, and the processing.
	reportDelay = 12 * time.Millisecond
	// rateWindow is the age up to which sends count in the rate of the other entries.
	rateWindow = time.Second
	// choicesPerUnknownSend is how many engines there are to choose from for each send of
	// other entries that isn't known yet, so that most of them choose another engine.
	choicesPerUnknownSend = 2
	// budgetResolution is the rounding of read budgets when engines are compared: half a pass.
	budgetResolution = 30 * time.Millisecond
	// occupancyResolution is the rounding of extra occupancy when engines are compared:
	// two passes.
	occupancyResolution = 150 * time.Millisecond
	// reservedMemoryShare is the share of an engine's memory that is left free for contexts
	// that grow.
	reservedMemoryShare = 0.04
	// minSpreadMemoryShare is the share of an engine's memory from which a request's memory
	// may be spread over engines: each helper costs a reservation call, and all of them
	// together take memoryReservationTime.
	minSpreadMemoryShare  = 0.3
	memoryReservationTime = 15 * time.Millisecond
	// streamTimeShare is the share of the time to the deadline within which the stream must
	// be predicted to end.
	streamTimeShare = 0.9
	// lengthMarginFactor multiplies the expected length of a stream: two in three streams
	// are shorter than the product.
	lengthMarginFactor = 1.25
)

// choice is the engines of a request, with the prediction made for them.
type choice struct {
	writer       *engine
	helpers      []*engine
	reserved     []int         // tokens of memory reserved at each helper; nil: none
	memoryTokens int           // at the writer
	partRead     time.Duration // of each engine
	firstEvent   time.Duration // predicted time to the first event
	pass         time.Duration // predicted pass time of the writer with the request
	shared       int           // streams that broke off together, where the engine is this one's share; else 0
	decision     Decision
}

// candidate is an engine that may get a request or a part of its read.
type candidate struct {
	engine         *engine
	load           load
	readBudget     time.Duration // longest read within the limits of all its streams; may be negative
	readStart      time.Duration // time until a new read starts
	pass           time.Duration // pass time with the request
	firstEvent     time.Duration // time to the request's first event
	extraOccupancy time.Duration // how much later it is free of streams with the request
	throttled      bool          // it takes no further request now, only reads
	cold           bool
}

// place assigns engines to a request and updates their candidates. It reports false where
// no engines fit, or where requests of other entries go first.
func (p *Planner) place(t *Ticket, candidates []candidate, now time.Time) bool {
	if now.Before(p.startsAt(t)) {
		return false
	}
	c, untried, ok := p.choose(t, candidates, now)
	if !ok {
		t.turn = turn{}
		return false
	}
	if p.giveUpShare(t, c, now) || t.queueItem != nil && !p.hasTurn(t, now) {
		return false
	}
	writerLoad := untried[slices.IndexFunc(untried, func(o candidate) bool { return o.engine == c.writer })].load
	c.decision = Decision{Streams: writerLoad.usedSlots, Reads: writerLoad.readBacklog, Pass: writerLoad.pass, Memory: writerLoad.memoryTokens, Usable: len(untried), Others: others(untried, c), Shared: c.shared}
	if c.shared > 0 {
		p.counts.Spread++
	}
	p.assign(t, c, now)
	for i := range candidates {
		if e := candidates[i].engine; e == c.writer || slices.Contains(c.helpers, e) {
			candidates[i] = p.newCandidate(e, now)
		}
	}
	return true
}

// choose chooses engines for a request among the candidates that were not tried, which it returns.
// Those of failure domains that seem to have ended come last.
func (p *Planner) choose(t *Ticket, candidates []candidate, now time.Time) (c choice, untried []candidate, ok bool) {
	if t.job.Allows != nil && len(p.engines) > maxCandidates {
		candidates = p.candidatesIn(t.job.Allows, now) // the others may all be elsewhere
	}
	untried = make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if !t.job.excludes(c.engine) && c.load.helping < p.figures.Slots {
			untried = append(untried, c)
		}
	}
	p.leavesRoom = p.keepsRoom(untried)
	rest := p.withoutLost(t, untried, now)
	if c, ok = p.spread(t, rest, now); ok {
		return c, untried, true
	}
	if c, ok = p.chooseAmong(t, rest, now); !ok && len(rest) < len(untried) {
		c, ok = p.chooseAmong(t, untried, now)
	}
	return c, untried, ok
}

// chooseAmong chooses engines where no stream exceeds its pause limit, or else by gain.
func (p *Planner) chooseAmong(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	if c, ok := p.chooseHarmless(t, list, now); ok {
		return c, true
	}
	return p.chooseByGain(t, list, now)
}

// others returns the engines with the largest read budgets that were not chosen.
func others(list []candidate, chosen choice) []Other {
	var out []Other
	for _, c := range list {
		if c.engine == chosen.writer || slices.Contains(chosen.helpers, c.engine) {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, c.readBudget, func(o Other, budget time.Duration) int { return cmp.Compare(budget, o.ReadBudget) })
		if at < maxReportedOthers {
			out = slices.Insert(out, at, Other{Name: c.engine.name, Streams: c.load.usedSlots, Reads: c.load.readBacklog, ReadBudget: c.readBudget})
			out = out[:min(len(out), maxReportedOthers)]
		}
	}
	return out
}

// candidates returns the usable engines with their predicted load, at most maxCandidates.
// In a larger fleet it takes engines of its own failure domain first, from a random
// position on.
func (p *Planner) candidates(now time.Time) []candidate { return p.candidatesIn(nil, now) }

// candidatesIn is candidates in the failure domains for which allows returns true. nil: in all.
func (p *Planner) candidatesIn(allows func(domain string) bool, now time.Time) []candidate {
	p.recheckReports(now)
	out := make([]candidate, 0, min(len(p.engines), maxCandidates))
	n := len(p.engines)
	if n == 0 {
		return out
	}
	from, large := 0, n > maxCandidates
	if large {
		from = int(p.cfg.Rand() * float64(n))
	}
	for _, own := range []bool{true, false} {
		for i := range n {
			e := p.engines[(from+i)%n]
			if large && (e.domain == p.cfg.Domain) != own || allows != nil && !allows(e.domain) || !p.usable(e, now) {
				continue
			}
			if out = append(out, p.newCandidate(e, now)); len(out) == maxCandidates {
				return out
			}
		}
		if !large {
			return out
		}
	}
	return out
}

func (p *Planner) newCandidate(e *engine, now time.Time) candidate {
	l, margin := e.load(now), p.pauseMargin()
	c := candidate{engine: e, load: l, throttled: p.cfg.Throttled != nil && p.cfg.Throttled(e.name), readStart: l.pass/2 + l.readBacklog, readBudget: p.maxIdleRead() - l.passReads}
	c.cold = p.cfg.Cold != nil && p.cfg.Cold(e.name)
	if l.pauseLimit != noLimit {
		c.readBudget = time.Duration(float64(l.pauseLimit-margin-l.pass)/readOverrunFactor) - l.passReads
	}
	if l.slack != noLimit { // a partial read runs before the reads queued there
		c.readBudget = min(c.readBudget, l.slack-margin)
	}
	c.readBudget = time.Duration(float64(c.readBudget) / l.slowdown)
	return c
}

// chooseHarmless chooses engines where no stream exceeds its pause limit. Short reads go to
// the fullest engine that fits, which keeps others free for long ones. Longer reads may be
// split, preferably over engines whose pause limits are no longer than the request's.
func (p *Planner) chooseHarmless(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	if t.readAlone <= maxUnsplitRead {
		return p.chooseOne(t, list, now)
	}
	var compatible []candidate
	for _, c := range list {
		if c.load.pauseLimit <= t.job.Gap {
			compatible = append(compatible, c)
		}
	}
	if c, ok := p.chooseSplit(t, compatible, now); ok {
		return c, true
	}
	return p.chooseSplit(t, list, now)
}

// firstEventTimeLeft returns how long the first event may still take: until the target, or
// once that has passed, until the caller leaves or for half of the time to the deadline.
func (t *Ticket) firstEventTimeLeft(now time.Time) time.Duration {
	if left := t.job.Target - now.Sub(t.job.Arrived); left > 0 {
		return left
	}
	if t.job.CallerLeavesAt.After(now) {
		return t.job.CallerLeavesAt.Sub(now)
	}
	return t.job.Deadline.Sub(now) / 2
}

func (p *Planner) hasSlot(c candidate) bool {
	return c.load.usedSlots < p.figures.Slots && !c.throttled
}

// lastResort returns 1 for an engine with no more than lastResortSlots free, else 0.
func (p *Planner) lastResort(c candidate) int {
	if c.load.usedSlots >= p.figures.Slots-lastResortSlots {
		return 1
	}
	return 0
}

// freeMemoryTokens returns the tokens of memory that a request may take.
func (p *Planner) freeMemoryTokens(c candidate) int {
	return int((1-reservedMemoryShare)*float64(p.figures.Memory)) - c.load.memoryTokens
}

func (p *Planner) canWrite(t *Ticket, c candidate) bool {
	return p.hasSlot(c) && (t.job.memoryTokens() <= p.freeMemoryTokens(c) || t.job.memoryTokens() <= p.figures.Memory-c.load.memoryTokens && c.load.memoryTokens == 0)
}

// endsBeforeDeadline reports whether a stream is likely to end in time whose first event
// comes after first and whose passes take pass.
func (p *Planner) endsBeforeDeadline(t *Ticket, first, pass time.Duration, now time.Time) bool {
	end := first + time.Duration(lengthMarginFactor*float64(p.writeTime(t, pass)))
	return end <= time.Duration(streamTimeShare*float64(t.job.Deadline.Sub(now)))
}

// predict sets the candidate's pass time and time to the first event for a request of
// which it reads a part that takes part.
func (p *Planner) predict(c *candidate, part time.Duration) {
	c.pass = c.load.scaled(p.figures.Pass(c.load.usedSlots+1, c.load.memoryTokens))
	c.firstEvent = c.readStart + part + c.pass + messageRoundTrip
}

// writeTime returns the expected time from the first to the last event of a stream.
func (p *Planner) writeTime(t *Ticket, pass time.Duration) time.Duration {
	return p.figures.Write(t.job.outputTokens(), pass)
}

func (p *Planner) chooseOne(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	limit := time.Duration(firstEventShare * float64(t.firstEventTimeLeft(now)))
	var usable []candidate
	for _, c := range list {
		if c.readBudget < t.readAlone || !p.canWrite(t, c) {
			continue
		}
		p.predict(&c, c.load.scaled(t.readAlone))
		if c.firstEvent <= limit && p.endsBeforeDeadline(t, 0, c.pass, now) && p.keepsEnd(t, &c, c.firstEvent, now) {
			c.extraOccupancy = p.extraOccupancy(t, c, now)
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return choice{}, false
	}
	slices.SortStableFunc(usable, func(a, b candidate) int {
		return cmp.Or(
			p.compareSuitability(t, a, b),
			cmp.Compare(a.extraOccupancy/occupancyResolution, b.extraOccupancy/occupancyResolution),
			compareFullness(a, b),
		)
	})
	best := usable[int(p.cfg.Rand()*float64(min(len(usable), p.topCount())))]
	return choice{writer: best.engine, memoryTokens: t.job.memoryTokens(), partRead: t.readAlone, firstEvent: best.firstEvent, pass: best.pass}, true
}

// extraOccupancy returns how much later an engine is free of streams with the request.
// Short streams that end together leave whole engines free for long reads.
func (p *Planner) extraOccupancy(t *Ticket, c candidate, now time.Time) time.Duration {
	freeAt := c.load.busyUntil
	if freeAt.Before(now) {
		freeAt = now
	}
	return max(0, now.Add(c.firstEvent+p.writeTime(t, c.pass)).Sub(freeAt))
}

// pauseMargin returns the time that is subtracted from the pause limits of streams.
func (p *Planner) pauseMargin() time.Duration {
	return min(maxPauseMargin, basePauseMargin+time.Duration(max(0, p.entries()-entriesWithoutMargin))*pauseMarginPerEntry)
}

// entries returns the number of entries that place prompts on the engines.
func (p *Planner) entries() int {
	if p.cfg.Entries == nil {
		return 1
	}
	return p.cfg.Entries()
}

// maxIdleRead returns the longest read that an engine without streams gets at once.
func (p *Planner) maxIdleRead() time.Duration {
	return time.Duration(idleReadShare * float64(p.longestGap))
}

// topCount returns the number of best engines to choose from at random: entries with the
// same view would all choose the same engine before their reports reach each other. It grows
// with the sends of other entries that are not known yet.
func (p *Planner) topCount() int {
	unknown := p.otherEntriesRate*reportDelay.Seconds() + float64(p.unknownResumptions(p.cfg.Now()))
	return 1 + int(choicesPerUnknownSend*unknown)
}

// compareSuitability orders engines for a stream by whether they are dense, then by pauseRank, and
// those of the same rank by whether they have more than their last slots free.
func (p *Planner) compareSuitability(t *Ticket, a, b candidate) int {
	return cmp.Or(cmp.Compare(p.denseRank(t, a), p.denseRank(t, b)), cmp.Compare(t.pauseRank(a), t.pauseRank(b)), cmp.Compare(p.lastResort(a), p.lastResort(b)))
}

// compareFullness orders equally suitable engines: the fullest first.
func compareFullness(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.load.usedSlots, a.load.usedSlots), cmp.Compare(a.readStart, b.readStart))
}

// pauseRank returns 0 for an engine with streams whose shortest pause limit is no longer
// than the request's, 1 for one without streams, and 2 for one whose pause limit the
// request would shorten.
func (t *Ticket) pauseRank(c candidate) int {
	switch {
	case c.load.pauseLimit <= t.job.Gap:
		return 0
	case c.load.pauseLimit == noLimit:
		return 1
	default:
		return maxPauseRank
	}
}

// chooseSplit splits the read of a prompt over the fewest engines whose first event comes
// within earlyStopShare of the time left, or else over as many as bring it earliest. Cold engines
// take part only if the others don't suffice.
func (p *Planner) chooseSplit(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	if warm := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.cold }); len(warm) < len(list) {
		if c, ok := p.chooseSplit(t, warm, now); ok {
			return c, true
		}
	}
	list = slices.Clone(list)
	p.sortByBudget(list)
	left := float64(t.firstEventTimeLeft(now))
	var best choice
	for n := 1; n <= min(len(list), maxReaders); n++ {
		part := t.readAlone / time.Duration(n)
		if part > list[n-1].readBudget {
			continue
		}
		c, ok := p.evaluate(t, list[:n], part, now)
		if !ok || c.firstEvent > time.Duration(firstEventShare*left) {
			continue
		}
		if best.writer == nil || c.firstEvent < best.firstEvent {
			best = c
		}
		if best.firstEvent <= time.Duration(earlyStopShare*left) {
			break
		}
	}
	return best, best.writer != nil
}

// chooseByGain chooses the engines with the highest net gain: the request's weight less
// the price of its read and the losses of streams that it delays. It applies only to
// requests that can't wait any longer for a harmless choice.
func (p *Planner) chooseByGain(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	left := t.job.Target - now.Sub(t.job.Arrived)
	if left <= 0 || len(list) == 0 {
		return choice{}, false
	}
	list = slices.Clone(list)
	p.sortByBudget(list)
	var (
		best           choice
		bestGain       float64
		pricePerSecond = p.readPrice(list)
	)
	for n := 1; n <= min(len(list), maxReaders); n++ {
		part := t.readAlone / time.Duration(n)
		c, ok := p.evaluate(t, list[:n], part, now)
		if !ok || c.firstEvent > time.Duration(firstEventShare*float64(left)) {
			continue
		}
		gain := t.weight() - pricePerSecond*t.readAlone.Seconds()
		for _, e := range list[:n] {
			gain -= e.load.addedLoss(e.load.scaled(part), now)
		}
		if gain > bestGain {
			best, bestGain = c, gain
		}
	}
	if best.writer == nil || bestGain < minNetGainShare*t.weight() || best.firstEvent < time.Duration(minFirstEventShareToHarm*float64(left)) {
		return choice{}, false
	}
	return best, true
}

// readPrice returns the weight that later requests lose by a second of reading. It rises
// with the read backlogs of the engines.
func (p *Planner) readPrice(list []candidate) float64 {
	busyCount := 0.0
	for _, c := range list {
		busyCount += min(1, float64(c.load.readBacklog)/float64(p.maxIdleRead()))
	}
	busyShare := busyCount / float64(len(list))
	return maxReadPricePerSecond * min(1, max(0, (busyShare-zeroPriceBusyShare)/(maxPriceBusyShare-zeroPriceBusyShare)))
}

// sortByBudget sorts engines by read budget, longest first, and those of about the same
// budget at random. Cold ones are last.
func (p *Planner) sortByBudget(candidates []candidate) {
	for i := range candidates {
		j := i + int(p.cfg.Rand()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.cold != b.cold {
			return map[bool]int{false: -1, true: 1}[a.cold]
		}
		return cmp.Compare(b.readBudget/budgetResolution, a.readBudget/budgetResolution)
	})
}

// evaluate returns the choice of a set of engines, with false where none can write or the
// stream would not end in time.
func (p *Planner) evaluate(t *Ticket, set []candidate, part time.Duration, now time.Time) (choice, bool) {
	var (
		writer candidate
		found  bool
		start  time.Duration
	)
	for _, c := range set {
		start = max(start, c.readStart+c.load.scaled(part)-part)
		if p.canWrite(t, c) && (!found || cmp.Or(p.compareSuitability(t, c, writer), compareFullness(c, writer)) < 0) {
			writer, found = c, true
		}
	}
	out := choice{writer: writer.engine, memoryTokens: t.job.memoryTokens(), partRead: part}
	if !found {
		if out, writer, found = p.spreadMemory(t, set, part); !found {
			return choice{}, false
		}
	} else {
		for _, c := range set {
			if c.engine != writer.engine {
				out.helpers = append(out.helpers, c.engine)
			}
		}
	}
	writer.readStart = start
	p.predict(&writer, part)
	out.firstEvent, out.pass = writer.firstEvent, writer.pass
	if out.reserved != nil {
		out.firstEvent += memoryReservationTime
	}
	return out, p.endsBeforeDeadline(t, out.firstEvent, out.pass, now) && p.keepsEnd(t, &writer, out.firstEvent, now)
}

// spreadMemory spreads the memory of a request over the set where no engine has room for
// all of it. The engine with the most free memory writes; the rest is reserved at as few
// others as possible.
func (p *Planner) spreadMemory(t *Ticket, set []candidate, part time.Duration) (choice, candidate, bool) {
	if t.job.memoryTokens() < int(minSpreadMemoryShare*float64(p.figures.Memory)) {
		return choice{}, candidate{}, false
	}
	byFree := slices.Clone(set)
	slices.SortStableFunc(byFree, func(a, b candidate) int { return cmp.Compare(p.freeMemoryTokens(b), p.freeMemoryTokens(a)) })
	writerIndex := slices.IndexFunc(byFree, p.hasSlot)
	if writerIndex < 0 || p.freeMemoryTokens(byFree[writerIndex]) <= t.job.MaxTokens {
		return choice{}, candidate{}, false
	}
	writer := byFree[writerIndex]
	out := choice{writer: writer.engine, memoryTokens: min(t.job.memoryTokens(), p.freeMemoryTokens(writer)), partRead: part}
	missing := t.job.memoryTokens() - out.memoryTokens
	for _, c := range byFree {
		if c.engine == writer.engine {
			continue
		}
		reserved := max(0, min(missing, p.freeMemoryTokens(c)))
		missing -= reserved
		out.helpers = append(out.helpers, c.engine)
		out.reserved = append(out.reserved, reserved)
	}
	return out, writer, missing == 0
}
