package plain

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
)

const (
	// evenRatio is the ratio of times up to which servers count as equally fast: the error of the
	// mean of a few dozen exponential times. From unevenRatio on the ratio counts in full.
	evenRatio   = 1.25
	unevenRatio = 1.5
	// priorSamples is the weight of the assumption that a server is as fast as the fastest one. It
	// outweighs few or old measurements, so that a slow server gets requests again after a while.
	priorSamples = 3.0
	// knownSamples is the weight of measurements from which a server counts as known. With 8, five
	// requests a second to three servers are too few to learn from.
	knownSamples = 4.0
	// startKnee is the limit of a server without measurements, and startGrowth how much it rises
	// with each one.
	startKnee   = 1.0
	startGrowth = 0.5
	// overdueRatio is the part of the age of the oldest request that counts as the server's time.
	// One in 400 exponential times is above six times the mean. With a third, even servers of one
	// entry answered 0.970 instead of 0.972 in time.
	overdueRatio = 1.0 / 6
	// crowding is the cost of a server at its limit above that of an idle one, in times of a request
	// that doesn't wait: requests come in bursts.
	crowding = 0.5
	// ownCost is the cost of an own active request where other entries send to the servers, too. An
	// entry that keeps its own requests even needs no recent report to keep the sum even.
	ownCost = 0.5
	// spread is the scale of the random part of a cost where other entries send, too, and ownSpread
	// where they don't.
	spread    = 0.15
	ownSpread = 0.01
	// minShare is the least number of expected requests by which own ones are weighed.
	minShare = 0.5
	// burstDeviations is the number of standard deviations of the number of active requests that
	// the servers are expected to take beyond its mean.
	burstDeviations = 1.0
	// busyTime is the time constant of the reported number of active requests. A report is up to
	// 300 ms old, in which short requests come and go. totalTime is that of the sum.
	busyTime  = 300 * time.Millisecond
	totalTime = time.Second
	// refreshInterval is how often the expected loads are computed, and refreshPerServer what is
	// added to it for each server, so that the cost doesn't grow with their number.
	refreshInterval  = 100 * time.Millisecond
	refreshPerServer = 500 * time.Microsecond
	// minRand keeps a random number off 0 and 1, whose logarithms have no bounds.
	minRand = 1e-4
	// fillSteps is the number of bisections of the level of costs.
	fillSteps = 24
	// peerTimeout is the silence after which an entry no longer counts as sending to the service.
	peerTimeout = 3 * time.Second
	// changedRatio is the change of a learned figure that is announced.
	changedRatio = 1.5
	// reportTTL is how long a server without requests stays in the report.
	reportTTL = 15 * time.Second
	// maxOverdue is the largest number of overdue requests to a server in a report.
	maxOverdue = 4
)

// learned is what the pool knows of the speed of a server.
type learned struct {
	*capacity.Server

	tag      uint32
	running  []*Pick // own active requests, the oldest first
	usedAt   time.Time
	merge    uint64  // the latest one that held the server
	meanBusy float64 // moving average of the own active requests
	meanAt   time.Time
	told     capacity.Figures // as announced
	ratio    float64          // of the time of a request that doesn't wait to that of the fastest server
	knee     float64          // number of requests from which further ones wait
	expected float64          // requests of all entries that run there if all choose well
	chance   float64          // share of the new requests, divided by that of the mean server
}

func newLearned(c Server) learned {
	return learned{Server: capacity.New(c.Slots), tag: uint32(xxh3.HashString(c.Address + " " + strconv.FormatInt(c.Born, 10)))}
}

// average moves the average of the active requests to a time, up to which n were active.
func (q *learned) average(now time.Time, n int) {
	w := 1 - math.Exp(-max(0, now.Sub(q.meanAt)).Seconds()/busyTime.Seconds())
	q.meanBusy += w * (float64(n) - q.meanBusy)
	q.meanAt = now
}

// begin records that a request is sent.
func (s *server) begin(k *Pick, now time.Time) {
	s.speed.average(now, s.busy)
	s.busy++
	s.speed.running, s.speed.usedAt = append(s.speed.running, k), now
	k.startedAt, k.beside = now, float64(s.busy)+s.speed.Others()
}

// end records the result of a request.
func (s *server) end(k *Pick, out Outcome, now time.Time) {
	// The mean of the load at the start and at the end.
	running := (k.beside + float64(s.busy) + s.speed.Others()) / 2
	s.speed.average(now, s.busy)
	s.busy--
	if i := slices.Index(s.speed.running, k); i >= 0 {
		s.speed.running = slices.Delete(s.speed.running, i, i+1)
	}
	took := now.Sub(k.startedAt)
	// A request whose caller left would have taken longer still.
	if out == Answered || out == CallerLeft && took > s.speed.Figures(now).Expected(running) {
		s.speed.Add(now, running, took)
	}
}

