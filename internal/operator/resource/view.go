package resource

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// View is the immutable configuration at an offset. It is safe for concurrent use.
// Consecutive views share the parts that did not change.
type View struct {
	offset      uint64
	items       map[Type][]*item
	byKey       map[string]*Workspace
	workspaces  []*Workspace
	deployments []*Deployment
	versions    []*Version
	services    []*Service
	rules       []*Rule
	upstreams   []*Upstream
}

// Workspace is a workspace of a view.
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

// Deployment is a deployment of a view, with its engines.
type Deployment struct {
	name    string
	version uint64
	spec    DeploymentSpec
	engines []*Upstream
}

// Name returns the deployment's name.
func (d *Deployment) Name() string { return d.name }

// Version returns the object version of the deployment.
func (d *Deployment) Version() uint64 { return d.version }

// Spec returns the deployment's spec.
func (d *Deployment) Spec() DeploymentSpec { return d.spec }

// Engines returns the engines that serve the deployment, sorted by name.
func (d *Deployment) Engines() []*Upstream { return d.engines }

// Service is a plain service of a view, with its servers.
type Service struct {
	name    string
	spec    ServiceSpec
	servers []*Upstream
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Spec returns the service's spec.
func (s *Service) Spec() ServiceSpec { return s.spec }

// Servers returns the service's servers, sorted by name.
func (s *Service) Servers() []*Upstream { return s.servers }

// Rule is a rule of a view.
type Rule struct {
	name string
	spec RuleSpec
}

// Name returns the rule's name.
func (r *Rule) Name() string { return r.name }

// Spec returns the rule's spec.
func (r *Rule) Spec() RuleSpec { return r.spec }

// Matches reports whether the rule applies to a request of the workspace to the
// deployment with a prompt of promptTokens tokens.
func (r *Rule) Matches(workspace, deployment string, promptTokens int) bool {
	s := r.spec
	return (s.Workspace == "" || s.Workspace == workspace) &&
		(s.Deployment == "" || s.Deployment == deployment) &&
		promptTokens >= s.MinPromptTokens &&
		(s.MaxPromptTokens == 0 || promptTokens <= s.MaxPromptTokens)
}

// Upstream is an upstream of a view.
type Upstream struct {
	name string
	spec UpstreamSpec
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Spec returns the upstream's spec.
func (u *Upstream) Spec() UpstreamSpec { return u.spec }

// Version is a model version of a view.
type Version struct {
	name string
	spec VersionSpec
}

// Name returns the version's name.
func (v *Version) Name() string { return v.name }

// Spec returns the version's spec.
func (v *Version) Spec() VersionSpec { return v.spec }

// View returns the view of the current state. It rebuilds only the parts whose
// objects changed since the last call.
func (f *Fold) View() *View {
	last := f.lastView
	if last != nil && last.offset == f.offset {
		return last
	}
	if last == nil {
		last = &View{items: map[Type][]*item{}}
	}
	v := *last
	v.offset = f.offset
	v.items = map[Type][]*item{}
	changed := map[Type]bool{}
	for _, t := range Types() {
		changed[t] = f.lastView == nil || !f.tables[t].shared
		v.items[t] = f.tables[t].share()
	}
	v.update(changed)
	f.lastView = &v
	return &v
}

// update rebuilds the parts that depend on the changed kinds.
func (v *View) update(changed map[Type]bool) {
	if changed[TypeWorkspace] {
		v.workspaces = derive(v.items[TypeWorkspace], func(n string, s *WorkspaceSpec, _ *item) *Workspace { return &Workspace{n, *s} })
		v.indexKeys()
	}
	if changed[TypeVersion] {
		v.versions = derive(v.items[TypeVersion], func(n string, s *VersionSpec, _ *item) *Version { return &Version{n, *s} })
	}
	if changed[TypeRule] {
		v.rules = derive(v.items[TypeRule], func(n string, s *RuleSpec, _ *item) *Rule { return &Rule{n, *s} })
	}
	if changed[TypeUpstream] {
		v.upstreams = derive(v.items[TypeUpstream], func(n string, s *UpstreamSpec, _ *item) *Upstream { return &Upstream{n, *s} })
	}
	if changed[TypeDeployment] || changed[TypeUpstream] {
		v.deployments = derive(v.items[TypeDeployment], func(n string, s *DeploymentSpec, it *item) *Deployment {
			return &Deployment{name: n, version: it.object.Metadata.Version, spec: *s}
		})
		v.assignEngines()
	}
	if changed[TypeService] || changed[TypeUpstream] {
		v.services = derive(v.items[TypeService], func(n string, s *ServiceSpec, _ *item) *Service { return &Service{name: n, spec: *s} })
		v.assignServers()
	}
}

// derive calls f for each item whose spec has type S and returns the results.
func derive[S, T any](items []*item, f func(name string, spec S, it *item) T) []T {
	out := make([]T, 0, len(items))
	for _, it := range items {
		if s, ok := it.spec.(S); ok {
			out = append(out, f(it.object.Metadata.Name, s, it))
		}
	}
	return out
}

func (v *View) indexKeys() {
	v.byKey = make(map[string]*Workspace, len(v.workspaces))
	for _, w := range v.workspaces {
		for _, k := range w.spec.Keys {
			v.byKey[strings.TrimPrefix(k, "sha256:")] = w
		}
	}
}

func (v *View) assignEngines() {
	for _, u := range v.upstreams {
		for _, name := range u.spec.Deployments {
			if d := v.Deployment(name); d != nil {
				d.engines = append(d.engines, u)
			}
		}
	}
}

func (v *View) assignServers() {
	for _, u := range v.upstreams {
		if s := v.Service(u.spec.Service); s != nil {
			s.servers = append(s.servers, u)
		}
	}
}

// Offset returns the last log offset that the view includes.
func (v *View) Offset() uint64 { return v.offset }

// HashKey returns the hexadecimal SHA-256 hash of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace that a bearer key belongs to, or nil.
func (v *View) WorkspaceOf(key string) *Workspace { return v.byKey[HashKey(key)] }

// Workspace returns the workspace with the name, or nil.
func (v *View) Workspace(name string) *Workspace {
	return byName(v.workspaces, name, (*Workspace).Name)
}

// Workspaces returns the workspaces, sorted by name.
func (v *View) Workspaces() []*Workspace { return v.workspaces }

// Deployment returns the deployment with the name, or nil.
func (v *View) Deployment(name string) *Deployment {
	return byName(v.deployments, name, (*Deployment).Name)
}

// Deployments returns the deployments, sorted by name.
func (v *View) Deployments() []*Deployment { return v.deployments }

// Version returns the version with the name, or nil.
func (v *View) Version(name string) *Version { return byName(v.versions, name, (*Version).Name) }

// Versions returns the versions, sorted by name.
func (v *View) Versions() []*Version { return v.versions }

// Service returns the service with the name, or nil.
func (v *View) Service(name string) *Service { return byName(v.services, name, (*Service).Name) }

// Services returns the services, sorted by name.
func (v *View) Services() []*Service { return v.services }

// Rules returns the rules, sorted by name.
func (v *View) Rules() []*Rule { return v.rules }

// Upstream returns the upstream with the name, or nil.
func (v *View) Upstream(name string) *Upstream { return byName(v.upstreams, name, (*Upstream).Name) }

// Upstreams returns the upstreams, sorted by name.
func (v *View) Upstreams() []*Upstream { return v.upstreams }

// Object returns the object with the kind and name, and whether it exists.
func (v *View) Object(t Type, name string) (Object, bool) {
	if it := lookup(v.items[t], name); it != nil {
		return it.object, true
	}
	return Object{}, false
}

// Objects returns the objects of the kind, sorted by name.
func (v *View) Objects(t Type) []Object {
	out := make([]Object, 0, len(v.items[t]))
	for _, it := range v.items[t] {
		out = append(out, it.object)
	}
	return out
}

// byName returns the element of the sorted list with the name, or nil.
func byName[T any](list []*T, name string, of func(*T) string) *T {
	i, ok := slices.BinarySearchFunc(list, name, func(e *T, n string) int { return cmp.Compare(of(e), n) })
	if !ok {
		return nil
	}
	return list[i]
}
