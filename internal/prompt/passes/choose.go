package passes

import (
	"cmp"
	"slices"
	"time"
)

const (
	// thin is the longest read that a stream of short pauses does not notice: such
	// a prompt goes to one engine.
	thin = 80 * time.Millisecond
	// guard is kept from the pause that a stream allows, for what predictions and few
	// entries miss, and guardEntry for what each further one may have sent, up to maxGuard.
	guard      = 30 * time.Millisecond
	fewEntries = 4
	guardEntry = 500 * time.Microsecond
	maxGuard   = 60 * time.Millisecond
	// overrun is how much longer than predicted a pass with a read may take: 581 reads of
	// four heavy days took 1.01 of it in the median and 1.12 to 1.21 in nine of ten.
	overrun = 1.1
	// minGap stands for a pause that nobody told.
	minGap = 50 * time.Millisecond
	// hurry is the share of the time left that a first event is planned within.
	hurry = 0.8
	// ease is the share within which fewer engines are better than a sooner first event.
	ease = 0.55
	// maxView bounds the engines that a decision looks at, to 0.3 ms: enough for six
	// long prompts on as many engines as can read one.
	maxView = 100
	// maxReaders is how many engines may read one prompt: 16 helpers and the writer.
	maxReaders = 17
	// network is the time of the messages to an engine and back.
	network = 4 * time.Millisecond
	// minPrediction is the shortest prediction that is compared with what came.
	minPrediction = 10 * time.Millisecond
	// maxOthers is how many engines that were not chosen are told with a choice.
	maxOthers = 3
	// lastSlots is how many of an engine's slots are given out last: another entry may have
	// sent to them and is not heard yet. Of short prompts that took the last one on three
	// quiet days 2.6 to 4.4 in 100 had a late first event, of others 0 to 0.3 (2026-12-04).
	lastSlots = 1
	// soloRead is the longest read that an engine without streams gets at once, so
	// that what comes next need not wait for long.
	soloRead = 700 * time.Millisecond
	// longRead is the read ahead from which an engine counts as busy with reading.
	longRead = 700 * time.Millisecond
	// patient is the share of the time left that a first event has to take before
	// streams of others are harmed for it.
	patient = 0.75
	// minGain is the least share of a request's weight that is worth such harm.
	minGain = 0.6
	// fullPrice is the weight that a second of reading yields where engines are full of
	// long prompts: 210,000 tokens, 22 of weight, are read in 3 seconds.
	fullPrice = 7.0
	// freeBusy and fullBusy are the shares of the engines with a long read ahead up to
	// which reading is free and from which it is at its full price.
	freeBusy = 0.15
	fullBusy = 0.5
	// entriesPerPick is how many entries may pick the same engine at the same time:
	// four send a prompt each within the time in which they hear of each other.
	entriesPerPick = 5
	// budgetStep is the difference between engines that makes them unequal, half a pass.
	budgetStep = 30 * time.Millisecond
	// staysStep is the difference between the times at which engines get free that makes
	// them unequal: two passes.
	staysStep = 150 * time.Millisecond
	// keepMemory is the share of an engine's memory that is left free for what grows there.
	keepMemory = 0.04
	// holdFrom is the share of an engine's memory from which a prompt's memory may be
	// spread: it costs an order for each engine and the time to set it aside.
	holdFrom = 0.3
	holdTime = 15 * time.Millisecond
	// finishShare is the share of the time left that the whole stream is planned within.
	finishShare = 0.9
	// lengthMargin is how many times longer than expected a stream is planned: two in three of
	// the users' streams are shorter than that.
	lengthMargin = 1.25
)

// choice is where a request goes.
type choice struct {
	writer  *engine
	helpers []*engine
	held    []int         // tokens of memory that the helpers set aside, in their order
	memory  int           // tokens of memory at the writer
	part    time.Duration // that each of them reads
	first   time.Duration // predicted, to the first event
	pass    time.Duration // predicted, of the writer's passes then
	seen    Seen
}

// candidate is an engine that may read a part of a prompt.
type candidate struct {
	engine *engine
	load   load
	budget time.Duration // longest read that harms no stream there
	start  time.Duration // until a read starts
	pass   time.Duration // of its passes with the request
	first  time.Duration // to the request's first event
	stays  time.Duration // how much longer its streams keep it from being free with the request
}

