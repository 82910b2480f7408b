package openai

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

const (
	idVersion = 1
	macBytes  = 12 // of the HMAC-SHA256 that an id carries
	// idKeyText separates the key of ids from other uses of the shared key.
	idKeyText = "dogwoodmill response id"
	maxIDName = 255 // bytes of a name in an id
	// maxID bounds the text of an id that is looked at, in bytes.
	maxID = 1024

	flagText  = 1 << 0 // text completion
	flagUsage = 1 << 1 // include_usage
)

var idEncoding = base64.RawURLEncoding

// responseID is what the id of a request says: enough for any entry to find the
// stream and to go on with its answer.
type responseID struct {
	request    uuid.UUID // UUIDv7; its time is that of the request
	shape      shape
	usage      bool
	patience   time.Duration // whole seconds
	attempt    int
	engine     string // name of the upstream
	deployment string
}

// newResponseID returns the id of a request that starts now.
func newResponseID() (responseID, error) {
	u, err := uuid.NewV7()
	return responseID{request: u}, err
}

// created returns when the request came.
func (r *responseID) created() time.Time {
	sec, nsec := r.request.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// deadline returns when the request's time limit ends.
func (r *responseID) deadline() time.Time { return r.created().Add(r.patience) }

// stream returns the id of the request's stream at its engine.
func (r *responseID) stream() string {
	return orphan.StreamID(r.request.String(), r.attempt, r.patience)
}

// idSigner makes and checks ids. An id is bound to the workspace that it was made for.
type idSigner struct {
	key []byte
}

func newIDSigner(key string) *idSigner {
	h := hmac.New(sha256.New, []byte(key))
	_, _ = h.Write([]byte(idKeyText)) // a hash never fails
	return &idSigner{key: h.Sum(nil)}
}

func (s *idSigner) mac(workspace string, payload []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	_, _ = fmt.Fprintf(h, "%d:%s", len(workspace), workspace) // a hash never fails
	_, _ = h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// encode returns the id's text, which can stand in a URL.
func (s *idSigner) encode(workspace string, r *responseID) string {
	var flags byte
	if r.shape == shapeText {
		flags |= flagText
	}
	if r.usage {
		flags |= flagUsage
	}
	b := append([]byte{idVersion, flags}, r.request[:]...)
	b = binary.AppendUvarint(b, uint64(r.patience/time.Second))
	b = binary.AppendUvarint(b, uint64(r.attempt))
	b = appendName(b, r.engine)
	b = appendName(b, r.deployment)
	return idEncoding.EncodeToString(append(b, s.mac(workspace, b)...))
}

func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), maxIDName)]
	return append(append(b, byte(len(name))), name...)
}

var errBadID = errors.New("not an id of this workspace")

// decode returns what the id says where it was made for the workspace.
func (s *idSigner) decode(workspace, text string) (*responseID, error) {
	if len(text) > maxID {
		return nil, errBadID
	}
	b, err := idEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < macBytes+2+len(uuid.UUID{}) {
		return nil, errBadID
	}
	payload, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !hmac.Equal(mac, s.mac(workspace, payload)) || payload[0] != idVersion {
		return nil, errBadID
	}
	return parseID(payload)
}

func parseID(b []byte) (*responseID, error) {
	r := &responseID{usage: b[1]&flagUsage != 0}
	if b[1]&flagText != 0 {
		r.shape = shapeText
	}
	b = b[2:]
	b = b[copy(r.request[:], b):]
	patience, n := binary.Uvarint(b)
	if n <= 0 || patience > uint64(orphan.MaxPatience/time.Second) {
		return nil, errBadID
	}
	r.patience, b = time.Duration(patience)*time.Second, b[n:]
	attempt, n := binary.Uvarint(b)
	if n <= 0 || attempt > orphan.MaxAttempt {
		return nil, errBadID
	}
	r.attempt, b = int(attempt), b[n:]
	var ok bool
	if r.engine, b, ok = cutName(b); !ok {
		return nil, errBadID
	}
	if r.deployment, b, ok = cutName(b); !ok || len(b) != 0 {
		return nil, errBadID
	}
	return r, nil
}

func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := int(b[0])
	return string(b[1 : 1+n]), b[1+n:], true
}

// eventID is the id of an event: the position of a token and, where the answer
// went on at another engine, the attempt and the engine's name.
type eventID struct {
	pos     int
	attempt int // 0 where the answer did not move
	engine  string
}

const (
	eventMoved = "@" // before the attempt
	eventAt    = "." // before the engine
)

// movedText returns what follows the position in the ids of events.
func movedText(attempt int, engine string) string {
	return eventMoved + strconv.Itoa(attempt) + eventAt + engine
}

// parseEventID reads a Last-Event-ID header.
func parseEventID(text string) (eventID, error) {
	num, moved, isMoved := strings.Cut(text, eventMoved)
	pos, err := strconv.Atoi(num)
	if err != nil || pos < 0 {
		return eventID{}, errBadEventID
	}
	e := eventID{pos: pos}
	if !isMoved {
		return e, nil
	}
	attempt, engine, ok := strings.Cut(moved, eventAt)
	if e.attempt, err = strconv.Atoi(attempt); !ok || err != nil || e.attempt < 1 || e.attempt > orphan.MaxAttempt {
		return eventID{}, errBadEventID
	}
	e.engine = engine
	return e, nil
}

var errBadEventID = errors.New("not the id of an event")
