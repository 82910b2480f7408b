package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// ring returns the names in the order of their hashes, which no two parts of a
// rack share.
func ring(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	return out
}

// successors returns the entries that the VM probes: the next one of the ring and
// the one a root of the ring's length on. Over these links a record reaches n
// entries in about the root of n steps.
func successors(names []string, vm string) []string {
	r := ring(names)
	i := slices.Index(r, vm)
	if i < 0 || len(r) < 2 {
		return nil
	}
	next := r[(i+1)%len(r)]
	step := max(2, int(math.Round(math.Sqrt(float64(len(r))))))
	far := r[(i+step)%len(r)]
	if far == vm || far == next {
		return []string{next}
	}
	return []string{next, far}
}

// owner returns the name with the highest rendezvous hash for the key, or "".
func owner(names []string, key string) string {
	best, top := "", uint64(0)
	for _, name := range names {
		if h := xxh3.HashString(key + "\x00" + name); best == "" || h > top {
			best, top = name, h
		}
	}
	return best
}
