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
	idVersion  = 1
	idMACBytes = 12 // an id ends with a truncated HMAC-SHA256
	// idKeyLabel derives the ids' key from the shared key, separate from its other uses.
	idKeyLabel     = "dogwoodmill response id"
	maxIDNameBytes = 255 // longer names are truncated; the length is one byte
	// maxIDBytes is the longest encoded id that is decoded.
	maxIDBytes = 1024

	flagText  = 1 << 0 // text completion
	flagUsage = 1 << 1 // include_usage
)

var idEncoding = base64.RawURLEncoding

// responseID is the decoded id of a request. It suffices for any entry to find the
// stream at its engine and to resume the response.
type responseID struct {
	request    uuid.UUID // UUIDv7 with the time of the request
	api        apiKind
	usage      bool
	patience   time.Duration // whole seconds
	attempt    int
	engine     string // name of the upstream
	deployment string
}

// newResponseID returns the id of a request received now.
func newResponseID() (responseID, error) {
	u, err := uuid.NewV7()
	return responseID{request: u}, err
}

// created returns the time of the request.
func (r *responseID) created() time.Time {
	sec, nsec := r.request.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// deadline returns the end of the request's time limit.
func (r *responseID) deadline() time.Time { return r.created().Add(r.patience) }

// stream returns the id of the request's stream at its engine.
func (r *responseID) stream() string {
	return orphan.StreamID(r.request.String(), r.attempt, r.patience)
}

// idSigner encodes and verifies ids. An id is valid only for the workspace that it was
// encoded for.
type idSigner struct {
	key []byte
}

func newIDSigner(key string) *idSigner {
	h := hmac.New(sha256.New, []byte(key))
	_, _ = h.Write([]byte(idKeyLabel)) // a hash never fails
	return &idSigner{key: h.Sum(nil)}
}

func (s *idSigner) mac(workspace string, payload []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	_, _ = fmt.Fprintf(h, "%d:%s", len(workspace), workspace) // a hash never fails
	_, _ = h.Write(payload)
	return h.Sum(nil)[:idMACBytes]
}

// encode returns the signed id in URL-safe base64.
func (s *idSigner) encode(workspace string, r *responseID) string {
	var flags byte
	if r.api == apiText {
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
	name = name[:min(len(name), maxIDNameBytes)]
	return append(append(b, byte(len(name))), name...)
}

var errInvalidID = errors.New("not an id of this workspace")

// decode verifies and decodes an id. It returns errInvalidID if the id was not encoded
// for the workspace.
func (s *idSigner) decode(workspace, text string) (*responseID, error) {
	if len(text) > maxIDBytes {
		return nil, errInvalidID
	}
	b, err := idEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < idMACBytes+2+len(uuid.UUID{}) {
		return nil, errInvalidID
	}
	payload, mac := b[:len(b)-idMACBytes], b[len(b)-idMACBytes:]
	if !hmac.Equal(mac, s.mac(workspace, payload)) || payload[0] != idVersion {
		return nil, errInvalidID
	}
	return parseID(payload)
}

func parseID(b []byte) (*responseID, error) {
	r := &responseID{usage: b[1]&flagUsage != 0}
	if b[1]&flagText != 0 {
		r.api = apiText
	}
	b = b[2:]
	b = b[copy(r.request[:], b):]
	patience, n := binary.Uvarint(b)
	if n <= 0 || patience > uint64(orphan.MaxPatience/time.Second) {
		return nil, errInvalidID
	}
	r.patience, b = time.Duration(patience)*time.Second, b[n:]
	attempt, n := binary.Uvarint(b)
	if n <= 0 || attempt > orphan.MaxAttempt {
		return nil, errInvalidID
	}
	r.attempt, b = int(attempt), b[n:]
	var ok bool
	if r.engine, b, ok = cutName(b); !ok {
		return nil, errInvalidID
	}
	if r.deployment, b, ok = cutName(b); !ok || len(b) != 0 {
		return nil, errInvalidID
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

// eventID is the id of a server-sent event: the position of a token and, if the
// response failed over after its id was sent, the attempt and engine of that run.
type eventID struct {
	pos     int
	attempt int // 0 if the response id names the engine
	engine  string
}

const (
	eventAttemptSep = "@" // precedes the attempt
	eventEngineSep  = "." // precedes the engine
)

// formatEventSuffix returns the part of an event id after the position.
func formatEventSuffix(attempt int, engine string) string {
	return eventAttemptSep + strconv.Itoa(attempt) + eventEngineSep + engine
}

// parseEventID parses a Last-Event-ID header. It returns errInvalidEventID if it is
// malformed.
func parseEventID(text string) (eventID, error) {
	num, suffix, hasSuffix := strings.Cut(text, eventAttemptSep)
	pos, err := strconv.Atoi(num)
	if err != nil || pos < 0 {
		return eventID{}, errInvalidEventID
	}
	e := eventID{pos: pos}
	if !hasSuffix {
		return e, nil
	}
	attempt, engine, ok := strings.Cut(suffix, eventEngineSep)
	if e.attempt, err = strconv.Atoi(attempt); !ok || err != nil || e.attempt < 1 || e.attempt > orphan.MaxAttempt {
		return eventID{}, errInvalidEventID
	}
	e.engine = engine
	return e, nil
}

var errInvalidEventID = errors.New("malformed event id")
