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
	maxEventBytes      = 64 << 10 // size limit of one event, in bytes
	initialBufferBytes = 256      // initial size of the line buffer, in bytes
	maxDroppedPieces   = 256      // limit of late and duplicate pieces per connection
)

// Counts holds the number of pieces that a stream discarded, by cause.
type Counts struct {
	Late       int64 `json:"late"`       // from an earlier incarnation of the engine than the stream's
	Duplicate  int64 `json:"double"`     // at a position that was already read
	OutOfOrder int64 `json:"outOfOrder"` // at a position after the expected one
	Foreign    int64 `json:"foreign"`    // from another stream or a later incarnation
}

// Add adds d to c.
func (c *Counts) Add(d Counts) {
	c.Late += d.Late
	c.Duplicate += d.Duplicate
	c.OutOfOrder += d.OutOfOrder
	c.Foreign += d.Foreign
}

// Carrier is the connection that a stream is read from. A read that takes longer than
// its limit fails with os.ErrDeadlineExceeded.
type Carrier struct {
	Read  func(p []byte, limit time.Duration) (int, error)
	Close func()
}

// Position is where reading starts: the position of the next token, and the engine's
// incarnation, which is 0 if no piece has been read yet.
type Position struct {
	Pos         int
	Incarnation uint64
}

// Stream reads the pieces of one stream from one connection. It is not safe for
// concurrent use. Each piece must match in stream, incarnation and position: late and
// duplicate pieces are dropped, any other mismatch fails with KindBadPiece.
type Stream struct {
	carrier        Carrier
	id             string
	at             Position
	ended          bool
	buf            []byte
	r, w           int // bounds of the unread bytes in buf
	counts         Counts
	minIncarnation uint64                   // lowest incarnation accepted for the first piece
	onIncarnation  func(incarnation uint64) // called with the incarnation of the first piece
}

// NewStream returns a stream that reads server-sent events from the carrier.
func NewStream(c Carrier, id string, at Position) *Stream {
	return &Stream{carrier: c, id: id, at: at, buf: make([]byte, initialBufferBytes), onIncarnation: func(uint64) {}}
}

// ID returns the stream's id.
func (s *Stream) ID() string { return s.id }

// Counts returns the numbers of discarded pieces.
func (s *Stream) Counts() Counts { return s.counts }

// Next returns the next piece, or io.EOF after the piece that sets Finish. A read that
// takes longer than the limit fails with KindSilent.
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
		isNext, err := s.match(&p)
		if err != nil {
			return Piece{}, err
		}
		if isNext {
			return p, nil
		}
	}
}

// match reports whether p is the expected piece. It returns an error if the expected
// piece can no longer arrive on this connection.
func (s *Stream) match(p *Piece) (bool, error) {
	if s.at.Incarnation == 0 && p.Stream == s.id && p.Incarnation >= s.minIncarnation {
		s.at.Incarnation = p.Incarnation
		s.onIncarnation(p.Incarnation)
	}
	if s.at.Incarnation == 0 && p.Stream == s.id {
		s.counts.Late++
		return false, s.checkDropped()
	}
	switch {
	case p.Stream != s.id || p.Incarnation > s.at.Incarnation:
		s.counts.Foreign++
	case p.Incarnation < s.at.Incarnation:
		s.counts.Late++
		return false, s.checkDropped()
	case p.Pos < s.at.Pos:
		s.counts.Duplicate++
		return false, s.checkDropped()
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

func (s *Stream) checkDropped() error {
	if s.counts.Late+s.counts.Duplicate < maxDroppedPieces {
		return nil
	}
	return fail("read", KindBadPiece, fmt.Errorf("%d late or duplicate pieces", maxDroppedPieces))
}

// line returns the next line without its line ending. It is valid until the next call.
func (s *Stream) line(limit time.Duration) ([]byte, error) {
	for searched := 0; ; {
		if i := bytes.IndexByte(s.buf[s.r+searched:s.w], '\n'); i >= 0 {
			line := s.buf[s.r : s.r+searched+i]
			s.r += searched + i + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		searched = s.w - s.r
		if err := s.makeRoom(); err != nil {
			return nil, err
		}
		n, err := s.carrier.Read(s.buf[s.w:], limit)
		s.w += n
		if n == 0 && err != nil {
			return nil, err
		}
	}
}

var errLongLine = errors.New("event exceeds the size limit")

// makeRoom makes space in the buffer for the next read.
func (s *Stream) makeRoom() error {
	if s.r > 0 {
		s.w = copy(s.buf, s.buf[s.r:s.w])
		s.r = 0
	}
	if s.w < len(s.buf) {
		return nil
	}
	if len(s.buf) >= maxEventBytes {
		return errLongLine
	}
	s.buf = append(s.buf, make([]byte, len(s.buf))...)
	return nil
}

// At returns the position of the next piece.
func (s *Stream) At() Position { return s.at }

// Close closes the connection. The engine keeps generating until the stream is
// cancelled or finished.
func (s *Stream) Close() { s.carrier.Close() }

// readError classifies a read error. io.EOF becomes io.ErrUnexpectedEOF, so that a
// broken connection isn't taken for the end of the stream.
func readError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fail("read", KindSilent, err)
	}
	return fail("read", KindLost, err)
}
