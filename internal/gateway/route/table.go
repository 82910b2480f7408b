// Package route holds the configuration that entries serve callers by: routes,
// services, keys and limits of one version.
package route

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// Repeat tells how often a request may run.
type Repeat int

const (
	// Once is a request that runs at most once.
	Once Repeat = iota
	// Idempotent is a request that may run again.
	Idempotent
)

// Share is the weight with which a route's requests go to a service.
type Share struct {
	Service string
	Weight  int
}

// Route tells what may be done with the requests of a host and a prefix.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Shares   []Share
	Repeat   Repeat
	Stream   bool          // the answer is a series of events
	Resume   bool          // a stream may go on at another upstream
	Timeout  time.Duration // to the final answer
	Target   time.Duration // to the answer or its first event, for full value
	Gap      time.Duration // longest pause between events, for full value; 0 where none is told
	Attempts int           // upstreams that one request may be sent to
	Priority int           // 0 is first
	Public   bool          // needs no key
}

// Service returns the service that a request goes to. Equal ids go to equal services.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxh3.HashString(id) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of upstreams that can run the same requests.
type Service struct {
	Name        string
	Connections int             // that an upstream accepts from all callers
	Engine      *passes.Figures // nil where it is a plain service
}

// Limits bound what a caller may send. The zero value of a field is no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	Header      time.Duration // to the end of a request's head
	Idle        time.Duration // between requests of a connection
}

// Settings are what a table is made of.
type Settings struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Keys     map[string]string // workspaces by key
	Limits   Limits
}

// Table is one version of the configuration. It does not change.
type Table struct {
	version  int64
	routes   map[string]map[string]*Route // by host and prefix
	services map[string]*Service
	keys     map[string]string
	limits   Limits
}

// NewTable returns the table of the settings.
func NewTable(s Settings) *Table {
	t := &Table{version: s.Version, routes: map[string]map[string]*Route{}, services: map[string]*Service{}, keys: s.Keys, limits: s.Limits}
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

// Version returns the version, which grows with each change.
func (t *Table) Version() int64 { return t.version }

// Limits returns what bounds callers.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether requests need keys.
func (t *Table) Keyed() bool { return len(t.keys) > 0 }

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (name string, ok bool) {
	name, ok = t.keys[key]
	return name, ok
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The map is read only.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of the host with the longest prefix of the path, or nil.
// The host may have a port; the path may have a query.
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
