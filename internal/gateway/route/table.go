// Package route holds one version of the configuration that entries serve callers
// with: routes, services, API keys and limits.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// Repeat defines whether a request may run more than once.
type Repeat int

const (
	// Once marks requests that must run at most once.
	Once Repeat = iota
	// Idempotent marks requests that may run again.
	Idempotent
)

// Share is the weight of a service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}

// Route defines how the requests for a host and a path prefix are handled.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Shares   []Share
	Repeat   Repeat
	Stream   bool          // the response is a stream of events
	Resume   bool          // a broken stream may continue on another upstream
	Timeout  time.Duration // until the response is complete
	Target   time.Duration // latency goal for the response or its first event
	Gap      time.Duration // longest pause between events that meets the goal; 0 if none is set
	Attempts int           // maximum number of upstreams that one request is sent to
	Priority int           // 0 is the highest
	Public   bool          // needs no API key
	Homes    []string      // regions that its requests may run in; empty: all
}

// Service returns the name of the service for a request id, or "" if no share has a
// weight. The same id always gets the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(xxh3.HashString(id) % uint64(total))
	for _, s := range r.Shares {
		if rest -= s.Weight; rest < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of upstreams that can run the same requests.
type Service struct {
	Name        string
	Connections int             // that each upstream accepts, over all callers
	Engine      *passes.Figures // nil for a plain HTTP service
	ColdTime    time.Duration   // for which an upstream is cold after its start
	ColdRate    float64         // requests a second that a cold upstream takes from all entries; 0: not limited
}

// Limits bound what a caller may send. A field of zero sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	Header      time.Duration // until the request header is complete
	Idle        time.Duration // between two requests on a connection
}

// Settings are the contents of a table.
type Settings struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Keyed    bool                  // requests need an API key, also where there is none
	Keys     map[string]*Workspace // by API key
	Limits   Limits
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version  int64
	routes   map[string]map[string]*Route // by lower-case host, then path prefix
	services map[string]*Service
	keyed    bool
	keys     map[string]*Workspace
	limits   Limits
}

// NewTable returns a table with the contents of s.
func NewTable(s Settings) *Table {
	t := &Table{version: s.Version, routes: map[string]map[string]*Route{}, services: map[string]*Service{}, keyed: s.Keyed, keys: s.Keys, limits: s.Limits}
	for _, r := range s.Routes {
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
	}
	for _, svc := range s.Services {
		t.services[svc.Name] = svc
	}
	return t
}

// Version returns the configuration version, which grows with each change.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether requests need an API key. They do where all keys have been withdrawn.
func (t *Table) Keyed() bool { return t.keyed }

// Workspace returns the workspace that an API key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The caller must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }

// LongestGap returns the longest pause between events that a route to the service allows, or 0
// if none sets a limit.
func (t *Table) LongestGap(service string) time.Duration {
	var longest time.Duration
	for _, prefixes := range t.routes {
		for _, r := range prefixes {
			if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
				longest = max(longest, r.Gap)
			}
		}
	}
	return longest
}

// Match returns the host's route with the longest prefix of the path, or nil. A port
// in the host and a query in the path are ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes := t.routes[strings.ToLower(host)]
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}
