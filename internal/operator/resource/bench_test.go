package resource_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// The configuration size that the system is designed for, and its changes per day.
const (
	targetWorkspaces    = 1900
	targetUpstreams     = 3900
	targetModels        = 5
	targetRules         = 200
	targetChangesPerDay = 21000
)

// targetChanges returns the changes that create the objects of the target configuration.
func targetChanges() []resource.Change {
	var out []resource.Change
	add := func(t resource.Type, name, spec string) {
		out = append(out, put(fmt.Sprintf("0190a1b2-c3d4-7000-8000-%012d", len(out)), t, name, 0, spec))
	}
	for i := range targetModels {
		add(resource.TypeDeployment, fmt.Sprint("model-", i), fmt.Sprintf(`{"model":"m%d","contextTokens":1000000}`, i))
	}
	for i := range targetWorkspaces {
		add(resource.TypeWorkspace, fmt.Sprint("workspace-", i), fmt.Sprintf(
			`{"weight":1,"patience":60,"keys":[%q,%q],"limits":{"requestsPerSecond":50}}`,
			resource.HashKey(fmt.Sprint("a", i)), resource.HashKey(fmt.Sprint("b", i)),
		))
	}
	for i := range targetUpstreams {
		add(resource.TypeUpstream, fmt.Sprint("engine-", i), fmt.Sprintf(
			`{"address":"10.0.%d.%d:8000","failureDomain":"d%d","deployments":["model-%d"],"memoryTokens":480000,"prefillRate":25000}`,
			i/250, i%250, i%14, i%targetModels,
		))
	}
	for i := range targetRules {
		add(resource.TypeRule, fmt.Sprint("rule-", i), fmt.Sprintf(`{"workspace":"workspace-%d","priority":1}`, i))
	}
	return out
}

// changeAt returns the nth change to an upstream or a workspace of the target
// configuration.
func changeAt(f *resource.Fold, v *resource.View, n int, t resource.Type) resource.Change {
	name, spec := fmt.Sprint("workspace-", n%targetWorkspaces), fmt.Sprintf(
		`{"weight":%d,"patience":60,"keys":[%q],"limits":{}}`, 1+n%900, resource.HashKey(fmt.Sprint("a", n%targetWorkspaces)),
	)
	if t == resource.TypeUpstream {
		name, spec = fmt.Sprint("engine-", n%targetUpstreams), fmt.Sprintf(
			`{"address":"10.1.0.1:%d","failureDomain":"d1","deployments":["model-1"]}`, 1+n%60000,
		)
	}
	o, _ := v.Object(t, name)
	c := put(fmt.Sprintf("0190ffff-c3d4-7000-8000-%012d", n), t, name, o.Metadata.Version, spec)
	c.Base = f.Offset()
	return c
}

func newTargetFold(b *testing.B) *resource.Fold {
	b.Helper()
	f := resource.NewFold()
	for i, c := range targetChanges() {
		if out, _ := f.Apply(uint64(i+1), c); out.Err() != nil {
			b.Fatal(out.Err())
		}
	}
	return f
}

// BenchmarkFold applies one change to the target configuration.
func BenchmarkFold(b *testing.B) {
	f := newTargetFold(b)
	v := f.View()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c := changeAt(f, v, n, resource.TypeUpstream)
		c.Replaces, _ = f.Current(c.Kind, c.Name)
		n++
		if out, _ := f.Apply(f.Offset()+1, c); out.Err() != nil {
			b.Fatal(out.Err())
		}
	}
}

// BenchmarkView builds the view after one change to an object of the kind.
func BenchmarkView(b *testing.B) {
	for _, t := range []resource.Type{resource.TypeWorkspace, resource.TypeUpstream, resource.TypeRule} {
		b.Run(string(t), func(b *testing.B) {
			f := newTargetFold(b)
			v := f.View()
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				c := changeAt(f, v, n, t)
				if t == resource.TypeRule {
					o, _ := v.Object(t, "rule-1")
					c = put(fmt.Sprint("r", n), t, "rule-1", o.Metadata.Version, fmt.Sprintf(`{"priority":%d}`, n%10))
					c.Base = f.Offset()
				}
				if out, _ := f.Apply(f.Offset()+1, c); out.Err() != nil {
					b.Fatal(out.Err())
				}
				v = f.View()
			}
		})
	}
}

// BenchmarkStart builds the state of a new entry, once by replaying a log of the
// target configuration and a number of changes, and once from a snapshot of both.
func BenchmarkStart(b *testing.B) {
	for _, length := range []int{0, targetChangesPerDay, 7 * targetChangesPerDay} {
		f := newTargetFold(b)
		records := encode(b, targetChanges())
		v := f.View()
		for n := range length {
			c := changeAt(f, v, n, resource.TypeUpstream)
			c.Replaces, _ = f.Current(c.Kind, c.Name)
			if out, _ := f.Apply(f.Offset()+1, c); out.Err() != nil {
				b.Fatal(out.Err())
			}
			records = append(records, encode(b, []resource.Change{c})...)
		}
		state, err := f.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("records=%d/log", len(records)), func(b *testing.B) {
			for b.Loop() {
				replay(resource.NewFold(), records).View()
			}
		})
		b.Run(fmt.Sprintf("records=%d/snapshot", len(records)), func(b *testing.B) {
			b.ReportMetric(float64(len(state)), "snapshot_bytes")
			for b.Loop() {
				restored, err := resource.RestoreFold(state)
				if err != nil {
					b.Fatal(err)
				}
				restored.View()
			}
		})
	}
}

// BenchmarkSnapshot encodes the state of the target configuration.
func BenchmarkSnapshot(b *testing.B) {
	f := newTargetFold(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the heap size of the target configuration's fold and view.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		f := newTargetFold(b)
		v := f.View()
		size := heap() - before
		b.ReportMetric(float64(size), "held_bytes")
		runtime.KeepAlive(v)
		runtime.KeepAlive(f)
	}
}

func encode(b *testing.B, changes []resource.Change) [][]byte {
	out := make([][]byte, 0, len(changes))
	for _, c := range changes {
		rec, err := resource.EncodeChange(c)
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, rec)
	}
	return out
}

func replay(f *resource.Fold, records [][]byte) *resource.Fold {
	for i, rec := range records {
		applyRecord(f, uint64(i+1), rec)
	}
	return f
}
