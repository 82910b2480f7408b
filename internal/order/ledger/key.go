// Package ledger derives the state of orders from a stream of order records. The
// first intent of a key wins for good, and only its attempt can end the order.
// Ledgers that applied the same records of a stream hold the same state.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

const (
	// Streams is the number of streams that orders are partitioned into. It must
	// never change: a key that moves to another stream could be executed again.
	Streams = 4

	fingerprintBytes = 16
	uuidVersion      = 7
)

// Stream returns the name of the i-th stream.
func Stream(i int) string { return fmt.Sprintf("orders-%d", i) }

// StreamOf returns the index of the stream of a workspace's key.
func StreamOf(workspace string, key uuid.UUID) int {
	return int(hashKey(workspace, key) % Streams)
}

// ShardOf returns the shard of a workspace's key among n shards of its stream.
func ShardOf(workspace string, key uuid.UUID, n int) int {
	return int(hashKey(workspace, key) / Streams % uint64(n))
}

func hashKey(workspace string, key uuid.UUID) uint64 {
	return xxh3.HashString(string(key[:]) + workspace)
}

// ParseKey parses an idempotency key and reports whether it is a UUIDv7.
func ParseKey(text []byte) (uuid.UUID, bool) {
	id, err := uuid.ParseBytes(text)
	return id, err == nil && id.Version() == uuidVersion
}

// KeyTime returns the timestamp of a UUIDv7.
func KeyTime(key uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// Fingerprint is a hash of an order's request. Calls with the same key must
// share it.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of the parts of a request. Each part is
// hashed after its length, so that moving bytes between parts changes the hash.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Attempt identifies one attempt of an entry to execute an order.
type Attempt struct {
	VM          string
	Incarnation uint64
	Number      uint64
}
