package store

import (
	"maps"
	"slices"
)

// pageItems is the most records of a page of the newest ones.
const pageItems = 500

// keyed is the newest record of a key.
type keyed struct {
	key    string
	value  []byte
	offset uint64
}

// encodeKeyed returns a record of a keyed topic; no value drops the key.
func encodeKeyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// note keeps the record as the newest of its key. One without a key is passed over.
func (t *topic) note(r Record) {
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

// Put appends a record of a keyed topic as the platform's own writers do, also
// during an outage. A nil value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.add(encodeKeyed(key, value))
	t.wake()
}

// Value returns the newest value of a key, or nil.
func (s *Store) Value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// page returns the newest records of the keys behind one, in order, and whether there
// are more.
func (s *Store) page(name, after string) (items []keyed, more bool, end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := slices.Sorted(maps.Keys(t.newest))
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			return items, true, t.next
		}
		items = append(items, t.newest[key])
	}
	return items, false, t.next
}
