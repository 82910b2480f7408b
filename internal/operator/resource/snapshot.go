package resource

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// maxSnapshotBytes limits the decompressed size of a snapshot.
const maxSnapshotBytes = 256 << 20

// snapshot is the encoded form of a fold.
type snapshot struct {
	Format  int      `json:"format"`
	Offset  uint64   `json:"offset"`
	Objects []Object `json:"objects"` // by kind, in the order of Types, then by name
	Fates   []Fate   `json:"fates"`   // by offset
}

// Frozen is the immutable state of a fold at an offset. It is safe for concurrent use.
type Frozen struct {
	view  *View
	fates []Fate
}

// Freeze returns the current state of the fold.
func (f *Fold) Freeze() *Frozen { return &Frozen{view: f.View(), fates: f.fates.list()} }

// Offset returns the last offset that the state includes.
func (z *Frozen) Offset() uint64 { return z.view.offset }

// Encode returns the snapshot of the state as gzipped JSON. The bytes depend only on
// the applied records, so that all entries write the same snapshot for an offset.
func (z *Frozen) Encode() ([]byte, error) {
	s := snapshot{Format: snapshotFormat, Offset: z.Offset(), Fates: z.fates}
	for _, t := range Types() {
		for _, it := range z.view.items[t] {
			s.Objects = append(s.Objects, it.object)
		}
	}
	return encodeSnapshot(&s)
}

func encodeSnapshot(s *snapshot) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fail("snapshot", KindSnapshot, err)
	}
	if err := errors.Join(json.NewEncoder(z).Encode(s), z.Close()); err != nil {
		return nil, fail("snapshot", KindSnapshot, err)
	}
	return b.Bytes(), nil
}

// Snapshot returns the encoded current state of the fold.
func (f *Fold) Snapshot() ([]byte, error) { return f.Freeze().Encode() }

// RestoreFold decodes a snapshot into a fold. It returns an error of KindSnapshot
// for a state that no sequence of changes can produce.
func RestoreFold(b []byte) (*Fold, error) {
	var s snapshot
	if err := decodeSnapshot(b, &s); err != nil {
		return nil, fail("restore", KindSnapshot, err)
	}
	f := NewFold()
	f.offset = s.Offset
	for _, o := range s.Objects {
		if err := f.restore(o); err != nil {
			return nil, fail("restore", KindSnapshot, fmt.Errorf("%s/%s: %w", o.Kind, o.Metadata.Name, err))
		}
	}
	if err := f.restoreFates(s.Fates); err != nil {
		return nil, fail("restore", KindSnapshot, err)
	}
	return f, nil
}

func decodeSnapshot(b []byte, s *snapshot) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("format %d is not known; known: %d", s.Format, snapshotFormat)
	}
	return nil
}

var errInvalidState = errors.New("no sequence of changes can produce this state")

// restore adds an object of a snapshot. Objects are ordered by Types, so the objects
// that an object refers to are restored before it.
func (f *Fold) restore(o Object) error {
	if f.tables[o.Kind] == nil || f.get(key{o.Kind, o.Metadata.Name}) != nil ||
		o.Metadata.Version == 0 || o.Metadata.Version > f.offset {
		return errInvalidState
	}
	it, err := newItem(Object{Kind: o.Kind, Metadata: o.Metadata, Spec: canonical(o.Spec)})
	if err != nil {
		return err
	}
	if err := f.checkItem(it); err != nil {
		return err
	}
	f.link(key{o.Kind, o.Metadata.Name}, it)
	return nil
}

func (f *Fold) restoreFates(list []Fate) error {
	last := uint64(0)
	for _, fate := range list {
		if _, ok := f.fates.byID[fate.ID]; ok || fate.Offset < last || fate.Offset > f.offset {
			return errInvalidState
		}
		last = fate.Offset
		f.fates.add(fate)
	}
	return nil
}
