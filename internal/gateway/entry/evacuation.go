package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/gateway/evacuation"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// noUpstreamRetryAfter is the Retry-After where no upstream stays that a request may go to, because of
// an evacuation or its home regions.
const noUpstreamRetryAfter = time.Second

var (
	errEvacuated = errors.New("the failure domain is evacuated")
	errLeaves    = errors.New("the upstream leaves")
)

// decodeEvacuations returns the evacuations among records of the configuration's topic.
func decodeEvacuations(records []platform.Keyed) []evacuation.Record {
	var out []evacuation.Record
	for _, r := range records {
		if domain, ok := platform.EvacuatedDomain(r.Key); ok {
			out = append(out, evacuation.Record{Domain: domain, Evacuated: r.Value != nil})
		}
	}
	return out
}

// ApplyEvacuations applies records of evacuations. If snapshot is set, they are all of them.
func (s *scheduler) ApplyEvacuations(records []evacuation.Record, snapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuationsChanged(s.evacuations.Apply(records, snapshot), "deleted")
}

// EvacuationsRestored records that the store came back from a copy, which may lack evacuations.
func (s *scheduler) EvacuationsRestored(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.Restored()
	if n := s.evacuations.Len(); n > 0 {
		s.log.Warn("The store was restored; evacuations that its copy lacks are kept for a while.", "known", n)
	}
	s.scheduleEvacuations()
}

// evacuationsChanged logs a change of the evacuations and applies it to the planners and pools. s.mu
// must be held.
func (s *scheduler) evacuationsChanged(c evacuation.Change, why string) {
	for _, domain := range c.Evacuated {
		s.log.Warn("A failure domain is evacuated.", "domain", domain)
	}
	for _, domain := range c.TakenBack {
		s.log.Warn("The evacuation of a failure domain was taken back.", "domain", domain, "why", why)
		s.evacuationEnded(domain) // before configure, which may place requests there
	}
	if c.Any() {
		s.configure()
	}
	s.scheduleEvacuations()
}

// scheduleEvacuations sets a timer for evacuations that a restored store lacks. s.mu must be held.
func (s *scheduler) scheduleEvacuations() {
	at, ok := s.evacuations.SettleAt()
	if !ok || s.evacuationTimer {
		return
	}
	s.evacuationTimer = true
	time.AfterFunc(at.Sub(s.now()), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evacuationTimer = false
		s.evacuationsChanged(s.evacuations.Settle(s.dir.StoreDown()), "the restored store lacks it")
	})
}

// Evacuated reports whether nothing new goes to the upstream at an address.
func (s *scheduler) Evacuated(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuations.Len() == 0 {
		return false
	}
	u, ok := s.dir.At(address)
	return ok && s.evacuations.Has(u.Domain)
}

// allows returns a function that reports whether a request may run in a failure domain; nil: in all.
func (s *scheduler) allows(homes route.Homes) func(domain string) bool {
	if homes == nil {
		return nil
	}
	return func(domain string) bool { return homes.Allow(s.regions[domain]) }
}

// excluding returns tried and the upstreams of a service that are in no home region. s.mu must be
// held.
func (s *scheduler) excluding(service string, tried map[string]bool, homes route.Homes) map[string]bool {
	if homes == nil {
		return tried
	}
	out := map[string]bool{}
	maps.Copy(out, tried)
	for _, u := range s.dir.Servers(service) {
		if !homes.Allow(s.regions[u.Domain]) {
			out[u.ID] = true
		}
	}
	return out
}

// LacksUpstreams reports whether a request has no upstream that stays because of an evacuation or its
// home regions.
func (s *scheduler) LacksUpstreams(service string, homes route.Homes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	restricted := homes != nil
	for _, u := range s.dir.Servers(service) {
		evacuated := s.evacuations.Has(u.Domain)
		if !u.Leaving && !evacuated && homes.Allow(s.regions[u.Domain]) {
			return false
		}
		restricted = restricted || evacuated
	}
	return restricted
}

