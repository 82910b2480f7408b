package resource

import (
	"encoding/json"

	"github.com/zeebo/xxh3"
)

// Stream is the name of the log stream that holds configuration changes.
const Stream = "config"

// Op is the operation of a change.
type Op string

// The operations of a change.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpVoid   Op = "void"
)

// Change is a record of the configuration stream.
type Change struct {
	ID       string          `json:"id"`
	Op       Op              `json:"op"`
	Kind     Type            `json:"kind,omitempty"`
	Name     string          `json:"name,omitempty"`
	Replaces uint64          `json:"replaces,omitempty"` // expected current version; 0 if the object must not exist
	Spec     json.RawMessage `json:"spec,omitempty"`
	Voids    string          `json:"voids,omitempty"` // id of a change that must no longer take effect
	Base     uint64          `json:"base,omitempty"`  // last offset that the submitting entry had applied
}

// EncodeChange encodes a change as a log record.
func EncodeChange(c Change) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fail("encode", KindRecord, err)
	}
	return b, nil
}

// DecodeChange decodes a log record.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(b, &c); err != nil {
		return Change{}, fail("decode", KindRecord, err)
	}
	return c, nil
}

// Fingerprint returns a hash of the operation, kind, name, voided id and spec. It
// covers neither the change's id nor Base and Replaces.
func (c *Change) Fingerprint() uint64 {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(c.Op), []byte(c.Kind), []byte(c.Name), []byte(c.Voids), canonical(c.Spec)} {
		_, _ = h.Write(part) // never returns an error
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// canonical returns raw in the form that the log and snapshots store.
func canonical(raw json.RawMessage) json.RawMessage {
	if len(raw) == 0 {
		return nil
	}
	b, err := json.Marshal(raw)
	if err != nil {
		return raw // invalid JSON; the fold rejects it
	}
	return b
}
