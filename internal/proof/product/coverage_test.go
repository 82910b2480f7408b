package product_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// coverage counts what the plans of a run brought about.
type coverage struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCoverage() *coverage { return &coverage{counts: map[string]int{}} }

func (c *coverage) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// missing returns what was never brought about of the given.
func (c *coverage) missing(wanted ...string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(wanted, func(w string) bool { return c.counts[w] > 0 })
}

// String lists the counts.
func (c *coverage) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, what := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(&b, " %s=%d", what, c.counts[what]) // a builder never fails
	}
	return b.String()
}

// outcome names what a caller was told of a prompt.
func (v verdict) outcome() string {
	switch {
	case v.whole:
		return "prompt_whole"
	case v.cut:
		return "prompt_cut"
	default:
		return "prompt_" + v.code + "_ran_" + v.ran
	}
}
