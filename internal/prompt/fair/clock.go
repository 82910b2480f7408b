// Package fair shares capacity between workspaces by start-time fair queueing: work
// advances the virtual finish time of its workspace by its cost over the weight.
package fair

// maxWorkspaces bounds the table. Workspaces beyond it are not charged.
const maxWorkspaces = 20_000

// Clock is the virtual time of a queue. It is not safe for concurrent use.
type Clock struct {
	now    float64            // highest start tag served
	finish map[string]float64 // virtual finish times, by workspace
}

// NewClock returns a clock at virtual time 0.
func NewClock() *Clock { return &Clock{finish: map[string]float64{}} }

// Tag charges work to a workspace and returns its start tag, which is not before the
// current virtual time: an idle workspace accumulates no credit.
func (c *Clock) Tag(workspace string, weight, work float64) float64 {
	tag := max(c.now, c.finish[workspace])
	if _, ok := c.finish[workspace]; ok || len(c.finish) < maxWorkspaces {
		c.finish[workspace] = tag + work/weight
	}
	return tag
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

// Forget deletes the workspaces whose finish time is not after the virtual time.
func (c *Clock) Forget() {
	for name, f := range c.finish {
		if f <= c.now {
			delete(c.finish, name)
		}
	}
}
