// Package rollout drives engines to the declared deployments: models, versions,
// adapters and roles. Orders state the wanted end, so that a repeated one does no
// more than once.
package rollout

import (
	"math"
	"slices"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// model is a model that an engine has to serve.
type model struct {
	deployment string
	name       string
	version    string // any where empty
	adapters   []string
	bytes      int64
}

// want is what an engine has to be.
type want struct {
	models []model
	role   string // any where empty
}

// wanted returns what the configuration wants of an upstream.
func wanted(v *resource.View, u *resource.Upstream) want {
	w := want{role: u.Spec().Role}
	for _, name := range u.Spec().Deployments {
		d := v.Deployment(name)
		if d == nil {
			continue
		}
		m := model{deployment: name, name: d.Spec().Model, version: d.Spec().Version}
		if ver := v.Version(m.version); ver != nil && ver.Spec().Deployment == name {
			m.adapters, m.bytes = ver.Spec().Adapters, ver.Spec().Bytes
		}
		w.models = append(w.models, m)
	}
	return w
}

// step is the next order to an engine. A step without an action waits for a load.
type step struct {
	order engine.Order
	model model // of a load
}

// next returns the next step of an engine that reports the state; ok is false
// where it is all that is wanted.
func (w want) next(st *engine.State) (s step, ok bool) {
	for _, m := range w.models {
		loaded, there := st.Find(m.name)
		if !there || m.version != "" && loaded.Version != m.version {
			return step{order: engine.Order{Action: engine.ActionLoadModel, Model: m.name, Version: m.version}, model: m}, true
		}
	}
	for _, m := range w.models {
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
	if w.role != "" && st.Role != w.role {
		return step{order: engine.Order{Action: engine.ActionChangeRole, Role: w.role}}, true
	}
	return w.surplus(st)
}

// surplus returns the order to unload a model that no deployment of the engine wants.
func (w want) surplus(st *engine.State) (step, bool) {
	for _, l := range st.Models {
		if !slices.ContainsFunc(w.models, func(m model) bool { return m.name == l.Model }) {
			return step{order: engine.Order{Action: engine.ActionUnloadModel, Model: l.Model}}, true
		}
	}
	return step{}, false
}

// needed returns how many engines of a deployment the rules leave serving.
func needed(v *resource.View, deployment string, total int) int {
	share := 0.0
	for _, r := range v.Rules() {
		if s := r.Spec(); s.Deployment == "" || s.Deployment == deployment {
			share = max(share, s.MinCapacity)
		}
	}
	return int(math.Ceil(share*float64(total) - 1e-9))
}
