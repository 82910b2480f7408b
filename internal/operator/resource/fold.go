package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Outcome is the result of applying a change.
type Outcome struct {
	offset  uint64
	change  Change
	current uint64
	err     error
}

// Offset returns the offset of the record that decided the change. For an accepted
// put that changed the object it is the object's new version.
func (o Outcome) Offset() uint64 { return o.offset }

// Change returns the change.
func (o Outcome) Change() Change { return o.change }

// Current returns the object's version after the change, or 0 if there is no object.
func (o Outcome) Current() uint64 { return o.current }

// Err returns the reason for a rejection, or nil if the change was accepted.
func (o Outcome) Err() error { return o.err }

// Fold is the state that results from applying all changes up to an offset. It is
// deterministic: folds that applied the same records are equal. It is not safe for
// concurrent use.
type Fold struct {
	offset    uint64
	tables    map[Type]*table
	referrers map[key]map[key]struct{} // objects that refer to the object
	keyOwners map[string]string        // workspace by key hash
	fates     *fates
	lastView  *View
}

// NewFold returns a fold that has applied no changes.
func NewFold() *Fold {
	f := &Fold{
		tables:    map[Type]*table{},
		referrers: map[key]map[key]struct{}{},
		keyOwners: map[string]string{},
		fates:     newFates(),
	}
	for _, t := range Types() {
		f.tables[t] = &table{}
	}
	return f
}

// Offset returns the last offset applied.
func (f *Fold) Offset() uint64 { return f.offset }

// Fate returns the fate of the change with the id, if it is known.
func (f *Fold) Fate(id string) (Fate, bool) {
	fate, ok := f.fates.byID[id]
	return fate, ok
}

// Current returns the version of an object, and whether the object exists.
func (f *Fold) Current(t Type, name string) (uint64, bool) {
	it := f.get(key{t, name})
	if it == nil {
		return 0, false
	}
	return it.object.Metadata.Version, true
}

var (
	errSettled   = errors.New("the change is in the log already, or was voided")
	errExpired   = errors.New("the change reached the log too late")
	errUnknownOp = errors.New("the operation is not known")
)

// Apply applies the change at the offset. It ignores offsets that were already
// applied and returns false for them.
func (f *Fold) Apply(offset uint64, c Change) (Outcome, bool) {
	if offset <= f.offset {
		return Outcome{}, false
	}
	f.offset = offset
	c.Spec = canonical(c.Spec)
	out := Outcome{offset: offset, change: c}
	out.err = f.decide(offset, c)
	if it := f.get(key{c.Kind, c.Name}); it != nil {
		out.current = it.object.Metadata.Version
	}
	f.fates.prune(offset)
	return out, true
}

// Skip advances past a record that is not a valid change.
func (f *Fold) Skip(offset uint64) {
	if offset > f.offset {
		f.offset = offset
		f.fates.prune(offset)
	}
}

// decide applies a change whose id has no fate yet and records its fate.
func (f *Fold) decide(offset uint64, c Change) error {
	if _, ok := f.fates.byID[c.ID]; ok || c.ID == "" {
		return fail("apply", KindSettled, errSettled)
	}
	err, result := error(nil), ResultExpired
	if offset > c.Base+FateWindow {
		err = fail("apply", KindVoided, errExpired)
	} else {
		err = f.apply(offset, c)
		result = resultOf(err)
	}
	f.fates.add(Fate{ID: c.ID, Offset: offset, Result: result, Fingerprint: c.Fingerprint()})
	return err
}

func (f *Fold) apply(offset uint64, c Change) error {
	switch c.Op {
	case OpVoid:
		return f.void(offset, c)
	case OpPut:
		return f.put(offset, c)
	case OpDelete:
		return f.remove(c)
	default:
		return fail("apply", KindInvalid, errUnknownOp)
	}
}

func (f *Fold) void(offset uint64, c Change) error {
	if _, ok := f.fates.byID[c.Voids]; ok || c.Voids == c.ID || c.Voids == "" {
		return fail("void", KindConflict, errSettled)
	}
	f.fates.add(Fate{ID: c.Voids, Offset: offset, Result: ResultVoided})
	return nil
}

func (f *Fold) get(k key) *item {
	t := f.tables[k.kind]
	if t == nil {
		return nil
	}
	return lookup(t.items, k.name)
}

func (f *Fold) put(offset uint64, c Change) error {
	k := key{c.Kind, c.Name}
	if f.unchanged(k, c) {
		return nil
	}
	if err := f.checkVersion(k, c.Replaces); err != nil {
		return err
	}
	it, err := newItem(Object{Kind: c.Kind, Metadata: Metadata{Name: c.Name, Version: offset, ChangeID: c.ID}, Spec: c.Spec})
	if err != nil {
		return err
	}
	if err := f.checkItem(it); err != nil {
		return err
	}
	f.unlink(k)
	f.link(k, it)
	return nil
}

