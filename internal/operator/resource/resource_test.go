package resource_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

func put(id string, t resource.Type, name string, replaces uint64, spec string) resource.Change {
	return resource.Change{ID: id, Op: resource.OpPut, Kind: t, Name: name, Replaces: replaces, Spec: json.RawMessage(spec)}
}

const deployment = `{"model":"m","contextTokens":1000}`

func TestFoldAcceptsOneOfTwoRacingChanges(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	out, ok := f.Apply(1, put("a", resource.TypeDeployment, "d", 0, deployment))
	is.True(ok)
	is.NoErr(out.Err())
	is.Equal(out.Current(), uint64(1))

	first, _ := f.Apply(2, put("b", resource.TypeDeployment, "d", 1, `{"model":"m","contextTokens":1001}`))
	second, _ := f.Apply(3, put("c", resource.TypeDeployment, "d", 1, `{"model":"m","contextTokens":1002}`))
	is.NoErr(first.Err())
	is.True(fault.Is(second.Err(), resource.KindConflict))
	is.Equal(second.Current(), uint64(2))
}

func TestEqualSpecIsAcceptedAndKeepsTheVersion(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	_, _ = f.Apply(1, put("a", resource.TypeDeployment, "d", 0, deployment))
	for offset, replaces := range map[uint64]uint64{2: 0, 3: 1} {
		out, _ := f.Apply(offset, put(fmt.Sprint(offset), resource.TypeDeployment, "d", replaces, ` {"model": "m", "contextTokens": 1000} `))
		if offset == f.Offset() {
			is.NoErr(out.Err())
		}
		is.Equal(f.View().Deployment("d").Version(), uint64(1))
	}
	out, _ := f.Apply(9, put("other", resource.TypeDeployment, "d", 7, deployment))
	is.True(fault.Is(out.Err(), resource.KindConflict)) // a wrong version conflicts even with an equal spec
}

func TestKeyBelongsToOneWorkspace(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	spec := fmt.Sprintf(`{"keys":[%q]}`, resource.HashKey("k"))
	_, _ = f.Apply(1, put("a", resource.TypeWorkspace, "guild", 0, spec))
	out, _ := f.Apply(2, put("b", resource.TypeWorkspace, "loomwire", 0, `{"keys":["sha256:`+resource.HashKey("k")+`"]}`))
	var v *resource.Violation
	is.True(errors.As(out.Err(), &v))
	is.Equal(v.Field, "spec.keys[0]")
	_, _ = f.Apply(3, resource.Change{ID: "c", Op: resource.OpDelete, Kind: resource.TypeWorkspace, Name: "guild", Replaces: 1})
	out, _ = f.Apply(4, put("d", resource.TypeWorkspace, "loomwire", 0, spec))
	is.NoErr(out.Err())
	is.Equal(f.View().WorkspaceOf("k").Name(), "loomwire")
}

func TestChangeBeforeFateWindowIsRejected(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	_, _ = f.Apply(1, resource.Change{ID: "v", Op: resource.OpVoid, Voids: "late"})
	f.Skip(resource.FateWindow + 10)
	_, ok := f.Fate("late")
	is.True(!ok) // the fate is pruned
	out, _ := f.Apply(resource.FateWindow+11, put("late", resource.TypeDeployment, "d", 0, deployment))
	is.True(out.Err() != nil) // the change is still rejected
	is.True(f.View().Deployment("d") == nil)
	c := put("new", resource.TypeDeployment, "d", 0, deployment)
	c.Base = resource.FateWindow
	out, _ = f.Apply(resource.FateWindow+12, c)
	is.NoErr(out.Err())
}

func TestFoldIgnoresAppliedOffsets(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	_, ok := f.Apply(5, put("a", resource.TypeDeployment, "d", 0, deployment))
	is.True(ok)
	_, ok = f.Apply(4, resource.Change{ID: "x", Op: resource.OpDelete, Kind: resource.TypeDeployment, Name: "d", Replaces: 5})
	is.True(!ok)
	is.True(f.View().Deployment("d") != nil)
}

