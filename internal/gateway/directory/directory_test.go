package directory

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newDirectory() *Directory {
	d := New()
	d.Reached(true, start)
	d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"})
	d.Put(Server{ID: "i-2", Service: "desk", Address: "10.0.0.2:80", Domain: "a"})
	d.Put(Server{ID: "i-3", Service: "desk", Address: "10.0.0.3:80", Domain: "b"})
	return d
}

func TestRemoveIsImmediate(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	is.True(d.Remove("i-1", at(time.Minute)))
	is.Equal(len(d.Servers("desk")), 2)
	is.True(!d.Remove("i-1", at(time.Minute))) // already removed
}

// During an outage the registrations of live upstreams expire. These must stay in the
// directory if they register again in time.
func TestRemoveIsDeferredAroundOutage(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.Reached(false, at(time.Second))
	is.True(!d.Remove("i-1", at(2*time.Second)))
	d.Reached(true, at(5*time.Second))
	is.True(!d.Remove("i-2", at(6*time.Second)))
	is.Equal(len(d.Servers("desk")), 3)
	is.True(d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"})) // registers again
	settle, ok := d.SettleAt()
	is.True(ok)
	is.Equal(settle, at(5*time.Second+reregisterGrace))
	is.True(!d.Settle(settle.Add(-time.Millisecond)))
	is.True(d.Settle(settle))
	is.Equal(len(d.Servers("desk")), 2) // i-2 did not return
}

// An entry was cut off while the store served the others. Removals after its return are no expired
// registrations, unless the store was restored as well.
func TestRemoveAfterACutIsImmediate(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.Reached(false, at(time.Second))
	d.Reached(true, at(7*time.Second))
	is.True(!d.Remove("i-1", at(7*time.Second)))
	d.Uninterrupted()
	settle, ok := d.SettleAt()
	is.True(ok)
	is.True(!settle.After(at(7 * time.Second)))
	is.True(d.Settle(at(7 * time.Second)))
	is.True(d.Remove("i-2", at(7*time.Second)))

	d.Reached(false, at(8*time.Second))
	d.Restored(at(9 * time.Second))
	d.Reached(true, at(9*time.Second))
	d.Uninterrupted()
	is.True(!d.Remove("i-3", at(10*time.Second)))
}

// A draining upstream that is removed has stopped, so its removal is not deferred.
func TestRemoveOfDrainingServerIsImmediate(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a", Leaving: true})
	d.Reached(false, at(time.Second))
	is.True(d.Remove("i-1", at(2*time.Second)))
}

func TestPutReportsChanges(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	s := Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"}
	is.True(!d.Put(s))
	s.Born = 7 // it restarted with the same id
	is.True(d.Put(s))
}

// What an upstream wrote before its newest record must not take that back, as where the store carries
// out a write late.
func TestServersAreOrderedByWhatTheyWrote(t *testing.T) {
	is := is.New(t)
	ordered := []Server{
		{Born: 7, Sequence: 3}, {Born: 7, Sequence: 9}, {Born: 7, Sequence: 4, Leaving: true}, {Born: 7, Sequence: 5, Leaving: true}, {Born: 8, Sequence: 1},
	}
	for i, s := range ordered {
		for j, u := range ordered {
			is.Equal(s.Precedes(u), i < j)
		}
		is.True(!Server{Sequence: 1}.Precedes(s)) // without a start
		is.True(!s.Precedes(Server{Sequence: 10}))
	}
}

// An upstream that said in an answer that it leaves must stay leaving until it is gone or has started
// again: its records may not say so, and in an outage none come.
func TestHeardLeavingHoldsForAStart(t *testing.T) {
	is := is.New(t)
	d := New()
	ready := Server{ID: "i-1", Service: "desk", Born: 7, Sequence: 1}
	leaving := func() bool { s, _ := d.Get("i-1"); return s.Leaving }
	is.True(!d.HeardLeaving("i-1", start)) // unknown
	d.Put(ready)
	is.True(d.HeardLeaving("i-1", start))
	is.True(!d.HeardLeaving("i-1", start))
	ready.Sequence = 9
	is.True(!d.Put(ready))
	is.True(leaving())
	d.Reached(false, start)
	is.True(d.Remove("i-1", start)) // it has left; that is no expired registration
	d.Put(ready)
	is.True(!leaving())
	is.True(d.HeardLeaving("i-1", start))
	ready.Born = start.UnixMilli() + 1
	is.True(d.Put(ready))
	is.True(!leaving())
	is.True(!d.HeardLeaving("i-1", start)) // said before it started again
}

func TestSiblingsShareAFailureDomain(t *testing.T) {
	is := is.New(t)
	is.Equal(newDirectory().Siblings("10.0.0.1:80"), []string{"10.0.0.2:80"})
	is.Equal(len(newDirectory().Siblings("10.0.0.9:80")), 0) // unknown
}

// A store restored from a copy lists upstreams as ready that had said they leave, or had gone. A
// request reached them long after.
func TestCopyRevivesNoUpstream(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	ready := func(id string, born int64) Server {
		return Server{ID: id, Service: "desk", Address: "10.0.0.9:80", Born: born}
	}
	leaving := ready("i-4", 1)
	leaving.Leaving = true
	d.Put(leaving)
	d.Put(ready("i-5", 1))
	is.True(d.Remove("i-5", at(time.Second)))
	d.Put(ready("i-6", 2))
	d.Put(ready("i-7", 2))
	is.True(d.Remove("i-7", at(time.Second)))
	d.Restored(at(2 * time.Second))
	is.True(!d.PutCopied(ready("i-4", 1), at(2*time.Second)))
	is.True(!d.PutCopied(ready("i-5", 1), at(2*time.Second)))
	is.True(!d.PutCopied(ready("i-6", 1), at(2*time.Second))) // it has started again since
	is.True(!d.PutCopied(ready("i-7", 1), at(2*time.Second))) // it has started again and gone since
	is.True(d.servers["i-4"].Leaving)
	is.True(!d.Has("i-5"))
	is.Equal(d.servers["i-6"].Born, int64(2))
	is.True(!d.Settle(at(2*time.Second + copyDoubtTime - 1)))
	is.True(d.Settle(at(2*time.Second + copyDoubtTime))) // the store would have removed it
	is.True(d.Has("i-5"))
	is.True(!d.Has("i-7"))
}

// What is written anew after a restore holds at once, and a record of the copy that is removed
// comes to nothing.
func TestRecordsAfterARestore(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	for _, id := range []string{"i-1", "i-2"} {
		is.True(d.Remove(id, at(time.Second)))
	}
	d.Restored(at(2 * time.Second))
	for _, id := range []string{"i-1", "i-2"} {
		is.True(!d.PutCopied(Server{ID: id, Service: "desk"}, at(2*time.Second)))
	}
	is.True(d.Put(Server{ID: "i-1", Service: "desk"}))
	is.True(!d.Remove("i-2", at(3*time.Second)))
	is.True(!d.Settle(at(time.Minute)))
	is.True(d.Has("i-1") && !d.Has("i-2"))
}

// Upstreams that registered after the copy was made are missing in it until they register again.
// They must serve on meanwhile.
func TestRestoreDefersRemovals(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.Restored(at(time.Second))
	is.True(!d.Remove("i-1", at(time.Second)))
	is.True(d.Has("i-1"))
	is.True(d.Settle(at(time.Second + reregisterGrace)))
	is.True(!d.Has("i-1"))
}

// Removed upstreams are remembered for a restore, but only so many and so long.
func TestRemovedUpstreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 3 * maxGone {
		id := strconv.Itoa(i)
		d.Put(Server{ID: id})
		d.Remove(id, at(time.Duration(i/maxGone)*2*goneRetention))
		is.True(len(d.gone) <= maxGone)
	}
	is.Equal(len(d.gone), maxGone)
	_, ok := d.gone[strconv.Itoa(3*maxGone-1)]
	is.True(ok)
}
