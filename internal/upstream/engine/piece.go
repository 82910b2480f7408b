package engine

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// The parts of a piece in the form that engines send for each token.
var (
	piecePrefix      = []byte(`{"stream":"`)
	pieceIncarnation = []byte(`","incarnation":`)
	piecePos         = []byte(`,"pos":`)
	pieceText        = []byte(`,"text":"`)
	pieceEnd         = []byte(`"}`)
)

const (
	maxDigits = 18 // of a number that fits int64 whatever its digits
	ascii     = 0x7f
)

// parsePiece decodes a piece of the stream id. The common form, a token of that
// stream in plain text, takes one allocation; encoding/json decodes all others.
func parsePiece(data []byte, id string) (Piece, error) {
	if p, ok := parseToken(data, id); ok {
		return p, nil
	}
	var p Piece
	err := json.Unmarshal(data, &p)
	return p, err
}

func parseToken(data []byte, id string) (Piece, bool) {
	rest, ok := bytes.CutPrefix(data, piecePrefix)
	if !ok || len(rest) < len(id) || string(rest[:len(id)]) != id || !plain(rest[:len(id)]) {
		return Piece{}, false
	}
	if rest, ok = bytes.CutPrefix(rest[len(id):], pieceIncarnation); !ok {
		return Piece{}, false
	}
	incarnation, rest, ok := cutNumber(rest)
	if !ok {
		return Piece{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, piecePos); !ok {
		return Piece{}, false
	}
	pos, rest, ok := cutNumber(rest)
	if !ok {
		return Piece{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, pieceText); !ok {
		return Piece{}, false
	}
	if rest, ok = bytes.CutSuffix(rest, pieceEnd); !ok || !plain(rest) {
		return Piece{}, false
	}
	return Piece{Stream: id, Incarnation: incarnation, Pos: int(pos), Text: string(rest)}, true
}

// cutNumber reads a number as JSON writes it: no sign and no leading zero.
func cutNumber(b []byte) (n uint64, rest []byte, ok bool) {
	i := 0
	for i < len(b) && b[i] >= '0' && b[i] <= '9' {
		n = n*10 + uint64(b[i]-'0')
		i++
	}
	if i == 0 || i > maxDigits || i > 1 && b[0] == '0' || strconv.IntSize < 64 {
		return 0, nil, false
	}
	return n, b[i:], true
}

// plain reports whether the inside of a JSON string stands for itself.
func plain(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c >= ascii || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
