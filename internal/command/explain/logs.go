// Package explain tells from the log lines of all entries what became of a request,
// and why.
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

// maxLine is the longest line that is read, in bytes; entries write none over 16 KiB.
const maxLine = 1 << 20

// silentFor is longer than any caller waits: the users' most patient ones wait 15 seconds.
const silentFor = 20 * time.Second

// Line is a log line of an entry.
type Line struct {
	at     time.Time
	vm     string
	msg    string
	id     string // of the request; "" where it is about none
	fields map[string]any
}

// text returns a field as text, or "".
func (l *Line) text(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// number returns a field, or 0 where it is no number.
func (l *Line) number(name string) float64 {
	n, ok := l.fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// is reports whether a field is true.
func (l *Line) is(name string) bool { return l.text(name) == "true" }

// Logs are the lines of all entries, by request.
type Logs struct {
	requests map[string][]*Line
	starts   map[string][]time.Time // by VM
	last     map[string]time.Time   // of a VM's lines
	newest   time.Time              // of all lines
	skipped  int                    // lines that are none of an entry
}

// Read reads lines of entries, in any order. Text before a line's JSON, as collectors
// of logs put there, is passed over.
func Read(r io.Reader) (*Logs, error) {
	l := &Logs{requests: map[string][]*Line{}, starts: map[string][]time.Time{}, last: map[string]time.Time{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		line, ok := parse(sc.Bytes())
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

// Skipped returns how many lines were none of an entry.
func (l *Logs) Skipped() int { return l.skipped }

func parse(b []byte) (*Line, bool) {
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
		l.starts[line.vm] = append(l.starts[line.vm], line.at)
	}
	if line.at.After(l.last[line.vm]) {
		l.last[line.vm] = line.at
	}
	if line.at.After(l.newest) {
		l.newest = line.at
	}
	if line.id != "" {
		l.requests[line.id] = append(l.requests[line.id], line)
	}
}

// silent reports whether a VM's entry wrote nothing for so long while others did that no
// request of its own goes on.
func (l *Logs) silent(vm string) bool { return l.newest.Sub(l.last[vm]) > silentFor }

// restarted returns when a VM's entry started first after a time, or the zero time.
func (l *Logs) restarted(vm string, after time.Time) time.Time {
	var first time.Time
	for _, at := range l.starts[vm] {
		if at.After(after) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// IDs returns the ids of all requests in the logs, in order.
func (l *Logs) IDs() []string {
	out := make([]string, 0, len(l.requests))
	for id := range l.requests {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Story returns what the logs tell of a request. It has no lines where they tell
// nothing.
func (l *Logs) Story(id string) *Story { return &Story{logs: l, id: id, lines: l.requests[id]} }

// fieldsOf returns a line's fields as text, in the order of their names.
func fieldsOf(line *Line) string {
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

// oneLine joins the lines of an error's text.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "; ") }
