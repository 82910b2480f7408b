// Package rule applies the operator's rules to requests.
package rule

import (
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// Verdict is what the rules say of a request.
type Verdict struct {
	refusedBy string
	priority  int
	limits    []Limit
}

// Limit is a bound on the requests that run at once.
type Limit struct {
	rule string
	most int
}

// RefusedBy returns the name of a rule that refuses the request, or "".
func (v Verdict) RefusedBy() string { return v.refusedBy }

// Priority returns the sum of the rules' priorities.
func (v Verdict) Priority() int { return v.priority }

// Judge returns what the rules say of a request.
func Judge(rules []*resource.Rule, workspace, deployment string, promptTokens int) Verdict {
	var v Verdict
	for _, r := range rules {
		if !r.Matches(workspace, deployment, promptTokens) {
			continue
		}
		s := r.Spec()
		if s.Refuse && v.refusedBy == "" {
			v.refusedBy = r.Name()
		}
		v.priority += s.Priority
		if s.MaxConcurrent > 0 {
			v.limits = append(v.limits, Limit{rule: r.Name(), most: s.MaxConcurrent})
		}
	}
	return v
}

// Counter counts the requests in progress by rule. It belongs to one goroutine.
type Counter struct {
	running map[string]int
}

// NewCounter returns a counter at 0.
func NewCounter() *Counter { return &Counter{running: map[string]int{}} }

// Take counts a request under its limits, or returns the name of the rule whose
// limit is reached.
func (c *Counter) Take(v Verdict) (reached string) {
	for _, l := range v.limits {
		if c.running[l.rule] >= l.most {
			return l.rule
		}
	}
	for _, l := range v.limits {
		c.running[l.rule]++
	}
	return ""
}

// Release ends what Take counted.
func (c *Counter) Release(v Verdict) {
	for _, l := range v.limits {
		if c.running[l.rule]--; c.running[l.rule] <= 0 {
			delete(c.running, l.rule)
		}
	}
}
