package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func filled() *Directory {
	d := New()
	d.Reached(true, start)
	d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"})
	d.Put(Server{ID: "i-2", Service: "desk", Address: "10.0.0.2:80", Domain: "a"})
	d.Put(Server{ID: "i-3", Service: "desk", Address: "10.0.0.3:80", Domain: "b"})
	return d
}

func TestRemovalTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	d := filled()
	is.True(d.Remove("i-1", at(time.Minute)))
	is.Equal(len(d.Servers("desk")), 2)
	is.True(!d.Remove("i-1", at(time.Minute))) // it is gone already
}

// Entries lapse while the store is away; those of live servers are back in time.
func TestLapseIsNoRemoval(t *testing.T) {
	is := is.New(t)
	d := filled()
	d.Reached(false, at(time.Second))
	is.True(!d.Remove("i-1", at(2*time.Second)))
	d.Reached(true, at(5*time.Second))
	is.True(!d.Remove("i-2", at(6*time.Second)))
	is.Equal(len(d.Servers("desk")), 3)
	is.True(d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"})) // back
	settle, ok := d.SettleAt()
	is.True(ok)
	is.Equal(settle, at(5*time.Second+lapseGrace))
	is.True(!d.Settle(settle.Add(-time.Millisecond)))
	is.True(d.Settle(settle))
	is.Equal(len(d.Servers("desk")), 2) // i-2 did not return
}

// A server that said that it leaves does not lapse: it is gone.
func TestLeavingServerDoesNotLapse(t *testing.T) {
	is := is.New(t)
	d := filled()
	d.Put(Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a", Leaving: true})
	d.Reached(false, at(time.Second))
	is.True(d.Remove("i-1", at(2*time.Second)))
}

func TestPutTellsChanges(t *testing.T) {
	is := is.New(t)
	d := filled()
	s := Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", Domain: "a"}
	is.True(!d.Put(s))
	s.Born = 7 // it started again under its id
	is.True(d.Put(s))
}

func TestSiblingsShareAFailureDomain(t *testing.T) {
	is := is.New(t)
	is.Equal(filled().Siblings("10.0.0.1:80"), []string{"10.0.0.2:80"})
	is.Equal(len(filled().Siblings("10.0.0.9:80")), 0) // unknown
}
