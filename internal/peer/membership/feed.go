package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// feed is a compacted log: it holds the newest record of each key, in the order in
// which they were stored. A reader that has acknowledged a position needs only the
// records after it, so that each record is sent over a link about once.
type feed[T proto.Message] struct {
	items map[string]*item[T]
	pos   uint64
	gen   uint64 // number of changes, evictions included
}

type item[T proto.Message] struct {
	key      string
	val      T
	pos      uint64
	size     int       // bytes
	sources  []string  // VMs known to have the record
	storedAt time.Time // time when it was stored
}

// maxSources limits the source VMs that are remembered for a record.
const maxSources = 8

// addSource notes that a VM already has the record, so that it isn't sent there.
func (it *item[T]) addSource(vm string) {
	if len(it.sources) < maxSources && !slices.Contains(it.sources, vm) {
		it.sources = append(it.sources, vm)
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

// put stores a record that was received from the VM source.
func (f *feed[T]) put(key string, val T, source string, now time.Time) {
	f.pos++
	f.gen++
	f.items[key] = &item[T]{key: key, val: val, pos: f.pos, size: proto.Size(val) + 2, sources: []string{source}, storedAt: now}
}

// evict drops the records for which expired returns true.
func (f *feed[T]) evict(expired func(it *item[T]) bool) {
	for key, it := range f.items {
		if expired(it) {
			delete(f.items, key)
			f.gen++
		}
	}
}

// after returns the records after the position pos, except those that came from the
// reader, and the position that they reach. It returns at most the given number of
// bytes but at least one record.
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
		if !slices.Contains(it.sources, reader) {
			if bytes < it.size && len(vals) > 0 {
				return vals, to
			}
			vals, bytes = append(vals, it.val), bytes-it.size
		}
		to = it.pos
	}
	return vals, f.pos
}

// before returns the position that precedes all records stored after t.
func (f *feed[T]) before(t time.Time) uint64 {
	pos := f.pos
	for _, it := range f.items {
		if it.storedAt.After(t) {
			pos = min(pos, it.pos-1)
		}
	}
	return pos
}
