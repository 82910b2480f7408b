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
	resumed bool  // the stream continues one of another engine, so each event needs an id
	steps   steps // by which ids have risen so far
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
		fresh, ok := s.accept(block, isEvent)
		if !ok {
			return out, events, fail("split", KindUnknown, errNoEvent)
		}
		if !fresh {
			continue
		}
		out = append(out, block...)
		if isEvent {
			events++
		}
	}
}

// classify reports whether a block is an event, which has data or an id, and whether it is sound:
// each line is empty, a comment, or a field with a name, which outside of events is one of those
// that the format knows.
func classify(block []byte) (isEvent, ok bool) {
	unknown := false
	for line := range bytes.SplitSeq(bytes.TrimSuffix(block, eventEnd), []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0, found && len(name) == 0: // an empty line or a comment
		case string(name) == "data", string(name) == "id":
			isEvent = true
		case !found || !isFieldName(name):
			return false, false
		case string(name) != "event" && string(name) != "retry":
			unknown = true
		}
	}
	return isEvent, isEvent || !unknown
}

func isFieldName(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9')
	})
}

// accept records the id of a block and reports whether it is new. It is not ok if it is an event of
// a resumed stream whose id does not tell its place.
func (s *splitter) accept(block []byte, isEvent bool) (fresh, ok bool) {
	hasID := false
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(id, 10, 64)
		switch {
		case err == nil && s.lastID != "" && n <= s.lastNum:
			return false, true
		case err == nil && s.resumed && s.steps == stepsOfOne && n != s.lastNum+1:
			return false, false // a piece is missing
		case err == nil:
			s.steps = s.steps.next(s.lastNum, n, s.lastID == "")
			s.lastNum = n
		case s.resumed && s.lastNum > 0:
			return false, false
		}
		s.lastID, hasID = id, true
	}
	return true, hasID || !isEvent || !s.resumed
}

// remainder returns the bytes of the incomplete event.
func (s *splitter) remainder() []byte { return s.buf }

// resume returns a splitter for a stream that continues after the last complete event.
func (s *splitter) resume() splitter {
	return splitter{lastNum: s.lastNum, lastID: s.lastID, resumed: s.lastID != "", steps: s.steps}
}

// steps tells whether the ids of a stream count its events, so that a missing one shows. They need
// only rise.
type steps int

const (
	stepsUnknown steps = iota
	stepsOfOne
	stepsOther
)

// next returns the steps after an event with id n that follows one with id last, or is the first.
func (s steps) next(last, n int64, first bool) steps {
	switch {
	case s == stepsOther || !first && n != last+1:
		return stepsOther
	case first && n != 1: // the caller may have resumed it
		return stepsUnknown
	default:
		return stepsOfOne
	}
}
