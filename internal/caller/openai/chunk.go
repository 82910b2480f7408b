package openai

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// eventEncoder encodes the server-sent events of one response. The JSON around a
// token's text is encoded once and reused for tokens that need no escapes.
type eventEncoder struct {
	format         *responseFormatter
	prefix, suffix []byte // JSON of a chunk before and after its text
	idSuffix       string // follows the position in event ids; see formatEventSuffix
}

func newEventEncoder(f *responseFormatter) (*eventEncoder, error) {
	empty, err := json.Marshal(f.chunk(engine.Piece{Pos: 1}))
	if err != nil {
		return nil, err
	}
	i := bytes.LastIndex(empty, []byte(`""`))
	return &eventEncoder{format: f, prefix: empty[:i], suffix: empty[i+2:]}, nil
}

// appendPiece appends the event of a piece.
func (e *eventEncoder) appendPiece(b []byte, p *engine.Piece) ([]byte, error) {
	if p.Finish == "" && p.Pos > 0 && unescapedJSON(p.Text) {
		b = e.appendID(b, p.Pos)
		b = append(b, e.prefix...)
		b = append(b, '"')
		b = append(b, p.Text...)
		b = append(b, '"')
		b = append(b, e.suffix...)
		return append(b, "\n\n"...), nil
	}
	return e.appendJSON(b, p.Pos, e.format.chunk(*p))
}

// appendJSON appends an event with v encoded as JSON.
func (e *eventEncoder) appendJSON(b []byte, pos int, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return b, err
	}
	return e.appendData(b, pos, data), nil
}

// appendData appends an event with the data, which must not contain line breaks.
func (e *eventEncoder) appendData(b []byte, pos int, data []byte) []byte {
	b = append(e.appendID(b, pos), data...)
	return append(b, "\n\n"...)
}

func (e *eventEncoder) appendID(b []byte, pos int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(pos), 10)
	b = append(b, e.idSuffix...)
	return append(b, "\ndata: "...)
}

// unescapedJSON reports whether encoding/json encodes the text without escapes. It
// also returns false for text outside ASCII.
func unescapedJSON(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}
