package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/directory"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/grant"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// grantTimeout limits a call to an owner: failure domains are a few milliseconds apart, and a
	// granted request has to be sent within warmup.GrantTime.
	grantTimeout = 50 * time.Millisecond
	// maxOwnersAsked limits the owners that are asked for one request to an upstream, and
	// maxUpstreamsAsked the upstreams that a request of a plain service asks for.
	maxOwnersAsked    = 2
	maxUpstreamsAsked = 3
)

// coldRecord is what an entry knows of how long an upstream is cold.
type coldRecord struct {
	born   int64
	offset uint64 // of the record that it is from
	at     time.Time
	left   time.Duration // at that time, if known; else the service's cold time
	known  bool
	// since is when the entry saw a reason to count the upstream as cold itself, whatever its records
	// say: they may be older. Zero: there was none.
	since time.Time
}

// until returns when the upstream is no longer cold.
func (r coldRecord) until(coldTime time.Duration) time.Time {
	left := coldTime
	if r.known {
		left = r.left
	}
	until := r.at.Add(left)
	if at := r.since.Add(coldTime); !r.since.IsZero() && at.After(until) {
		return at
	}
	return until
}

// noteCold records how long an upstream is cold by its record. The first record of an incarnation that
// doesn't say so is one of a cold upstream. s.mu must be held.
func (s *scheduler) noteCold(r platform.Keyed, srv directory.Server, now time.Time) {
	old, known := s.cold[srv.ID]
	switch {
	case known && old.born > srv.Born:
		return // of a copy of the store
	case known && old.born == srv.Born && (!srv.ColdKnown || r.Offset == old.offset || r.Offset < s.restoredEnd):
		return
	}
	s.cold[srv.ID] = coldRecord{born: srv.Born, offset: r.Offset, at: now, left: srv.Cold, known: srv.ColdKnown, since: old.since}
	s.limitCold(srv.ID)
}

// limitCold limits the requests to an upstream while it is cold. s.mu must be held.
func (s *scheduler) limitCold(id string) {
	srv, ok := s.dir.Get(id)
	if !ok || s.table == nil {
		return
	}
	if svc := s.table.Service(srv.Service); svc != nil {
		s.warmup.Cold(id, s.cold[id].until(svc.ColdTime), svc.ColdRate)
	}
}

// configureCold applies the configuration and the known upstreams to the limits. s.mu must be held.
func (s *scheduler) configureCold() {
	for id := range s.cold {
		if !s.dir.Lists(id) {
			delete(s.cold, id)
			s.warmup.Cold(id, time.Time{}, 0)
			continue
		}
		s.limitCold(id)
	}
}

// countCold counts the matching upstreams as cold from now on for the cold time of their service. s.mu
// must be held.
func (s *scheduler) countCold(why string, matches func(u directory.Server) bool) {
	now := s.now()
	for id, r := range s.cold {
		u, ok := s.dir.Get(id)
		if !ok || !matches(u) {
			continue
		}
		r.since = now
		s.cold[id] = r
		s.limitCold(id)
		if s.warmup.IsCold(id) {
			s.log.Info("An upstream counts as cold.", "upstream", id, "domain", u.Domain, "why", why)
		}
	}
}

// Reconnected counts the upstream at an address as cold: it may have restarted while it could not be
// connected to.
func (s *scheduler) Reconnected(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCold("reconnected", func(u directory.Server) bool { return u.Address == address })
}

// evacuationEnded counts the upstreams of a failure domain whose evacuation was taken back as cold. s.mu
// must be held.
func (s *scheduler) evacuationEnded(domain string) {
	s.countCold("the evacuation was taken back", func(u directory.Server) bool { return u.Domain == domain })
}

// HeardCold records how long an upstream is cold by its own answer.
func (s *scheduler) HeardCold(id string, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.cold[id]
	if !ok {
		return
	}
	r.at, r.left, r.known = s.now(), left, true
	s.cold[id] = r
	s.limitCold(id)
}

