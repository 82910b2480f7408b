// Package directory keeps the upstreams that register themselves in the platform's
// store. Entries lapse while the store is away, so a removal that may be such a
// lapse takes effect only some time after the store's return.
package directory

import (
	"time"
)

// lapseGrace is the time after the store's return in which upstreams register
// anew: the platform gives about 2 seconds.
const lapseGrace = 2300 * time.Millisecond

// Server is an upstream as it tells of itself.
type Server struct {
	ID      string
	Service string
	Address string // host:port
	Domain  string // failure domain
	Slots   int    // requests that it runs at once
	Leaving bool
	Born    int64 // time of its start, Unix milliseconds; 0 where it tells none
}

// Directory is the set of upstreams. It belongs to one goroutine at a time.
type Directory struct {
	servers map[string]Server
	lapsed  map[string]bool // removed while the store was away or just back
	away    bool
	back    time.Time // when the store was last reached after it was away
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]Server{}, lapsed: map[string]bool{}}
}

// Put takes in what an upstream tells and reports whether it changed anything.
func (d *Directory) Put(s Server) bool {
	old, ok := d.servers[s.ID]
	lapsed := d.lapsed[s.ID]
	delete(d.lapsed, s.ID)
	d.servers[s.ID] = s
	return !ok || lapsed || old != s
}

// Remove takes out an upstream and reports whether it changed anything at once.
func (d *Directory) Remove(id string, now time.Time) bool {
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	if !s.Leaving && d.unsettled(now) {
		d.lapsed[id] = true
		return false
	}
	delete(d.servers, id)
	return true
}

func (d *Directory) unsettled(now time.Time) bool {
	return d.away || !d.back.IsZero() && now.Sub(d.back) < lapseGrace
}

// Reached notes whether the store answered.
func (d *Directory) Reached(ok bool, now time.Time) {
	if d.away && ok {
		d.back = now
	}
	d.away = !ok
}

// Away reports whether the store did not answer last.
func (d *Directory) Away() bool { return d.away }

// Settle removes the upstreams that lapsed and did not register again in time. It
// reports whether there were any.
func (d *Directory) Settle(now time.Time) bool {
	if len(d.lapsed) == 0 || d.unsettled(now) {
		return false
	}
	for id := range d.lapsed {
		delete(d.servers, id)
	}
	clear(d.lapsed)
	return true
}

// SettleAt returns when the removals that may be lapses take effect, and whether
// there are any for which that is known.
func (d *Directory) SettleAt() (time.Time, bool) {
	return d.back.Add(lapseGrace), len(d.lapsed) > 0 && !d.away
}

// IDs returns the ids of all upstreams.
func (d *Directory) IDs() []string {
	out := make([]string, 0, len(d.servers))
	for id := range d.servers {
		out = append(out, id)
	}
	return out
}

// Servers returns the upstreams of a service, in no order.
func (d *Directory) Servers(service string) []Server {
	var out []Server
	for _, s := range d.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// Siblings returns the other addresses in the failure domain of an address.
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

// Len returns the number of upstreams.
func (d *Directory) Len() int { return len(d.servers) }
