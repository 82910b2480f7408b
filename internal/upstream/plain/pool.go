// Package plain chooses among the servers of a plain service: the least busy one,
// of the own failure domain where it makes no difference, and seldom one that
// failed lately. It is pure apart from its clock.
package plain

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	failureWindow = 8 // samples
	// failureFor is how long failures count where nothing new is known.
	failureFor = 3 * time.Second
	// failureCost is how many requests ahead a server counts that always fails.
	failureCost = 40.0
	// otherDomain is what another failure domain counts, less than a request.
	otherDomain = 0.5
	// maxOpen is the longest time that a server that fails gets no work.
	maxOpen = 2 * time.Second
	// overFull is what counts for each request beyond a server's slots.
	overFull = 4.0
)

// Server is a server of the service.
type Server struct {
	Name    string
	Domain  string
	Address string // host:port
	Slots   int
	Born    int64 // changes with each start
	Leaving bool
}

type server struct {
	Server
	busy     int // own requests there
	failures estimate.Moving
	circuit  *circuit.Breaker
}

// Settings are a pool's surroundings.
type Settings struct {
	Domain string
	Now    func() time.Time
	Rand   func() float64 // 0 to 1
	// Cut reports whether a server can't be connected to; nil where none is known.
	Cut func(address string) bool
}

// Pool is the servers of a service. It belongs to one goroutine at a time.
type Pool struct {
	cfg     Settings
	servers map[string]*server
}

// New returns a pool without servers.
func New(cfg Settings) *Pool { return &Pool{cfg: cfg, servers: map[string]*server{}} }

// SetServers replaces the servers. What is known of those that stay is kept.
func (p *Pool) SetServers(list []Server) {
	names := map[string]*server{}
	for _, c := range list {
		s := p.servers[c.Name]
		if s == nil || s.Born != c.Born || s.Address != c.Address {
			s = &server{failures: estimate.NewMoving(failureWindow), circuit: circuit.NewWithin(p.cfg.Rand, maxOpen)}
		}
		s.Server = c
		names[c.Name] = s
	}
	p.servers = names
}

// Pick is a server that was chosen for a request.
type Pick struct {
	server *server
}

// Name returns the server's name.
func (p *Pick) Name() string { return p.server.Name }

// Address returns the server's host:port.
func (p *Pick) Address() string { return p.server.Address }

// Choose picks a server that was not tried, or returns nil. A circuit that is open
// counts only while another server is left.
func (p *Pool) Choose(tried map[string]bool) *Pick {
	now := p.cfg.Now()
	var (
		best  *server
		least float64
	)
	for _, s := range p.servers {
		if s.Leaving || tried[s.Name] {
			continue
		}
		s.failures.Fade(now, failureFor, 0)
		cost := float64(s.busy) + failureCost*s.failures.Mean(0) + p.cfg.Rand()/2
		cost += overFull * float64(max(0, s.busy+1-s.Slots))
		if s.Domain != p.cfg.Domain {
			cost += otherDomain
		}
		if !s.circuit.Allows(now) || p.cfg.Cut != nil && p.cfg.Cut(s.Address) {
			cost += 2 * failureCost
		}
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return nil
	}
	best.busy++
	best.circuit.Sent(now)
	return &Pick{server: best}
}

// Others reports whether a server is left that was not tried.
func (p *Pool) Others(tried map[string]bool) bool {
	for _, s := range p.servers {
		if !s.Leaving && !tried[s.Name] {
			return true
		}
	}
	return false
}

// Outcome tells what became of a request at a server.
type Outcome int

// The outcomes of a request.
const (
	Answered Outcome = iota
	Failed
	Left // the caller left
)

// Done ends a pick.
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
	case Left:
	}
}

// Len returns the number of servers.
func (p *Pool) Len() int { return len(p.servers) }
