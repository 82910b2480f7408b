package passes

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// lossWindow is the time within which streams that break off in a failure domain are one
	// event, and within which other requests avoid the domain. It is the shortest pause limit of
	// the users' routes: a stream that resumes later is late.
	lossWindow = 250 * time.Millisecond
	// minEnginesOfLoss is the number of engines that fail within lossWindow from which the whole
	// domain counts as ended: the end of a single engine says nothing about the others.
	minEnginesOfLoss = 2
	// lossMemory is how long the engines of an ended domain are not tried first: by then dials have
	// told which of them are left. An engine of it that answers ends this sooner. With 2 s, an
	// outage of 1 s cost 0.7% of the worth after its end.
	lossMemory = 500 * time.Millisecond
	// levelSlack is how far engines may be filled above the even level: the more, the better entries
	// with different views agree, and the less even the engines are filled.
	levelSlack = 1.25
	// maxSharedGap is the longest pause limit, in shortest ones, of the streams that resume at once.
	// Streams with longer limits have time to let the others go first.
	maxSharedGap = 2
	// longReadDelay is how long other reads wait after a loss: until the resumptions are reported.
	longReadDelay = 2 * reportDelay
)

// loss is the failure of engines of one domain within lossWindow.
type loss struct {
	at       time.Time
	engines  map[string]bool // failed engines of own streams
	streams  []brokenStream  // of all entries at the domain's engines when the first one failed
	assigned []string        // names of the engines that resume these; nil: not assigned yet
}

// brokenStream is a stream at an engine of a domain that may have ended. All entries know its
// fields, so they derive the same order and the same hashes from them.
type brokenStream struct {
	engine  string
	tokens  int // of memory; a resumption needs as many
	gap     time.Duration
	read    time.Duration // to read all its tokens
	claimed bool          // it is that of an own request that broke off
}

// share is the place of a resumed stream among all streams that broke off with it.
type share struct {
	loss  *loss
	index int
}

// recordLoss records that the engine of an own stream failed, and gives the stream its share of
// the other engines.
func (p *Planner) recordLoss(t *Ticket, now time.Time) {
	e := t.engines[0]
	maps.DeleteFunc(p.losses, func(_ string, l *loss) bool { return now.Sub(l.at) > lossMemory })
	l := p.losses[e.domain]
	if l == nil || now.Sub(l.at) > lossWindow {
		l = &loss{at: now, engines: map[string]bool{}, streams: p.streamsOf(e.domain)}
		p.losses[e.domain] = l
		p.counts.Losses++
	}
	l.engines[e.name] = true
	maps.DeleteFunc(p.shares, func(_ string, s share) bool { return now.Sub(s.loss.at) > lossMemory })
	if t.job.ID == "" {
		return
	}
	i := slices.IndexFunc(l.streams, func(s brokenStream) bool {
		return !s.claimed && s.engine == e.name && s.tokens == t.sends[0].Context
	})
	if i >= 0 {
		l.streams[i].claimed = true
	}
	p.shares[t.job.ID] = share{loss: l, index: i}
}

// streamsOf returns the streams of all entries at the engines of a domain that one engine can
// read again in time. The longest come first, which divides them most evenly.
func (p *Planner) streamsOf(domain string) []brokenStream {
	var out []brokenStream
	for _, e := range p.engines {
		if e.domain != domain {
			continue
		}
		add := func(s *Send) {
			if read := p.figures.Read(s.Context); s.Gap > 0 && read <= time.Duration(firstEventShare*float64(s.Gap)) {
				out = append(out, brokenStream{engine: e.name, tokens: s.Context, read: read, gap: s.Gap})
			}
		}
		for _, s := range e.ownSends {
			add(s)
		}
		for i := range e.otherSends {
			add(&e.otherSends[i])
		}
	}
	shortest := noLimit
	for _, s := range out {
		shortest = min(shortest, s.gap)
	}
	out = slices.DeleteFunc(out, func(s brokenStream) bool { return s.gap > maxSharedGap*shortest })
	slices.SortFunc(out, func(a, b brokenStream) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.engine, b.engine))
	})
	return out
}

