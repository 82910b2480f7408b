package config

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// SnapshotStream is the name of the log stream that holds snapshots.
const SnapshotStream = "config-snapshots"

const (
	chunkBytes = 192 << 10 // a log record, including the chunk header, is limited to 256 KiB
	// initialTailRecords is the number of records at the end of the stream that the
	// first search for the newest snapshot reads.
	initialTailRecords = 16
)

// chunkHeader is the first line of a record of the snapshot stream. Records with equal
// headers hold the same data, whichever entry wrote them.
type chunkHeader struct {
	Epoch  string `json:"epoch"`  // epoch of the log that the offset belongs to
	Offset uint64 `json:"offset"` // last offset that the snapshot includes
	Digest string `json:"digest"` // SHA-256 of the complete snapshot
	Index  int    `json:"index"`  // of the chunk, from 0
	Of     int    `json:"of"`     // number of chunks
}

// encodeChunks splits a snapshot into log records.
func encodeChunks(epoch string, offset uint64, state []byte) ([][]byte, error) {
	sum := sha256.Sum256(state)
	head := chunkHeader{Epoch: epoch, Offset: offset, Digest: hex.EncodeToString(sum[:]), Of: (len(state) + chunkBytes - 1) / chunkBytes}
	var out [][]byte
	for part := range slices.Chunk(state, chunkBytes) {
		line, err := json.Marshal(head)
		if err != nil {
			return nil, fail("encode chunk", KindSnapshot, err)
		}
		out = append(out, append(append(line, '\n'), part...))
		head.Index++
	}
	return out, nil
}

var errChunk = errors.New("record in the snapshot stream is not a chunk")

// decodeChunk returns the header and the data of a record. It returns an error of
// KindSnapshot for a record that is not a chunk.
func decodeChunk(b []byte) (chunkHeader, []byte, error) {
	line, data, ok := bytes.Cut(b, []byte{'\n'})
	var head chunkHeader
	if !ok || json.Unmarshal(line, &head) != nil || head.Index < 0 || head.Index >= head.Of {
		return head, nil, fail("decode chunk", KindSnapshot, errChunk)
	}
	return head, data, nil
}

// storedSnapshot is a complete snapshot.
type storedSnapshot struct {
	offset uint64
	time   time.Time // when its oldest chunk was written
	state  []byte
}

type chunk struct {
	data []byte
	time time.Time
}

// assemble returns the complete snapshots of the epoch among the records, newest
// first. It omits snapshots with a wrong digest.
func assemble(epoch string, recs []logservice.Record) []storedSnapshot {
	type id struct {
		offset uint64
		digest string
		of     int
	}
	parts := map[id]map[int]chunk{}
	for _, r := range recs {
		head, data, err := decodeChunk(r.Data)
		if err != nil || head.Epoch != epoch {
			continue
		}
		k := id{head.Offset, head.Digest, head.Of}
		if parts[k] == nil {
			parts[k] = map[int]chunk{}
		}
		parts[k][head.Index] = chunk{data, r.Time} // of several copies keep the last, which expires last
	}
	var out []storedSnapshot
	for k, chunks := range parts {
		if f, ok := joinChunks(k.of, k.digest, chunks); ok {
			f.offset = k.offset
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b storedSnapshot) int {
		return cmp.Or(cmp.Compare(b.offset, a.offset), b.time.Compare(a.time))
	})
	return out
}

// joinChunks concatenates the chunks of a snapshot. It reports false if a chunk is
// missing or the digest is wrong.
func joinChunks(of int, digest string, chunks map[int]chunk) (storedSnapshot, bool) {
	var f storedSnapshot
	for i := range of {
		c, ok := chunks[i]
		if !ok {
			return f, false
		}
		if i == 0 || c.time.Before(f.time) {
			f.time = c.time
		}
		f.state = append(f.state, c.data...)
	}
	sum := sha256.Sum256(f.state)
	return f, hex.EncodeToString(sum[:]) == digest
}

// readFunc reads the records of a stream from an offset on. If there are none it waits
// for up to the given time.
type readFunc = func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)

// newestSnapshot returns the newest complete snapshot in the stream and the epoch of
// the log. It reads the tail of the stream first and extends it backwards until it
// finds one. Without any it returns an error of KindNoSnapshot.
func newestSnapshot(ctx context.Context, read readFunc) (storedSnapshot, string, error) {
	b, err := readBounds(ctx, read)
	if err != nil {
		return storedSnapshot{}, "", err
	}
	for tail := uint64(initialTailRecords); ; tail *= 4 {
		from := b.Earliest
		if b.Next > tail {
			from = max(from, b.Next-tail)
		}
		recs, err := readRange(ctx, read, from, b.Next)
		if err != nil {
			return storedSnapshot{}, b.Epoch, err
		}
		if all := assemble(b.Epoch, recs); len(all) > 0 {
			return all[0], b.Epoch, nil
		}
		if from <= b.Earliest {
			return storedSnapshot{}, b.Epoch, fail("read snapshot", KindNoSnapshot, nil)
		}
	}
}

// offsetBeyondEnd is beyond the end of any stream, so that a read from it returns
// only the bounds.
const offsetBeyondEnd = 1 << 62

func readBounds(ctx context.Context, read readFunc) (logservice.Bounds, error) {
	_, b, err := read(ctx, offsetBeyondEnd, 0)
	return b, err
}

func readRange(ctx context.Context, read readFunc, from, to uint64) ([]logservice.Record, error) {
	var out []logservice.Record
	for from < to {
		recs, _, err := read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(recs) == 0 {
			break
		}
		out = append(out, recs...)
		from = recs[len(recs)-1].Offset + 1
	}
	return out, nil
}
