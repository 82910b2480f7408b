package store

import (
	"maps"
	"slices"
)

// pageItems is the maximum number of records in a page of newest records.
const pageItems = 500

// keyed is the newest record of a key in a keyed topic.
type keyed struct {
	key    string
	value  []byte
	offset uint64
}

// encodeKeyed encodes a record of a keyed topic: the length of the key as one byte, the
// key, the value. An empty value deletes the key.
func encodeKeyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// updateNewest stores the record as the newest of its key. It skips a malformed record.
func (t *topic) updateNewest(r Record) {
	if len(r.Data) == 0 || len(r.Data) < 1+int(r.Data[0]) {
		return
	}
	key, value := string(r.Data[1:1+r.Data[0]]), r.Data[1+r.Data[0]:]
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = keyed{key: key, value: value, offset: r.Offset}
}

// Put appends a record to a keyed topic as the platform's own writers do. It works during
// an outage too. A nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.add(encodeKeyed(key, value))
	t.notify()
}

// Value returns the newest value of a key, or nil if the key has none.
func (s *Store) Value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// page returns the newest records of the keys after the given one, sorted by key, whether
// more follow, and the bounds of the topic.
func (s *Store) page(name, after string) (items []keyed, more bool, b Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := slices.Sorted(maps.Keys(t.newest))
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			return items, true, s.bounds(t)
		}
		items = append(items, t.newest[key])
	}
	return items, false, s.bounds(t)
}
