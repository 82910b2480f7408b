package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
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
	offset uint64
	tables map[Type]*table
	users  map[key]map[key]struct{} // who refers to an object
	owners map[string]string        // workspace of a key's hash
	fates  *fates
	last   *View
}

// NewFold returns the fold of an empty log.
func NewFold() *Fold {
	f := &Fold{
		tables: map[Type]*table{},
		users:  map[key]map[key]struct{}{},
		owners: map[string]string{},
		fates:  newFates(),
	}
	for _, t := range Types() {
		f.tables[t] = &table{}
	}
	return f
}

// Offset returns the last offset applied.
func (f *Fold) Offset() uint64 { return f.offset }

// Fate returns what became of a change, where that is known.
func (f *Fold) Fate(id string) (Fate, bool) {
	t, ok := f.fates.byID[id]
	return t, ok
}

// Current returns the version of an object, and whether it is there.
func (f *Fold) Current(t Type, name string) (uint64, bool) {
	it := f.get(key{t, name})
	if it == nil {
		return 0, false
	}
	return it.object.Metadata.Version, true
}

var (
	errSettled = errors.New("the change is in the log already, or was voided")
	errExpired = errors.New("the change reached the log too late")
	errOp      = errors.New("the operation is not known")
)

// Apply applies the record at the offset. A record at or below the last offset
// changes nothing and reports false.
func (f *Fold) Apply(offset uint64, c Change) (Outcome, bool) {
	if offset <= f.offset {
		return Outcome{}, false
	}
	f.offset = offset
	c.Spec = canonical(c.Spec)
	out := Outcome{offset: offset, change: c}
	out.err = f.settle(offset, c)
	if it := f.get(key{c.Kind, c.Name}); it != nil {
		out.current = it.object.Metadata.Version
	}
	f.fates.prune(offset)
	return out, true
}

// Skip passes over a record that is no change.
func (f *Fold) Skip(offset uint64) {
	if offset > f.offset {
		f.offset = offset
		f.fates.prune(offset)
	}
}

// settle applies a change whose id is new and keeps its fate.
func (f *Fold) settle(offset uint64, c Change) error {
	if _, ok := f.fates.byID[c.ID]; ok || c.ID == "" {
		return fail("apply", KindSettled, errSettled)
	}
	err, result := error(nil), ResultExpired
	if offset > c.Base+Window {
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
		return fail("apply", KindInvalid, errOp)
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

// unchanged reports whether the object is already as the change wants it: it is
// accepted and the object keeps its version.
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

// link adds an item and its references.
func (f *Fold) link(k key, it *item) {
	f.tables[k.kind].set(it)
	for _, r := range it.refs {
		target := key{r.kind, r.name}
		if f.users[target] == nil {
			f.users[target] = map[key]struct{}{}
		}
		f.users[target][k] = struct{}{}
	}
	for _, h := range keysOf(it) {
		f.owners[h] = k.name
	}
}

// unlink forgets the references of an item, which stays in its table.
func (f *Fold) unlink(k key) {
	it := f.get(k)
	if it == nil {
		return
	}
	for _, r := range it.refs {
		target := key{r.kind, r.name}
		delete(f.users[target], k)
		if len(f.users[target]) == 0 {
			delete(f.users, target)
		}
	}
	for _, h := range keysOf(it) {
		delete(f.owners, h)
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
	if by := f.usedBy(k); by != "" {
		return fail("delete", KindInUse, fmt.Errorf("%s refers to it", by))
	}
	f.unlink(k)
	f.tables[k.kind].remove(k.name)
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

// keysOf returns the hashes of a workspace's keys.
func keysOf(it *item) []string {
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

// checkItem checks what a spec alone can't tell: the references, and that a key
// belongs to one workspace.
func (f *Fold) checkItem(it *item) error {
	for _, r := range it.refs {
		if f.get(key{r.kind, r.name}) == nil {
			return Invalid(r.field, r.name, "the name of one of the "+string(r.kind))
		}
	}
	for i, h := range keysOf(it) {
		if owner, ok := f.owners[h]; ok && owner != it.object.Metadata.Name {
			return Invalid(fmt.Sprintf("spec.keys[%d]", i), "the given text", "a key of no other workspace; "+owner+" has it")
		}
	}
	return nil
}

// usedBy returns the first object that refers to another one, and how many do.
func (f *Fold) usedBy(k key) string {
	users := make([]string, 0, len(f.users[k]))
	for u := range f.users[k] {
		users = append(users, u.String())
	}
	switch len(users) {
	case 0:
		return ""
	case 1:
		return users[0]
	default:
		return fmt.Sprintf("%s, with %d more,", slices.Min(users), len(users)-1)
	}
}

// SameSpec reports whether two specs are the same apart from space.
func SameSpec(a, b json.RawMessage) bool { return bytes.Equal(canonical(a), canonical(b)) }