// place gives a request its engines where there is room. The view follows.
func (p *Planner) place(t *Ticket, view []candidate, now time.Time) bool {
	list := make([]candidate, 0, len(view))
	for _, c := range view {
		if !t.job.Tried[c.engine.name] && c.load.helping < p.figures.Slots {
			list = append(list, c)
		}
	}
	c, ok := p.choose(t, list, now)
	if !ok {
		c, ok = p.weigh(t, list, now)
	}
	if !ok {
		t.turn = turn{}
		return false
	}
	if t.item != nil && !p.hasTurn(t, now) {
		return false
	}
	l := list[slices.IndexFunc(list, func(o candidate) bool { return o.engine == c.writer })].load
	c.seen = Seen{Streams: l.slots, Reads: l.ahead, Pass: l.pass, Memory: l.memory, Usable: len(list), Others: others(list, c)}
	p.grant(t, c, now)
	for i := range view {
		if e := view[i].engine; e == c.writer || slices.Contains(c.helpers, e) {
			view[i] = p.candidate(e, now)
		}
	}
	return true
}

// others returns the engines with most room that were not chosen.
func others(list []candidate, chosen choice) []Other {
	var out []Other
	for _, c := range list {
		if c.engine == chosen.writer || slices.Contains(chosen.helpers, c.engine) {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, c.budget, func(o Other, room time.Duration) int { return cmp.Compare(room, o.Room) })
		if at < maxOthers {
			out = slices.Insert(out, at, Other{Name: c.engine.name, Streams: c.load.slots, Reads: c.load.ahead, Room: c.budget})
			out = out[:min(len(out), maxOthers)]
		}
	}
	return out
}

// look predicts the engines that can be used. Of a large fleet it looks at a part:
// those of the own failure domain first, from a random one on.
func (p *Planner) look(now time.Time) []candidate {
	p.doubt(now)
	out := make([]candidate, 0, min(len(p.engines), maxView))
	n := len(p.engines)
	if n == 0 {
		return out
	}
	from, large := 0, n > maxView
	if large {
		from = int(p.cfg.Rand() * float64(n))
	}
	for _, own := range []bool{true, false} {
		for i := range n {
			e := p.engines[(from+i)%n]
			if large && (e.domain == p.cfg.Domain) != own || !p.usable(e, now) {
				continue
			}
			if out = append(out, p.candidate(e, now)); len(out) == maxView {
				return out
			}
		}
		if !large {
			return out
		}
	}
	return out
}

func (p *Planner) candidate(e *engine, now time.Time) candidate {
	l, guard := e.load(now), p.guard()
	c := candidate{engine: e, load: l, start: l.pass/2 + l.ahead, budget: soloRead - l.reads}
	if l.gap != noGap {
		c.budget = time.Duration(float64(l.gap-guard-l.pass)/overrun) - l.reads
	}
	if l.slack != noGap { // a part is read before what waits there
		c.budget = min(c.budget, l.slack-guard)
	}
	c.budget = time.Duration(float64(c.budget) / l.slow)
	return c
}

// choose picks engines. Short reads go to the fullest engine that can take them, so
// that others stay free for long ones. A longer read is split so that no stream
// notices, first among engines whose streams are as impatient as its own.
func (p *Planner) choose(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	if t.read <= thin {
		return p.single(t, list, now)
	}
	var strict []candidate
	for _, c := range list {
		if c.load.gap <= t.job.Gap {
			strict = append(strict, c)
		}
	}
	if c, ok := p.split(t, strict, now); ok {
		return c, true
	}
	return p.split(t, list, now)
}

// left returns the time to the first event that a request may still take: for full
// value, or where that is lost, before its deadline.
func (t *Ticket) left(now time.Time) time.Duration {
	if left := t.job.Target - now.Sub(t.job.Arrived); left > 0 {
		return left
	}
	if t.job.Leaves.After(now) {
		return t.job.Leaves.Sub(now)
	}
	return t.job.Deadline.Sub(now) / 2
}

func (p *Planner) hasSlot(c candidate) bool { return c.load.slots < p.figures.Slots }

// crowded is 1 for an engine that has only slots left that are given out last, else 0.
func (p *Planner) crowded(c candidate) int {
	if c.load.slots >= p.figures.Slots-lastSlots {
		return 1
	}
	return 0
}

