// Package spill limits the prompts that an entry sends to the engines of other failure
// domains. The entry calls those engines directly, so that a prompt takes one hop at most.
package spill

import (
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	// Hop is the round-trip time to another failure domain, which reduces a prompt's deadline.
	Hop = 2 * time.Millisecond
	// spareFraction is the fraction of a failure domain's reported spare memory that other
	// domains may use until its next summary. The rest is left for its own prompts, which
	// have precedence.
	spareFraction = 0.5
	// The capacity used of a failure domain that is reachable again rises from rampStart to
	// all of it within rampDuration.
	rampStart    = 0.1
	rampDuration = 30 * time.Second
	// unknownDomainInterval is the interval of prompts to a failure domain that has sent no
	// summary yet. It may have no entries.
	unknownDomainInterval = time.Second
	tokensPerK            = 1000
)

// Seams are the functions of the membership that a Budget calls.
type Seams struct {
	// Summaries returns the summaries of the other failure domains that are recent.
	Summaries func() []*memberwire.Summary
	// Entries returns the number of live entries of this entry's failure domain.
	Entries func() int
}

type budgetKey struct{ domain, deployment string }

// domain is the state of another failure domain as of its last summary.
type domain struct {
	summaryTime uint64 // of the last summary, Unix milliseconds; 0 without any
	freshSince  time.Time
	fresh       bool
	lastProbe   time.Time
}

// Budget limits what this entry may send to other failure domains. It is safe for concurrent
// use.
type Budget struct {
	seams Seams
	now   func() time.Time

	mu        sync.Mutex
	domains   map[string]*domain
	remaining map[budgetKey]float64 // tokens that may be sent until the next summary
	sent      int64
	refused   int64
}

// New returns a Budget.
func New(seams Seams) *Budget {
	return &Budget{seams: seams, now: time.Now, domains: map[string]*domain{}, remaining: map[budgetKey]float64{}}
}

// Take deducts a prompt's tokens from the budget for the deployment in the named failure
// domain. It returns false if the budget does not suffice.
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
	if d.summaryTime == 0 { // no summary yet
		ok := b.now().Sub(d.lastProbe) >= unknownDomainInterval
		if ok {
			d.lastProbe = b.now()
		}
		return ok
	}
	key := budgetKey{name, deployment}
	if !d.fresh || b.remaining[key] < tokens {
		return false
	}
	b.remaining[key] -= tokens
	return true
}

// refresh applies new summaries. A failure domain without a recent one gets no prompts.
func (b *Budget) refresh() {
	fresh := map[string]bool{}
	list := b.seams.Summaries()
	for _, s := range list {
		fresh[s.GetDomain()] = true
		b.applySummary(s, len(list))
	}
	for name, d := range b.domains {
		d.fresh = fresh[name]
	}
}

// applySummary divides a failure domain's spare capacity among all entries that may send to
// it: those of all other failure domains. Their number is that of the summaries, and each is
// assumed to have as many entries as this entry's domain.
func (b *Budget) applySummary(s *memberwire.Summary, domains int) {
	d := b.domains[s.GetDomain()]
	if d == nil {
		d = &domain{}
		b.domains[s.GetDomain()] = d
	}
	if !d.fresh {
		d.freshSince = b.now()
	}
	if s.GetTimeMs() == d.summaryTime && d.fresh {
		return
	}
	d.summaryTime, d.fresh = s.GetTimeMs(), true
	fraction := spareFraction * rampFraction(b.now().Sub(d.freshSince)) / float64(max(1, b.seams.Entries())*max(1, domains))
	for _, spare := range s.GetSpare() {
		b.remaining[budgetKey{s.GetDomain(), spare.GetDeployment()}] = fraction * float64(spare.GetMemoryK()) * tokensPerK
	}
}

// rampFraction returns the fraction of its capacity that a failure domain gets when it has
// been reachable again for the elapsed time.
func rampFraction(elapsed time.Duration) float64 {
	return min(1, rampStart+(1-rampStart)*elapsed.Seconds()/rampDuration.Seconds())
}

// State is the Budget's part of the state dump.
type State struct {
	Sent    int64 `json:"sent"`
	Refused int64 `json:"refused"`
}

// State returns the Budget's part of the state dump.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Sent: b.sent, Refused: b.refused}
}