// ColdToAsk returns a cold upstream of a service that this entry may not send to now and whose owners
// may grant a request, or "". Where there are other upstreams, a request asks for a cold one as often
// as it would be placed there if none were cold. Those in tried, in asked or in no home region are left out.
func (s *scheduler) ColdToAsk(service string, tried, asked map[string]bool, homes route.Homes) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, usable := s.askable(service, s.excluding(service, tried, homes), asked)
	if len(list) == 0 || usable > 0 && rand.IntN(usable+len(list)) >= len(list) {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// askable returns the cold upstreams of a service whose owners may be asked, and the number of those
// that may get a request now. An owner asks the others only if there is none. s.mu must be held.
func (s *scheduler) askable(service string, tried, asked map[string]bool) (list []string, usable int) {
	if s.warmup.Len() == 0 {
		return nil, 0
	}
	var owned []string
	for _, u := range s.servers[service] {
		switch {
		case u.Leaving || s.evacuations.Has(u.Domain) || tried[u.ID] || s.unreachable(u.Address):
		case s.warmup.Allows(u.ID):
			usable++
		case asked[u.ID]:
		default:
			if others, own := s.warmup.Owners(u.ID); own {
				owned = append(owned, u.ID)
			} else if len(others) > 0 {
				list = append(list, u.ID)
			}
		}
	}
	if usable == 0 {
		list = append(list, owned...)
	}
	return list, usable
}

// askForWaiting asks for a request to a cold engine if prompts wait and no other engine is left.
func (s *scheduler) askForWaiting() {
	s.mu.Lock()
	name := ""
	for service, p := range s.planners {
		if s.asking || p.Waiting() == 0 {
			continue
		}
		if list, usable := s.askable(service, nil, nil); usable == 0 && len(list) > 0 {
			s.asking, name = true, list[rand.IntN(len(list))]
		}
	}
	s.mu.Unlock()
	if name == "" {
		return
	}
	s.requestGrant(name, func() {
		s.mu.Lock()
		s.asking = false
		s.mu.Unlock()
		s.dispatch()
	})
}

// PickGranted selects a server of a plain service for which a request was granted, or returns nil.
func (s *scheduler) PickGranted(service, name string) *plain.Pick {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := map[string]bool{}
	for _, u := range s.servers[service] {
		others[u.ID] = u.ID != name
	}
	if p := s.pools[service]; p != nil {
		return p.Choose(others)
	}
	return nil
}

// pick selects a server for the request, after asking for a cold one if need be, or returns nil.
func (c *call) pick() *plain.Pick {
	var asked map[string]bool
	for range maxUpstreamsAsked {
		name := c.s.sched.ColdToAsk(c.service, c.tried, asked, c.homes)
		if name == "" {
			break
		}
		if asked == nil {
			asked = map[string]bool{}
		}
		asked[name] = true
		if !c.s.askOwners(c.ctx, name) {
			continue
		}
		if k := c.s.sched.PickGranted(c.service, name); k != nil {
			return k
		}
	}
	return c.s.sched.Pick(c.service, c.tried, c.homes)
}

// requestGrant asks the owners of a cold upstream in the background, and calls done.
func (s *Server) requestGrant(upstream string, done func()) {
	s.tasks.Go(func() {
		s.askOwners(s.ctx, upstream)
		done()
	})
}

// askOwners asks owners of a cold upstream for a request of their share, and reports whether one
// granted it.
func (s *Server) askOwners(ctx context.Context, upstream string) bool {
	owners, _ := s.sched.warmup.Owners(upstream)
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	asked := 0
	for _, vm := range owners {
		address := s.connected(vm)
		if address == "" || asked == maxOwnersAsked || ctx.Err() != nil {
			continue
		}
		asked++
		at := time.Now()
		err := grant.Ask(ctx, s.direct, address, upstream, grantTimeout)
		s.metrics.Scope().Tagged(map[string]string{"outcome": grantOutcome(err)}).Counter("grants_asked").Inc(1)
		if err == nil {
			s.sched.warmup.Granted(upstream, at)
			s.log.Info("An owner granted a request to a cold upstream.", "upstream", upstream, "owner", vm, "took_ms", time.Since(at).Milliseconds())
			return true
		}
		s.log.Debug("An owner granted no request to a cold upstream.", "upstream", upstream, "owner", vm, "err", err)
	}
	return false
}

func grantOutcome(err error) string {
	switch {
	case err == nil:
		return "granted"
	case fault.Is(err, grant.KindRefused):
		return "refused"
	}
	return "failed"
}

// connected returns the address of an entry if it is heard, or "".
func (s *Server) connected(vm string) string {
	s.mu.Lock()
	e := s.entries[vm]
	s.mu.Unlock()
	staying, leaving := s.exchange.Connected()
	for _, o := range append(staying, leaving...) {
		if o.Address == e.Address {
			return o.Address
		}
	}
	return ""
}