// free returns the tokens of memory that a request may take.
func (p *Planner) free(c candidate) int {
	return int((1-keepMemory)*float64(p.figures.Memory)) - c.load.memory
}

func (p *Planner) canWrite(t *Ticket, c candidate) bool {
	return p.hasSlot(c) && (t.job.need() <= p.free(c) || t.job.need() <= p.figures.Memory-c.load.memory && c.load.memory == 0)
}

// inTime reports whether a stream that starts then is likely to end before the deadline.
func (p *Planner) inTime(t *Ticket, first, pass time.Duration, now time.Time) bool {
	whole := first + time.Duration(lengthMargin*float64(p.writing(t, pass)))
	return whole <= time.Duration(finishShare*float64(t.job.Deadline.Sub(now)))
}

// predict takes in what the engine's passes and the first event take with a request of
// which it reads a part that long.
func (p *Planner) predict(c *candidate, part time.Duration) {
	c.pass = c.load.took(p.figures.Pass(c.load.slots+1, c.load.memory))
	c.first = c.start + part + c.pass + network
}

// writing returns the time in which a request's stream is likely to be written.
func (p *Planner) writing(t *Ticket, pass time.Duration) time.Duration {
	return p.figures.Write(t.job.likely(), pass)
}

func (p *Planner) single(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	limit := time.Duration(hurry * float64(t.left(now)))
	var fit []candidate
	for _, c := range list {
		if c.budget < t.read || !p.canWrite(t, c) {
			continue
		}
		p.predict(&c, c.load.took(t.read))
		if c.first <= limit && p.inTime(t, 0, c.pass, now) {
			c.stays = p.stays(t, c, now)
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return choice{}, false
	}
	slices.SortStableFunc(fit, func(a, b candidate) int {
		return cmp.Or(
			p.suits(t, a, b),
			cmp.Compare(a.stays/staysStep, b.stays/staysStep),
			fuller(a, b),
		)
	})
	best := fit[int(p.cfg.Rand()*float64(min(len(fit), p.spread())))]
	return choice{writer: best.engine, memory: t.job.need(), part: t.read, first: best.first, pass: best.pass}, true
}

// stays returns how much later an engine is free of streams with one more: short
// streams that end together leave whole engines to long reads.
func (p *Planner) stays(t *Ticket, c candidate, now time.Time) time.Duration {
	free := c.load.until
	if free.Before(now) {
		free = now
	}
	return max(0, now.Add(c.first+p.writing(t, c.pass)).Sub(free))
}

// guard returns what is kept from the pauses that streams allow.
func (p *Planner) guard() time.Duration {
	return min(maxGuard, guard+time.Duration(max(0, p.entries()-fewEntries))*guardEntry)
}

// entries returns how many entries place prompts on the engines.
func (p *Planner) entries() int {
	if p.cfg.Entries == nil {
		return 1
	}
	return p.cfg.Entries()
}

// spread returns among how many of the best engines to pick: entries that see the
// same must not all pick the same one before they hear of each other.
func (p *Planner) spread() int {
	return 1 + p.entries()/entriesPerPick
}

// suits orders engines for a stream: those whose streams are as impatient already, then
// empty ones, then those with patient streams; those with a slot to spare first.
func (p *Planner) suits(t *Ticket, a, b candidate) int {
	return cmp.Or(cmp.Compare(t.rank(a), t.rank(b)), cmp.Compare(p.crowded(a), p.crowded(b)))
}

// fuller orders engines that suit a stream equally: the fullest first.
func fuller(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.load.slots, a.load.slots), cmp.Compare(a.start, b.start))
}

func (t *Ticket) rank(c candidate) int {
	switch {
	case c.load.gap <= t.job.Gap:
		return 0
	case c.load.gap == noGap:
		return 1
	default:
		return 2
	}
}

// split reads a prompt on the fewest engines with which its first event comes
// soon, or on as many as bring it soonest.
func (p *Planner) split(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	list = slices.Clone(list)
	p.byBudget(list)
	left := float64(t.left(now))
	var best choice
	for n := 1; n <= min(len(list), maxReaders); n++ {
		part := t.read / time.Duration(n)
		if part > list[n-1].budget {
			continue
		}
		c, ok := p.with(t, list[:n], part, now)
		if !ok || c.first > time.Duration(hurry*left) {
			continue
		}
		if best.writer == nil || c.first < best.first {
			best = c
		}
		if best.first <= time.Duration(ease*left) {
			break
		}
	}
	return best, best.writer != nil
}

