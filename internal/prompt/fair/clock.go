// Package fair shares capacity between workspaces by start-time fair queueing: work
// advances the virtual finish time of its workspace by its cost over the weight.
package fair

const (
	// maxWorkspaces bounds the table. A workspace for which there is no room is not charged.
	maxWorkspaces = 20_000
	// forgetInterval is how many requests without room in the table it takes to look for
	// workspaces to delete again.
	forgetInterval = 1000
)

// Clock is the virtual time of a queue. It is not safe for concurrent use.
type Clock struct {
	now    float64            // highest start tag served
	finish map[string]float64 // virtual finish times, by workspace
	noRoom int                // requests without room in the table since it was full
}

// NewClock returns a clock at virtual time 0.
func NewClock() *Clock { return &Clock{finish: map[string]float64{}} }

// Tag charges work to a workspace and returns its start tag, which is not before the
// current virtual time: an idle workspace accumulates no credit.
func (c *Clock) Tag(workspace string, weight, work float64) float64 {
	tag := max(c.now, c.finish[workspace])
	if _, ok := c.finish[workspace]; ok || c.hasRoom() {
		c.finish[workspace] = tag + work/weight
	}
	return tag
}

// hasRoom reports whether the table has room for another workspace. It deletes idle ones if it
// is full.
func (c *Clock) hasRoom() bool {
	if len(c.finish) < maxWorkspaces {
		return true
	}
	if c.noRoom%forgetInterval == 0 {
		c.forget()
	}
	c.noRoom++
	return len(c.finish) < maxWorkspaces
}

// Refund reverses the charge for work that was not served.
func (c *Clock) Refund(workspace string, weight, work float64) {
	if f, ok := c.finish[workspace]; ok {
		c.finish[workspace] = max(0, f-work/weight)
	}
}

// Served advances the virtual time to the start tag of served work.
func (c *Clock) Served(tag float64) { c.now = max(c.now, tag) }

// Ahead returns by how much a tag exceeds the virtual time, or 0.
func (c *Clock) Ahead(tag float64) float64 { return max(0, tag-c.now) }

// forget deletes the workspaces whose finish time is not after the virtual time.
func (c *Clock) forget() {
	for name, f := range c.finish {
		if f <= c.now {
			delete(c.finish, name)
		}
	}
}
