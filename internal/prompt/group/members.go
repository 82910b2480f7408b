// Package group selects engines of one failure domain that together run a prompt too large
// for one of them, and holds their memory.
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
	// maxMemoryShare is the share of an engine's memory that a group may hold.
	maxMemoryShare = 0.95
	// maxDomainShare is the share of a failure domain's engines that groups may use.
	maxDomainShare = 0.6
	// minGroupEngines is how many engines groups may use even in a small failure domain.
	minGroupEngines = 3
)

// Share returns the tokens per member of a prompt that n members run, rounded up.
func Share(need, n int) int { return (need + n - 1) / n }

// Bound returns how many of the engines of a failure domain groups may use at once.
func Bound(engines int) int {
	return max(int(math.Ceil(maxDomainShare*float64(engines))), min(engines, minGroupEngines))
}

func fits(e *model.Engine, share int) bool {
	return float64(share) <= maxMemoryShare*float64(e.Memory())
}

// Possible reports whether a group in the failure domain could hold need tokens if its
// engines were idle.
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

// Members returns the smallest group of engines of a failure domain that can hold need
// tokens now, or nil. They are sorted by name, so that all entries hold them in the same
// order. Taken is the number of engines of the domain that groups of this entry use, and
// engines named in tried are excluded.
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
		if smallest := idle[n-1]; smallest.Free() < share || !fits(smallest, share) {
			continue
		}
		members := slices.Clone(idle[:n])
		slices.SortFunc(members, func(a, b *model.Engine) int { return strings.Compare(a.Name(), b.Name()) })
		return members
	}
	return nil
}