// refresh computes what is expected of each server, and announces changes. It has an effect at most
// every refreshInterval.
func (p *Pool) refresh(now time.Time) {
	age := now.Sub(p.refreshedAt)
	if age < refreshInterval+time.Duration(len(p.servers))*refreshPerServer {
		return
	}
	p.refreshedAt, p.fastest = now, 0
	maps.DeleteFunc(p.peers, func(_ string, q peer) bool { return now.Sub(q.at) > peerTimeout })
	total := 0.0
	for _, s := range p.list {
		f := s.speed.Figures(now)
		s.speed.average(now, s.busy)
		total += s.speed.meanBusy + s.speed.Others()
		if f.Samples < knownSamples {
			continue
		}
		// The error of the mean is added, or chance would decide which one is the fastest.
		if t := f.Base.Seconds() * (1 + 1/math.Sqrt(f.Samples)); p.fastest == 0 || t < p.fastest {
			p.fastest = t
		}
		p.announce(s, f)
	}
	p.total += (1 - math.Exp(-age.Seconds()/totalTime.Seconds())) * (total - p.total)
	if p.fastest > 0 {
		p.expect(now)
	}
}

// announce reports that the figures of a server differ much from the latest ones that were reported.
func (p *Pool) announce(s *server, f capacity.Figures) {
	was := s.speed.told
	if !differ(was.Base.Seconds(), f.Base.Seconds()) && !differ(was.Knee, f.Knee) {
		return
	}
	s.speed.told = f
	if p.cfg.Learned != nil {
		p.cfg.Learned(s.Name, was, f)
	}
}

func differ(a, b float64) bool { return a > b*changedRatio || b > a*changedRatio }