// weigh chooses the engines where most is gained less what the streams there lose,
// once a request can wait no longer for engines where nobody loses.
func (p *Planner) weigh(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	left := t.job.Target - now.Sub(t.job.Arrived)
	if left <= 0 || len(list) == 0 {
		return choice{}, false
	}
	list = slices.Clone(list)
	p.byBudget(list)
	var (
		best  choice
		most  float64
		price = readPrice(list)
	)
	for n := 1; n <= min(len(list), maxReaders); n++ {
		part := t.read / time.Duration(n)
		c, ok := p.with(t, list[:n], part, now)
		if !ok || c.first > time.Duration(hurry*float64(left)) {
			continue
		}
		gain := t.weight() - price*t.read.Seconds()
		for _, e := range list[:n] {
			gain -= e.load.harm(e.load.took(part), now)
		}
		if gain > most {
			best, most = c, gain
		}
	}
	if best.writer == nil || most < minGain*t.weight() || best.first < time.Duration(patient*float64(left)) {
		return choice{}, false
	}
	return best, true
}

// readPrice returns what a second of an engine's reading is worth to the requests
// that come next, by how much the engines have to read already.
func readPrice(list []candidate) float64 {
	sum := 0.0
	for _, c := range list {
		sum += min(1, float64(c.load.ahead)/float64(longRead))
	}
	busy := sum / float64(len(list))
	return fullPrice * min(1, max(0, (busy-freeBusy)/(fullBusy-freeBusy)))
}

// byBudget orders engines by the read that harms nobody there, longest first, and
// those that are about equal at random.
func (p *Planner) byBudget(list []candidate) {
	for i := range list {
		j := i + int(p.cfg.Rand()*float64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Compare(b.budget/budgetStep, a.budget/budgetStep)
	})
}

// with returns the choice of a set of engines, where one of them can write.
func (p *Planner) with(t *Ticket, set []candidate, part time.Duration, now time.Time) (choice, bool) {
	var (
		writer candidate
		found  bool
		start  time.Duration
	)
	for _, c := range set {
		start = max(start, c.start+c.load.took(part)-part)
		if p.canWrite(t, c) && (!found || cmp.Or(p.suits(t, c, writer), fuller(c, writer)) < 0) {
			writer, found = c, true
		}
	}
	out := choice{writer: writer.engine, memory: t.job.need(), part: part}
	if !found {
		if out, writer, found = p.hold(t, set, part); !found {
			return choice{}, false
		}
	} else {
		for _, c := range set {
			if c.engine != writer.engine {
				out.helpers = append(out.helpers, c.engine)
			}
		}
	}
	writer.start = start
	p.predict(&writer, part)
	out.first, out.pass = writer.first, writer.pass
	if out.held != nil {
		out.first += holdTime
	}
	return out, p.inTime(t, out.first, out.pass, now)
}

// hold spreads the memory of a prompt that no engine of the set holds alone: the
// engine with most free memory writes, and as few others as can set some aside.
func (p *Planner) hold(t *Ticket, set []candidate, part time.Duration) (choice, candidate, bool) {
	if t.job.need() < int(holdFrom*float64(p.figures.Memory)) {
		return choice{}, candidate{}, false
	}
	byFree := slices.Clone(set)
	slices.SortStableFunc(byFree, func(a, b candidate) int { return cmp.Compare(p.free(b), p.free(a)) })
	at := slices.IndexFunc(byFree, p.hasSlot)
	if at < 0 || p.free(byFree[at]) <= t.job.MaxTokens {
		return choice{}, candidate{}, false
	}
	writer := byFree[at]
	out := choice{writer: writer.engine, memory: min(t.job.need(), p.free(writer)), part: part}
	left := t.job.need() - out.memory
	for _, c := range byFree {
		if c.engine == writer.engine {
			continue
		}
		held := max(0, min(left, p.free(c)))
		left -= held
		out.helpers = append(out.helpers, c.engine)
		out.held = append(out.held, held)
	}
	return out, writer, left == 0
}
