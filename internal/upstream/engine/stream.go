package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const maxLine = 64 << 10 // bytes of one event

// Stream reads the pieces of one stream on one connection. It belongs to one
// goroutine. A piece of another stream, of another incarnation of the engine or
// out of order ends it with KindBadPiece.
type Stream struct {
	x           *httpconn.Exchange
	br          *bufio.Reader
	id          string
	pos         int
	incarnation uint64
	ended       bool
}

func newStream(x *httpconn.Exchange, id string, from int) *Stream {
	return &Stream{x: x, br: bufio.NewReaderSize(x, maxLine), id: id, pos: from}
}

// ID returns the stream's id.
func (s *Stream) ID() string { return s.id }

// Next returns the next piece. After the piece with Finish it returns io.EOF.
func (s *Stream) Next() (Piece, error) {
	if s.ended {
		return Piece{}, io.EOF
	}
	for {
		line, err := s.br.ReadSlice('\n')
		if err != nil {
			return Piece{}, fail("read", KindLost, noEOF(err))
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		var p Piece
		if err := json.Unmarshal(data, &p); err != nil {
			return Piece{}, fail("read", KindBadPiece, err)
		}
		return p, s.accept(p)
	}
}

func (s *Stream) accept(p Piece) error {
	if s.incarnation == 0 {
		s.incarnation = p.Incarnation
	}
	if p.Stream != s.id || p.Pos != s.pos || p.Incarnation != s.incarnation {
		return fail("read", KindBadPiece, fmt.Errorf("stream %q token %d, want %q token %d", p.Stream, p.Pos, s.id, s.pos))
	}
	s.ended = p.Finish != ""
	s.pos++
	return nil
}

// Pos returns the position of the next piece.
func (s *Stream) Pos() int { return s.pos }

// Close closes the connection. The engine goes on until it is cancelled or done.
func (s *Stream) Close() { s.x.Close() }

// noEOF keeps a cut from looking like an end.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
