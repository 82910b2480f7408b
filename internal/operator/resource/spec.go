package resource

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Upper bounds of spec values.
const (
	MaxPatience       = time.Hour
	MaxWeight         = 1000
	MaxContextTokens  = 10_000_000
	MaxPriority       = 10
	MaxServiceTimeout = 10 * time.Minute
)

// WorkspaceSpec describes a workspace.
type WorkspaceSpec struct {
	Weight      float64  `json:"weight"`                // share of capacity under contention; default 1
	Patience    Seconds  `json:"patience"`              // default time limit of a request
	Keys        []string `json:"keys"`                  // hexadecimal SHA-256 hashes of the bearer keys
	Limits      Limits   `json:"limits"`                // across all entries
	Deployments []string `json:"deployments,omitempty"` // allowed deployments; empty allows all
}

// Limits are the rate and concurrency limits of a workspace. Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	ConcurrentTokens  int64   `json:"concurrentTokens,omitempty"`
}

var keyPattern = regexp.MustCompile(`^(sha256:)?[0-9a-f]{64}$`)

func (s *WorkspaceSpec) check() error {
	if s.Weight < 0 || s.Weight > MaxWeight {
		return Invalid("spec.weight", s.Weight, fmt.Sprintf("0 to %d", MaxWeight))
	}
	if p := s.Patience.Duration(); p < 0 || p > MaxPatience {
		return Invalid("spec.patience", p, fmt.Sprintf("0 to %g seconds", MaxPatience.Seconds()))
	}
	for i, k := range s.Keys {
		if !keyPattern.MatchString(k) {
			return Invalid(fmt.Sprintf("spec.keys[%d]", i), "the given text", "64 hexadecimal digits, the SHA-256 of the key")
		}
	}
	l := s.Limits
	if l.RequestsPerSecond < 0 || l.TokensPerSecond < 0 || l.ConcurrentTokens < 0 {
		return Invalid("spec.limits", "a negative number", "0 (no bound) or more")
	}
	return checkNames("spec.deployments", s.Deployments)
}

// DeploymentSpec describes a deployment, which callers select by the "model" field
// of a request.
type DeploymentSpec struct {
	Model           string `json:"model"`                     // model name that the engines use
	Version         string `json:"version,omitempty"`         // desired version
	ContextTokens   int    `json:"contextTokens"`             // maximum length of prompt and answer together
	MaxOutputTokens int    `json:"maxOutputTokens,omitempty"` // default and maximum of max_tokens
	Sampled         bool   `json:"sampled,omitempty"`         // answers differ between runs, so requests are not replayed
}

func (s *DeploymentSpec) check() error {
	if s.Model == "" {
		return Invalid("spec.model", `""`, "the name of a model")
	}
	if s.ContextTokens < 1 || s.ContextTokens > MaxContextTokens {
		return Invalid("spec.contextTokens", s.ContextTokens, fmt.Sprintf("1 to %d", MaxContextTokens))
	}
	if s.MaxOutputTokens < 0 || s.MaxOutputTokens > s.ContextTokens {
		return Invalid("spec.maxOutputTokens", s.MaxOutputTokens, "0 to spec.contextTokens")
	}
	return nil
}

// VersionSpec describes a version of a deployment's model.
type VersionSpec struct {
	Deployment string   `json:"deployment"`
	Weights    string   `json:"weights"`            // name in the weight store
	Bytes      int64    `json:"bytes"`              // size of the weights
	Adapters   []string `json:"adapters,omitempty"` // adapters to load with the weights
}

func (s *VersionSpec) check() error {
	if !namePattern.MatchString(s.Deployment) {
		return Invalid("spec.deployment", s.Deployment, nameAllowed)
	}
	if s.Bytes < 0 {
		return Invalid("spec.bytes", s.Bytes, "0 or more")
	}
	return nil
}

// RuleSpec controls the admission and priority of requests. A rule applies to
// requests that match all of the conditions it sets.
type RuleSpec struct {
	Workspace       string  `json:"workspace,omitempty"`
	Deployment      string  `json:"deployment,omitempty"`
	MinPromptTokens int     `json:"minPromptTokens,omitempty"`
	MaxPromptTokens int     `json:"maxPromptTokens,omitempty"`
	Priority        int     `json:"priority,omitempty"`      // added to the priority of matching requests
	Refuse          bool    `json:"refuse,omitempty"`        // refuse matching requests
	MaxConcurrent   int     `json:"maxConcurrent,omitempty"` // maximum concurrent requests across all entries
	MinCapacity     float64 `json:"minCapacity,omitempty"`   // share of a deployment's engines that a rollout keeps serving
}

