package product_test

import "time"

// outage is a time in which an entry's callers may lose their connections. A
// hard one, such as a kill, takes connections that were open; while an entry
// leaves only new ones may fail.
type outage struct {
	entry    int
	from, to time.Time // to is zero while it goes on
	hard     bool
}

// down starts an outage and returns the function that ends it.
func (c *cluster) down(entry int, hard bool) (up func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &outage{entry: entry, from: time.Now(), hard: hard}
	c.outages = append(c.outages, o)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		o.to = time.Now()
	}
}

// leftBefore reports whether the entry began to leave before the time and is not
// replaced yet.
func (c *cluster) leftBefore(entry int, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outages {
		if o.entry == entry && !o.hard && o.to.IsZero() && o.from.Before(t) {
			return true
		}
	}
	return false
}

// excused reports whether a request of the time from start until now may have
// lost its connection to the entry.
func (c *cluster) excused(entry int, start time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outages {
		over := !o.to.IsZero() && o.to.Before(start)
		if o.entry == entry && !over && (o.hard || !start.Before(o.from)) {
			return true
		}
	}
	return false
}
