package explain

import (
	"fmt"
	"io"
	"slices"
)

// Summary counts how requests ended.
type Summary struct {
	outcomes  map[Outcome]int
	bad       int // requests that did not end well
	explained int // of them, those whose cause the logs tell
}

// Summarize counts how the requests ended.
func (l *Logs) Summarize(ids []string) *Summary {
	s := &Summary{outcomes: map[Outcome]int{}}
	for _, id := range ids {
		outcome, cause := l.Story(id).Outcome()
		s.outcomes[outcome]++
		if outcome == Good {
			continue
		}
		s.bad++
		if outcome != Unknown && outcome != Open && cause != "" {
			s.explained++
		}
	}
	return s
}

// Explained returns the share of requests that did not end well whose cause the logs
// tell; 1 where there are none.
func (s *Summary) Explained() float64 {
	if s.bad == 0 {
		return 1
	}
	return float64(s.explained) / float64(s.bad)
}

// Write prints the counts and the share.
func (s *Summary) Write(w io.Writer) error {
	var outcomes []Outcome
	for o := range s.outcomes {
		outcomes = append(outcomes, o)
	}
	slices.Sort(outcomes)
	for _, o := range outcomes {
		if _, err := fmt.Fprintf(w, "%7d %s\n", s.outcomes[o], o); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "explained: %d of %d that did not end well (%.3f)\n", s.explained, s.bad, s.Explained())
	return err
}
