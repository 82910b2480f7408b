// Package spill decides how many prompts an entry may send to the engines of other
// failure domains. It calls them directly, so that a prompt makes one hop at most.
package spill

import (
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	// Hop is what a prompt's deadline loses to another failure domain, both ways.
	Hop = 2 * time.Millisecond
	// sparePart of the spare memory that a failure domain tells may be used from
	// outside until it tells anew: its own prompts go first.
	sparePart = 0.5
	// A failure domain that is back takes little at first.
	rampFirst = 0.1
	rampTime  = 30 * time.Second
	// strangerEvery is the pace of prompts to a failure domain never heard of: it
	// may have no entries.
	strangerEvery = time.Second
	thousand      = 1000
)

// Seams are what a budget asks of the membership.
type Seams struct {
	// Summaries returns the fresh summaries of the other failure domains.
	Summaries func() []*memberwire.Summary
	// Entries returns how many entries of the own failure domain are live.
	Entries func() int
}

type place struct{ domain, deployment string }

// domain is another failure domain as it was last told.
type domain struct {
	told    uint64 // time of its newest summary
	since   time.Time
	fresh   bool
	visited time.Time
}

// Budget is what this entry may send to other failure domains. Its methods may be
// called from any goroutine.
type Budget struct {
	seams Seams
	now   func() time.Time

	mu      sync.Mutex
	domains map[string]*domain
	left    map[place]float64 // tokens, until the next summary
	sent    int64
	refused int64
}

// New returns a budget.
func New(seams Seams) *Budget {
	return &Budget{seams: seams, now: time.Now, domains: map[string]*domain{}, left: map[place]float64{}}
}

// Take takes the tokens of a prompt from what the failure domain can take over for
// the deployment, or returns false.
func (b *Budget) Take(name, deployment string, tokens int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	ok := b.take(name, deployment, float64(tokens))
	if ok {
		b.sent++
	} else {
		b.refused++
	}
	return ok
}

func (b *Budget) take(name, deployment string, tokens float64) bool {
	d := b.domains[name]
	if d == nil {
		d = &domain{}
		b.domains[name] = d
	}
	if d.told == 0 { // never heard of
		ok := b.now().Sub(d.visited) >= strangerEvery
		if ok {
			d.visited = b.now()
		}
		return ok
	}
	p := place{name, deployment}
	if !d.fresh || b.left[p] < tokens {
		return false
	}
	b.left[p] -= tokens
	return true
}

// refresh takes in new summaries. A failure domain without a fresh one takes nothing.
func (b *Budget) refresh() {
	fresh := map[string]bool{}
	list := b.seams.Summaries()
	for _, s := range list {
		fresh[s.GetDomain()] = true
		b.learn(s, len(list))
	}
	for name, d := range b.domains {
		d.fresh = fresh[name]
	}
}

// learn divides what a failure domain can take over among those that may ask for it:
// the entries of all other failure domains, which are as many as there are
// summaries, each taken to be as large as the own one.
func (b *Budget) learn(s *memberwire.Summary, domains int) {
	d := b.domains[s.GetDomain()]
	if d == nil {
		d = &domain{}
		b.domains[s.GetDomain()] = d
	}
	if !d.fresh {
		d.since = b.now()
	}
	if s.GetTimeMs() == d.told && d.fresh {
		return
	}
	d.told, d.fresh = s.GetTimeMs(), true
	part := sparePart * ramp(b.now().Sub(d.since)) / float64(max(1, b.seams.Entries())*max(1, domains))
	for _, spare := range s.GetSpare() {
		b.left[place{s.GetDomain(), spare.GetDeployment()}] = part * float64(spare.GetMemoryK()) * thousand
	}
}

// ramp returns the part of its capacity that what has been back for a time is given.
func ramp(back time.Duration) float64 {
	return min(1, rampFirst+(1-rampFirst)*back.Seconds()/rampTime.Seconds())
}

// State is the budget's part of the state dump.
type State struct {
	Sent    int64 `json:"sent"`
	Refused int64 `json:"refused"`
}

// State returns the budget's part of the state dump.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Sent: b.sent, Refused: b.refused}
}
