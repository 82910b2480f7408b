package follow

import (
	"context"
	"io"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

// numberOutdated orders records by the number that is their value.
func numberOutdated(r, known platform.Keyed) bool {
	a, errA := strconv.Atoi(string(r.Value))
	b, errB := strconv.Atoi(string(known.Value))
	return errA == nil && errB == nil && a < b
}

// number returns a record, which deletes the key if the value is empty.
func number(key, value string, offset uint64) platform.Keyed {
	r := platform.Keyed{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// values returns the values of records by key, sorted.
func values(records []platform.Keyed) []string {
	var out []string
	for _, r := range records {
		out = append(out, r.Key+"="+string(r.Value))
	}
	slices.Sort(out)
	return out
}

// The store carried out a write seconds late, behind newer ones, and it took back what they said.
func TestLateWriteTakesNothingBack(t *testing.T) {
	is := is.New(t)
	l := newLatest(numberOutdated)
	valid, late := l.add([]platform.Keyed{number("a", "6", 0), number("b", "1", 1), number("a", "5", 2), number("b", "2", 3)})
	is.Equal(values(valid), []string{"a=6", "b=1", "b=2"})
	is.Equal(values(late), []string{"a=5"})
	is.Equal(values(l.records()), []string{"a=6", "b=2"})

	// A snapshot lists the late write, since it is the newest in the store.
	valid, late = l.replace([]platform.Keyed{number("a", "5", 2), number("b", "2", 3)}, false)
	is.Equal(values(valid), []string{"a=6", "b=2"})
	is.Equal(values(late), []string{"a=5"})

	// A copy of the store holds what was written before it was made.
	valid, _ = l.replace([]platform.Keyed{number("a", "4", 0), number("b", "2", 1)}, true)
	is.Equal(values(valid), []string{"a=6", "b=2"})
	is.Equal(values(l.records()), []string{"a=6", "b=2"})
}

// The store carried out a write after it had removed the key, and the key was in use again.
func TestLateWriteAfterRemovalIsIgnored(t *testing.T) {
	is := is.New(t)
	l := newLatest(numberOutdated)
	l.add([]platform.Keyed{number("a", "6", 0), number("b", "6", 1), number("a", "", 2)})
	valid, late := l.add([]platform.Keyed{number("a", "5", 3)})
	is.Equal(len(valid), 0)
	is.Equal(values(late), []string{"a=5"})
	valid, _ = l.replace([]platform.Keyed{number("a", "5", 3)}, false) // b was removed
	is.Equal(len(valid), 0)
	valid, _ = l.add([]platform.Keyed{number("b", "5", 5), number("a", "6", 6)}) // a is back
	is.Equal(values(valid), []string{"a=6"})
	is.Equal(l.removed, 1)

	// The copy of a store may lack a removal, and hold nothing newer.
	l.add([]platform.Keyed{number("a", "", 7)})
	valid, _ = l.replace([]platform.Keyed{number("a", "5", 0)}, true)
	is.Equal(values(valid), []string{"a=5"})
}

// Keys that come and go must not use memory without bound.
func TestRemovedKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	l := newLatest(numberOutdated)
	now := time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	for i := range 3 * maxRemoved {
		if i%maxRemoved == 0 {
			now = now.Add(2 * removedRetention)
		}
		key := strconv.Itoa(i)
		l.add([]platform.Keyed{number(key, "1", 0), number(key, "", 0)})
		is.True(l.removed <= maxRemoved && len(l.keys) == l.removed)
	}
	is.Equal(l.removed, maxRemoved)
	is.Equal(len(l.records()), 0)
}

// Entries that got a late write by a read, a snapshot or from another entry disagreed with those that
// had read the record before it. What one entry passes on has to be what it uses itself.
func TestEntriesAgreeOnALateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		put := func(value string) {
			s.set(func() { s.records = append(s.records, number("config", value, uint64(len(s.records)))) })
		}
		put("5")
		put("6")
		applied := map[string][]string{}
		follow := func(name string, leads bool, ask func(context.Context, string, string) ([]platform.Keyed, platform.Position, error)) *Follower {
			f := New(Settings{Topic: "t", Wait: time.Second}, Seams{
				Newest: s.newest, Read: s.read, Ask: ask, Leads: func() bool { return leads }, Outdated: numberOutdated,
				Apply: func(records []platform.Keyed, _ bool) {
					s.set(func() { applied[name] = append(applied[name], values(records)...) })
				},
			}, log.New(io.Discard))
			t.Cleanup(f.Close)
			return f
		}
		reader := follow("reader", true, nil)
		other := follow("other", false, func(context.Context, string, string) ([]platform.Keyed, platform.Position, error) {
			records, next := reader.Newest()
			return records, next, nil
		})
		time.Sleep(time.Second)
		put("5")
		time.Sleep(100 * time.Millisecond)
		other.Hint("reader", at(0, 3))
		time.Sleep(time.Second)
		for name, f := range map[string]*Follower{"reader": reader, "other": other} {
			records, next := f.Newest()
			is.Equal(values(records), []string{"config=6"})
			is.Equal(next, at(0, 3))
			s.set(func() { is.Equal(applied[name][len(applied[name])-1], "config=6") })
		}
	})
}

// history returns the records between two offsets that are kept, with an error if some are not.
func (s *fakeStore) history(_ context.Context, _ string, from, until uint64) ([]platform.Keyed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.first {
		return s.records[s.first:until], errDown
	}
	return s.records[from:until], nil
}

// putNumbers adds records of a key. An empty value deletes it.
func (s *fakeStore) putNumbers(key string, list ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range list {
		s.records = append(s.records, number(key, value, uint64(len(s.records))))
	}
}

func newOrdered(t *testing.T, s *fakeStore) *Follower {
	t.Helper()
	f := New(Settings{Topic: "t", Wait: time.Second}, Seams{
		Newest: s.newestOfKeys, Read: s.read, Apply: s.apply, Outdated: numberOutdated, History: s.history,
	}, log.New(io.Discard))
	t.Cleanup(f.Close)
	return f
}

// An entry that starts, or that missed records, reads the newest of each key, which may be one that the
// store carried out late. It took that one for the last word.
func TestHistoryShowsALateWrite(t *testing.T) {
	for name, missed := range map[string]bool{"at the start": false, "after missed records": true} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playHistory(t, missed) }) })
	}
}

func playHistory(t *testing.T, missed bool) {
	t.Helper()
	s := &fakeStore{}
	s.putNumbers("old", "1")
	var f *Follower
	if missed {
		f = newOrdered(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
	}
	s.putNumbers("a", "4", "6", "5")
	s.putNumbers("gone", "6", "", "5")
	s.putNumbers("b", "1", "2")
	s.set(func() { s.down, s.first = false, 2 })
	if !missed {
		f = newOrdered(t, s)
	}
	time.Sleep(2 * time.Second)
	records, _ := f.Newest()
	is.New(t).Equal(values(records), []string{"a=6", "b=2", "old=1"})
}
