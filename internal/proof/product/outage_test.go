package product_test

import "time"

// outage is a time in which connections to an entry may fail. A hard outage, such as a crash, also
// breaks open connections; while an entry drains, only new ones may fail.
type outage struct {
	entry    int
	from, to time.Time // to is zero while the outage lasts
	hard     bool
}

// startOutage starts an outage and returns the function that ends it.
func (c *cluster) startOutage(entry int, hard bool) (up func()) {
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

// drainingSince reports whether the entry began to drain before the time and is not replaced yet.
func (c *cluster) drainingSince(entry int, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outages {
		if o.entry == entry && !o.hard && o.to.IsZero() && o.from.Before(t) {
			return true
		}
	}
	return false
}

// mayDisconnect reports whether an outage explains that a request from start until now lost its
// connection to the entry.
func (c *cluster) mayDisconnect(entry int, start time.Time) bool {
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
