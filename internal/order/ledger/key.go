// Package ledger folds a stream of order records: the first intent of a key wins
// for ever, and its holder alone ends it. Every ledger that has applied the same
// records of a stream is the same.
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
	// Streams is the number of streams that orders are spread over. It may never
	// change: a key that moves to another stream could be executed again.
	Streams = 4

	fingerprintBytes = 16
	uuidVersion      = 7
)

// Stream returns the name of the i-th stream.
func Stream(i int) string { return fmt.Sprintf("orders-%d", i) }

// StreamOf returns the index of the stream of a workspace's key.
func StreamOf(workspace string, key uuid.UUID) int {
	return int(hash(workspace, key) % Streams)
}

// ShardOf returns the shard of a workspace's key among n shards of its stream.
func ShardOf(workspace string, key uuid.UUID, n int) int {
	return int(hash(workspace, key) / Streams % uint64(n))
}

func hash(workspace string, key uuid.UUID) uint64 {
	return xxh3.HashString(string(key[:]) + workspace)
}

// ParseKey returns the UUIDv7 of an idempotency key.
func ParseKey(text []byte) (uuid.UUID, bool) {
	id, err := uuid.ParseBytes(text)
	return id, err == nil && id.Version() == uuidVersion
}

// KeyTime returns the time in a UUIDv7.
func KeyTime(key uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// Fingerprint identifies what an order asks for.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of the parts of a request.
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

// Attempt names one try of one entry to execute an order.
type Attempt struct {
	VM          string
	Incarnation uint64
	Number      uint64
}
