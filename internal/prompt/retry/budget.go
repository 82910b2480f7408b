// Package retry bounds the retries of each workspace, so that the loss of engines does
// not multiply the load on the remaining ones.
package retry

import "maps"

const (
	// perRequest is the number of retries that a first attempt adds to the budget.
	perRequest = 0.1
	maxRetries = 20.0
	// maxWorkspaces bounds the table. A workspace for which there is no room has no retries.
	maxWorkspaces = 20_000
	// evictInterval is how many requests without room in the table it takes to look for
	// workspaces to evict again.
	evictInterval = 1000
)

// Budget counts the retries left by workspace. It is not safe for concurrent use.
type Budget struct {
	perRequest   float64
	maxLeft      float64
	initialShare float64 // part of maxLeft that a new workspace has
	left         map[string]float64
	noRoom       int // requests without room in the table since it was full
}

// New returns a budget that is full at first for each workspace.
func New() *Budget { return NewWithin(perRequest, maxRetries, 1) }

// NewWithin returns a budget in which each first attempt adds perRequest retries, up to
// maxLeft, and each workspace starts with initialShare of maxLeft.
func NewWithin(perRequest, maxLeft, initialShare float64) *Budget {
	return &Budget{perRequest: perRequest, maxLeft: maxLeft, initialShare: initialShare, left: map[string]float64{}}
}

// SetMax sets the maximum number of retries left. Budgets above it shrink at their
// next request.
func (b *Budget) SetMax(maxLeft float64) { b.maxLeft = maxLeft }

// Request records a first attempt.
func (b *Budget) Request(workspace string) {
	left, ok := b.left[workspace]
	if !ok {
		if !b.hasRoom() {
			return
		}
		left = b.initialShare * b.maxLeft
	}
	b.left[workspace] = min(left+b.perRequest, b.maxLeft)
}

// hasRoom reports whether the table has room for another workspace. If it is full, it evicts
// those with a full budget, which lose nothing but what they start with again.
func (b *Budget) hasRoom() bool {
	if len(b.left) < maxWorkspaces {
		return true
	}
	if b.noRoom%evictInterval == 0 {
		maps.DeleteFunc(b.left, func(_ string, left float64) bool { return left >= b.maxLeft })
	}
	b.noRoom++
	return len(b.left) < maxWorkspaces
}

// Retry takes one retry from the budget and reports whether one was left.
func (b *Budget) Retry(workspace string) bool {
	if b.left[workspace] < 1 {
		return false
	}
	b.left[workspace]--
	return true
}

// Left returns the number of retries that the workspace has left. It may be fractional.
func (b *Budget) Left(workspace string) float64 { return b.left[workspace] }
