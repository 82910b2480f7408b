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

// SnapshotStream is the name of the stream that holds snapshots.
const SnapshotStream = "config-snapshots"

const (
	chunkSize = 192 << 10 // bytes: a record of the store, with its head, has at most 256 KiB
	// firstTail is the number of records at the end of the stream that are searched
	// first for the newest snapshot.
	firstTail = 16
)

// chunkHead is the first line of a record of the snapshots' stream. Two records
// with the same head hold the same data, whoever wrote them.
type chunkHead struct {
	Epoch  string `json:"epoch"`  // of the log that the offset belongs to
	Offset uint64 `json:"offset"` // last one that the snapshot contains
	Digest string `json:"digest"` // SHA-256 of the whole snapshot
	Index  int    `json:"index"`
	Of     int    `json:"of"`
}

// encodeChunks returns the records of a snapshot.
func encodeChunks(epoch string, offset uint64, state []byte) ([][]byte, error) {
	sum := sha256.Sum256(state)
	head := chunkHead{Epoch: epoch, Offset: offset, Digest: hex.EncodeToString(sum[:]), Of: (len(state) + chunkSize - 1) / chunkSize}
	var out [][]byte
	for part := range slices.Chunk(state, chunkSize) {
		line, err := json.Marshal(head)
		if err != nil {
			return nil, fail("encode chunk", KindSnapshot, err)
		}
		out = append(out, append(append(line, '\n'), part...))
		head.Index++
	}
	return out, nil
}

var errChunk = errors.New("a record of the snapshots' stream is no chunk")

// decodeChunk returns the head and the data of a record.
func decodeChunk(b []byte) (chunkHead, []byte, error) {
	line, data, ok := bytes.Cut(b, []byte{'\n'})
	var head chunkHead
	if !ok || json.Unmarshal(line, &head) != nil || head.Index < 0 || head.Index >= head.Of {
		return head, nil, fail("decode chunk", KindSnapshot, errChunk)
	}
	return head, data, nil
}

// found is a whole snapshot.
type found struct {
	offset uint64
	time   time.Time // of its oldest chunk
	state  []byte
}

type chunk struct {
	data []byte
	time time.Time
}

// assemble returns the whole snapshots of the epoch among the records, the newest
// first. Those with a wrong digest are left out.
func assemble(epoch string, recs []logservice.Record) []found {
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
		parts[k][head.Index] = chunk{data, r.Time} // a later copy lives longer
	}
	var out []found
	for k, chunks := range parts {
		if f, ok := join(k.of, k.digest, chunks); ok {
			f.offset = k.offset
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b found) int {
		return cmp.Or(cmp.Compare(b.offset, a.offset), b.time.Compare(a.time))
	})
	return out
}

func join(of int, digest string, chunks map[int]chunk) (found, bool) {
	var f found
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

// readFunc reads a stream.
type readFunc = func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)

// newestSnapshot returns the newest whole snapshot in the stream. It reads the end
// first and goes back while it finds none.
func newestSnapshot(ctx context.Context, read readFunc) (found, string, error) {
	b, err := readBounds(ctx, read)
	if err != nil {
		return found{}, "", err
	}
	for tail := uint64(firstTail); ; tail *= 4 {
		from := b.Earliest
		if b.Next > tail {
			from = max(from, b.Next-tail)
		}
		recs, err := readRange(ctx, read, from, b.Next)
		if err != nil {
			return found{}, b.Epoch, err
		}
		if all := assemble(b.Epoch, recs); len(all) > 0 {
			return all[0], b.Epoch, nil
		}
		if from <= b.Earliest {
			return found{}, b.Epoch, fail("read snapshot", KindNoSnapshot, nil)
		}
	}
}

// farOffset is past the end of any stream: a read from it returns the bounds alone.
const farOffset = 1 << 62

func readBounds(ctx context.Context, read readFunc) (logservice.Bounds, error) {
	_, b, err := read(ctx, farOffset, 0)
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
