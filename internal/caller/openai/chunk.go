package openai

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// eventEncoder appends the server-sent events of one answer. A token in plain
// text is put between a prefix and a suffix that encoding/json wrote once.
type eventEncoder struct {
	answer         *answer
	prefix, suffix []byte // of a chunk around its text
	moved          string // follows the position in an event's id
}

func newEventEncoder(a *answer) (*eventEncoder, error) {
	empty, err := json.Marshal(a.chunk(engine.Piece{Pos: 1}))
	if err != nil {
		return nil, err
	}
	i := bytes.LastIndex(empty, []byte(`""`))
	return &eventEncoder{answer: a, prefix: empty[:i], suffix: empty[i+2:]}, nil
}

// piece appends the event of a piece.
func (e *eventEncoder) piece(b []byte, p *engine.Piece) ([]byte, error) {
	if p.Finish == "" && p.Pos > 0 && plainText(p.Text) {
		b = e.id(b, p.Pos)
		b = append(b, e.prefix...)
		b = append(b, '"')
		b = append(b, p.Text...)
		b = append(b, '"')
		b = append(b, e.suffix...)
		return append(b, "\n\n"...), nil
	}
	return e.value(b, p.Pos, e.answer.chunk(*p))
}

// value appends an event with the value in JSON.
func (e *eventEncoder) value(b []byte, pos int, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return b, err
	}
	return e.data(b, pos, data), nil
}

// data appends an event with the data, which has no line end.
func (e *eventEncoder) data(b []byte, pos int, data []byte) []byte {
	b = append(e.id(b, pos), data...)
	return append(b, "\n\n"...)
}

func (e *eventEncoder) id(b []byte, pos int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(pos), 10)
	b = append(b, e.moved...)
	return append(b, "\ndata: "...)
}

// plainText reports whether encoding/json writes the text as it is.
func plainText(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}
