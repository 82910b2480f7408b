package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Log messages of entries from which the outcome of a request is derived.
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

// minWaitShare is the share of the target above which the wait for an engine, rather than
// what followed it, counts as the cause of a late first event.
const minWaitShare = 0.5

// Outcome is the result of a request, as printed.
type Outcome string

// Outcomes of requests. Lost means that the entry stopped or went silent before it
// ended the request.
const (
	OnTime     Outcome = "answered on time"
	Late       Outcome = "answered late"
	Refused    Outcome = "refused; it did not run"
	Failed     Outcome = "failed"
	Abandoned  Outcome = "given up by its caller"
	Lost       Outcome = "lost with its entry"
	InProgress Outcome = "in progress"
	Unknown    Outcome = "not in the logs"
)

// Trace holds the log lines of one request, sorted by time.
type Trace struct {
	logs  *Logs
	id    string
	lines []*Line
}

// last returns the last line with one of the messages, or nil if there is none.
func (t *Trace) last(msgs ...string) *Line {
	for _, line := range slices.Backward(t.lines) {
		if slices.Contains(msgs, line.msg) {
			return line
		}
	}
	return nil
}

// Outcome returns how the request ended and the cause; the cause is "" if the request was
// answered on time.
func (t *Trace) Outcome() (outcome Outcome, cause string) {
	if len(t.lines) == 0 {
		return Unknown, "no entry has a line about it: it reached none, or the lines are lost"
	}
	end := t.last(msgRefused, msgFailed, msgAnswered, msgOver)
	switch {
	case end == nil:
		return t.unfinished()
	case end.msg == msgOver:
		return t.streamOutcome(end)
	case end.msg == msgAnswered:
		return answeredOutcome(end)
	default:
		return refusedOutcome(end)
	}
}

// unfinished returns the outcome of a request whose end is not logged.
func (t *Trace) unfinished() (Outcome, string) {
	line := t.lines[len(t.lines)-1]
	after := "after " + line.msg
	if at := t.logs.restarted(line.vm, line.at); !at.IsZero() {
		return Lost, fmt.Sprintf("entry %s ended %s and started again %s later", line.vm, after, at.Sub(line.at).Round(time.Millisecond))
	}
	if t.logs.silent(line.vm) || t.logs.lastSeen[line.vm].Equal(line.at) {
		return Lost, fmt.Sprintf("entry %s writes nothing more %s", line.vm, after)
	}
	return InProgress, fmt.Sprintf("entry %s has not ended it %s", line.vm, after)
}

// streamOutcome returns the outcome of a streamed request from the line that ends it.
func (t *Trace) streamOutcome(end *Line) (Outcome, string) {
	switch {
	case end.isTrue("whole") && !end.isTrue("late"):
		return OnTime, ""
	case end.isTrue("whole"):
		return Late, t.lateCause(end)
	case end.isTrue("lost"):
		if l := t.last(msgSilent); l != nil {
			return Abandoned, fmt.Sprintf("engine %s was silent for %s ms and no other went on", l.text("upstream"), l.text("for_ms"))
		}
		return Abandoned, fmt.Sprintf("after %s ms, with %s events", end.text("took_ms"), end.text("events"))
	}
	if l := t.last(msgBroke); l != nil {
		return Failed, fmt.Sprintf("engine %s broke the stream off after event %s and no other went on: %s", l.text("upstream"), l.text("last"), end.text("err"))
	}
	return Failed, end.text("err")
}

// lateCause returns the cause of a late answer: a pause, a resend, the wait for an engine
// or a slow engine.
func (t *Trace) lateCause(end *Line) string {
	first, target := end.number("first_ms"), end.number("target_ms")
	placed := t.last(msgPlaced)
	switch {
	case first <= target && t.last(msgBroke, msgSilent) != nil:
		return fmt.Sprintf("a pause of %s ms, for an engine that broke off or was silent", end.text("pause_ms"))
	case first <= target:
		return fmt.Sprintf("a pause of %s ms, allowed are %s", end.text("pause_ms"), end.text("gap_ms"))
	case end.number("sends") > 1:
		return fmt.Sprintf("its first event came after %s ms, allowed are %s; it was sent %s times", end.text("first_ms"), end.text("target_ms"), end.text("sends"))
	case placed != nil && placed.number("waited_ms") > minWaitShare*target:
		return fmt.Sprintf("it waited %s ms for engines; its first event came after %s ms, allowed are %s", placed.text("waited_ms"), end.text("first_ms"), end.text("target_ms"))
	case placed != nil:
		return fmt.Sprintf("engine %s took longer than the %s ms predicted; its first event came after %s ms, allowed are %s",
			placed.text("upstream"), placed.text("predicted_ms"), end.text("first_ms"), end.text("target_ms"))
	}
	return fmt.Sprintf("its first event came after %s ms, allowed are %s", end.text("first_ms"), end.text("target_ms"))
}

// answeredOutcome returns the outcome of a request that was answered without a stream.
func answeredOutcome(end *Line) (Outcome, string) {
	if status := end.number("status"); status >= 400 {
		return Failed, fmt.Sprintf("the answer of server %s, %s, after %s attempts", end.text("upstream"), end.text("status"), end.text("sends"))
	}
	return OnTime, ""
}

// refusedOutcome returns the outcome of a request that was refused or failed.
func refusedOutcome(end *Line) (Outcome, string) {
	why := end.text("why")
	if why == "" {
		why = end.text("err")
	}
	switch {
	case end.isTrue("lost"):
		return Abandoned, why
	case end.number("ran") > 0:
		return Failed, fmt.Sprintf("%s; it may have run, %s attempts were sent: %s", end.text("status"), end.text("sends"), why)
	default:
		return Refused, why
	}
}

// Write prints the log lines in order, followed by the verdict.
func (t *Trace) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "request %s\n", t.id)
	for _, line := range t.lines {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s %s %s %s\n", line.at.Format("15:04:05.000"), line.vm, line.msg, formatFields(line))
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w, t.Verdict())
	}
	return err
}

// Verdict returns the outcome and its cause as a single line.
func (t *Trace) Verdict() string {
	outcome, cause := t.Outcome()
	if cause == "" {
		return string(outcome)
	}
	return fmt.Sprintf("%s: %s", outcome, oneLine(cause))
}