// lost reports whether an engine's domain has ended, as far as own streams tell.
func (p *Planner) lost(e *engine, now time.Time) bool {
	l := p.losses[e.domain]
	return l != nil && now.Sub(l.at) <= lossMemory && len(l.engines) >= minEnginesOfLoss
}

// answered records that an engine answered a request that was sent after its domain seemed to end.
func (p *Planner) answered(e *engine, sentAt time.Time) {
	if l := p.losses[e.domain]; l != nil && sentAt.After(l.at) {
		delete(p.losses, e.domain)
	}
}

// withoutLost returns the candidates outside of failure domains that have ended. For a stream that
// has just broken off, these include the domain of its engine. It returns all of them if none is left.
func (p *Planner) withoutLost(t *Ticket, list []candidate, now time.Time) []candidate {
	if len(p.losses) == 0 {
		return list
	}
	var out []candidate
	own := p.shares[t.job.ID].loss
	for _, c := range list {
		if l := p.losses[c.engine.domain]; !p.lost(c.engine, now) && (l == nil || l != own) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// startsAt returns when a request may be placed at the earliest. Long reads leave the first moment
// after a loss to the resumptions that one engine reads, and see in the reports where these run.
func (p *Planner) startsAt(t *Ticket) time.Time {
	if t.readAlone <= maxUnsplitRead {
		return time.Time{}
	}
	if s, ok := p.shares[t.job.ID]; ok && s.index >= 0 {
		return time.Time{}
	}
	var at time.Time
	for _, l := range p.losses {
		if end := l.at.Add(longReadDelay); end.After(at) {
			at = end
		}
	}
	return at
}

// giveUpShare makes a broken stream whose engine can't take it wait like long reads do, and reports
// whether it has to.
func (p *Planner) giveUpShare(t *Ticket, c choice, now time.Time) bool {
	s, ok := p.shares[t.job.ID]
	if !ok || s.index < 0 || c.shared > 0 {
		return false
	}
	p.shares[t.job.ID] = share{loss: s.loss, index: -1}
	return now.Before(p.startsAt(t))
}

// unknownResumptions returns the number of streams of other entries that are being resumed and that
// no report can have shown yet.
func (p *Planner) unknownResumptions(now time.Time) int {
	n := 0
	for _, l := range p.losses {
		if now.Sub(l.at) > longReadDelay {
			continue
		}
		for _, s := range l.streams {
			if !s.claimed {
				n++
			}
		}
	}
	return n
}

// spread chooses the engine of a resumed stream, or returns false if the stream has no share or its
// engine can't take it.
func (p *Planner) spread(t *Ticket, list []candidate, now time.Time) (choice, bool) {
	s, ok := p.shares[t.job.ID]
	if !ok || s.index < 0 || now.Sub(s.loss.at) > lossWindow {
		return choice{}, false
	}
	if s.loss.assigned == nil {
		s.loss.assigned = p.assignments(list, s.loss.streams)
	}
	i := slices.IndexFunc(list, func(c candidate) bool { return c.engine.name == s.loss.assigned[s.index] })
	if i >= 0 {
		c := list[i]
		p.predict(&c, c.load.scaled(t.readAlone))
		if p.canWrite(t, c) && p.keepsEnd(t, &c, c.firstEvent, now) {
			return choice{writer: c.engine, memoryTokens: t.job.memoryTokens(), partRead: t.readAlone, firstEvent: c.firstEvent, pass: c.pass, shared: len(s.loss.streams)}, true
		}
	}
	return choice{}, false
}

// assignments returns the names of the engines that resume the streams; "" where none has room. All
// entries assign all broken streams, in the same order, to engines by rendezvous hashing with
// bounded loads: each takes the first engine in its own order that stays within the level to which
// the reads of all streams fill the engines evenly. So entries whose views differ in a few engines
// still agree about most streams.
func (p *Planner) assignments(list []candidate, streams []brokenStream) []string {
	free := make([]room, len(list))
	for i, c := range list {
		free[i] = room{ahead: c.readStart, budget: c.readBudget, slots: p.figures.Slots - lastResortSlots - c.load.usedSlots, tokens: p.freeMemoryTokens(c)}
		if c.load.usedSlots == 0 && c.load.readBacklog == 0 {
			free[i].firstPass = p.figures.Pass(1, 0)
		}
		if c.throttled {
			free[i].slots = 0
		}
	}
	out := make([]string, len(streams))
	level := fillLevel(free, streams)
	for n := range streams {
		if i := streams[n].firstBelow(list, free, level); i >= 0 {
			free[i].take(streams[n])
			out[n] = list[i].engine.name
		}
	}
	return out
}

// room is what an engine can still take.
type room struct {
	ahead     time.Duration // time until a further read starts
	budget    time.Duration // longest read
	slots     int
	tokens    int           // of memory
	firstPass time.Duration // of an idle engine, which starts with the first read; later ones wait for its end
}

func (r *room) take(s brokenStream) {
	r.ahead += s.read + r.firstPass
	r.firstPass = 0
	r.budget -= s.read
	r.slots--
	r.tokens -= s.tokens
}

// firstBelow returns the index of the first engine in the order of a stream that stays within
// the level with it, or else of the one that is ready first, or -1 if none has room for it.
func (s *brokenStream) firstBelow(list []candidate, free []room, level time.Duration) int {
	best, bestHash, lowest := -1, uint64(0), -1
	key := s.engine + " " + strconv.Itoa(s.tokens) + " "
	for i := range list {
		r := &free[i]
		if r.slots < 1 || r.budget < s.read || r.tokens < s.tokens {
			continue
		}
		if lowest < 0 || r.ahead < free[lowest].ahead {
			lowest = i
		}
		if r.ahead+s.read > level {
			continue
		}
		if h := xxh3.HashString(key + list[i].engine.name); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	if best < 0 {
		return lowest
	}
	return best
}

// fillLevel returns the level to which the reads of streams, longest first, fill the engines evenly,
// times levelSlack. Reads longer than that have an engine of their own.
func fillLevel(free []room, streams []brokenStream) time.Duration {
	reads := time.Duration(0)
	for _, s := range streams {
		reads += s.read
	}
	var ahead []time.Duration
	for _, r := range free {
		if r.slots > 0 {
			ahead = append(ahead, r.ahead)
		}
	}
	slices.Sort(ahead)
	level := evenLevel(ahead, reads)
	for _, s := range streams {
		if s.read <= level || len(ahead) < 2 {
			break
		}
		reads -= s.read
		ahead = ahead[1:]
		level = evenLevel(ahead, reads)
	}
	return time.Duration(levelSlack * float64(level))
}

// evenLevel returns the level to which reads fill engines whose backlogs are sorted.
func evenLevel(ahead []time.Duration, reads time.Duration) time.Duration {
	sum, level := reads, time.Duration(0)
	for i, a := range ahead {
		if i > 0 && a >= level {
			break
		}
		sum += a
		level = sum / time.Duration(i+1)
	}
	return level
}

// denseRank returns 0 for an engine that a stream fits well by its pause limit, 1 for one that has
// more streams than the other failure domains could take if one ended, and 2 for one whose pause
// limit the stream would shorten.
func (p *Planner) denseRank(t *Ticket, c candidate) int {
	switch {
	case t.pauseRank(c) == maxPauseRank:
		return 2
	case p.leavesRoom && c.load.usedSlots >= p.figures.Slots*(p.domains-1)/p.domains:
		return 1
	default:
		return 0
	}
}

// keepsRoom reports whether short streams leave slots of engines free for those of a failure domain that
// ends. They do not while many engines read long prompts, which need engines without streams: with 34
// entries that cost 0.03 of the worth of a day with bursts of them. Up to entriesWithoutMargin entries fill
// engines in any case: there it cost short prompts in such bursts, 0.942 on time in place of 0.95 and more.
func (p *Planner) keepsRoom(list []candidate) bool {
	return p.domains > 1 && p.entries() > entriesWithoutMargin && len(list) > 0 && p.readPrice(list) == 0
}
