// Package directory holds the upstreams that register themselves in the platform's
// store. Registrations of live upstreams expire during a store outage, so a removal
// seen in an outage or shortly after it takes effect only once upstreams have had
// time to register again. A store that was restored from a copy may list upstreams that
// have left since.
package directory

import (
	"maps"
	"slices"
	"time"
)

// reregisterGrace is the time after an outage in which upstreams register again. The
// platform allows them about 2 seconds.
const reregisterGrace = 2300 * time.Millisecond

const (
	// goneRetention is how long a removed upstream is remembered, and maxGone how many are: a copy
	// of the store is some seconds old.
	goneRetention = time.Minute
	maxGone       = 4096
	// copyDoubtTime is how long after a restore a record of the copy may be of an upstream that is
	// gone: the store removes it after three intervals of silence.
	copyDoubtTime = 10 * time.Second
)

// Server is the registration of an upstream.
type Server struct {
	ID      string
	Service string
	Address string // host:port
	Domain  string // failure domain
	Slots   int    // requests that it runs concurrently
	Leaving bool   // it is draining
	Born    int64  // start time in Unix milliseconds; 0 if not given
	// Sequence rises with what the upstream writes from its start on; 0 if not given. A change of it
	// alone does not count as a change of the upstream.
	Sequence int64
	// Cold is how long the upstream is still cold, from the time of the record, if ColdKnown. It
	// changes with each record and does not count as a change of the upstream.
	Cold      time.Duration
	ColdKnown bool
}

// Precedes reports whether the upstream wrote s before t: of an earlier start, or of the same one,
// where an upstream that leaves does not come back, with a lower sequence. The order is unknown, and
// the result false, where the start of either is not given.
func (s Server) Precedes(t Server) bool {
	switch {
	case s.Born == 0 || t.Born == 0:
		return false
	case s.Born != t.Born:
		return s.Born < t.Born
	case s.Leaving != t.Leaving:
		return t.Leaving
	}
	return s.Sequence < t.Sequence
}

// Directory is the set of known upstreams. It is not safe for concurrent use.
type Directory struct {
	servers     map[string]Server
	deferred    map[string]bool // removed in an outage or within reregisterGrace of its end
	storeDown   bool
	recoveredAt time.Time // end of the last outage, or the last restore
	gone        map[string]departure
	heard       map[string]int64  // start of the upstreams that say in answers that they leave
	doubted     map[string]Server // records of the copy whose upstreams were removed before the restore
	restoredAt  time.Time
}

// departure is the removal of an upstream.
type departure struct {
	born    int64
	leaving bool // it had said that it leaves
	at      time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]Server{}, deferred: map[string]bool{}, gone: map[string]departure{}, heard: map[string]int64{}, doubted: map[string]Server{}}
}

// Restored records that the store came back from a copy. Upstreams that registered since the
// copy was made are not in it until they register again.
func (d *Directory) Restored(now time.Time) {
	d.restoredAt, d.recoveredAt = now, now
}

// PutCopied adds a registration that may be older than what is known, since the store was restored
// from a copy, and reports whether anything changed. An upstream stays leaving, one that was
// removed is not used until it has had the time to be removed again, and a later start of it
// counts more.
func (d *Directory) PutCopied(s Server, now time.Time) bool {
	old, known := d.servers[s.ID]
	gone, removed := d.gone[s.ID]
	switch {
	case known && old.Born > s.Born, !known && removed && gone.born > s.Born:
		return false
	case known && old.Born == s.Born:
		s.Leaving = s.Leaving || old.Leaving
	case !known && removed && gone.born == s.Born && now.Sub(d.restoredAt) < copyDoubtTime:
		s.Leaving = s.Leaving || gone.leaving
		d.doubted[s.ID] = s
		return false
	}
	return d.Put(s)
}

// Put adds or replaces a registration and cancels its deferred removal. It reports
// whether anything changed.
func (d *Directory) Put(s Server) bool {
	old, ok := d.servers[s.ID]
	wasRemoved := d.deferred[s.ID]
	delete(d.deferred, s.ID)
	delete(d.doubted, s.ID)
	delete(d.gone, s.ID)
	if born, ok := d.heard[s.ID]; ok && born != s.Born {
		delete(d.heard, s.ID)
	} else if ok {
		s.Leaving = true
	}
	d.servers[s.ID] = s
	old.Cold, old.ColdKnown, old.Sequence = s.Cold, s.ColdKnown, s.Sequence
	return !ok || wasRemoved || old != s
}

