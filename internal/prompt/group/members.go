// Package group chooses and holds the engines of one failure domain that together
// run a prompt larger than one of them.
package group

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
)

const (
	// memoryShare is the share of an engine's memory that a group may take.
	memoryShare = 0.95
	// domainShare is the share of a failure domain's engines that groups may take.
	domainShare = 0.6
	// minBound is how many engines a group may have even in a small failure domain.
	minBound = 3
)

// Share returns a member's tokens of a prompt that n members run.
func Share(need, n int) int { return (need + n - 1) / n }

// Bound returns how many engines of a failure domain groups may take at once.
func Bound(engines int) int {
	return max(int(math.Ceil(domainShare*float64(engines))), min(engines, minBound))
}

func fits(e *model.Engine, share int) bool {
	return float64(share) <= memoryShare*float64(e.Memory())
}

// Possible reports whether the engines of a failure domain could hold the need
// if nothing else ran.
func Possible(domain []*model.Engine, need int, now time.Time) bool {
	for n := 2; n <= Bound(len(domain)); n++ {
		count := 0
		for _, e := range domain {
			if e.Usable(now) && fits(e, Share(need, n)) {
				count++
			}
		}
		if count >= n {
			return true
		}
	}
	return false
}

// Members returns the smallest set of engines of a failure domain that can hold
// the need now, in order of their names, which is the same at every entry. Taken
// is how many engines of the domain this entry's groups have already, and tried
// names the engines that are left out.
func Members(domain []*model.Engine, need, taken int, tried map[string]bool, now time.Time) []*model.Engine {
	var idle []*model.Engine
	for _, e := range domain {
		if e.Usable(now) && !e.RunsBig(now) && !tried[e.Name()] {
			idle = append(idle, e)
		}
	}
	slices.SortStableFunc(idle, func(a, b *model.Engine) int { return cmp.Compare(b.Free(), a.Free()) })
	for n := 2; n <= min(len(idle), Bound(len(domain))-taken); n++ {
		share := Share(need, n)
		if last := idle[n-1]; last.Free() < share || !fits(last, share) {
			continue
		}
		set := slices.Clone(idle[:n])
		slices.SortFunc(set, func(a, b *model.Engine) int { return strings.Compare(a.Name(), b.Name()) })
		return set
	}
	return nil
}
