package directory

import (
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

func TestSiblingsShareAFailureDomain(t *testing.T) {
	is := is.New(t)
	is.Equal(newDirectory().Siblings("10.0.0.1:80"), []string{"10.0.0.2:80"})
	is.Equal(len(newDirectory().Siblings("10.0.0.9:80")), 0) // unknown
}
