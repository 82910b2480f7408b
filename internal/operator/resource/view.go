package resource

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// View is the configuration at an offset. It never changes and may be read from
// any goroutine.
type View struct {
	offset      uint64
	objects     map[Type]map[string]Object
	workspaces  map[string]*Workspace
	byKey       map[string]*Workspace
	deployments map[string]*Deployment
	services    map[string]*Service
	rules       []*Rule
	upstreams   map[string]*Upstream
}

// Workspace is a workspace in force.
type Workspace struct {
	name string
	spec WorkspaceSpec
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Spec returns the workspace's spec.
func (w *Workspace) Spec() WorkspaceSpec { return w.spec }

// Allows reports whether the workspace may use the deployment.
func (w *Workspace) Allows(deployment string) bool {
	return len(w.spec.Deployments) == 0 || slices.Contains(w.spec.Deployments, deployment)
}

// Deployment is a deployment in force with its engines.
type Deployment struct {
	name    string
	version uint64
	spec    DeploymentSpec
	engines []*Upstream
}

// Name returns the deployment's name.
func (d *Deployment) Name() string { return d.name }

// Version returns the version of the deployment's object.
func (d *Deployment) Version() uint64 { return d.version }

// Spec returns the deployment's spec.
func (d *Deployment) Spec() DeploymentSpec { return d.spec }

// Engines returns the engines that serve the deployment, by name.
func (d *Deployment) Engines() []*Upstream { return d.engines }

// Service is a plain service in force with its servers.
type Service struct {
	name    string
	spec    ServiceSpec
	servers []*Upstream
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Spec returns the service's spec.
func (s *Service) Spec() ServiceSpec { return s.spec }

// Servers returns the service's servers, by name.
func (s *Service) Servers() []*Upstream { return s.servers }

// Rule is a rule in force.
type Rule struct {
	name string
	spec RuleSpec
}

// Name returns the rule's name.
func (r *Rule) Name() string { return r.name }

// Spec returns the rule's spec.
func (r *Rule) Spec() RuleSpec { return r.spec }

// Matches reports whether the rule applies to a request.
func (r *Rule) Matches(workspace, deployment string, promptTokens int) bool {
	s := r.spec
	return (s.Workspace == "" || s.Workspace == workspace) &&
		(s.Deployment == "" || s.Deployment == deployment) &&
		promptTokens >= s.MinPromptTokens &&
		(s.MaxPromptTokens == 0 || promptTokens <= s.MaxPromptTokens)
}

// Upstream is an upstream in force.
type Upstream struct {
	name string
	spec UpstreamSpec
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Spec returns the upstream's spec.
func (u *Upstream) Spec() UpstreamSpec { return u.spec }

// View returns the view of the fold as it is now.
func (f *Fold) View() *View {
	v := &View{
		offset:      f.offset,
		objects:     map[Type]map[string]Object{},
		workspaces:  map[string]*Workspace{},
		byKey:       map[string]*Workspace{},
		deployments: map[string]*Deployment{},
		services:    map[string]*Service{},
		upstreams:   map[string]*Upstream{},
	}
	for _, t := range Types() {
		v.objects[t] = maps.Clone(f.objects[t])
		for _, name := range slices.Sorted(maps.Keys(f.objects[t])) {
			v.add(f.objects[t][name])
		}
	}
	return v
}

func (v *View) add(o Object) {
	spec, err := DecodeSpec(o.Kind, o.Spec)
	if err != nil {
		return // the fold accepts no such object
	}
	name := o.Metadata.Name
	switch s := spec.(type) {
	case *WorkspaceSpec:
		w := &Workspace{name: name, spec: *s}
		v.workspaces[name] = w
		for _, k := range s.Keys {
			v.byKey[strings.TrimPrefix(k, "sha256:")] = w
		}
	case *DeploymentSpec:
		v.deployments[name] = &Deployment{name: name, version: o.Metadata.Version, spec: *s}
	case *ServiceSpec:
		v.services[name] = &Service{name: name, spec: *s}
	case *RuleSpec:
		v.rules = append(v.rules, &Rule{name: name, spec: *s})
	case *UpstreamSpec:
		v.addUpstream(&Upstream{name: name, spec: *s})
	}
}

func (v *View) addUpstream(u *Upstream) {
	v.upstreams[u.name] = u
	for _, d := range u.spec.Deployments {
		if dep := v.deployments[d]; dep != nil {
			dep.engines = append(dep.engines, u)
		}
	}
	if s := v.services[u.spec.Service]; s != nil {
		s.servers = append(s.servers, u)
	}
}

// Offset returns the last offset of the log that the view contains.
func (v *View) Offset() uint64 { return v.offset }

// HashKey returns the SHA-256 of a bearer key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace of a bearer key, or nil.
func (v *View) WorkspaceOf(key string) *Workspace { return v.byKey[HashKey(key)] }

// Workspace returns the workspace of the name, or nil.
func (v *View) Workspace(name string) *Workspace { return v.workspaces[name] }

// Workspaces returns the workspaces by name.
func (v *View) Workspaces() []*Workspace { return sorted(v.workspaces) }

// Deployment returns the deployment of the name, or nil.
func (v *View) Deployment(name string) *Deployment { return v.deployments[name] }

// Deployments returns the deployments by name.
func (v *View) Deployments() []*Deployment { return sorted(v.deployments) }

// Service returns the service of the name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Rules returns the rules by name.
func (v *View) Rules() []*Rule { return v.rules }

// Upstream returns the upstream of the name, or nil.
func (v *View) Upstream(name string) *Upstream { return v.upstreams[name] }

// Upstreams returns the upstreams by name.
func (v *View) Upstreams() []*Upstream { return sorted(v.upstreams) }

// Object returns the object of the kind and name.
func (v *View) Object(t Type, name string) (Object, bool) {
	o, ok := v.objects[t][name]
	return o, ok
}

// Objects returns the objects of the kind by name.
func (v *View) Objects(t Type) []Object { return sorted(v.objects[t]) }

func sorted[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

func compact(raw []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return raw
	}
	return b.Bytes()
}
