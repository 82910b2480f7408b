package plain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newPool(cut map[string]bool) (*Pool, *time.Time) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{
		Domain: "a", Now: func() time.Time { return now }, Rand: func() float64 { return 0 },
		Unreachable: func(address string) bool { return cut[address] },
	})
	p.SetServers([]Server{{Name: "i-1", Domain: "a", Address: "one", Slots: 2}, {Name: "i-2", Domain: "b", Address: "two", Slots: 2}})
	return p, &now
}

func TestPrefersLocalDomainThenLeastBusy(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(nil)
	is.Equal(p.Choose(nil).Name(), "i-1")
	is.Equal(p.Choose(nil).Name(), "i-2")
	is.Equal(p.Choose(map[string]bool{"i-2": true}).Name(), "i-1")
	is.True(p.Choose(map[string]bool{"i-1": true, "i-2": true}) == nil)
}

// The record of a server changes while a request is sent to it. The race detector finds a pick that
// reads what the change writes.
func TestPickIsReadDuringChange(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(nil)
	k, read := p.Choose(nil), make(chan string)
	go func() { read <- k.Name() + " " + k.Address() }()
	p.SetServers([]Server{{Name: "i-1", Domain: "a", Address: "one", Slots: 2, Leaving: true}})
	is.Equal(<-read, "i-1 one")
}

// A server that fails requests while it still looks healthy must get few of them.
func TestFailingServerGetsFewRequests(t *testing.T) {
	is := is.New(t)
	p, now := newPool(nil)
	n := 0
	for range 100 {
		k := p.Choose(nil)
		out := Answered
		if k.Name() == "i-1" {
			out = Failed
			n++
		}
		p.Done(k, out)
		*now = now.Add(50 * time.Millisecond)
	}
	is.True(n < 10)
}

func TestUnreachableServerIsTheLastResort(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(map[string]bool{"one": true})
	is.Equal(p.Choose(nil).Name(), "i-2")
	is.Equal(p.Choose(map[string]bool{"i-2": true}).Name(), "i-1") // better than none
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(nil)
	p.SetServers([]Server{{Name: "i-1", Domain: "a", Address: "one", Slots: 2, Leaving: true}})
	is.True(p.Choose(nil) == nil)
}
