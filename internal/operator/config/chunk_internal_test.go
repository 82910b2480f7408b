package config

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

func records(chunks ...[]byte) []logservice.Record {
	out := make([]logservice.Record, len(chunks))
	for i, c := range chunks {
		out[i] = logservice.Record{Offset: uint64(i + 1), Time: time.Unix(int64(i), 0), Data: c}
	}
	return out
}

func TestSnapshotIsAssembledFromChunksOfSeveralWriters(t *testing.T) {
	is := is.New(t)
	state := bytes.Repeat([]byte("0123456789"), chunkBytes/4)
	chunks, err := encodeChunks("1", 7, state)
	is.NoErr(err)
	is.Equal(len(chunks), 3)
	old, err := encodeChunks("1", 5, []byte("old"))
	is.NoErr(err)
	other, err := encodeChunks("2", 9, []byte("of another log"))
	is.NoErr(err)

	// One writer stopped after two chunks; another one wrote the last chunk.
	all := assemble("1", records(old[0], chunks[0], other[0], chunks[1], []byte("no chunk"), chunks[1], chunks[2]))
	is.Equal(len(all), 2)
	is.Equal(all[0].offset, uint64(7))
	is.Equal(all[0].state, state)
	is.Equal(all[0].time, time.Unix(1, 0)) // time of the oldest chunk

	all = assemble("1", records(old[0], chunks[0], chunks[2]))
	is.Equal(len(all), 1) // the newer snapshot lacks a chunk
	is.Equal(all[0].offset, uint64(5))

	corrupt := append([]byte(nil), chunks[1]...)
	corrupt[len(corrupt)-1]++
	all = assemble("1", records(old[0], chunks[0], corrupt, chunks[2]))
	is.Equal(len(all), 1) // the newer snapshot has a wrong digest
}

// FuzzChunks assembles arbitrary records, which must not panic. The result must be
// encodable again.
func FuzzChunks(f *testing.F) {
	chunks, err := encodeChunks("1", 7, []byte("state"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0], []byte(`{"epoch":"1","offset":7,"of":1000000000}`+"\n"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		for _, s := range assemble("1", records(a, b)) {
			if _, err := encodeChunks("1", s.offset, s.state); err != nil {
				t.Fatal(err)
			}
		}
	})
}
