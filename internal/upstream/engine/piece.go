package engine

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// The fixed parts of the compact JSON that engines send for each token.
var (
	piecePrefix      = []byte(`{"stream":"`)
	pieceIncarnation = []byte(`","incarnation":`)
	piecePos         = []byte(`,"pos":`)
	pieceText        = []byte(`,"text":"`)
	pieceEnd         = []byte(`"}`)
)

const (
	maxDigits   = 18 // any number with this many digits fits in an int64
	asciiDelete = 0x7f
)

// parsePiece decodes a piece of the stream id. A fast path decodes the common form, a
// token of that stream without escapes, with one allocation; encoding/json decodes the
// rest.
func parsePiece(data []byte, id string) (Piece, error) {
	if p, ok := parseToken(data, id); ok {
		return p, nil
	}
	var p Piece
	err := json.Unmarshal(data, &p)
	return p, err
}

// parseToken is the fast path of parsePiece. It returns false for any other form.
func parseToken(data []byte, id string) (Piece, bool) {
	rest, ok := bytes.CutPrefix(data, piecePrefix)
	if !ok || len(rest) < len(id) || string(rest[:len(id)]) != id || !isPlainASCII(rest[:len(id)]) {
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
	if rest, ok = bytes.CutSuffix(rest, pieceEnd); !ok || !isPlainASCII(rest) {
		return Piece{}, false
	}
	return Piece{Stream: id, Incarnation: incarnation, Pos: int(pos), Text: string(rest)}, true
}

// cutNumber reads an unsigned JSON number from the start of b: no sign, no leading zero.
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

// isPlainASCII reports whether the content of a JSON string is ASCII without escapes, so that
// it can be used undecoded.
func isPlainASCII(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c >= asciiDelete || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
