package entry

import (
	"bytes"
	"strconv"
)

// splitter cuts a stream of bytes into whole events and remembers the id of the last one.
type splitter struct {
	buf  []byte
	last int64 // id of the last whole event; 0 before the first
	text string
}

var eventEnd = []byte("\n\n")

// add takes bytes of the stream and returns the whole events that they complete.
// Events whose ids were passed on already are left out.
func (s *splitter) add(b []byte) []byte {
	s.buf = append(s.buf, b...)
	var out []byte
	for {
		i := bytes.Index(s.buf, eventEnd)
		if i < 0 {
			return out
		}
		event := s.buf[:i+len(eventEnd)]
		if s.pass(event) {
			out = append(out, event...)
		}
		s.buf = s.buf[i+len(eventEnd):]
	}
}

// pass notes an event and reports whether it is a new one.
func (s *splitter) pass(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		text := string(bytes.TrimSpace(value))
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			if s.text != "" && n <= s.last {
				return false
			}
			s.last = n
		}
		s.text = text
	}
	return true
}

// rest returns the bytes of an event that has not ended.
func (s *splitter) rest() []byte { return s.buf }

// next returns a splitter for a stream that goes on behind the last whole event.
func (s *splitter) next() splitter { return splitter{last: s.last, text: s.text} }
