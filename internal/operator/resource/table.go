package resource

import (
	"cmp"
	"slices"
)

// item is an object with what was decoded from it. It never changes.
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

// table holds the items of one kind by name. A view shares the slice, which is
// copied before the next change.
type table struct {
	items  []*item
	shared bool
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

func (t *table) own() {
	if t.shared {
		t.items, t.shared = slices.Clone(t.items), false
	}
}

func (t *table) set(it *item) {
	t.own()
	if i, ok := find(t.items, it.object.Metadata.Name); ok {
		t.items[i] = it
	} else {
		t.items = slices.Insert(t.items, i, it)
	}
}

func (t *table) remove(name string) {
	t.own()
	if i, ok := find(t.items, name); ok {
		t.items = slices.Delete(t.items, i, i+1)
	}
}

// share returns the items for a view.
func (t *table) share() []*item {
	t.shared = true
	return t.items
}
