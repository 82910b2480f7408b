package resource

import (
	"cmp"
	"slices"
)

// item is an immutable object with its decoded spec and references.
type item struct {
	object Object
	spec   Spec
	refs   []reference
}

// key identifies an object.
type key struct {
	kind Type
	name string
}

func (k key) String() string { return string(k.kind) + "/" + k.name }

// table holds the items of one kind, sorted by name. It is copy-on-write: after a
// view shares the slice, the next change copies it first.
type table struct {
	items  []*item
	shared bool // a view holds items
}

func find(items []*item, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(it *item, n string) int { return cmp.Compare(it.object.Metadata.Name, n) })
}

func lookup(items []*item, name string) *item {
	if i, ok := find(items, name); ok {
		return items[i]
	}
	return nil
}

func (t *table) cloneIfShared() {
	if t.shared {
		t.items, t.shared = slices.Clone(t.items), false
	}
}

func (t *table) set(it *item) {
	t.cloneIfShared()
	if i, ok := find(t.items, it.object.Metadata.Name); ok {
		t.items[i] = it
	} else {
		t.items = slices.Insert(t.items, i, it)
	}
}

func (t *table) remove(name string) {
	t.cloneIfShared()
	if i, ok := find(t.items, name); ok {
		t.items = slices.Delete(t.items, i, i+1)
	}
}

// share returns the items for a view and marks them as shared.
func (t *table) share() []*item {
	t.shared = true
	return t.items
}
