package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// ring returns the names ordered by hash. The order is unrelated to the placement of
// VMs, so that VMs of one rack are rarely neighbors in the ring.
func ring(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	return out
}

// successors returns the entries that the VM probes regularly: the next one in the
// ring and the one sqrt(n) positions ahead in a ring of n. Over these links a record
// reaches all n entries in about sqrt(n) steps.
func successors(names []string, vm string) []string {
	sorted := ring(names)
	i := slices.Index(sorted, vm)
	if i < 0 || len(sorted) < 2 {
		return nil
	}
	next := sorted[(i+1)%len(sorted)]
	step := max(2, int(math.Round(math.Sqrt(float64(len(sorted))))))
	far := sorted[(i+step)%len(sorted)]
	if far == vm || far == next {
		return []string{next}
	}
	return []string{next, far}
}

// owner returns the name with the highest rendezvous hash for the key, or "" if there
// are no names.
func owner(names []string, key string) string {
	best, highest := "", uint64(0)
	for _, name := range names {
		if h := xxh3.HashString(key + "\x00" + name); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}