// setOwner sets the workspace of the request, nil if it has no known key, and its home regions.
func (c *call) setOwner(w *route.Workspace) {
	if w == nil {
		c.homes = route.NewHomes(c.route.Homes)
		return
	}
	c.owner, c.workspace, c.homes = w, w.Name, route.NewHomes(c.route.Homes, w.Homes)
}

const (
	// routePriorities is how many priorities of routes are told apart within one of workspaces.
	routePriorities = 3
	// leastUrgent is the largest urgency that engines know.
	leastUrgent = 9
)

// urgency returns the rank of the request, 0 for the first. The priority of its workspace goes before
// that of its route, which decides among requests of workspaces with the same one.
func (c *call) urgency() int {
	if c.owner == nil || c.owner.Priority == nil {
		return c.route.Priority
	}
	return min(leastUrgent, routePriorities**c.owner.Priority+min(c.route.Priority, routePriorities-1))
}

// homesKey is the key of a context's route.Homes.
type homesKey struct{}

// withHomes returns a context for connections of a request with home regions.
func withHomes(ctx context.Context, homes route.Homes) context.Context {
	if homes == nil {
		return ctx
	}
	return context.WithValue(ctx, homesKey{}, homes)
}

// mayDetour reports whether a connection with the context may go through an entry. The own region is
// allowed, since the caller is there.
func (s *Server) mayDetour(ctx context.Context, o sends.Peer) bool {
	homes, _ := ctx.Value(homesKey{}).(route.Homes)
	region := s.cfg.Regions[o.Domain]
	own := o.Domain == s.cfg.FailureDomain || region != "" && region == s.cfg.Regions[s.cfg.FailureDomain]
	return own || homes.Allow(region)
}

// dialUpstream connects to an upstream, through another entry if it is reached so only.
func (s *Server) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	if ctx.Value(homesKey{}) != nil && s.reach.HasDetour(address) && len(s.detours(ctx, address)) == 0 {
		return nil, fail("detour", KindUnsent, errNoEntry) // other requests may still have one
	}
	return s.reach.Dial(ctx, address)
}

// upstreamKey is the key of the id of the upstream that a request is sent to.
type upstreamKey struct{}

// withUpstream returns a context for connections to the upstream with the id.
func withUpstream(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, upstreamKey{}, id)
}

// refusesWork returns why nothing new goes to an upstream, or nil.
func (s *Server) refusesWork(ctx context.Context, address string) error {
	if s.sched.Evacuated(address) {
		return errEvacuated
	}
	if id, ok := ctx.Value(upstreamKey{}).(string); ok && s.sched.Leaves(id) {
		return errLeaves
	}
	return nil
}

// takesNothingNew reports whether err is for an upstream that gets nothing new. It says nothing about how
// the upstream does.
func takesNothingNew(err error) bool {
	return errors.Is(err, errEvacuated) || errors.Is(err, errLeaves)
}

// dialForWork connects to an upstream to send it something new. The upstream may have been evacuated
// since it was chosen, or have said that it leaves, also while the connection was made.
func (s *Server) dialForWork(ctx context.Context, address string) (net.Conn, error) {
	if err := s.refusesWork(ctx, address); err != nil {
		return nil, fail("connect", KindUnsent, err)
	}
	conn, err := s.dialUpstream(tunnel.ForWork(ctx), address)
	if err != nil {
		return nil, err
	}
	if err := s.refusesWork(ctx, address); err != nil {
		_ = conn.Close() // unused
		return nil, fail("connect", KindUnsent, err)
	}
	return conn, nil
}

// needsEvacuated reports whether an engine of the request is evacuated.
func (es *engineStream) needsEvacuated() bool {
	if _, address := es.ticket.Engine(); es.c.s.sched.Evacuated(address) {
		return true
	}
	for _, h := range es.ticket.Helpers() {
		if es.c.s.sched.Evacuated(h.Address) {
			return true
		}
	}
	return false
}
