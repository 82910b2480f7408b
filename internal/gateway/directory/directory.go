// Package directory holds the upstreams that register themselves in the platform's
// store. Registrations of live upstreams expire during a store outage, so a removal
// seen in an outage or shortly after it takes effect only once upstreams have had
// time to register again.
package directory

import (
	"time"
)

// reregisterGrace is the time after an outage in which upstreams register again. The
// platform allows them about 2 seconds.
const reregisterGrace = 2300 * time.Millisecond

// Server is the registration of an upstream.
type Server struct {
	ID      string
	Service string
	Address string // host:port
	Domain  string // failure domain
	Slots   int    // requests that it runs concurrently
	Leaving bool   // it is draining
	Born    int64  // start time in Unix milliseconds; 0 if not given
}

// Directory is the set of known upstreams. It is not safe for concurrent use.
type Directory struct {
	servers     map[string]Server
	deferred    map[string]bool // removed in an outage or within reregisterGrace of its end
	storeDown   bool
	recoveredAt time.Time // end of the last outage
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]Server{}, deferred: map[string]bool{}}
}

// Put adds or replaces a registration and cancels its deferred removal. It reports
// whether anything changed.
func (d *Directory) Put(s Server) bool {
	old, ok := d.servers[s.ID]
	wasRemoved := d.deferred[s.ID]
	delete(d.deferred, s.ID)
	d.servers[s.ID] = s
	return !ok || wasRemoved || old != s
}

// Remove removes an upstream and reports whether it did so immediately. In an outage
// and within reregisterGrace of its end the removal is deferred, unless the upstream
// is draining.
func (d *Directory) Remove(id string, now time.Time) bool {
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	if !s.Leaving && d.defersRemovals(now) {
		d.deferred[id] = true
		return false
	}
	delete(d.servers, id)
	return true
}

// defersRemovals reports whether a removal may be a registration that expired because
// of an outage.
func (d *Directory) defersRemovals(now time.Time) bool {
	return d.storeDown || !d.recoveredAt.IsZero() && now.Sub(d.recoveredAt) < reregisterGrace
}

// Reached records whether the last call to the store was answered.
func (d *Directory) Reached(ok bool, now time.Time) {
	if d.storeDown && ok {
		d.recoveredAt = now
	}
	d.storeDown = !ok
}

// StoreDown reports whether the last call to the store was not answered.
func (d *Directory) StoreDown() bool { return d.storeDown }

// Settle carries out the deferred removals of upstreams that did not register again
// in time, and reports whether there were any.
func (d *Directory) Settle(now time.Time) bool {
	if len(d.deferred) == 0 || d.defersRemovals(now) {
		return false
	}
	for id := range d.deferred {
		delete(d.servers, id)
	}
	clear(d.deferred)
	return true
}

// SettleAt returns when the deferred removals take effect. It returns false if there
// are none, or the store is still down and the time is not known yet.
func (d *Directory) SettleAt() (time.Time, bool) {
	return d.recoveredAt.Add(reregisterGrace), len(d.deferred) > 0 && !d.storeDown
}

// IDs returns the ids of all upstreams.
func (d *Directory) IDs() []string {
	out := make([]string, 0, len(d.servers))
	for id := range d.servers {
		out = append(out, id)
	}
	return out
}

// Servers returns the upstreams of a service in no particular order.
func (d *Directory) Servers(service string) []Server {
	var out []Server
	for _, s := range d.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// Siblings returns the other upstream addresses in the failure domain of the upstream
// at address, or nil if that is unknown.
func (d *Directory) Siblings(address string) []string {
	domain, known := "", false
	for _, s := range d.servers {
		if s.Address == address {
			domain, known = s.Domain, true
		}
	}
	var out []string
	for _, s := range d.servers {
		if known && s.Domain == domain && s.Address != address {
			out = append(out, s.Address)
		}
	}
	return out
}

// Has reports whether the upstream with the id is known.
func (d *Directory) Has(id string) bool {
	_, ok := d.servers[id]
	return ok
}

// Len returns the number of upstreams.
func (d *Directory) Len() int { return len(d.servers) }