// HeardLeaving records that the upstream with the id says that it leaves, in the answer to a request that
// was sent at the given time. That holds until it is removed or has started again, whatever its records
// say. It reports whether anything changed.
func (d *Directory) HeardLeaving(id string, sentAt time.Time) bool {
	s, ok := d.servers[id]
	if !ok || s.Leaving || time.UnixMilli(s.Born).After(sentAt) { // the answer is of an earlier start
		return false
	}
	s.Leaving = true
	d.servers[id], d.heard[id] = s, s.Born
	return true
}

// Remove removes an upstream and reports whether it did so immediately. In an outage
// and within reregisterGrace of its end the removal is deferred, unless the upstream
// is draining.
func (d *Directory) Remove(id string, now time.Time) bool {
	delete(d.doubted, id)
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	if !s.Leaving && d.defersRemovals(now) {
		d.deferred[id] = true
		return false
	}
	delete(d.deferred, id)
	d.remove(s, now)
	return true
}

// remove removes an upstream, and remembers it.
func (d *Directory) remove(s Server, now time.Time) {
	delete(d.servers, s.ID)
	delete(d.heard, s.ID)
	if len(d.gone) >= maxGone {
		maps.DeleteFunc(d.gone, func(_ string, g departure) bool { return now.Sub(g.at) > goneRetention })
	}
	if len(d.gone) < maxGone {
		d.gone[s.ID] = departure{s.Born, s.Leaving, now}
	}
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

// Uninterrupted records that the last time without an answer was no outage: the store served others, so
// that no registration expired because of it.
func (d *Directory) Uninterrupted() { d.recoveredAt = d.restoredAt }

// StoreDown reports whether the last call to the store was not answered.
func (d *Directory) StoreDown() bool { return d.storeDown }

// Settle carries out the deferred removals of upstreams that did not register again
// in time, adds those that a restored store still lists after copyDoubtTime, and reports whether
// there were any.
func (d *Directory) Settle(now time.Time) bool {
	if d.storeDown {
		return false
	}
	changed := false
	if !d.defersRemovals(now) {
		for id := range d.deferred {
			changed = true
			d.remove(d.servers[id], now)
		}
		clear(d.deferred)
	}
	if now.Sub(d.restoredAt) >= copyDoubtTime {
		for _, s := range d.doubted {
			changed = true
			d.Put(s)
		}
	}
	return changed
}

// SettleAt returns when Settle has something to do. It returns false if there is nothing, or the
// store is still down and the time is not known yet.
func (d *Directory) SettleAt() (time.Time, bool) {
	if len(d.deferred) > 0 {
		return d.recoveredAt.Add(reregisterGrace), !d.storeDown
	}
	return d.restoredAt.Add(copyDoubtTime), len(d.doubted) > 0 && !d.storeDown
}

// IDs returns the ids of all upstreams, and of those that only a restored store lists.
func (d *Directory) IDs() []string {
	return slices.AppendSeq(slices.Collect(maps.Keys(d.servers)), maps.Keys(d.doubted))
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
	own, known := d.At(address)
	var out []string
	for _, s := range d.servers {
		if known && s.Domain == own.Domain && s.Address != address {
			out = append(out, s.Address)
		}
	}
	return out
}

// At returns the upstream at an address, and whether there is one.
func (d *Directory) At(address string) (Server, bool) {
	for _, s := range d.servers {
		if s.Address == address {
			return s, true
		}
	}
	return Server{}, false
}

// Takes reports whether there is an upstream at an address that does not leave.
func (d *Directory) Takes(address string) bool {
	for _, s := range d.servers {
		if s.Address == address && !s.Leaving {
			return true
		}
	}
	return false
}

// Services returns the addresses of the upstreams, in a list for each service.
func (d *Directory) Services() [][]string {
	lists := map[string][]string{}
	for _, s := range d.servers {
		lists[s.Service] = append(lists[s.Service], s.Address)
	}
	return slices.Collect(maps.Values(lists))
}

// Get returns the upstream with the id, and whether it is known.
func (d *Directory) Get(id string) (Server, bool) {
	s, ok := d.servers[id]
	return s, ok
}

// Lists reports whether the upstream with the id is known, or only a restored store lists it.
func (d *Directory) Lists(id string) bool {
	_, doubted := d.doubted[id]
	return doubted || d.Has(id)
}

// Has reports whether the upstream with the id is known.
func (d *Directory) Has(id string) bool {
	_, ok := d.servers[id]
	return ok
}

// Len returns the number of upstreams.
func (d *Directory) Len() int { return len(d.servers) }
