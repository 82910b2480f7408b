package entry

import (
	"bytes"
	"strconv"
)

// splitter splits a byte stream into server-sent events and remembers the id of the last
// complete one.
type splitter struct {
	buf     []byte
	lastNum int64 // numeric id of the last complete event; 0 before the first
	lastID  string
}

var eventEnd = []byte("\n\n")

// add appends bytes of the stream and returns the events that they complete. Events whose ids
// were returned before are dropped.
func (s *splitter) add(b []byte) []byte {
	s.buf = append(s.buf, b...)
	var out []byte
	for {
		i := bytes.Index(s.buf, eventEnd)
		if i < 0 {
			return out
		}
		event := s.buf[:i+len(eventEnd)]
		if s.accept(event) {
			out = append(out, event...)
		}
		s.buf = s.buf[i+len(eventEnd):]
	}
}

// accept records the id of an event and reports whether the event is new.
func (s *splitter) accept(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			if s.lastID != "" && n <= s.lastNum {
				return false
			}
			s.lastNum = n
		}
		s.lastID = id
	}
	return true
}

// remainder returns the bytes of the incomplete event.
func (s *splitter) remainder() []byte { return s.buf }

// resume returns a splitter for a stream that continues after the last complete event.
func (s *splitter) resume() splitter { return splitter{lastNum: s.lastNum, lastID: s.lastID} }