// unchanged reports whether the object already has the spec of the change. Such a
// change is accepted and the object keeps its version.
func (f *Fold) unchanged(k key, c Change) bool {
	it := f.get(k)
	return it != nil && (c.Replaces == 0 || c.Replaces == it.object.Metadata.Version) &&
		bytes.Equal(it.object.Spec, c.Spec)
}

func newItem(o Object) (*item, error) {
	if !namePattern.MatchString(o.Metadata.Name) {
		return nil, Invalid("metadata.name", o.Metadata.Name, nameAllowed)
	}
	spec, err := DecodeSpec(o.Kind, o.Spec)
	if err != nil {
		return nil, err
	}
	return &item{object: o, spec: spec, refs: references(spec)}, nil
}

func (f *Fold) checkVersion(k key, replaces uint64) error {
	current := uint64(0)
	if it := f.get(k); it != nil {
		current = it.object.Metadata.Version
	}
	if current != replaces {
		return fail("apply", KindConflict, fmt.Errorf("version %d is current, not %d", current, replaces))
	}
	return nil
}

// link stores an item and indexes its references and keys.
func (f *Fold) link(k key, it *item) {
	f.tables[k.kind].set(it)
	for _, r := range it.refs {
		target := key{r.kind, r.name}
		if f.referrers[target] == nil {
			f.referrers[target] = map[key]struct{}{}
		}
		f.referrers[target][k] = struct{}{}
	}
	for _, h := range keyHashes(it) {
		f.keyOwners[h] = k.name
	}
}

// unlink removes the references and keys of an item from the indexes. The item
// stays in its table.
func (f *Fold) unlink(k key) {
	it := f.get(k)
	if it == nil {
		return
	}
	for _, r := range it.refs {
		target := key{r.kind, r.name}
		delete(f.referrers[target], k)
		if len(f.referrers[target]) == 0 {
			delete(f.referrers, target)
		}
	}
	for _, h := range keyHashes(it) {
		delete(f.keyOwners, h)
	}
}

func (f *Fold) remove(c Change) error {
	k := key{c.Kind, c.Name}
	if f.get(k) == nil {
		return fail("delete", KindConflict, errors.New("there is no such object"))
	}
	if err := f.checkVersion(k, c.Replaces); err != nil {
		return err
	}
	if by := f.describeReferrers(k); by != "" {
		return fail("delete", KindInUse, fmt.Errorf("%s refers to it", by))
	}
	f.unlink(k)
	f.tables[k.kind].remove(k.name)
	return nil
}

// reference is a field of a spec that names another object, which must exist.
type reference struct {
	field string
	kind  Type
	name  string
}

func references(spec Spec) []reference {
	var refs []reference
	add := func(field string, kind Type, name string) {
		if name != "" {
			refs = append(refs, reference{field, kind, name})
		}
	}
	addAll := func(field string, kind Type, names []string) {
		for i, n := range names {
			add(fmt.Sprintf("%s[%d]", field, i), kind, n)
		}
	}
	switch s := spec.(type) {
	case *WorkspaceSpec:
		addAll("spec.deployments", TypeDeployment, s.Deployments)
	case *VersionSpec:
		add("spec.deployment", TypeDeployment, s.Deployment)
	case *RuleSpec:
		add("spec.workspace", TypeWorkspace, s.Workspace)
		add("spec.deployment", TypeDeployment, s.Deployment)
	case *UpstreamSpec:
		addAll("spec.deployments", TypeDeployment, s.Deployments)
		add("spec.service", TypeService, s.Service)
	}
	return refs
}

// keyHashes returns the key hashes of a workspace, without their prefix.
func keyHashes(it *item) []string {
	s, ok := it.spec.(*WorkspaceSpec)
	if !ok {
		return nil
	}
	out := make([]string, len(s.Keys))
	for i, k := range s.Keys {
		out[i] = strings.TrimPrefix(k, "sha256:")
	}
	return out
}

// checkItem validates an item against the other objects: its references must exist,
// and no other workspace may have one of its keys.
func (f *Fold) checkItem(it *item) error {
	for _, r := range it.refs {
		if f.get(key{r.kind, r.name}) == nil {
			return Invalid(r.field, r.name, "the name of one of the "+string(r.kind))
		}
	}
	for i, h := range keyHashes(it) {
		if owner, ok := f.keyOwners[h]; ok && owner != it.object.Metadata.Name {
			return Invalid(fmt.Sprintf("spec.keys[%d]", i), "the given text", "a key of no other workspace; "+owner+" has it")
		}
	}
	return nil
}

// describeReferrers names the first object that refers to k and counts the others.
// It returns "" if there is none.
func (f *Fold) describeReferrers(k key) string {
	referrers := make([]string, 0, len(f.referrers[k]))
	for u := range f.referrers[k] {
		referrers = append(referrers, u.String())
	}
	switch len(referrers) {
	case 0:
		return ""
	case 1:
		return referrers[0]
	default:
		return fmt.Sprintf("%s, with %d more,", slices.Min(referrers), len(referrers)-1)
	}
}

// SameSpec reports whether two specs are equal apart from white space.
func SameSpec(a, b json.RawMessage) bool { return bytes.Equal(canonical(a), canonical(b)) }
