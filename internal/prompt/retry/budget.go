// Package retry bounds how many requests of a workspace are sent again, so that
// the loss of engines does not multiply the load on those left.
package retry

const (
	// perRequest is what a first try adds to the budget of its workspace.
	perRequest = 0.1
	maxBudget  = 20.0
	// maxWorkspaces bounds the table; beyond it a workspace has no retries.
	maxWorkspaces = 20_000
)

// Budget counts retries by workspace. It belongs to one goroutine.
type Budget struct {
	left map[string]float64
}

// New returns a budget that is full for each workspace.
func New() *Budget { return &Budget{left: map[string]float64{}} }

// Request notes a first try.
func (b *Budget) Request(workspace string) {
	left, ok := b.left[workspace]
	if !ok {
		if len(b.left) >= maxWorkspaces {
			return
		}
		left = maxBudget
	}
	b.left[workspace] = min(left+perRequest, maxBudget)
}

// Retry takes a retry out of the budget and reports whether there was one.
func (b *Budget) Retry(workspace string) bool {
	if b.left[workspace] < 1 {
		return false
	}
	b.left[workspace]--
	return true
}

// Left returns the retries that the workspace may make now.
func (b *Budget) Left(workspace string) float64 { return b.left[workspace] }