func TestFirstOfVoidAndChangeWins(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	_, _ = f.Apply(1, resource.Change{ID: "v", Op: resource.OpVoid, Voids: "late"})
	out, _ := f.Apply(2, put("late", resource.TypeDeployment, "d", 0, deployment))
	is.True(out.Err() != nil)

	_, _ = f.Apply(3, put("early", resource.TypeDeployment, "d", 0, deployment))
	out, _ = f.Apply(4, resource.Change{ID: "w", Op: resource.OpVoid, Voids: "early"})
	is.True(fault.Is(out.Err(), resource.KindConflict))
	is.True(f.View().Deployment("d") != nil)
}

func TestReferencesAreChecked(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	upstream := `{"address":"127.0.0.1:1","failureDomain":"a","deployments":["d"]}`
	out, _ := f.Apply(1, put("a", resource.TypeUpstream, "u", 0, upstream))
	is.True(fault.Is(out.Err(), resource.KindInvalid))
	_, _ = f.Apply(2, put("b", resource.TypeDeployment, "d", 0, deployment))
	out, _ = f.Apply(3, put("c", resource.TypeUpstream, "u", 0, upstream))
	is.NoErr(out.Err())
	out, _ = f.Apply(4, resource.Change{ID: "e", Op: resource.OpDelete, Kind: resource.TypeDeployment, Name: "d", Replaces: 2})
	is.True(fault.Is(out.Err(), resource.KindInUse))
	is.Equal(len(f.View().Deployment("d").Engines()), 1)
}

func TestViolationsNameTheField(t *testing.T) {
	for _, tt := range []struct {
		kind  resource.Type
		spec  string
		field string
	}{
		{resource.TypeDeployment, `{"model":"m","contextTokens":0}`, "spec.contextTokens"},
		{resource.TypeDeployment, `{"model":"m","contextTokens":"x"}`, "spec.contextTokens"},
		{resource.TypeDeployment, `{"model":"m","contextTokens":1,"colour":1}`, "spec.colour"},
		{resource.TypeDeployment, ``, "spec"},
		{resource.TypeDeployment, `{"model":"m","contextTokens":1}}`, "spec"},
		{resource.TypeDeployment, `{"model":"m","contextTokens":1} {}`, "spec"},
		{resource.TypeWorkspace, `{"keys":["secret"]}`, "spec.keys[0]"},
		{resource.TypeWorkspace, `{"patience":-1}`, "spec.patience"},
		{resource.TypeRule, `{"priority":99}`, "spec.priority"},
		{resource.TypeService, `{"routes":[{"path":"orders"}]}`, "spec.routes[0].path"},
		{resource.TypeUpstream, `{"address":"nowhere","failureDomain":"a","service":"s"}`, "spec.address"},
		{resource.TypeVersion, `{"deployment":"","bytes":1}`, "spec.deployment"},
	} {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			_, err := resource.DecodeSpec(tt.kind, json.RawMessage(tt.spec))
			var v *resource.Violation
			is.True(errors.As(err, &v))
			is.Equal(v.Field, tt.field)
		})
	}
}

func TestServiceRoutes(t *testing.T) {
	is := is.New(t)
	s := resource.ServiceSpec{Routes: []resource.Route{{Method: "POST", Path: "/search", Repeatable: true}}}
	is.True(s.Repeatable("POST", "/search/all"))
	is.True(!s.Repeatable("POST", "/orders"))
	is.True(s.Repeatable("GET", "/orders"))
}

func ExampleSeconds() {
	var a, b resource.Seconds
	_ = json.Unmarshal([]byte(`90`), &a)
	_ = json.Unmarshal([]byte(`"1m30s"`), &b)
	out, _ := json.Marshal(b)
	fmt.Println(a.Duration() == 90*time.Second, a == b, string(out))
	// Output: true true 90
}

func TestWorkspaceOfKey(t *testing.T) {
	is := is.New(t)
	f := resource.NewFold()
	out, _ := f.Apply(1, put("a", resource.TypeWorkspace, "guild", 0, fmt.Sprintf(`{"keys":[%q]}`, resource.HashKey("k"))))
	is.NoErr(out.Err())
	is.Equal(f.View().WorkspaceOf("k").Name(), "guild")
	is.True(f.View().WorkspaceOf("other") == nil)
}
