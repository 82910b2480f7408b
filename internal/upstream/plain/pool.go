// Package plain balances requests over the servers of a plain service. It picks the least
// busy server, prefers the local failure domain among equals, and avoids servers that
// failed recently. It does no I/O.
package plain

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
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
}

// Pool is the set of servers of a service. It is not safe for concurrent use.
type Pool struct {
	cfg     Settings
	servers map[string]*server
}

// New returns a pool without servers.
func New(cfg Settings) *Pool { return &Pool{cfg: cfg, servers: map[string]*server{}} }

// SetServers replaces the servers. Servers with an unchanged name, address and incarnation
// keep their statistics.
func (p *Pool) SetServers(list []Server) {
	names := map[string]*server{}
	for _, c := range list {
		s := p.servers[c.Name]
		if s == nil || s.Born != c.Born || s.Address != c.Address {
			s = &server{failures: estimate.NewMoving(failureWindowSamples), circuit: circuit.NewWithin(p.cfg.Rand, maxCircuitOpen)}
		}
		s.Server = c
		names[c.Name] = s
	}
	p.servers = names
}

// Pick is a server chosen for a request. Done must be called with it. Its name and address may be
// read from any goroutine.
type Pick struct {
	server  *server
	name    string
	address string
}

// Name returns the server's name.
func (p *Pick) Name() string { return p.name }

// Address returns the server's host:port.
func (p *Pick) Address() string { return p.address }

// Choose picks the server of the lowest cost that may get the request, or returns nil. Servers with
// an open circuit or that are unreachable are a last resort.
func (p *Pool) Choose(tried map[string]bool) *Pick {
	now := p.cfg.Now()
	var (
		best   *server
		lowest float64
	)
	for _, s := range p.servers {
		if !p.mayGet(s, tried) {
			continue
		}
		s.failures.Fade(now, failureDecayTime, 0)
		cost := float64(s.busy) + failureCostRequests*s.failures.Mean(0) + p.cfg.Rand()/2
		cost += overloadCost * float64(max(0, s.busy+1-s.Slots))
		if s.Domain != p.cfg.Domain {
			cost += otherDomainCost
		}
		if !s.circuit.Allows(now) || p.cfg.Unreachable != nil && p.cfg.Unreachable(s.Address) {
			cost += 2 * failureCostRequests
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil {
		return nil
	}
	best.busy++
	best.circuit.Sent(now)
	if p.cfg.Sent != nil {
		p.cfg.Sent(best.Name)
	}
	return &Pick{server: best, name: best.Name, address: best.Address}
}

// mayGet reports whether a server is neither leaving nor in tried, and takes a request now.
func (p *Pool) mayGet(s *server, tried map[string]bool) bool {
	return !s.Leaving && !tried[s.Name] && (p.cfg.Throttled == nil || !p.cfg.Throttled(s.Name))
}

// HasUntried reports whether there is a server that may get a request that was tried at the others.
func (p *Pool) HasUntried(tried map[string]bool) bool {
	for _, s := range p.servers {
		if p.mayGet(s, tried) {
			return true
		}
	}
	return false
}

// HasReachable is HasUntried without the servers that are known to be unreachable.
func (p *Pool) HasReachable(tried map[string]bool) bool {
	for _, s := range p.servers {
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
)

// Done ends a pick and records the outcome in the server's statistics.
func (p *Pool) Done(k *Pick, out Outcome) {
	now, s := p.cfg.Now(), k.server
	s.busy--
	switch out {
	case Answered:
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
