// Package warmup limits the requests that cold upstreams get. The limit is for all entries together
// and is kept without hearing from them: each cold upstream has a few owners, chosen by rendezvous
// hashing over the registered entries, that share its rate. The other entries send it nothing, unless
// an owner grants them a request of its share.
package warmup

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/xxh3"
)

const (
	maxOwners = 4
	// minOwnerRate is the least part of a rate for which there is one more owner, in requests a second.
	minOwnerRate = 2.0
	// minRate replaces lower rates: an upstream that is never asked does not warm up.
	minRate = 0.1
	// minUnknownEntries is the least number of entries that a rate is divided by while the list of
	// entries is unknown.
	minUnknownEntries = 32
	// burstTime is how long an owner may save up its share, beyond one request. Queues are checked
	// each 15 ms.
	burstTime = 50 * time.Millisecond
	// handoverDelay is how long a new owner waits. Entries read a change of the list within a second,
	// and the previous owner sends until then.
	handoverDelay = 1500 * time.Millisecond
)

// GrantTime is how long a granted request may be sent, from when the owner was asked. Owners count it
// when they grant it, so that it may add to what they send up to that much later.
const GrantTime = 100 * time.Millisecond

// Settings are the settings and dependencies of a Limiter.
type Settings struct {
	Self    string // name of this entry
	Overrun float64
	Slack   float64 // an upstream may get its rate times Overrun, and Slack, in a second
	Now     func() time.Time
	Log     *log.Logger
}

// Limiter limits one entry's requests to cold upstreams. It is safe for concurrent use.
type Limiter struct {
	cfg Settings

	mu        sync.Mutex
	upstreams map[string]*upstream
	entries   []string // registered, sorted; nil: unknown
	changedAt time.Time
}

// upstream is a cold upstream.
type upstream struct {
	until    time.Time
	rate     float64   // requests a second from all entries
	owners   []string  // unknown while the list of entries is
	share    float64   // of it that this entry may send
	startsAt time.Time // when this entry may begin to send
	tokens   float64
	filledAt time.Time
	granted  []time.Time // when the requests expire that other entries granted
}

// Upstream is the state of a cold upstream.
type Upstream struct {
	Until     time.Time `json:"until"`
	PerSecond float64   `json:"perSecond"` // that it takes from all entries
	Share     float64   `json:"share"`     // of it that this entry may send; 0: it is no owner
}

// New returns a limiter that limits nothing.
func New(cfg Settings) *Limiter { return &Limiter{cfg: cfg, upstreams: map[string]*upstream{}} }

// Cold records that an upstream is cold until a time and takes a rate of requests a second from all
// entries by then. It is not limited if the time has passed, or the rate is 0.
func (q *Limiter) Cold(name string, until time.Time, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, u := q.cfg.Now(), q.upstreams[name]
	if !until.After(now) || rate <= 0 {
		if u != nil {
			q.end(name)
		}
		return
	}
	if u != nil && u.rate == rate {
		u.until = until
		return
	}
	if u == nil {
		u = &upstream{filledAt: now, startsAt: now}
		q.upstreams[name] = u
		if q.entries == nil {
			u.tokens = -float64(hash(name, q.cfg.Self)%1024) / 1024 // entries that start together don't send together
		} else if at := q.changedAt.Add(handoverDelay); at.After(now) {
			u.startsAt = at
		}
	}
	u.fill(now)
	u.until, u.rate = until, rate
	q.chooseOwners(name, u)
	q.cfg.Log.Info("An upstream is cold.", "upstream", name, "for_ms", until.Sub(now).Milliseconds(), "per_second", rate, "share", u.share)
}

// end lifts the limit of an upstream. q.mu must be held.
func (q *Limiter) end(name string) {
	delete(q.upstreams, name)
	q.cfg.Log.Info("An upstream is no longer cold.", "upstream", name)
}

// cold returns a cold upstream, or nil. q.mu must be held.
func (q *Limiter) cold(name string, now time.Time) *upstream {
	u := q.upstreams[name]
	if u != nil && !u.until.After(now) {
		q.end(name)
		return nil
	}
	return u
}

// IsCold reports whether an upstream is cold.
func (q *Limiter) IsCold(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cold(name, q.cfg.Now()) != nil
}

// Allows reports whether this entry may send the upstream a request now.
func (q *Limiter) Allows(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	u := q.cold(name, now)
	if u == nil {
		return true
	}
	return u.hasGrant(now) || u.hasToken(now)
}

// hasToken reports whether this entry is an owner and has a request of its share left.
func (u *upstream) hasToken(now time.Time) bool {
	u.fill(now)
	return u.share > 0 && u.tokens >= 1
}

// hasGrant drops the expired grants and reports whether one is left.
func (u *upstream) hasGrant(now time.Time) bool {
	u.granted = slices.DeleteFunc(u.granted, func(until time.Time) bool { return !until.After(now) })
	return len(u.granted) > 0
}

