package product_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// coverage counts the outcomes that the plans of a run produced.
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

// missing returns the wanted outcomes that never occurred.
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

// outcome returns the coverage name of a response.
func (v response) outcome() string {
	switch {
	case v.complete:
		return "prompt_whole"
	case v.truncated:
		return "prompt_cut"
	default:
		return "prompt_" + v.code + "_ran_" + v.ran
	}
}
