// Package configcheck finds the faults of a configuration file and its differences from another.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

// Kind classifies findings.
type Kind string

const (
	// Invalid marks a value that is missing, malformed or out of range.
	Invalid Kind = "error"
	// NeverMatches marks a route or service that no request can reach.
	NeverMatches Kind = "never matches"
	// Contradiction marks values that exclude each other.
	Contradiction Kind = "contradiction"
	// NoUpstreams marks a route whose requests get no service.
	NoUpstreams Kind = "no upstreams"
	// NoService marks a route to a service that is not listed.
	NoService Kind = "no service"
	// Changed marks a difference from the other file, which is no fault.
	Changed Kind = "changed"
)

// Finding is a fault or a difference. Line and Column are 0 if the field is not written.
type Finding struct {
	Kind   Kind   `json:"kind"`
	Path   string `json:"path"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Text   string `json:"text"`
}

// Check returns the findings of a configuration file.
func Check(b []byte) *Report {
	f, errs := platform.ReadConfigFile(b)
	if f == nil {
		r := &Report{}
		for _, e := range errs {
			r.findings = append(r.findings, Finding{Kind: Invalid, Path: e.Path, Line: e.Line, Column: e.Column, Text: e.Text})
		}
		return r
	}
	c := &checker{file: f}
	c.names()
	c.routes()
	c.targets()
	c.services()
	c.tenants()
	c.limits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Report{file: f, findings: c.findings}
}

type checker struct {
	file     *platform.ConfigFile
	findings []Finding
}

func (c *checker) add(kind Kind, path, format string, args ...any) {
	line, column := c.file.Position(path)
	if line == 0 { // the field is absent; its object has a position
		line, column = c.file.Position(path[:max(0, strings.LastIndexByte(path, '.'))])
	}
	c.findings = append(c.findings, Finding{Kind: kind, Path: path, Line: line, Column: column, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) names() {
	var routes, services, tenants []platform.Field[string]
	for _, r := range c.file.Routes {
		routes = append(routes, r.Name)
	}
	for _, s := range c.file.Services {
		services = append(services, s.Name)
	}
	for _, t := range c.file.Tenants {
		tenants = append(tenants, t.Name)
	}
	for _, list := range [][]platform.Field[string]{routes, services, tenants} {
		first := map[string]string{}
		for _, n := range list {
			switch {
			case n.Value == "":
				c.add(Invalid, n.Path, "missing")
			case first[n.Value] != "":
				c.add(Invalid, n.Path, "%q is the name at %s, too", n.Value, first[n.Value])
			default:
				first[n.Value] = n.Path
			}
		}
	}
}

func (c *checker) routes() {
	last := map[[2]string]string{}
	for _, r := range slices.Backward(c.file.Routes) {
		if r.Host.Value == "" {
			c.add(Invalid, r.Host.Path, "missing")
		}
		if h := r.Host.Value; strings.Contains(h, ":") && !strings.HasSuffix(h, "]") {
			c.add(NeverMatches, r.Host.Path, "%q has a port, which is ignored in requests", h)
		}
		if p := r.Prefix.Value; !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
			c.add(NeverMatches, r.Prefix.Path, "%q must begin and end with a slash", p)
		}
		// The last of several routes with the same host and prefix takes effect.
		key := [2]string{strings.ToLower(r.Host.Value), r.Prefix.Value}
		if last[key] != "" {
			c.add(NeverMatches, r.Prefix.Path, "%s has the same host and prefix and takes all requests", last[key])
		} else {
			last[key] = r.Prefix.Path
		}
		if !r.KnownKind {
			c.add(Invalid, r.Kind.Path, "%q is not known", r.Kind.Value)
		}
		if r.KnownKind && !r.MayRepeat && r.Attempts.Value > 1 {
			c.add(Contradiction, r.Attempts.Path, "%d, but requests of this %s route may not be repeated", r.Attempts.Value, r.Kind.Value)
		}
		c.times(&r)
		c.homes(r.Homes)
	}
}

func (c *checker) times(r *platform.ConfigRoute) {
	c.notNegative(r.Timeout, r.Target, r.Gap)
	if t := r.Timeout.Value; t > 0 && t < r.Target.Value {
		c.add(Contradiction, r.Timeout.Path, "%v is below %v at %s", t, r.Target.Value, r.Target.Path)
	}
	if t := r.Timeout.Value; t > 0 && r.Gap.Value > t {
		c.add(Contradiction, r.Gap.Path, "%v is above %v at %s", r.Gap.Value, t, r.Timeout.Path)
	}
}

func (c *checker) notNegative(fields ...platform.Field[float64]) {
	for _, f := range fields {
		if f.Value < 0 {
			c.add(Invalid, f.Path, "%v is negative", f.Value)
		}
	}
}

func (c *checker) homes(list []platform.Field[string]) {
	for _, h := range list {
		if h.Value == "" {
			c.add(Invalid, h.Path, "empty region")
		}
	}
}

// targets checks the services of the routes.
func (c *checker) targets() {
	listed, named := map[string]bool{}, map[string]bool{}
	for _, s := range c.file.Services {
		listed[s.Name.Value] = true
	}
	for _, r := range c.file.Routes {
		total := 0
		for _, s := range r.Shares {
			total += max(0, s.Weight.Value)
			named[s.Service.Value] = true
			if s.Weight.Value < 0 {
				c.add(Invalid, s.Weight.Path, "%d is negative", s.Weight.Value)
			}
			if !listed[s.Service.Value] || s.Service.Value == "" {
				c.add(NoService, s.Service.Path, "service %q is not listed", s.Service.Value)
			}
		}
		if total == 0 {
			c.add(NoUpstreams, r.Shares[0].Weight.Path, "no share of the route has a positive weight")
		}
	}
	for _, s := range c.file.Services {
		if s.Name.Value != "" && !named[s.Name.Value] {
			c.add(NeverMatches, s.Name.Path, "no route names service %q", s.Name.Value)
		}
	}
}

func (c *checker) services() {
	for _, s := range c.file.Services {
		for _, f := range s.Positive {
			if f.Value <= 0 {
				c.add(Invalid, f.Path, "%v must be above 0", f.Value)
			}
		}
		c.notNegative(s.Costs...)
		c.notNegative(s.ColdTime, s.ColdRate)
		if s.ColdTime.Value > 0 && s.ColdRate.Value == 0 {
			c.add(Contradiction, s.ColdRate.Path, "0 sets no limit, but %s is %v", s.ColdTime.Path, s.ColdTime.Value)
		}
	}
}

func (c *checker) tenants() {
	owner := map[string]int{}
	for i, t := range c.file.Tenants {
		c.homes(t.Homes)
		for _, k := range t.Keys {
			if j, ok := owner[k.Value]; ok && j != i && k.Value != "" {
				c.add(Contradiction, k.Path, "tenants[%d] has the same key", j)
			}
			owner[k.Value] = i
		}
		for _, r := range c.file.Routes {
			if excludes(r.Homes, t.Homes) {
				c.add(Contradiction, r.HomesPath, "no region is a home of tenant %q, too", t.Name.Value)
			}
		}
	}
}

// excludes reports whether both lists set a limit and have no region in common.
func excludes(a, b []platform.Field[string]) bool {
	if len(a) == 0 || len(b) == 0 {
		return false
	}
	return !slices.ContainsFunc(a, func(x platform.Field[string]) bool {
		return slices.ContainsFunc(b, func(y platform.Field[string]) bool { return x.Value == y.Value })
	})
}

func (c *checker) limits() {
	c.notNegative(c.file.Bounds...)
	if i, h := c.file.Idle, c.file.Header; i.Value > 0 && i.Value < h.Value {
		c.add(Contradiction, i.Path, "%v is below %v at %s", i.Value, h.Value, h.Path)
	}
}
