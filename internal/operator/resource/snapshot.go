package resource

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// snapshotFormat is the version of the snapshot's encoding.
const snapshotFormat = 1

// maxSnapshot bounds the decoded size of a snapshot, in bytes.
const maxSnapshot = 256 << 20

// snapshot is the encoded form of a fold.
type snapshot struct {
	Format  int      `json:"format"`
	Offset  uint64   `json:"offset"`
	Objects []Object `json:"objects"` // by kind, in the order of Types, and name
	Fates   []Fate   `json:"fates"`   // by offset
}

// Frozen is the state of a fold at an offset. It never changes and may be encoded
// on any goroutine.
type Frozen struct {
	view  *View
	fates []Fate
}

// Freeze returns the state of the fold as it is now.
func (f *Fold) Freeze() *Frozen { return &Frozen{view: f.View(), fates: f.fates.list()} }

// Offset returns the last offset that the state contains.
func (z *Frozen) Offset() uint64 { return z.view.offset }

// Encode returns the encoded state, which is a function of the offset.
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

// Snapshot returns the encoded state of the fold as it is now.
func (f *Fold) Snapshot() ([]byte, error) { return f.Freeze().Encode() }

// RestoreFold returns the fold of an encoded state. A state that no fold can
// have is refused.
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
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshot))
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

var errState = errors.New("no fold can have this state")

// restore adds an object. Types lists each kind after those it refers to, so that
// the references of an object are there before it.
func (f *Fold) restore(o Object) error {
	if f.tables[o.Kind] == nil || f.get(key{o.Kind, o.Metadata.Name}) != nil ||
		o.Metadata.Version == 0 || o.Metadata.Version > f.offset {
		return errState
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
	for _, t := range list {
		if _, ok := f.fates.byID[t.ID]; ok || t.Offset < last || t.Offset > f.offset {
			return errState
		}
		last = t.Offset
		f.fates.add(t)
	}
	return nil
}
