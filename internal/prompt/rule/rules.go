// Package rule applies the operator's admission rules to requests.
package rule

import (
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// Verdict is the combined result of the rules that match a request.
type Verdict struct {
	refusedBy string
	priority  int
	limits    []Limit
}

// Limit is a rule's bound on the requests that run at once.
type Limit struct {
	rule       string
	maxRunning int
}

// RefusedBy returns the name of the first rule that refuses the request, or "".
func (v Verdict) RefusedBy() string { return v.refusedBy }

// Priority returns the sum of the priorities of the matching rules.
func (v Verdict) Priority() int { return v.priority }

// Evaluate applies the rules to a request with the given length in tokens.
func Evaluate(rules []*resource.Rule, workspace, deployment string, promptTokens int) Verdict {
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
			v.limits = append(v.limits, Limit{rule: r.Name(), maxRunning: s.MaxConcurrent})
		}
	}
	return v
}

// Counter counts the running requests by rule. It is not safe for concurrent use.
type Counter struct {
	running map[string]int
}

// NewCounter returns a counter without requests.
func NewCounter() *Counter { return &Counter{running: map[string]int{}} }

// Take counts a request towards all its limits and returns "". If a limit is reached, it
// counts nothing and returns the name of the rule.
func (c *Counter) Take(v Verdict) (reached string) {
	for _, l := range v.limits {
		if c.running[l.rule] >= l.maxRunning {
			return l.rule
		}
	}
	for _, l := range v.limits {
		c.running[l.rule]++
	}
	return ""
}

// Release reverses a successful Take of the same verdict.
func (c *Counter) Release(v Verdict) {
	for _, l := range v.limits {
		if c.running[l.rule]--; c.running[l.rule] <= 0 {
			delete(c.running, l.rule)
		}
	}
}
