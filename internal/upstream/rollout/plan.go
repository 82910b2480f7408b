// Package rollout reconciles engines with the configured deployments: models, versions,
// adapters and roles. Orders state the desired result, so that repeating one is harmless.
package rollout

import (
	"math"
	"slices"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// model is a model that an engine should serve.
type model struct {
	deployment string
	name       string
	version    string // empty means any
	adapters   []string
	bytes      int64
}

// desired is the desired state of an engine.
type desired struct {
	models []model
	role   string // empty means any
}

// desiredState returns the desired state that the configuration gives an upstream.
func desiredState(v *resource.View, u *resource.Upstream) desired {
	want := desired{role: u.Spec().Role}
	for _, name := range u.Spec().Deployments {
		d := v.Deployment(name)
		if d == nil {
			continue
		}
		m := model{deployment: name, name: d.Spec().Model, version: d.Spec().Version}
		if ver := v.Version(m.version); ver != nil && ver.Spec().Deployment == name {
			m.adapters, m.bytes = ver.Spec().Adapters, ver.Spec().Bytes
		}
		want.models = append(want.models, m)
	}
	return want
}

// step is the next order to an engine. A step whose order has no action waits for a
// model to finish loading.
type step struct {
	order engine.Order
	model model // of a load order
}

// nextStep returns the next step from the state st towards the desired one. ok is false if
// nothing is left to do.
func (want desired) nextStep(st *engine.State) (s step, ok bool) {
	for _, m := range want.models {
		loaded, found := st.Find(m.name)
		if !found || m.version != "" && loaded.Version != m.version {
			return step{order: engine.Order{Action: engine.ActionLoadModel, Model: m.name, Version: m.version}, model: m}, true
		}
	}
	for _, m := range want.models {
		loaded, _ := st.Find(m.name)
		if !loaded.Ready {
			return step{model: m}, true
		}
		for _, a := range m.adapters {
			if !slices.Contains(loaded.Adapters, a) {
				return step{order: engine.Order{Action: engine.ActionLoadAdapter, Model: m.name, Adapter: a}}, true
			}
		}
	}
	if want.role != "" && st.Role != want.role {
		return step{order: engine.Order{Action: engine.ActionChangeRole, Role: want.role}}, true
	}
	return want.surplus(st)
}

// surplus returns the step that unloads a model which none of the engine's deployments
// uses.
func (want desired) surplus(st *engine.State) (step, bool) {
	for _, l := range st.Models {
		if !slices.ContainsFunc(want.models, func(m model) bool { return m.name == l.Model }) {
			return step{order: engine.Order{Action: engine.ActionUnloadModel, Model: l.Model}}, true
		}
	}
	return step{}, false
}

// minServing returns how many of a deployment's engines must keep serving under the
// MinCapacity rules.
func minServing(v *resource.View, deployment string, total int) int {
	share := 0.0
	for _, r := range v.Rules() {
		if s := r.Spec(); s.Deployment == "" || s.Deployment == deployment {
			share = max(share, s.MinCapacity)
		}
	}
	return int(math.Ceil(share*float64(total) - 1e-9))
}
