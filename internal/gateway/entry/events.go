package entry

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes is the size limit of an event: an engine in trouble may send one without end.
const maxEventBytes = 1 << 20

var (
	errLongEvent = errors.New("an event exceeds the size limit")
	errNoEvent   = errors.New("the stream has bytes that are no event")
)

// splitter splits a byte stream into server-sent events and remembers the id of the last
// complete one.
type splitter struct {
	buf     []byte
	scanned int   // bytes of buf that hold no end of an event
	lastNum int64 // numeric id of the last complete event; 0 before the first
	lastID  string
	// anything is set for an answer that is no stream of events, which is passed on as it is.
	anything bool
}

var eventEnd = []byte("\n\n")

// add appends bytes of the stream and returns the blocks that they complete, with the number of
// events among them: comments and blocks without data are passed on, and are no events. Events
// whose ids were returned before are dropped. An error means that the stream is not sound.
func (s *splitter) add(b []byte) (out []byte, events int, err error) {
	s.buf = append(s.buf, b...)
	for {
		i := bytes.Index(s.buf[s.scanned:], eventEnd)
		if i < 0 {
			s.scanned = max(0, len(s.buf)-len(eventEnd)+1)
			if len(s.buf) > maxEventBytes {
				return out, events, fail("split", KindTooLarge, errLongEvent)
			}
			return out, events, nil
		}
		end := s.scanned + i + len(eventEnd)
		block := s.buf[:end]
		s.buf, s.scanned = s.buf[end:], 0
		isEvent, ok := classify(block)
		if isEvent = isEvent || s.anything; !ok && !s.anything {
			return out, events, fail("split", KindUnknown, errNoEvent)
		}
		if !s.accept(block) {
			continue
		}
		out = append(out, block...)
		if isEvent {
			events++
		}
	}
}

// classify reports whether a block is an event, which has data or an id, and whether it is sound:
// each line is empty, a comment, or a field with a name.
func classify(block []byte) (isEvent, ok bool) {
	for line := range bytes.SplitSeq(bytes.TrimSuffix(block, eventEnd), []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0, found && len(name) == 0: // an empty line or a comment
		case string(name) == "data", string(name) == "id":
			isEvent = true
		case !found || !isFieldName(name):
			return false, false
		}
	}
	return isEvent, true
}

func isFieldName(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9')
	})
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