// expect divides the active requests of all entries among the servers so that one more costs the same
// at each. All entries come to nearly the same result, and none answers to the latest load of a
// single server, on which all would act at the same time.
func (p *Pool) expect(now time.Time) {
	most := 0.0
	for _, s := range p.list {
		f := s.speed.Figures(now)
		q := &s.speed
		q.ratio, q.knee = evened(p.slowness(f)), f.Knee
		if f.Samples < knownSamples {
			q.knee = min(f.Knee, startKnee+startGrowth*f.Samples)
		}
		most = max(most, q.ratio)
	}
	total := p.total + burstDeviations*math.Sqrt(p.total)
	low, high := 1.0, most*(1+crowding+2*total)
	for range fillSteps {
		level, sum := (low+high)/2, 0.0
		for _, s := range p.list {
			sum += s.speed.runningAt(level)
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	sum := 0.0
	for _, s := range p.list {
		s.speed.expected = s.speed.runningAt(high)
		s.speed.chance = max(s.speed.expected, minShare) / (s.speed.ratio * max(1, s.speed.expected/s.speed.knee))
		sum += s.speed.chance
	}
	for _, s := range p.list {
		s.speed.chance *= float64(len(p.servers)) / sum
	}
}

// slowness returns how many times longer than at the fastest server a request takes that doesn't wait.
func (p *Pool) slowness(f capacity.Figures) float64 {
	return (f.Samples*f.Base.Seconds()/p.fastest + priorSamples) / (f.Samples + priorSamples)
}

// evened returns a ratio of times without differences that may be chance.
func evened(ratio float64) float64 {
	switch {
	case ratio < evenRatio:
		return 1
	case ratio < unevenRatio:
		return 1 + (ratio-evenRatio)*(unevenRatio-1)/(unevenRatio-evenRatio)
	default:
		return ratio
	}
}

// costAt returns the cost of one more request where n run, in times of a request that doesn't wait at
// the fastest server: its own time, and the time by which it delays others.
func (q *learned) costAt(n float64) float64 {
	if n < q.knee {
		return q.ratio * (1 + crowding*n/q.knee)
	}
	return q.ratio * (1 + crowding + 2*(n/q.knee-1))
}

// runningAt is the inverse of costAt.
func (q *learned) runningAt(cost float64) float64 {
	switch x := cost/q.ratio - 1; {
	case x <= 0:
		return 0
	case x < crowding:
		return q.knee * x / crowding
	default:
		return q.knee * (1 + (x-crowding)/2)
	}
}

// loadCost returns the cost of one more request at a server, and what multiplies the other costs that
// are in active requests.
func (p *Pool) loadCost(s *server, now time.Time) (cost, perRequest float64) {
	if p.fastest == 0 {
		return float64(s.busy) + overloadCost*float64(max(0, s.busy+1-s.Slots)) + p.cfg.Rand()/2, 1
	}
	q := &s.speed
	others := 1 - 1/float64(len(p.peers)+1) // share of the requests that others send
	cost = q.costAt(q.expected*others + float64(s.busy))
	if len(q.running) > 0 {
		oldest := q.running[0]
		cost = max(cost, overdueRatio*now.Sub(oldest.startedAt).Seconds()/p.fastest)
	}
	own := ownCost * others * p.total / float64(len(p.servers)) / max(q.expected, minShare)
	// A random part of this distribution chooses among servers of equal cost by their chances.
	noise := math.Log(-math.Log(minRand + (1-2*minRand)*p.cfg.Rand()))
	cost += own*float64(s.busy) + (ownSpread+spread*others)*(noise-math.Log(q.chance))
	return cost, crowding/q.knee + own
}

// Loads returns what this entry reports on the servers that it uses, those with the most recent
// requests first, at most the given number.
func (p *Pool) Loads(most int) []capacity.Load {
	now := p.cfg.Now()
	var used []*server
	for _, s := range p.list {
		if !s.speed.usedAt.IsZero() && (s.busy > 0 || now.Sub(s.speed.usedAt) < reportTTL) {
			used = append(used, s)
		}
	}
	slices.SortFunc(used, func(a, b *server) int {
		return cmp.Or(b.speed.usedAt.Compare(a.speed.usedAt), cmp.Compare(a.Name, b.Name))
	})
	used = used[:min(len(used), most)]
	var out []capacity.Load
	for _, s := range used {
		s.speed.average(now, s.busy)
		points := s.speed.Points(now)
		for _, k := range s.speed.running[:min(len(s.speed.running), maxOverdue)] {
			if q, ok := s.speed.Overdue(k.beside, now.Sub(k.startedAt)); ok {
				points = append(points, q)
			}
		}
		out = append(out, capacity.Load{Server: s.Name, Tag: s.speed.tag, Busy: s.speed.meanBusy, Points: points})
	}
	return out
}

// peer is another entry that sends to the servers.
type peer struct {
	at      time.Time // of its latest report
	servers []*server // in that report
}

// Merge takes in what another entry reports. A server that it no longer reports, and one of another
// address or incarnation, has no load of it.
func (p *Pool) Merge(entry string, list []capacity.Load) {
	now := p.cfg.Now()
	before := p.peers[entry].servers
	q := peer{at: now, servers: make([]*server, 0, len(before))}
	p.merges++
	for _, l := range list {
		if s := p.servers[l.Server]; s != nil && s.speed.tag == l.Tag {
			s.speed.Merge(entry, l, now)
			s.speed.merge = p.merges
			q.servers = append(q.servers, s)
		}
	}
	for _, s := range before {
		if s.speed.merge != p.merges {
			s.speed.Forget(entry)
		}
	}
	if len(before)+len(q.servers) > 0 {
		p.peers[entry] = q
	}
}

// ServerState is what the pool knows of a server.
type ServerState struct {
	Name    string  `json:"name"`
	Busy    int     `json:"busy"`   // active requests of this entry
	Others  float64 `json:"others"` // active requests of the other entries
	BaseMS  float64 `json:"baseMs"` // time of a request that doesn't wait
	Limit   float64 `json:"limit"`  // active requests from which further ones only wait
	Samples float64 `json:"samples"`
	Slow    bool    `json:"slow"` // compared to the fastest server
}

// States returns what the pool knows of its servers, sorted by name.
func (p *Pool) States() []ServerState {
	now := p.cfg.Now()
	p.refresh(now)
	var out []ServerState
	for _, s := range p.list {
		f := s.speed.Figures(now)
		out = append(out, ServerState{
			Name: s.Name, Busy: s.busy, Others: s.speed.Others(), BaseMS: 1000 * f.Base.Seconds(), Limit: f.Knee, Samples: f.Samples,
			Slow: p.fastest > 0 && p.slowness(f) > evenRatio,
		})
	}
	return out
}

// Limits returns the sum of the learned limits of the servers, in active requests, and the number of
// servers that are slow compared to the fastest one.
func (p *Pool) Limits() (limit float64, slow int) {
	for _, s := range p.States() {
		limit += s.Limit
		if s.Slow {
			slow++
		}
	}
	return limit, slow
}
