package sends

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// An entry that starts again after its clock was set back is heard; what its earlier life
// sent and comes late is not.
func TestStartWithAnEarlierClockIsHeard(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	x := &Exchange{peers: map[string]*peer{}, kick: make(chan struct{}, 1), seams: Seams{Log: log.New(io.Discard)}}
	for _, c := range []struct {
		name         string
		after        time.Duration // since the message before
		start, count uint64
		fresh        bool
	}{
		{"first", 0, 5000, 1, true},
		{"next", repeatEvery, 5000, 2, true},
		{"again", 0, 5000, 2, false},
		{"started again", time.Millisecond, 6000, 1, true},
		{"of its earlier life", time.Millisecond, 5000, 3, false},
		{"started again with an earlier clock", startOver + time.Millisecond, 4000, 1, true},
		{"next", repeatEvery, 4000, 2, true},
		{"older", 0, 4000, 1, false},
	} {
		now = now.Add(c.after)
		if got := x.fresh("other", &message{start: c.start, count: c.count}, now); got != c.fresh {
			t.Errorf("%s: fresh %v", c.name, got)
		}
	}
}
