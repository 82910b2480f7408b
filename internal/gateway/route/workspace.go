package route

import "slices"

// Workspace is what the configuration says about the callers with certain API keys.
type Workspace struct {
	Name     string
	Homes    []string // regions that their requests may run in; empty: all
	Priority *int     // 0 is the highest; nil: that of the route
}

// Homes are the regions that a request may run in. nil allows all upstreams, an empty one none.
type Homes map[string]bool

// NewHomes returns the regions that are in all lists. An empty list sets no limit.
func NewHomes(lists ...[]string) Homes {
	var out Homes
	for i, list := range lists {
		if len(list) == 0 {
			continue
		}
		out = Homes{}
		for _, region := range list {
			out[region] = !slices.ContainsFunc(lists[:i], func(other []string) bool { return len(other) > 0 && !slices.Contains(other, region) })
		}
	}
	return out
}

// Allow reports whether a request may run in a region, which is "" if it is unknown.
func (h Homes) Allow(region string) bool { return h == nil || region != "" && h[region] }
