package explain

import (
	"fmt"
	"io"
	"slices"
)

// Summary counts requests by outcome.
type Summary struct {
	outcomes  map[Outcome]int
	notOnTime int // requests with an outcome other than OnTime
	explained int // requests of notOnTime whose cause is in the logs
}

// Summarize counts the requests by outcome. Requests in progress or not in the logs count
// as not explained.
func (l *Logs) Summarize(ids []string) *Summary {
	s := &Summary{outcomes: map[Outcome]int{}}
	for _, id := range ids {
		outcome, cause := l.Trace(id).Outcome()
		s.outcomes[outcome]++
		if outcome == OnTime {
			continue
		}
		s.notOnTime++
		if outcome != Unknown && outcome != InProgress && cause != "" {
			s.explained++
		}
	}
	return s
}

// Explained returns the share of the requests with an outcome other than OnTime whose cause
// is in the logs, or 1 if there are no such requests.
func (s *Summary) Explained() float64 {
	if s.notOnTime == 0 {
		return 1
	}
	return float64(s.explained) / float64(s.notOnTime)
}

// Write prints the counts by outcome and the explained share.
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
	_, err := fmt.Fprintf(w, "explained: %d of %d that did not end well (%.3f)\n", s.explained, s.notOnTime, s.Explained())
	return err
}
