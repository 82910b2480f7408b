package evacuation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// clock is a virtual clock.
type clock struct{ now time.Time }

func newSet() (*Set, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New(func() time.Time { return c.now }), c
}

func set(domain string) Record     { return Record{Domain: domain, Evacuated: true} }
func deleted(domain string) Record { return Record{Domain: domain} }

// Records of one read must take effect in their order, and each domain on its own.
func TestLastRecordOfADomainDecides(t *testing.T) {
	is := is.New(t)
	s, _ := newSet()
	is.Equal(s.Apply([]Record{set("a"), deleted("a"), set("a"), set("b"), deleted("b")}, false), Change{Evacuated: []string{"a"}})
	is.True(s.Has("a") && !s.Has("b"))
	is.Equal(s.Apply([]Record{set("b"), set("c")}, false), Change{Evacuated: []string{"b", "c"}})
	is.Equal(s.Apply([]Record{deleted("a"), deleted("x")}, false), Change{TakenBack: []string{"a"}})
	is.True(!s.Apply([]Record{set("b")}, false).Any()) // written again
	is.Equal(s.Len(), 2)
}

// A snapshot without a domain is of after the deletion of its record.
func TestSnapshotTakesBack(t *testing.T) {
	is := is.New(t)
	s, _ := newSet()
	s.Apply([]Record{set("a"), set("b")}, true)
	is.Equal(s.Apply([]Record{set("b")}, true), Change{TakenBack: []string{"a"}})
}

// The copy of a restored store may lack an evacuation. It must hold until the operator has had the
// time to write it again, and end then.
func TestRestoredStoreLacksEvacuation(t *testing.T) {
	is := is.New(t)
	s, c := newSet()
	s.Apply([]Record{set("a"), set("b"), set("c"), set("d")}, true)
	s.Restored()
	is.True(!s.Apply([]Record{set("a")}, true).Any())
	c.now = c.now.Add(rewriteTime / 2)
	s.Apply([]Record{set("b")}, false)                                                 // written again
	is.Equal(s.Apply([]Record{deleted("c")}, false), Change{TakenBack: []string{"c"}}) // taken back since
	is.True(!s.Apply([]Record{set("a"), set("b")}, true).Any())                        // a further snapshot, from another entry
	is.Equal(s.Apply([]Record{set("b")}, true), Change{TakenBack: []string{"a"}})      // the copy had it, so it was deleted since
	is.True(!s.Settle(false).Any())                                                    // d is kept
	at, ok := s.SettleAt()
	is.True(ok)
	c.now = at
	is.True(!s.Settle(true).Any()) // the store can't be read
	c.now = c.now.Add(rewriteTime)
	is.Equal(s.Settle(false), Change{TakenBack: []string{"d"}})
	_, ok = s.SettleAt()
	is.True(!ok)
	is.True(s.Has("b"))
}

// An evacuation that was taken back counts if the copy still lists it.
func TestRestoredStoreListsTakenBackEvacuation(t *testing.T) {
	is := is.New(t)
	s, _ := newSet()
	s.Apply([]Record{set("a")}, true)
	s.Apply([]Record{deleted("a")}, false)
	s.Restored()
	is.Equal(s.Apply([]Record{set("a")}, true), Change{Evacuated: []string{"a"}})
	is.Equal(s.State()[0].KeptUntil, (*time.Time)(nil))
}
