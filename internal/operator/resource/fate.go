package resource

import (
	"errors"
	"slices"
)

// FateWindow is the number of offsets for which the fates of changes are retained.
// A change whose base is older is rejected: its fate may have been pruned, and a
// voided change must not take effect later.
const FateWindow = 32768

// Result is the final result of a change.
type Result string

// The results of a change.
const (
	ResultAccepted Result = "accepted"
	ResultConflict Result = "conflict"
	ResultInUse    Result = "in_use"
	ResultInvalid  Result = "invalid"
	ResultVoided   Result = "voided"  // an earlier void cancelled it
	ResultExpired  Result = "expired" // its base was older than FateWindow
)

// Fate records the result of a change. It is the same at every entry.
type Fate struct {
	ID          string `json:"id"`
	Offset      uint64 `json:"offset"` // of the record that decided the result
	Result      Result `json:"result"`
	Fingerprint uint64 `json:"fingerprint,omitempty"` // 0 if only a void of the change was seen
}

// Accepted reports whether the change took effect.
func (f Fate) Accepted() bool { return f.Result == ResultAccepted }

// fates holds the fates of the last FateWindow offsets.
type fates struct {
	byID  map[string]Fate
	order []string // ids by offset, oldest first
}

func newFates() *fates { return &fates{byID: map[string]Fate{}} }

func (f *fates) add(fate Fate) {
	f.byID[fate.ID] = fate
	f.order = append(f.order, fate.ID)
}

// prune removes the fates that are older than FateWindow at the offset.
func (f *fates) prune(offset uint64) {
	n := 0
	for n < len(f.order) && f.byID[f.order[n]].Offset+FateWindow < offset {
		delete(f.byID, f.order[n])
		n++
	}
	if n > 0 {
		f.order = f.order[n:]
	}
	if cap(f.order) > 2*len(f.order)+FateWindow {
		f.order = slices.Clone(f.order)
	}
}

// list returns the fates in offset order.
func (f *fates) list() []Fate {
	out := make([]Fate, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.byID[id])
	}
	return out
}

// Err returns the error for the result, or nil if the change was accepted.
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

// OutcomeOf returns the outcome of a change whose fate is known. Its Current is 0.
func OutcomeOf(f Fate, c Change) Outcome { return Outcome{offset: f.Offset, change: c, err: f.Err()} }
