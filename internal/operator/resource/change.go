package resource

import (
	"encoding/json"

	"github.com/zeebo/xxh3"
)

// Stream is the name of the configuration's stream in the log.
const Stream = "config"

// Op is what a change does.
type Op string

// The operations of a change.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpVoid   Op = "void"
)

// Change is a record of the configuration's stream.
type Change struct {
	ID       string          `json:"id"`
	Op       Op              `json:"op"`
	Kind     Type            `json:"kind,omitempty"`
	Name     string          `json:"name,omitempty"`
	Replaces uint64          `json:"replaces,omitempty"` // version; 0 where there must be no object
	Spec     json.RawMessage `json:"spec,omitempty"`
	Voids    string          `json:"voids,omitempty"` // id of a change that must not take effect any more
	Base     uint64          `json:"base,omitempty"`  // offset that its entry had folded when the change was made
}

// EncodeChange returns the log record of a change.
func EncodeChange(c Change) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fail("encode", KindRecord, err)
	}
	return b, nil
}

// DecodeChange returns the change of a log record.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(b, &c); err != nil {
		return Change{}, fail("decode", KindRecord, err)
	}
	return c, nil
}

// Fingerprint is a hash of what the change does, without its id and base.
func (c *Change) Fingerprint() uint64 {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(c.Op), []byte(c.Kind), []byte(c.Name), []byte(c.Voids), canonical(c.Spec)} {
		_, _ = h.Write(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// canonical returns the JSON text as the log and snapshots hold it.
func canonical(raw json.RawMessage) json.RawMessage {
	if len(raw) == 0 {
		return nil
	}
	b, err := json.Marshal(raw)
	if err != nil {
		return raw // not JSON: the fold rejects it
	}
	return b
}
