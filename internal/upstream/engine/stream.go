package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	maxLine    = 64 << 10 // bytes of one event
	firstLine  = 256      // bytes of the line buffer at first
	maxDropped = 256      // late or double pieces on one connection
)

// Counts are the pieces that a stream did not pass on.
type Counts struct {
	Late       int64 `json:"late"`       // of an incarnation of the engine before the stream's
	Double     int64 `json:"double"`     // of a position that was read before
	OutOfOrder int64 `json:"outOfOrder"` // of a position after the next one
	Foreign    int64 `json:"foreign"`    // of another stream, or of a later incarnation
}

// Add adds the counts of d.
func (c *Counts) Add(d Counts) {
	c.Late += d.Late
	c.Double += d.Double
	c.OutOfOrder += d.OutOfOrder
	c.Foreign += d.Foreign
}

// Carrier is the connection that a stream is read from. A read past its limit
// fails with os.ErrDeadlineExceeded.
type Carrier struct {
	Read  func(p []byte, limit time.Duration) (int, error)
	Close func()
}

// Position is where reading starts: the next token, and the incarnation of the
// engine, which is 0 where no piece was read yet.
type Position struct {
	Pos         int
	Incarnation uint64
}

// Stream reads the pieces of one stream on one connection. It belongs to one
// goroutine. Each piece is matched by stream, incarnation and position: late and
// double ones are dropped, any other mismatch ends the stream with KindBadPiece.
type Stream struct {
	carrier Carrier
	id      string
	at      Position
	ended   bool
	buf     []byte
	r, w    int // bounds of what was read into buf and not yet used
	counts  Counts
	oldest  uint64                   // incarnation of the engine that a first piece may be of
	saw     func(incarnation uint64) // notes the incarnation of the first piece
}

// NewStream returns a stream that reads server-sent events from the carrier.
func NewStream(c Carrier, id string, at Position) *Stream {
	return &Stream{carrier: c, id: id, at: at, buf: make([]byte, firstLine), saw: func(uint64) {}}
}

// ID returns the stream's id.
func (s *Stream) ID() string { return s.id }

// Counts returns what the stream did not pass on.
func (s *Stream) Counts() Counts { return s.counts }

// Next returns the next piece. After the piece with Finish it returns io.EOF. A
// read that takes longer than the limit fails with KindSilent.
func (s *Stream) Next(limit time.Duration) (Piece, error) {
	if s.ended {
		return Piece{}, io.EOF
	}
	for {
		line, err := s.line(limit)
		if err != nil {
			return Piece{}, readError(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		p, err := parsePiece(data, s.id)
		if err != nil {
			return Piece{}, fail("read", KindBadPiece, err)
		}
		wanted, err := s.match(&p)
		if err != nil {
			return Piece{}, err
		}
		if wanted {
			return p, nil
		}
	}
}

// match reports whether the piece is the next one. It returns an error where the
// connection can't be trusted to bring the next one.
func (s *Stream) match(p *Piece) (bool, error) {
	if s.at.Incarnation == 0 && p.Stream == s.id && p.Incarnation >= s.oldest {
		s.at.Incarnation = p.Incarnation
		s.saw(p.Incarnation)
	}
	if s.at.Incarnation == 0 && p.Stream == s.id {
		s.counts.Late++
		return false, s.dropped()
	}
	switch {
	case p.Stream != s.id || p.Incarnation > s.at.Incarnation:
		s.counts.Foreign++
	case p.Incarnation < s.at.Incarnation:
		s.counts.Late++
		return false, s.dropped()
	case p.Pos < s.at.Pos:
		s.counts.Double++
		return false, s.dropped()
	case p.Pos > s.at.Pos:
		s.counts.OutOfOrder++
	default:
		s.ended = p.Finish != ""
		s.at.Pos++
		return true, nil
	}
	return false, fail("read", KindBadPiece, fmt.Errorf("stream %q incarnation %d token %d, want %q incarnation %d token %d",
		p.Stream, p.Incarnation, p.Pos, s.id, s.at.Incarnation, s.at.Pos))
}

func (s *Stream) dropped() error {
	if s.counts.Late+s.counts.Double < maxDropped {
		return nil
	}
	return fail("read", KindBadPiece, fmt.Errorf("%d late or double pieces", maxDropped))
}

// line returns the next line without its end. It is valid until the next call.
func (s *Stream) line(limit time.Duration) ([]byte, error) {
	for searched := 0; ; {
		if i := bytes.IndexByte(s.buf[s.r+searched:s.w], '\n'); i >= 0 {
			line := s.buf[s.r : s.r+searched+i]
			s.r += searched + i + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		searched = s.w - s.r
		if err := s.room(); err != nil {
			return nil, err
		}
		n, err := s.carrier.Read(s.buf[s.w:], limit)
		s.w += n
		if n == 0 && err != nil {
			return nil, err
		}
	}
}

var errLongLine = errors.New("an event is longer than allowed")

// room makes place behind what was read.
func (s *Stream) room() error {
	if s.r > 0 {
		s.w = copy(s.buf, s.buf[s.r:s.w])
		s.r = 0
	}
	if s.w < len(s.buf) {
		return nil
	}
	if len(s.buf) >= maxLine {
		return errLongLine
	}
	s.buf = append(s.buf, make([]byte, len(s.buf))...)
	return nil
}

// At returns the position of the next piece.
func (s *Stream) At() Position { return s.at }

// Close closes the connection. The engine goes on until it is cancelled or done.
func (s *Stream) Close() { s.carrier.Close() }

// readError keeps a cut from looking like an end.
func readError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fail("read", KindSilent, err)
	}
	return fail("read", KindLost, err)
}
