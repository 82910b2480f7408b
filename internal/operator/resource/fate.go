package resource

import (
	"errors"
	"slices"
)

// Window is the number of offsets for which the fates of changes are kept. A
// change whose base is further back is rejected, so that one that was voided
// and forgotten can't take effect later.
const Window = 32768

// Result is what became of a change.
type Result string

// The results of a change.
const (
	ResultAccepted Result = "accepted"
	ResultConflict Result = "conflict"
	ResultInUse    Result = "in_use"
	ResultInvalid  Result = "invalid"
	ResultVoided   Result = "voided"  // by a void that came first
	ResultExpired  Result = "expired" // it reached the log too late
)

// Fate is what became of a change, the same at every entry.
type Fate struct {
	ID          string `json:"id"`
	Offset      uint64 `json:"offset"` // of the record that decided it
	Result      Result `json:"result"`
	Fingerprint uint64 `json:"fingerprint,omitempty"` // 0 where only a void is known
}

// Accepted reports whether the change took effect.
func (f Fate) Accepted() bool { return f.Result == ResultAccepted }

// fates are the fates of the last Window offsets.
type fates struct {
	byID  map[string]Fate
	order []string // ids by offset, oldest first
}

func newFates() *fates { return &fates{byID: map[string]Fate{}} }

func (f *fates) add(t Fate) {
	f.byID[t.ID] = t
	f.order = append(f.order, t.ID)
}

// prune forgets what is further back than the window.
func (f *fates) prune(offset uint64) {
	n := 0
	for n < len(f.order) && f.byID[f.order[n]].Offset+Window < offset {
		delete(f.byID, f.order[n])
		n++
	}
	if n > 0 {
		f.order = f.order[n:]
	}
	if cap(f.order) > 2*len(f.order)+Window {
		f.order = slices.Clone(f.order)
	}
}

// list returns the fates by offset.
func (f *fates) list() []Fate {
	out := make([]Fate, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.byID[id])
	}
	return out
}

// Err returns the error that the result stands for; nil where it was accepted.
func (f Fate) Err() error {
	kind := KindConflict
	switch f.Result {
	case ResultAccepted:
		return nil
	case ResultInUse:
		kind = KindInUse
	case ResultInvalid:
		kind = KindInvalid
	case ResultVoided, ResultExpired:
		kind = KindVoided
	}
	return fail("apply", kind, errors.New(string(f.Result)))
}

// Decided returns the outcome of a change whose fate is known.
func Decided(f Fate, c Change) Outcome { return Outcome{offset: f.Offset, change: c, err: f.Err()} }
