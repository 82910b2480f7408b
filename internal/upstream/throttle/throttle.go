// Package throttle keeps requests to upstreams within the rates that they name in their answers. A
// rate is for all entries together. For each upstream a few of them, its senders, share it, and the
// others send it nothing: a rate of two a second can't be divided among a thousand entries. All
// entries choose the same senders, by a hash of the upstream and the entry, and report the rates that
// they hear to each other.
package throttle

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
	// minSenderRate is the least part of a rate that a sender gets, in requests a second, where the
	// rate has as much.
	minSenderRate = 2.0
	// minRate replaces lower rates: an upstream that is never asked can't say that it takes more.
	minRate = 0.1
	// sharesTTL is how long the senders of an upstream are kept before they are chosen again.
	sharesTTL = 500 * time.Millisecond
	// liftedTTL is how long an entry reports that an upstream names no rate any more.
	liftedTTL = 10 * time.Second
	// burstTime is how long a sender may save up its part of a rate, beyond one request.
	burstTime = 100 * time.Millisecond
	// reportSkew is the error of a time in a report: the transit of a message.
	reportSkew   = 50 * time.Millisecond
	maxUpstreams = 4096 // whose rates are known
)

// Rate is what an upstream named in an answer.
type Rate struct {
	Upstream  string
	PerSecond float64 // 0: it named none
	At        time.Time
}

// Members are the entries that may send to upstreams.
type Members struct {
	Self   string
	Live   []string // those that serve, with this one unless it leaves
	Silent int      // entries that may serve and can't be heard
}

// Settings are the settings and dependencies of a Throttle.
type Settings struct {
	Now     func() time.Time
	Members func() Members
	Changed func() // called when the report has changed
	Log     *log.Logger
}

// Throttle limits one entry's requests to upstreams. It is safe for concurrent use.
type Throttle struct {
	cfg Settings

	mu        sync.Mutex
	upstreams map[string]*upstream
	members   Members
	membersAt time.Time
}

// upstream is an upstream that names a rate, or has named one lately.
type upstream struct {
	rate     Rate
	own      bool    // this entry has heard the latest rate itself, so that it reports it
	share    float64 // requests a second that this entry may send
	chosenAt time.Time
	tokens   float64
	filledAt time.Time
}

// New returns a throttle that limits nothing.
func New(cfg Settings) *Throttle { return &Throttle{cfg: cfg, upstreams: map[string]*upstream{}} }

// Heard records the rate that an upstream named in an answer to a request that was sent at a time; 0
// if it named none.
func (q *Throttle) Heard(name string, sentAt time.Time, perSecond float64) {
	q.mu.Lock()
	u := q.upstreams[name]
	if perSecond <= 0 && (u == nil || u.rate.PerSecond <= 0 || !sentAt.After(u.rate.At)) {
		q.mu.Unlock() // the answer may be older than the rate
		return
	}
	now := q.cfg.Now()
	changed := u == nil || u.rate.PerSecond != perSecond
	q.set(Rate{Upstream: name, PerSecond: max(0, perSecond), At: now}, true, now)
	q.mu.Unlock()
	if changed {
		q.cfg.Changed()
	}
}

// set records a rate. q.mu must be held.
func (q *Throttle) set(r Rate, own bool, now time.Time) {
	u := q.upstreams[r.Upstream]
	if u == nil {
		if r.PerSecond <= 0 || len(q.upstreams) >= maxUpstreams {
			return
		}
		u = &upstream{filledAt: now}
		q.upstreams[r.Upstream] = u
	}
	was := u.rate.PerSecond
	if was <= 0 {
		u.tokens, u.filledAt = 0, now
	}
	u.rate, u.own, u.chosenAt = r, own, time.Time{}
	if was != r.PerSecond {
		q.refill(u, now)
		q.cfg.Log.Info("An upstream names another limit.", "upstream", r.Upstream, "per_second", r.PerSecond, "was", was, "heard", own, "share", u.share)
	}
}

// Allows reports whether this entry may send the upstream a request now.
func (q *Throttle) Allows(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.upstreams[name]
	if u == nil || u.rate.PerSecond <= 0 {
		return true
	}
	q.refill(u, q.cfg.Now())
	return u.tokens >= 1
}

// Take records that a request is sent to the upstream.
func (q *Throttle) Take(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u := q.upstreams[name]; u != nil && u.rate.PerSecond > 0 {
		u.tokens--
	}
}

// refill adds what the upstream may get since the last call. q.mu must be held.
func (q *Throttle) refill(u *upstream, now time.Time) {
	if share := u.share; now.Sub(u.chosenAt) >= sharesTTL {
		if now.Sub(q.membersAt) >= sharesTTL {
			q.members, q.membersAt = q.cfg.Members(), now
		}
		u.share, u.chosenAt = shareOf(u.rate, q.members), q.membersAt
		if share == 0 {
			u.tokens, u.filledAt = min(u.tokens, 0), now // another entry may have sent till now
		}
	}
	u.tokens = min(1+u.share*burstTime.Seconds(), u.tokens+u.share*now.Sub(u.filledAt).Seconds())
	u.filledAt = now
}

// shareOf returns the part of an upstream's rate that this entry may send.
func shareOf(r Rate, m Members) float64 {
	if !slices.Contains(m.Live, m.Self) {
		return 0
	}
	// Entries that are silent may be cut off and send as well.
	rate := max(minRate, r.PerSecond) * float64(len(m.Live)) / float64(len(m.Live)+m.Silent)
	senders := max(1, min(len(m.Live), int(rate/minSenderRate)))
	hash := func(entry string) uint64 { return xxh3.HashString(r.Upstream + " " + entry) }
	first := hash(m.Self)
	before := 0
	for _, entry := range m.Live {
		if entry != m.Self && cmp.Or(cmp.Compare(hash(entry), first), cmp.Compare(entry, m.Self)) < 0 {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return rate / float64(senders)
}

// Forget drops the upstreams that keep does not report.
func (q *Throttle) Forget(keep func(name string) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.upstreams, func(name string, _ *upstream) bool { return !keep(name) })
}

// Report returns the rates that this entry has heard last, sorted by upstream.
func (q *Throttle) Report() []Rate {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var out []Rate
	for _, name := range slices.Sorted(maps.Keys(q.upstreams)) {
		if u := q.upstreams[name]; u.own && (u.rate.PerSecond > 0 || now.Sub(u.rate.At) < liftedTTL) {
			out = append(out, u.rate)
		}
	}
	return out
}

// Merge takes in the rates that another entry has heard.
func (q *Throttle) Merge(list []Rate) {
	if len(list) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	for _, r := range list {
		u := q.upstreams[r.Upstream]
		switch {
		case u != nil && !r.At.After(u.rate.At):
		case u != nil && u.own && u.rate.PerSecond == r.PerSecond && r.At.Sub(u.rate.At) < reportSkew: // both go on reporting it
		default:
			q.set(r, false, now)
		}
	}
}

// Limits returns the rates in force by upstream, in requests a second.
func (q *Throttle) Limits() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]float64{}
	for name, u := range q.upstreams {
		if u.rate.PerSecond > 0 {
			out[name] = u.rate.PerSecond
		}
	}
	return out
}
