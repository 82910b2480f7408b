// Package plain balances requests over the servers of a plain service. It picks the server of
// the least expected time, prefers the local failure domain among equals, and avoids servers that
// failed recently. It does no I/O.
package plain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
)

const (
	failureWindowSamples = 8 // length of the moving average, in samples
	// failureDecayTime is how long failures keep their full weight without new samples.
	// After that they decay exponentially with this time constant.
	failureDecayTime = 3 * time.Second
	// failureCostRequests is the cost, in active requests, of a server that always fails.
	failureCostRequests = 40.0
	// otherDomainCost is the cost of another failure domain, less than one active request.
	otherDomainCost = 0.5
	// maxCircuitOpen is the maximum time that the circuit of a failing server stays open.
	maxCircuitOpen = 2 * time.Second
	// overloadCost is the extra cost of each request beyond a server's slots.
	overloadCost = 4.0
	// maxCandidates is the number of servers up to which each decision looks at all of them.
	maxCandidates = 64
)

// Server is a server of the service.
type Server struct {
	Name    string
	Domain  string
	Address string // host:port
	Slots   int
	Born    int64 // incarnation: changes with each start of the server
	Leaving bool
}

type server struct {
	Server
	busy     int // active requests of this entry
	failures estimate.Moving
	circuit  *circuit.Breaker
	speed    learned
}

// Settings configure a pool.
type Settings struct {
	Domain string
	Now    func() time.Time
	Rand   func() float64 // in [0, 1)
	// Unreachable reports whether a server is known to be unreachable. It may be nil.
	Unreachable func(address string) bool
	// Throttled reports whether a server takes no further request now. nil: all do. Sent is called
	// for the server that is picked. It may be nil.
	Throttled func(name string) bool
	Sent      func(name string)
	// Learned is called when what is known of a server's speed has changed much. It may be nil.
	Learned func(name string, was, now capacity.Figures)
}

// Pool is the set of servers of a service. It is not safe for concurrent use.
type Pool struct {
	cfg     Settings
	servers map[string]*server
	list    []*server // sorted by name

	peers       map[string]peer // entries that send to the servers
	fastest     float64         // seconds that the fastest known server takes; 0: none is known
	total       float64         // active requests of all entries, averaged
	refreshedAt time.Time
	merges      uint64 // counts the reports of other entries
}

// New returns a pool without servers.
func New(cfg Settings) *Pool {
	return &Pool{cfg: cfg, servers: map[string]*server{}, peers: map[string]peer{}}
}

// SetServers replaces the servers. Servers with an unchanged name, address and incarnation
// keep their statistics.
func (p *Pool) SetServers(list []Server) {
	names := map[string]*server{}
	for _, c := range list {
		s := p.servers[c.Name]
		if s == nil || s.Born != c.Born || s.Address != c.Address {
			s = &server{failures: estimate.NewMoving(failureWindowSamples), circuit: circuit.NewWithin(p.cfg.Rand, maxCircuitOpen), speed: newLearned(c)}
		}
		s.Server = c
		s.speed.SetSlots(c.Slots)
		names[c.Name] = s
	}
	p.servers = names
	p.list = slices.SortedFunc(maps.Values(names), func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	p.refreshedAt = time.Time{} // new servers have no expected load yet
}

// Pick is a server chosen for a request. Done must be called with it. Its name and address may be
// read from any goroutine.
type Pick struct {
	server    *server
	name      string
	address   string
	startedAt time.Time
	beside    float64 // active requests of all entries at the start, with this one
}

// Name returns the server's name.
func (p *Pick) Name() string { return p.name }

// Address returns the server's host:port.
func (p *Pick) Address() string { return p.address }

// Choose picks the server of the lowest cost that may get the request, or returns nil. Servers with
// an open circuit or that are unreachable are a last resort. Of many servers it looks at some that
// are drawn at random, and at all of them only if those are no good.
func (p *Pool) Choose(tried map[string]bool) *Pick {
	now := p.cfg.Now()
	p.refresh(now)
	var (
		best   *server
		lowest float64
	)
	consider := func(s *server) {
		if p.mayGet(s, tried) {
			if cost := p.cost(s, now); best == nil || cost < lowest {
				best, lowest = s, cost
			}
		}
	}
	if len(p.list) > maxCandidates {
		for range maxCandidates {
			consider(p.list[min(len(p.list)-1, int(p.cfg.Rand()*float64(len(p.list))))])
		}
	}
	if best == nil || lowest >= failureCostRequests {
		for _, s := range p.list {
			consider(s)
		}
	}
	if best == nil {
		return nil
	}
	k := &Pick{server: best, name: best.Name, address: best.Address}
	best.begin(k, now)
	best.circuit.Sent(now)
	if p.cfg.Sent != nil {
		p.cfg.Sent(best.Name)
	}
	return k
}

// cost returns the cost of one more request at a server.
func (p *Pool) cost(s *server, now time.Time) float64 {
	s.failures.Fade(now, failureDecayTime, 0)
	cost, perRequest := p.loadCost(s, now)
	cost += failureCostRequests * s.failures.Mean(0)
	if s.Domain != p.cfg.Domain {
		cost += otherDomainCost * perRequest
	}
	if !s.circuit.Allows(now) || p.cfg.Unreachable != nil && p.cfg.Unreachable(s.Address) {
		cost += 2 * failureCostRequests
	}
	return cost
}

// mayGet reports whether a server is neither leaving nor in tried, and takes a request now.
func (p *Pool) mayGet(s *server, tried map[string]bool) bool {
	return !s.Leaving && !tried[s.Name] && (p.cfg.Throttled == nil || !p.cfg.Throttled(s.Name))
}

// HasUntried reports whether there is a server that may get a request that was tried at the others.
func (p *Pool) HasUntried(tried map[string]bool) bool {
	for _, s := range p.list {
		if p.mayGet(s, tried) {
			return true
		}
	}
	return false
}

// HasReachable is HasUntried without the servers that are known to be unreachable.
func (p *Pool) HasReachable(tried map[string]bool) bool {
	for _, s := range p.list {
		if p.mayGet(s, tried) && (p.cfg.Unreachable == nil || !p.cfg.Unreachable(s.Address)) {
			return true
		}
	}
	return false
}

// Outcome is the result of a request at a server.
type Outcome int

// The outcomes of a request.
const (
	Answered Outcome = iota
	Failed
	CallerLeft // the caller disconnected: says nothing about the server
	Untimed    // answered, but not in a time that says something about the server's speed
)

// Done ends a pick and records the outcome in the server's statistics.
func (p *Pool) Done(k *Pick, out Outcome) {
	now, s := p.cfg.Now(), k.server
	s.end(k, out, now)
	switch out {
	case Answered, Untimed:
		s.failures.AddAt(now, 0)
		s.circuit.Succeeded(now)
	case Failed:
		s.failures.AddAt(now, 1)
		s.circuit.Failed(now)
	case CallerLeft:
	}
}

// Len returns the number of servers.
func (p *Pool) Len() int { return len(p.servers) }
