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
	perRequest float64
	most       float64
	first      float64 // share of the most that is there at first
	left       map[string]float64
}

// New returns a budget that is full for each workspace.
func New() *Budget { return NewWithin(perRequest, maxBudget, 1) }

// NewWithin returns a budget to which each first try adds so much, up to the most, and
// which has a share of the most at first.
func NewWithin(perRequest, most, first float64) *Budget {
	return &Budget{perRequest: perRequest, most: most, first: first, left: map[string]float64{}}
}

// SetMost changes the most that may be left.
func (b *Budget) SetMost(most float64) { b.most = most }

// Request notes a first try.
func (b *Budget) Request(workspace string) {
	left, ok := b.left[workspace]
	if !ok {
		if len(b.left) >= maxWorkspaces {
			return
		}
		left = b.first * b.most
	}
	b.left[workspace] = min(left+b.perRequest, b.most)
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
