package slots

import "time"

const (
	// slotsOfUpstream is how many long prefills run at an upstream at once.
	slotsOfUpstream = 1
	// lifetime is how long a slot lasts that is not renewed.
	lifetime = 10 * time.Second
	// maxUpstreams bounds the book.
	maxUpstreams = 4096
)

// book is the slots that an owner has given out. Its caller serializes the calls.
type book struct {
	now   func() time.Time
	slots map[string]map[string]time.Time // end of each slot, by upstream and id
}

func newBook(now func() time.Time) *book {
	return &book{now: now, slots: map[string]map[string]time.Time{}}
}

// take gives out or renews a slot, or returns when the next one ends at the latest.
func (b *book) take(upstream, id string) (retryAfter time.Duration, ok bool) {
	now := b.now()
	b.expire(upstream, now)
	held := b.slots[upstream]
	if _, mine := held[id]; !mine && len(held) >= slotsOfUpstream {
		return b.next(held, now), false
	}
	if held == nil {
		if len(b.slots) >= maxUpstreams {
			return lifetime, false
		}
		held = map[string]time.Time{}
		b.slots[upstream] = held
	}
	held[id] = now.Add(lifetime)
	return 0, true
}

func (*book) next(held map[string]time.Time, now time.Time) time.Duration {
	next := lifetime
	for _, end := range held {
		next = min(next, end.Sub(now))
	}
	return next
}

func (b *book) release(upstream, id string) {
	delete(b.slots[upstream], id)
	if len(b.slots[upstream]) == 0 {
		delete(b.slots, upstream)
	}
}

func (b *book) expire(upstream string, now time.Time) {
	for id, end := range b.slots[upstream] {
		if !now.Before(end) {
			b.release(upstream, id)
		}
	}
}

// count returns the slots that have not ended.
func (b *book) count() int {
	n := 0
	for upstream := range b.slots {
		b.expire(upstream, b.now())
		n += len(b.slots[upstream])
	}
	return n
}
