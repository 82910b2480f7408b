package sends

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// After a restart with the clock set back, an entry's messages have an earlier start time.
// They must be accepted once the entry was silent for restartTimeout, while late messages
// sent before a restart are not.
func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	x := &Exchange{peers: map[string]*peer{}, wake: make(chan struct{}, 1), seams: Seams{Log: log.New(io.Discard)}}
	for _, c := range []struct {
		name         string
		after        time.Duration // since the previous message
		start, count uint64
		want         bool
	}{
		{"first", 0, 5000, 1, true},
		{"next", repeatInterval, 5000, 2, true},
		{"again", 0, 5000, 2, false},
		{"restarted", time.Millisecond, 6000, 1, true},
		{"sent before the restart", time.Millisecond, 5000, 3, false},
		{"restarted with an earlier clock", restartTimeout + time.Millisecond, 4000, 1, true},
		{"next", repeatInterval, 4000, 2, true},
		{"older", 0, 4000, 1, false},
	} {
		now = now.Add(c.after)
		if got := accepts(x, "other", &message{start: c.start, seq: c.count}, now); got != c.want {
			t.Errorf("%s: accepted %v", c.name, got)
		}
	}
}