// Grant takes a request of this entry's share for another entry, and reports whether there was one.
func (q *Limiter) Grant(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	u := q.cold(name, now)
	if u == nil || q.entries == nil || !u.hasToken(now) {
		return false
	}
	u.tokens--
	return true
}

// Granted records that an owner granted a request that it was asked for at a time.
func (q *Limiter) Granted(name string, askedAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u := q.upstreams[name]; u != nil {
		u.granted = append(u.granted, askedAt.Add(GrantTime))
	}
}

// Owners returns the other entries that own a cold upstream, and whether this one does. They are
// unknown while the list of entries is.
func (q *Limiter) Owners(name string) (others []string, own bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.cold(name, q.cfg.Now())
	if u == nil || q.entries == nil {
		return nil, false
	}
	others = slices.DeleteFunc(slices.Clone(u.owners), func(entry string) bool { return entry == q.cfg.Self })
	return others, u.share > 0
}

// Take records that a request is sent to the upstream.
func (q *Limiter) Take(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.upstreams[name]
	switch {
	case u == nil:
	case u.hasGrant(q.cfg.Now()):
		u.granted = u.granted[1:]
	default:
		u.tokens--
	}
}

// Return takes back a request that did not reach the upstream.
func (q *Limiter) Return(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u := q.upstreams[name]; u != nil {
		u.tokens = min(u.capacity(), u.tokens+1)
	}
}

func (u *upstream) capacity() float64 { return 1 + u.share*burstTime.Seconds() }

// fill adds what this entry may send since the last call.
func (u *upstream) fill(now time.Time) {
	if from := later(u.filledAt, u.startsAt); now.After(from) {
		u.tokens = min(u.capacity(), u.tokens+u.share*now.Sub(from).Seconds())
		u.filledAt = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetEntries replaces the registered entries. An entry that becomes an owner waits until the previous
// one knows the change.
func (q *Limiter) SetEntries(list []string) {
	list = slices.Sorted(slices.Values(list))
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.entries != nil && slices.Equal(list, q.entries) {
		return
	}
	now, known := q.cfg.Now(), q.entries != nil
	q.entries, q.changedAt = append([]string{}, list...), now // never nil
	for name, u := range q.upstreams {
		u.fill(now)
		owned := known && u.share > 0
		q.chooseOwners(name, u)
		if u.share > 0 && !owned {
			u.tokens, u.startsAt = 0, now.Add(handoverDelay)
		}
		u.tokens = min(u.tokens, u.capacity())
	}
}

// chooseOwners chooses the owners of an upstream, and sets this entry's share of its rate. q.mu must be
// held.
func (q *Limiter) chooseOwners(name string, u *upstream) {
	rate := max(minRate, u.rate)
	if q.entries == nil {
		u.owners, u.share = nil, rate/minUnknownEntries
		return
	}
	count, share := q.divide(rate)
	type ranked struct {
		entry string
		hash  uint64
	}
	var best []ranked
	for _, entry := range q.entries { // sorted, so that all entries order equal hashes alike
		r := ranked{entry, hash(name, entry)}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), -1) })
		if at < count {
			best = slices.Insert(best, at, r)
			best = best[:min(len(best), count)]
		}
	}
	u.owners, u.share = nil, 0
	for _, r := range best {
		u.owners = append(u.owners, r.entry)
	}
	if slices.Contains(u.owners, q.cfg.Self) {
		u.share = share
	}
}

// divide returns the number of owners of an upstream with a rate, and the share of each. Each owner
// may send one request, burstTime and GrantTime more than its share in a second, and while entries know
// lists that differ by one entry there is one more owner. Rates for which that is above the bound are
// lowered.
func (q *Limiter) divide(rate float64) (owners int, share float64) {
	bound := rate*q.cfg.Overrun + q.cfg.Slack
	best := 0.0
	for n := 1; n <= max(1, min(maxOwners, len(q.entries), int(rate/minOwnerRate))); n++ {
		count := float64(n)
		total := min(rate, (bound-count-1)/((1+1/count)*(1+(burstTime+GrantTime).Seconds())))
		if total >= best {
			owners, best = n, total
		}
	}
	if owners == 0 || best < minRate {
		return 1, minRate
	}
	return owners, best / float64(owners)
}

func hash(upstream, entry string) uint64 { return xxh3.HashString(upstream + " " + entry) }

// Len returns the number of upstreams that are limited, with those whose cold time has just passed.
func (q *Limiter) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.upstreams)
}

// State returns the cold upstreams by name.
func (q *Limiter) State() map[string]Upstream {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, out := q.cfg.Now(), map[string]Upstream{}
	for _, name := range slices.Collect(maps.Keys(q.upstreams)) {
		if u := q.cold(name, now); u != nil {
			out[name] = Upstream{Until: u.until, PerSecond: u.rate, Share: u.share}
		}
	}
	return out
}
