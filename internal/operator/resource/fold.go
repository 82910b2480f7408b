package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Outcome is what the fold made of a change.
type Outcome struct {
	offset  uint64
	change  Change
	current uint64
	err     error
}

// Offset returns the change's offset, which is the object's version where it was accepted.
func (o Outcome) Offset() uint64 { return o.offset }

// Change returns the change.
func (o Outcome) Change() Change { return o.change }

// Current returns the object's version after the change; 0 where there is none.
func (o Outcome) Current() uint64 { return o.current }

// Err returns why the change was rejected, or nil.
func (o Outcome) Err() error { return o.err }

// Fold is the state that all changes up to an offset make. Every fold that has
// applied the same offsets is the same. It belongs to one goroutine.
type Fold struct {
	offset  uint64
	objects map[Type]map[string]Object
	settled map[string]uint64 // change ids that took effect or were voided, by offset
}

// NewFold returns the fold of an empty log.
func NewFold() *Fold {
	f := &Fold{objects: map[Type]map[string]Object{}, settled: map[string]uint64{}}
	for _, t := range Types() {
		f.objects[t] = map[string]Object{}
	}
	return f
}

// Offset returns the last offset applied.
func (f *Fold) Offset() uint64 { return f.offset }

var errSettled = errors.New("the change is in the log already, or was voided")

// Apply applies the record at the offset. A record at or below the last offset
// changes nothing and reports false.
func (f *Fold) Apply(offset uint64, c Change) (Outcome, bool) {
	if offset <= f.offset {
		return Outcome{}, false
	}
	f.offset = offset
	out := Outcome{offset: offset, change: c}
	out.err = f.apply(offset, c)
	out.current = f.objects[c.Kind][c.Name].Metadata.Version
	return out, true
}

func (f *Fold) apply(offset uint64, c Change) error {
	if _, ok := f.settled[c.ID]; ok {
		return fail("apply", KindConflict, errSettled)
	}
	if c.Op == OpVoid {
		return f.void(offset, c)
	}
	f.settled[c.ID] = offset
	cur, exists := f.objects[c.Kind][c.Name]
	if cur.Metadata.Version != c.Replaces {
		return fail("apply", KindConflict, fmt.Errorf("version %d is current, not %d", cur.Metadata.Version, c.Replaces))
	}
	if c.Op == OpDelete {
		return f.remove(c, exists)
	}
	o := Object{Kind: c.Kind, Metadata: Metadata{Name: c.Name, Version: offset, ChangeID: c.ID}, Spec: c.Spec}
	if err := o.Check(); err != nil {
		return err
	}
	if err := f.checkReferences(o); err != nil {
		return err
	}
	f.objects[c.Kind][c.Name] = o
	return nil
}

func (f *Fold) void(offset uint64, c Change) error {
	f.settled[c.ID] = offset
	if _, ok := f.settled[c.Voids]; ok {
		return fail("void", KindConflict, errSettled)
	}
	f.settled[c.Voids] = offset
	return nil
}

func (f *Fold) remove(c Change, exists bool) error {
	if !exists {
		return fail("delete", KindConflict, errors.New("there is no such object"))
	}
	if by := f.usedBy(c.Kind, c.Name); by != "" {
		return fail("delete", KindInUse, fmt.Errorf("%s refers to it", by))
	}
	delete(f.objects[c.Kind], c.Name)
	return nil
}

// reference is a name in a spec that must exist.
type reference struct {
	field string
	kind  Type
	name  string
}

func references(spec Spec) []reference {
	var refs []reference
	add := func(field string, kind Type, names ...string) {
		for _, n := range names {
			if n != "" {
				refs = append(refs, reference{field, kind, n})
			}
		}
	}
	switch s := spec.(type) {
	case *WorkspaceSpec:
		add("spec.deployments", TypeDeployment, s.Deployments...)
	case *VersionSpec:
		add("spec.deployment", TypeDeployment, s.Deployment)
	case *RuleSpec:
		add("spec.workspace", TypeWorkspace, s.Workspace)
		add("spec.deployment", TypeDeployment, s.Deployment)
	case *UpstreamSpec:
		add("spec.deployments", TypeDeployment, s.Deployments...)
		add("spec.service", TypeService, s.Service)
	}
	return refs
}

func (f *Fold) checkReferences(o Object) error {
	spec, err := DecodeSpec(o.Kind, o.Spec)
	if err != nil {
		return err
	}
	for _, r := range references(spec) {
		if _, ok := f.objects[r.kind][r.name]; !ok {
			return Invalid(r.field, r.name, "the name of one of the "+string(r.kind))
		}
	}
	return nil
}

func (f *Fold) usedBy(kind Type, name string) string {
	for _, t := range Types() {
		for _, n := range slices.Sorted(maps.Keys(f.objects[t])) {
			spec, err := DecodeSpec(t, f.objects[t][n].Spec)
			if err != nil {
				continue
			}
			for _, r := range references(spec) {
				if r.kind == kind && r.name == name {
					return string(t) + "/" + n
				}
			}
		}
	}
	return ""
}

// SameSpec reports whether two specs are the same apart from space.
func SameSpec(a, b json.RawMessage) bool { return bytes.Equal(compact(a), compact(b)) }
