package slots

import "time"

const (
	// slotsPerUpstream is the number of long prefills that run at an upstream at once.
	slotsPerUpstream = 1
	// leaseDuration is how long a slot is held without a renewal.
	leaseDuration = 10 * time.Second
	// maxUpstreams bounds the memory of a leaseTable.
	maxUpstreams = 4096
)

// leaseTable holds the slots that an owner has granted. It is not safe for concurrent use.
type leaseTable struct {
	now    func() time.Time
	expiry map[string]map[string]time.Time // by upstream and slot id
}

func newLeaseTable(now func() time.Time) *leaseTable {
	return &leaseTable{now: now, expiry: map[string]map[string]time.Time{}}
}

// acquire grants or renews a slot, or returns the time within which one becomes free.
func (t *leaseTable) acquire(upstream, id string) (retryAfter time.Duration, ok bool) {
	now := t.now()
	t.expire(upstream, now)
	leases := t.expiry[upstream]
	if _, holds := leases[id]; !holds && len(leases) >= slotsPerUpstream {
		return t.retryAfter(leases, now), false
	}
	if leases == nil {
		if len(t.expiry) >= maxUpstreams {
			return leaseDuration, false
		}
		leases = map[string]time.Time{}
		t.expiry[upstream] = leases
	}
	leases[id] = now.Add(leaseDuration)
	return 0, true
}

func (*leaseTable) retryAfter(leases map[string]time.Time, now time.Time) time.Duration {
	wait := leaseDuration
	for _, expires := range leases {
		wait = min(wait, expires.Sub(now))
	}
	return wait
}

func (t *leaseTable) release(upstream, id string) {
	delete(t.expiry[upstream], id)
	if len(t.expiry[upstream]) == 0 {
		delete(t.expiry, upstream)
	}
}

func (t *leaseTable) expire(upstream string, now time.Time) {
	for id, expires := range t.expiry[upstream] {
		if !now.Before(expires) {
			t.release(upstream, id)
		}
	}
}

// count returns the number of slots held.
func (t *leaseTable) count() int {
	n := 0
	for upstream := range t.expiry {
		t.expire(upstream, t.now())
		n += len(t.expiry[upstream])
	}
	return n
}