func (s *RuleSpec) check() error {
	switch {
	case s.MinPromptTokens < 0:
		return Invalid("spec.minPromptTokens", s.MinPromptTokens, "0 or more")
	case s.MaxPromptTokens < 0 || s.MaxPromptTokens > 0 && s.MaxPromptTokens < s.MinPromptTokens:
		return Invalid("spec.maxPromptTokens", s.MaxPromptTokens, "0 (no bound) or at least spec.minPromptTokens")
	case s.Priority < -MaxPriority || s.Priority > MaxPriority:
		return Invalid("spec.priority", s.Priority, fmt.Sprintf("%d to %d", -MaxPriority, MaxPriority))
	case s.MaxConcurrent < 0:
		return Invalid("spec.maxConcurrent", s.MaxConcurrent, "0 (no bound) or more")
	case s.MinCapacity < 0 || s.MinCapacity > 1:
		return Invalid("spec.minCapacity", s.MinCapacity, "0 to 1")
	}
	return nil
}

// ServiceSpec describes a plain (non-model) service.
type ServiceSpec struct {
	Timeout Seconds `json:"timeout,omitempty"` // time limit of a call; default 30 seconds
	Routes  []Route `json:"routes,omitempty"`  // the first match applies
}

// Route sets whether matching calls may be retried. Calls without a matching route
// may be retried only if their method is GET, HEAD or OPTIONS.
type Route struct {
	Method     string `json:"method,omitempty"` // empty matches any
	Path       string `json:"path"`             // path prefix
	Repeatable bool   `json:"repeatable"`
}

var methods = []string{
	"", http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (s *ServiceSpec) check() error {
	if d := s.Timeout.Duration(); d < 0 || d > MaxServiceTimeout {
		return Invalid("spec.timeout", d, fmt.Sprintf("0 to %g seconds", MaxServiceTimeout.Seconds()))
	}
	for i, r := range s.Routes {
		if !strings.HasPrefix(r.Path, "/") {
			return Invalid(fmt.Sprintf("spec.routes[%d].path", i), r.Path, "a path that starts with /")
		}
		if !slices.Contains(methods, r.Method) {
			return Invalid(fmt.Sprintf("spec.routes[%d].method", i), r.Method, strings.Join(methods[1:], ", "))
		}
	}
	return nil
}

// Repeatable reports whether a call with the method and path may be retried.
func (s *ServiceSpec) Repeatable(method, path string) bool {
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Path) {
			return r.Repeatable
		}
	}
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

// UpstreamSpec describes an upstream: a model engine or a server of a plain service.
type UpstreamSpec struct {
	Address       string   `json:"address"` // host:port
	FailureDomain string   `json:"failureDomain"`
	Deployments   []string `json:"deployments,omitempty"`   // served by a model engine
	Service       string   `json:"service,omitempty"`       // served by a plain server
	ChecksFencing bool     `json:"checksFencing,omitempty"` // rejects orders with a stale fencing number
	Role          string   `json:"role,omitempty"`          // desired role of a model engine: prefill, decode or both; empty allows any
	MemoryTokens  int      `json:"memoryTokens,omitempty"`  // KV cache size of a model engine, in tokens
	PrefillRate   int      `json:"prefillRate,omitempty"`   // prefill rate of a model engine, in tokens per second
}

var roles = []string{"", "prefill", "decode", "both"}

func (s *UpstreamSpec) check() error {
	if _, _, err := net.SplitHostPort(s.Address); err != nil {
		return Invalid("spec.address", s.Address, "host:port")
	}
	if !namePattern.MatchString(s.FailureDomain) {
		return Invalid("spec.failureDomain", s.FailureDomain, nameAllowed)
	}
	if (s.Service == "") == (len(s.Deployments) == 0) {
		return Invalid("spec.service", s.Service, "either spec.service or spec.deployments")
	}
	if !slices.Contains(roles, s.Role) {
		return Invalid("spec.role", s.Role, strings.Join(roles[1:], ", "))
	}
	if s.MemoryTokens < 0 || s.PrefillRate < 0 {
		return Invalid("spec.memoryTokens", s.MemoryTokens, "0 (not known) or more, like spec.prefillRate")
	}
	return checkNames("spec.deployments", s.Deployments)
}

func checkNames(field string, names []string) error {
	for i, n := range names {
		if !namePattern.MatchString(n) {
			return Invalid(fmt.Sprintf("%s[%d]", field, i), n, nameAllowed)
		}
	}
	return nil
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }
