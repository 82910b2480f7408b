// Package explain determines the outcome of a request and its cause from the log lines
// of all entries.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of an input line; entries write at most 16 KiB.
const maxLineBytes = 1 << 20

// silenceTimeout is how long a VM logs nothing, while others do, before its open requests
// count as lost. It exceeds the longest time limit of the users' callers, 15 seconds.
const silenceTimeout = 20 * time.Second

// Line is a parsed log line of an entry.
type Line struct {
	at     time.Time
	vm     string
	msg    string
	id     string // of the request, or ""
	fields map[string]any
}

// text returns a field formatted as a string, or "" if it is missing or null.
func (l *Line) text(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// number returns a numeric field, or 0 if it is missing or not a number.
func (l *Line) number(name string) float64 {
	n, ok := l.fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// isTrue reports whether a field is true.
func (l *Line) isTrue(name string) bool { return l.text(name) == "true" }

// Logs holds the log lines of all entries, indexed by request.
type Logs struct {
	requests   map[string][]*Line
	startTimes map[string][]time.Time // start times by VM
	lastSeen   map[string]time.Time   // time of the newest line by VM
	newest     time.Time              // time of the newest line of all
	skipped    int                    // lines that are not log lines of an entry
}

// Read reads log lines of entries in any order. It ignores text before a line's JSON, as
// added by log collectors. Errors of r and lines over 1 MiB have KindInput.
func Read(r io.Reader) (*Logs, error) {
	l := &Logs{requests: map[string][]*Line{}, startTimes: map[string][]time.Time{}, lastSeen: map[string]time.Time{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		line, ok := parseLine(sc.Bytes())
		if !ok {
			l.skipped++
			continue
		}
		l.add(line)
	}
	if err := sc.Err(); err != nil {
		return nil, fail("read", KindInput, err)
	}
	for _, lines := range l.requests {
		slices.SortStableFunc(lines, func(a, b *Line) int { return a.at.Compare(b.at) })
	}
	return l, nil
}

// Skipped returns the number of input lines that are not log lines of an entry.
func (l *Logs) Skipped() int { return l.skipped }

func parseLine(b []byte) (*Line, bool) {
	_, b, ok := bytes.Cut(b, []byte("{"))
	if !ok {
		return nil, false
	}
	line := &Line{}
	if json.Unmarshal(append([]byte("{"), b...), &line.fields) != nil {
		return nil, false
	}
	line.vm, line.msg, line.id = line.text("vm"), line.text("msg"), line.text("id")
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.at = at
	return line, err == nil && line.msg != ""
}

func (l *Logs) add(line *Line) {
	if line.msg == msgStarted {
		l.startTimes[line.vm] = append(l.startTimes[line.vm], line.at)
	}
	if line.at.After(l.lastSeen[line.vm]) {
		l.lastSeen[line.vm] = line.at
	}
	if line.at.After(l.newest) {
		l.newest = line.at
	}
	if line.id != "" {
		l.requests[line.id] = append(l.requests[line.id], line)
	}
}

// silent reports whether a VM's entry logged nothing in the last silenceTimeout of the logs,
// so that none of its requests can still be in progress.
func (l *Logs) silent(vm string) bool { return l.newest.Sub(l.lastSeen[vm]) > silenceTimeout }

// restarted returns the first start of a VM's entry after a time, or the zero time.
func (l *Logs) restarted(vm string, after time.Time) time.Time {
	var first time.Time
	for _, at := range l.startTimes[vm] {
		if at.After(after) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// IDs returns the sorted ids of all requests in the logs.
func (l *Logs) IDs() []string {
	out := make([]string, 0, len(l.requests))
	for id := range l.requests {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Trace returns the log lines of a request; it has none if the id is not in the logs.
func (l *Logs) Trace(id string) *Trace { return &Trace{logs: l, id: id, lines: l.requests[id]} }

// formatFields formats a line's fields as name=value, sorted by name, without the
// logger's prefix and the fields that Trace.Write prints separately.
func formatFields(line *Line) string {
	var out []string
	for name := range line.fields {
		switch name {
		case "time", "level", "vm", "msg", "id", "prefix":
			continue
		}
		if v := line.text(name); v != "" {
			out = append(out, name+"="+oneLine(v))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// oneLine joins the lines of a multi-line error text.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "; ") }
