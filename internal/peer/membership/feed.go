package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// feed is a log of the newest record of each key, in the order in which they
// became known here. A reader that has confirmed a position needs only what is
// after it, so that each record crosses a link about once.
type feed[T proto.Message] struct {
	items map[string]*item[T]
	pos   uint64
	gen   uint64 // counts all changes
}

type item[T proto.Message] struct {
	key  string
	val  T
	pos  uint64
	size int       // bytes
	from []string  // VMs that told it
	at   time.Time // when it became known
}

// maxTellers bounds the VMs that are kept of a record.
const maxTellers = 8

// told notes that a VM has the record already.
func (it *item[T]) told(vm string) {
	if len(it.from) < maxTellers && !slices.Contains(it.from, vm) {
		it.from = append(it.from, vm)
	}
}

func newFeed[T proto.Message]() *feed[T] { return &feed[T]{items: map[string]*item[T]{}} }

// get returns the record of the key.
func (f *feed[T]) get(key string) (T, bool) {
	it, ok := f.items[key]
	if !ok {
		var none T
		return none, false
	}
	return it.val, true
}

// put records the value that the VM told.
func (f *feed[T]) put(key string, val T, from string, now time.Time) {
	f.pos++
	f.gen++
	f.items[key] = &item[T]{key: key, val: val, pos: f.pos, size: proto.Size(val) + 2, from: []string{from}, at: now}
}

// drop forgets the keys whose record the function names.
func (f *feed[T]) drop(old func(it *item[T]) bool) {
	for key, it := range f.items {
		if old(it) {
			delete(f.items, key)
			f.gen++
		}
	}
}

// after returns the records after the position that the reader did not tell
// itself, up to so many bytes but at least one, and the position reached.
func (f *feed[T]) after(pos uint64, reader string, bytes int) (vals []T, to uint64) {
	var later []*item[T]
	for _, it := range f.items {
		if it.pos > pos {
			later = append(later, it)
		}
	}
	slices.SortFunc(later, func(a, b *item[T]) int { return cmp.Compare(a.pos, b.pos) })
	to = pos
	for _, it := range later {
		if !slices.Contains(it.from, reader) {
			if bytes < it.size && len(vals) > 0 {
				return vals, to
			}
			vals, bytes = append(vals, it.val), bytes-it.size
		}
		to = it.pos
	}
	return vals, f.pos
}

// before returns the position that was reached before the time.
func (f *feed[T]) before(t time.Time) uint64 {
	pos := f.pos
	for _, it := range f.items {
		if it.at.After(t) {
			pos = min(pos, it.pos-1)
		}
	}
	return pos
}
