// Package owner tracks which entry owns each upstream. The newest claim in the log
// decides, and its offset is the fencing number of the owner's orders. The package also
// tracks which upstreams may be out of service for a rollout.
package owner

import (
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// Stream is the name of the log stream of claims.
	Stream = "claims"
	// slotTTL is the age at which a slot that was not released expires.
	slotTTL = 30 * time.Minute
)

// Holder identifies an entry and its incarnation.
type Holder struct {
	VM          string
	Incarnation uint64
}

type claim struct {
	holder Holder
	fence  uint64
}

type slot struct {
	deployment string
	at         time.Time
}

// Claims is the state derived from the records of the stream up to an offset. All entries
// that applied the same records since a claim agree on that claim. It is not safe for
// concurrent use.
type Claims struct {
	offset uint64
	newest time.Time
	claims map[string]claim
	slots  map[string]slot // by upstream
}

// NewClaims returns the claims of an empty stream.
func NewClaims() *Claims {
	return &Claims{claims: map[string]claim{}, slots: map[string]slot{}}
}

// Offset returns the last offset applied.
func (c *Claims) Offset() uint64 { return c.offset }

// Skip records that the log no longer has the records up to the offset. Their claims and
// slots have expired.
func (c *Claims) Skip(offset uint64) { c.offset = max(c.offset, offset) }

// Apply applies the record at the offset, appended at the given time. Offsets that were
// already applied are ignored. A record that can't be decoded returns an error of
// KindRecord and changes no claim or slot.
func (c *Claims) Apply(offset uint64, at time.Time, data []byte) error {
	if offset <= c.offset {
		return nil
	}
	c.offset = offset
	if at.After(c.newest) {
		c.newest = at
	}
	r := &Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		return fail("decode", KindRecord, err)
	}
	h := Holder{VM: r.Vm, Incarnation: r.Incarnation}
	if r.Type == RecordType_CLAIM {
		c.claims[r.Upstream] = claim{holder: h, fence: offset}
		return nil
	}
	if c.claims[r.Upstream].holder != h {
		return nil // no longer the owner
	}
	switch r.Type {
	case RecordType_BEGIN:
		c.begin(r)
	case RecordType_END:
		delete(c.slots, r.Upstream)
	}
	return nil
}

// begin grants a slot if fewer than the limit are taken. Deciding this while applying the
// log keeps owners of different upstreams from exceeding the limit together.
func (c *Claims) begin(r *Record) {
	if c.HasSlot(r.Upstream) || len(c.Slots(r.Deployment)) < int(r.Limit) {
		c.slots[r.Upstream] = slot{deployment: r.Deployment, at: c.newest}
	}
}

// Fence returns the offset of the upstream's newest claim, and whether h holds it.
func (c *Claims) Fence(upstream string, h Holder) (uint64, bool) {
	cl, ok := c.claims[upstream]
	return cl.fence, ok && cl.holder == h
}

// HasSlot reports whether the upstream may be out of service.
func (c *Claims) HasSlot(upstream string) bool {
	s, ok := c.slots[upstream]
	return ok && c.newest.Sub(s.at) < slotTTL
}

// Slots returns the upstreams of the deployment that may be out of service.
func (c *Claims) Slots(deployment string) map[string]bool {
	out := map[string]bool{}
	for u, s := range c.slots {
		if s.deployment == deployment && c.HasSlot(u) {
			out[u] = true
		}
	}
	return out
}
