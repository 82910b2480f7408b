package follow

import (
	"bytes"
	"maps"
	"time"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// removedRetention is how long a removed key's last record is remembered, and maxRemoved how
	// many are. The store carries out a write without an answer some seconds late.
	removedRetention = time.Minute
	maxRemoved       = 4096
)

// latest is the fold of a topic: the latest record of each key by the order in which they were
// written, as far as the records tell it. The order in the store is another one where the store
// carried out a write late.
type latest struct {
	outdated func(r, known platform.Keyed) bool // nil: the order in the store holds
	now      func() time.Time
	keys     map[string]keyState
	removed  int // keys that were removed and are remembered
}

// keyState is what is known of a key.
type keyState struct {
	record    platform.Keyed // the last one with a value
	removedAt time.Time      // zero: it is not removed
}

// newLatest returns an empty fold. outdated reports whether r was written before known, both of
// the same key and with values; nil stands for false.
func newLatest(outdated func(r, known platform.Keyed) bool) *latest {
	return &latest{outdated: outdated, now: time.Now, keys: map[string]keyState{}}
}

// records returns the latest record of each key that is not removed.
func (l *latest) records() []platform.Keyed {
	out := make([]platform.Keyed, 0, len(l.keys)-l.removed)
	for _, k := range l.keys {
		if k.removedAt.IsZero() {
			out = append(out, k.record)
		}
	}
	return out
}

// add folds the next records of the topic. It returns those that hold, and those that are outdated.
func (l *latest) add(records []platform.Keyed) (valid, late []platform.Keyed) {
	for _, r := range records {
		switch {
		case r.Value == nil:
			l.remove(r.Key)
		case l.precedes(r):
			late = append(late, r)
			continue
		default:
			l.set(r)
		}
		valid = append(valid, r)
	}
	return valid, late
}

// replace folds the records of all keys. It returns the latest ones, which are others where a listed
// one is outdated, and those that are outdated. If restored is set, the records are of a restored
// store's copy: a removal may have been lost with what was written after it, so it decides nothing.
func (l *latest) replace(records []platform.Keyed, restored bool) (valid, late []platform.Keyed) {
	listed := make(map[string]bool, len(records))
	valid = make([]platform.Keyed, 0, len(records))
	for _, r := range records {
		listed[r.Key] = true
		k := l.keys[r.Key]
		wasRemoved := !k.removedAt.IsZero()
		switch {
		case r.Value == nil:
			l.remove(r.Key)
		case l.precedes(r) && !wasRemoved:
			late = append(late, r)
			valid = append(valid, k.record)
		case l.precedes(r) && !restored:
			late = append(late, r)
		default:
			l.set(r)
			valid = append(valid, r)
		}
	}
	for key := range l.keys {
		if !listed[key] {
			l.remove(key)
		}
	}
	return valid, late
}

// precedes reports whether a record was written before the latest one of its key.
func (l *latest) precedes(r platform.Keyed) bool {
	k, ok := l.keys[r.Key]
	if !ok || l.outdated == nil || r.Offset == k.record.Offset && bytes.Equal(r.Value, k.record.Value) {
		return false
	}
	return l.outdated(r, k.record)
}

// set makes a record the latest one of its key.
func (l *latest) set(r platform.Keyed) {
	if !l.keys[r.Key].removedAt.IsZero() {
		l.removed--
	}
	l.keys[r.Key] = keyState{record: r}
}

// remove removes a key, and remembers its last record.
func (l *latest) remove(key string) {
	k, ok := l.keys[key]
	if !ok || !k.removedAt.IsZero() {
		return
	}
	now := l.now()
	if l.removed >= maxRemoved {
		maps.DeleteFunc(l.keys, func(_ string, k keyState) bool {
			return !k.removedAt.IsZero() && now.Sub(k.removedAt) > removedRetention
		})
		l.removed = l.countRemoved()
	}
	if l.outdated == nil || l.removed >= maxRemoved {
		delete(l.keys, key)
		return
	}
	k.removedAt = now
	l.keys[key] = k
	l.removed++
}

func (l *latest) countRemoved() int {
	n := 0
	for _, k := range l.keys {
		if !k.removedAt.IsZero() {
			n++
		}
	}
	return n
}
