package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Messages of entries that tell how a request fared.
const (
	msgStarted  = "Started."
	msgQueued   = "Queued."
	msgPlaced   = "Placed."
	msgSent     = "Sent."
	msgRefused  = "Refused."
	msgFailed   = "Failed."
	msgAnswered = "Answered."
	msgOver     = "Stream over."
	msgBroke    = "A stream broke off."
	msgSilent   = "An engine is silent."
)

// waitShare is the share of a target from which a wait counts as the cause of a late
// first event rather than what came after it.
const waitShare = 0.5

// Outcome is how a request ended.
type Outcome string

// Outcomes of requests.
const (
	Good    Outcome = "answered on time"
	Late    Outcome = "answered late"
	Refused Outcome = "refused; it did not run"
	Failed  Outcome = "failed"
	Left    Outcome = "given up by its caller"
	Lost    Outcome = "lost with its entry"
	Open    Outcome = "in progress"
	Unknown Outcome = "not in the logs"
)

// Story is what the logs tell of one request.
type Story struct {
	logs  *Logs
	id    string
	lines []*Line
}

// last returns the last line with one of the messages, or nil.
func (s *Story) last(msgs ...string) *Line {
	for _, line := range slices.Backward(s.lines) {
		if slices.Contains(msgs, line.msg) {
			return line
		}
	}
	return nil
}

// Outcome returns how the request ended, and why.
func (s *Story) Outcome() (outcome Outcome, cause string) {
	if len(s.lines) == 0 {
		return Unknown, "no entry has a line about it: it reached none, or the lines are lost"
	}
	end := s.last(msgRefused, msgFailed, msgAnswered, msgOver)
	switch {
	case end == nil:
		return s.without()
	case end.msg == msgOver:
		return s.stream(end)
	case end.msg == msgAnswered:
		return answered(end)
	default:
		return refused(end)
	}
}

// without tells why no end is logged.
func (s *Story) without() (Outcome, string) {
	line := s.lines[len(s.lines)-1]
	after := "after " + line.msg
	if at := s.logs.restarted(line.vm, line.at); !at.IsZero() {
		return Lost, fmt.Sprintf("entry %s ended %s and started again %s later", line.vm, after, at.Sub(line.at).Round(time.Millisecond))
	}
	if s.logs.silent(line.vm) || s.logs.last[line.vm].Equal(line.at) {
		return Lost, fmt.Sprintf("entry %s writes nothing more %s", line.vm, after)
	}
	return Open, fmt.Sprintf("entry %s has not ended it %s", line.vm, after)
}

func (s *Story) stream(end *Line) (Outcome, string) {
	switch {
	case end.is("whole") && !end.is("late"):
		return Good, ""
	case end.is("whole"):
		return Late, s.lateness(end)
	case end.is("lost"):
		if l := s.last(msgSilent); l != nil {
			return Left, fmt.Sprintf("engine %s was silent for %s ms and no other went on", l.text("upstream"), l.text("for_ms"))
		}
		return Left, fmt.Sprintf("after %s ms, with %s events", end.text("took_ms"), end.text("events"))
	}
	if l := s.last(msgBroke); l != nil {
		return Failed, fmt.Sprintf("engine %s broke the stream off after event %s and no other went on: %s", l.text("upstream"), l.text("last"), end.text("err"))
	}
	return Failed, end.text("err")
}

// lateness tells what made an answer late.
func (s *Story) lateness(end *Line) string {
	first, target := end.number("first_ms"), end.number("target_ms")
	placed := s.last(msgPlaced)
	switch {
	case first <= target && s.last(msgBroke, msgSilent) != nil:
		return fmt.Sprintf("a pause of %s ms, for an engine that broke off or was silent", end.text("pause_ms"))
	case first <= target:
		return fmt.Sprintf("a pause of %s ms, allowed are %s", end.text("pause_ms"), end.text("gap_ms"))
	case end.number("sends") > 1:
		return fmt.Sprintf("its first event came after %s ms, allowed are %s; it was sent %s times", end.text("first_ms"), end.text("target_ms"), end.text("sends"))
	case placed != nil && placed.number("waited_ms") > waitShare*target:
		return fmt.Sprintf("it waited %s ms for engines; its first event came after %s ms, allowed are %s", placed.text("waited_ms"), end.text("first_ms"), end.text("target_ms"))
	case placed != nil:
		return fmt.Sprintf("engine %s took longer than the %s ms predicted; its first event came after %s ms, allowed are %s",
			placed.text("upstream"), placed.text("predicted_ms"), end.text("first_ms"), end.text("target_ms"))
	}
	return fmt.Sprintf("its first event came after %s ms, allowed are %s", end.text("first_ms"), end.text("target_ms"))
}

func answered(end *Line) (Outcome, string) {
	if status := end.number("status"); status >= 400 {
		return Failed, fmt.Sprintf("the answer of server %s, %s, after %s attempts", end.text("upstream"), end.text("status"), end.text("sends"))
	}
	return Good, ""
}

func refused(end *Line) (Outcome, string) {
	why := end.text("why")
	if why == "" {
		why = end.text("err")
	}
	switch {
	case end.is("lost"):
		return Left, why
	case end.number("ran") > 0:
		return Failed, fmt.Sprintf("%s; it may have run, %s attempts were sent: %s", end.text("status"), end.text("sends"), why)
	default:
		return Refused, why
	}
}

// Write prints the lines in order and the cause.
func (s *Story) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "request %s\n", s.id)
	for _, line := range s.lines {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s %s %s %s\n", line.at.Format("15:04:05.000"), line.vm, line.msg, fieldsOf(line))
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w, s.Verdict())
	}
	return err
}

// Verdict returns the outcome and its cause on one line.
func (s *Story) Verdict() string {
	outcome, cause := s.Outcome()
	if cause == "" {
		return string(outcome)
	}
	return fmt.Sprintf("%s: %s", outcome, oneLine(cause))
}
