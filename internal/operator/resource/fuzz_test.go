package resource_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// FuzzRecord applies arbitrary records. The fold must not panic, its snapshot must
// be restorable, and the restored fold must apply the next record identically.
func FuzzRecord(f *testing.F) {
	for _, c := range []resource.Change{
		put("a", resource.TypeDeployment, "d", 0, deployment),
		put("b", resource.TypeWorkspace, "w", 0, `{"keys":[],"deployments":["d"]}`),
		{ID: "c", Op: resource.OpDelete, Kind: resource.TypeDeployment, Name: "d", Replaces: 1},
		{ID: "v", Op: resource.OpVoid, Voids: "b"},
	} {
		b, err := resource.EncodeChange(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		fold := resource.NewFold()
		_, _ = fold.Apply(1, put("base", resource.TypeDeployment, "d", 0, deployment))
		applyRecord(fold, 2, first)
		state, err := fold.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := resource.RestoreFold(state)
		if err != nil {
			t.Fatalf("snapshot of a fold can't be restored: %v", err)
		}
		applyRecord(fold, 3, second)
		applyRecord(restored, 3, second)
		a, errA := fold.Snapshot()
		b, errB := restored.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatal("restored fold differs from the original")
		}
	})
}

func applyRecord(f *resource.Fold, offset uint64, rec []byte) {
	c, err := resource.DecodeChange(rec)
	if err != nil {
		f.Skip(offset)
		return
	}
	_, _ = f.Apply(offset, c)
}

// FuzzSnapshot restores arbitrary bytes. The snapshot of an accepted state must be
// restorable again.
func FuzzSnapshot(f *testing.F) {
	fold := resource.NewFold()
	_, _ = fold.Apply(1, put("a", resource.TypeDeployment, "d", 0, deployment))
	state, err := fold.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(state)
	f.Add(state[:len(state)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		fold, err := resource.RestoreFold(b)
		if err != nil {
			return
		}
		state, err := fold.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := resource.RestoreFold(state); err != nil {
			t.Fatal(err)
		}
		_ = fold.View()
	})
}

// FuzzSpec decodes arbitrary specs of each kind. A spec that is accepted must also
// be accepted after encoding for the log.
func FuzzSpec(f *testing.F) {
	f.Add(0, []byte(deployment))
	f.Add(3, []byte(`{"patience":"1m30s","weight":2}`))
	f.Fuzz(func(t *testing.T, kind int, raw []byte) {
		types := resource.Types()
		k := types[((kind%len(types))+len(types))%len(types)]
		if _, err := resource.DecodeSpec(k, raw); err != nil {
			return
		}
		again, err := json.Marshal(json.RawMessage(raw))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := resource.DecodeSpec(k, again); err != nil {
			t.Fatalf("accepted spec is rejected after encoding: %v", err)
		}
	})
}
