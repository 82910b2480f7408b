// Package fair shares capacity between workspaces by start-time fair queueing:
// each has a virtual counter that its work advances, the slower the higher its
// weight.
package fair

const maxWorkspaces = 20_000

// Clock is the virtual time of a queue. It belongs to one goroutine.
type Clock struct {
	now    float64            // start tag of the work that was served last
	finish map[string]float64 // by workspace
}

// NewClock returns a clock at 0.
func NewClock() *Clock { return &Clock{finish: map[string]float64{}} }

// Tag charges work to a workspace and returns the work's start tag. Where nothing
// waits, the workspaces' past is forgotten.
func (c *Clock) Tag(workspace string, weight, work float64) float64 {
	tag := max(c.now, c.finish[workspace])
	if _, ok := c.finish[workspace]; ok || len(c.finish) < maxWorkspaces {
		c.finish[workspace] = tag + work/weight
	}
	return tag
}

// Refund takes back work that was charged and not served.
func (c *Clock) Refund(workspace string, weight, work float64) {
	if f, ok := c.finish[workspace]; ok {
		c.finish[workspace] = max(0, f-work/weight)
	}
}

// Served notes that the work of the tag is served.
func (c *Clock) Served(tag float64) { c.now = max(c.now, tag) }

// Ahead returns how far a tag is ahead of what is served.
func (c *Clock) Ahead(tag float64) float64 { return max(0, tag-c.now) }

// Forget drops the workspaces that are not ahead.
func (c *Clock) Forget() {
	for name, f := range c.finish {
		if f <= c.now {
			delete(c.finish, name)
		}
	}
}
