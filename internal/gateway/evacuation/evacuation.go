// Package evacuation holds the failure domains that the operator has evacuated: nothing new goes to
// the upstreams of such a domain. It does no I/O.
package evacuation

import (
	"slices"
	"strings"
	"time"
)

// rewriteTime is how long an evacuation is kept that a restored store does not list. The operator
// writes it again within this time.
const rewriteTime = 10 * time.Second

// Record is a record of the store about a failure domain.
type Record struct {
	Domain    string
	Evacuated bool // false: the record was deleted
}

// Change is what records changed, in the order of the domains' names.
type Change struct {
	Evacuated []string
	TakenBack []string
}

// Any reports whether there is a change.
func (c Change) Any() bool { return len(c.Evacuated)+len(c.TakenBack) > 0 }

// State is an evacuation in the state dump.
type State struct {
	Domain string    `json:"domain"`
	Since  time.Time `json:"since"` // when this entry learned of it
	// KeptUntil is when an evacuation ends that a restored store does not list; nil: it is listed.
	KeptUntil *time.Time `json:"keptUntil,omitempty"`
}

// evacuation is the evacuation of a failure domain.
type evacuation struct {
	since     time.Time
	keptUntil time.Time // zero: it was listed since the last restore of the store
}

// Set is the set of evacuated failure domains. It is not safe for concurrent use.
type Set struct {
	now     func() time.Time
	domains map[string]*evacuation
}

// New returns an empty set. now is the clock.
func New(now func() time.Time) *Set { return &Set{now: now, domains: map[string]*evacuation{}} }

// Restored records that the store came back from a copy, which the next snapshot is of. The copy may
// be older than evacuations that are known.
func (s *Set) Restored() {
	for _, e := range s.domains {
		e.keptUntil = s.now().Add(rewriteTime)
	}
}

// Apply applies records in their order. If snapshot is set, they are all records, and evacuations
// that they lack were taken back, except those that a restored store may have lost.
func (s *Set) Apply(records []Record, snapshot bool) Change {
	before := s.names()
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Domain] = true
		switch e := s.domains[r.Domain]; {
		case !r.Evacuated:
			delete(s.domains, r.Domain)
		case e == nil:
			s.domains[r.Domain] = &evacuation{since: s.now()}
		default:
			e.keptUntil = time.Time{}
		}
	}
	for domain, e := range s.domains {
		if snapshot && !listed[domain] && !s.now().Before(e.keptUntil) {
			delete(s.domains, domain)
		}
	}
	return s.changeSince(before)
}

// Settle ends the evacuations that a restored store did not list in time. If the store can't be read,
// they are kept for as long again.
func (s *Set) Settle(storeDown bool) Change {
	before := s.names()
	for domain, e := range s.domains {
		switch {
		case e.keptUntil.IsZero() || s.now().Before(e.keptUntil):
		case storeDown:
			e.keptUntil = s.now().Add(rewriteTime)
		default:
			delete(s.domains, domain)
		}
	}
	return s.changeSince(before)
}

// SettleAt returns when Settle has something to do. It returns false if there is nothing.
func (s *Set) SettleAt() (time.Time, bool) {
	var first time.Time
	for _, e := range s.domains {
		if !e.keptUntil.IsZero() && (first.IsZero() || e.keptUntil.Before(first)) {
			first = e.keptUntil
		}
	}
	return first, !first.IsZero()
}

// Has reports whether a failure domain is evacuated.
func (s *Set) Has(domain string) bool { return s.domains[domain] != nil }

// Len returns the number of evacuated failure domains.
func (s *Set) Len() int { return len(s.domains) }

// State returns the evacuations, sorted by domain.
func (s *Set) State() []State {
	out := make([]State, 0, len(s.domains))
	for domain, e := range s.domains {
		st := State{Domain: domain, Since: e.since}
		if at := e.keptUntil; !at.IsZero() {
			st.KeptUntil = &at
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

// names returns the evacuated domains.
func (s *Set) names() map[string]bool {
	out := make(map[string]bool, len(s.domains))
	for domain := range s.domains {
		out[domain] = true
	}
	return out
}

func (s *Set) changeSince(before map[string]bool) Change {
	var c Change
	for domain := range s.domains {
		if !before[domain] {
			c.Evacuated = append(c.Evacuated, domain)
		}
	}
	for domain := range before {
		if !s.Has(domain) {
			c.TakenBack = append(c.TakenBack, domain)
		}
	}
	slices.Sort(c.Evacuated)
	slices.Sort(c.TakenBack)
	return c
}
