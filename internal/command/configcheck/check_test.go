package configcheck_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/golden"
	"github.com/dogwoodmill/dogwoodmill/internal/command/configcheck"
)

// sound has no findings. Each case of TestFindings replaces a part of it.
const sound = `{"version":2,
"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"target_gap_ms":200,"max_attempts":2,"resume_streams":true,"home_regions":["east"],"traffic_split":[{"service":"x","weight":1}]},
{"name":"s","host":"h.example","path_prefix":"/b/","kind":"non_idempotent","max_attempts":1,"service":"y"}],
"services":[{"name":"x","engine":{"slots":16,"kv_cache_tokens":450000,"step_ms":0.9,"read_per_s":256000,"chunk":512},"cold_start_s":20,"cold_per_s":3},{"name":"y"}],
"tenants":[{"name":"t","api_keys":["secret-1"],"home_regions":["east","west"]},{"name":"u","api_keys":["secret-2"]}],
"limits":{"max_body_bytes":9,"max_header_bytes":9,"header_timeout_ms":10,"idle_timeout_ms":20}}`

// A fault that the check passes over would take effect at all entries at once.
func TestFindings(t *testing.T) {
	is.New(t).Equal(len(configcheck.Check([]byte(sound)).Findings()), 0)
	for _, tt := range []struct {
		old, with string
		kind      configcheck.Kind
		path      string
	}{
		{`{"version":2,`, `{"version":2,,`, configcheck.Invalid, ""},
		{`"limits":{"max_body_bytes":9`, `"limits":{"max_body_bytes":9.5`, configcheck.Invalid, "limits.max_body_bytes"},
		{`["secret-1"]`, `[17]`, configcheck.Invalid, "tenants[0].api_keys[0]"},
		{`"name":"s"`, `"name":"r"`, configcheck.Invalid, "routes[1].name"},
		{`"name":"u",`, ``, configcheck.Invalid, "tenants[1].name"},
		{`"name":"s","host":"h.example"`, `"name":"s"`, configcheck.Invalid, "routes[1].host"},
		{`"name":"s","host":"h.example"`, `"name":"s","host":"h.example:80"`, configcheck.NeverMatches, "routes[1].host"},
		{`"resume_streams":true,`, ``, configcheck.Contradiction, "routes[0].max_attempts"},
		{`"/b/"`, `"/b"`, configcheck.NeverMatches, "routes[1].path_prefix"},
		{`"/b/"`, `"/a/"`, configcheck.NeverMatches, "routes[0].path_prefix"},
		{`"weight":1`, `"weight":0`, configcheck.NoUpstreams, "routes[0].traffic_split[0].weight"},
		{`"service":"y"`, `"service":"z"`, configcheck.NoService, "routes[1].service"},
		{`{"name":"y"}`, `{"name":"y"},{"name":"z"}`, configcheck.NeverMatches, "services[2].name"},
		{`"non_idempotent"`, `"new"`, configcheck.Invalid, "routes[1].kind"},
		{`"timeout_ms":9000`, `"timeout_ms":250`, configcheck.Contradiction, "routes[0].timeout_ms"},
		{`"target_gap_ms":200`, `"target_gap_ms":9001`, configcheck.Contradiction, "routes[0].target_gap_ms"},
		{`"max_attempts":1`, `"max_attempts":2`, configcheck.Contradiction, "routes[1].max_attempts"},
		{`"max_header_bytes":9`, `"max_header_bytes":-1`, configcheck.Invalid, "limits.max_header_bytes"},
		{`"timeout_ms":9000`, `"timeout_ms":-1`, configcheck.Invalid, "routes[0].timeout_ms"},
		{`"idle_timeout_ms":20`, `"idle_timeout_ms":9`, configcheck.Contradiction, "limits.idle_timeout_ms"},
		{`"slots":16`, `"slots":0`, configcheck.Invalid, "services[0].engine.slots"},
		{`"chunk":512`, `"chunk":512,"hop_ms":-1`, configcheck.Invalid, "services[0].engine.hop_ms"},
		{`"cold_per_s":3`, `"cold_per_s":0`, configcheck.Contradiction, "services[0].cold_per_s"},
		{`["east","west"]`, `["east",""]`, configcheck.Invalid, "tenants[0].home_regions[1]"},
		{`["east"]`, `["north"]`, configcheck.Contradiction, "routes[0].home_regions"},
		{`"secret-2"`, `"secret-1"`, configcheck.Contradiction, "tenants[1].api_keys[0]"},
	} {
		t.Run(tt.with, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(sound, tt.old), 1)
			r := configcheck.Check([]byte(strings.Replace(sound, tt.old, tt.with, 1)))
			is.True(!r.Clean())
			f := r.Findings()[0]
			is.Equal(fmt.Sprint(f.Kind, " ", f.Path), fmt.Sprint(tt.kind, " ", tt.path))
			is.True(f.Line > 0 && f.Column > 0)
		})
	}
}

// The outputs are read by programs, and must hold no API key.
func TestOutput(t *testing.T) {
	inForce := []byte(sound)
	for _, name := range []string{"faults", "syntax", "types", "changes", "clean"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile("testdata/" + name + ".json")
			is.NoErr(err)
			r := configcheck.Check(b)
			if name == "changes" {
				is.True(r.Compare(inForce))
				is.True(r.Clean()) // differences alone are no findings for the exit code
			}
			var text, out bytes.Buffer
			is.NoErr(r.Text(&text))
			is.NoErr(r.JSON(&out))
			is.True(!strings.Contains(text.String()+out.String(), "secret"))
			golden.Equal(t, name+".txt", text.Bytes())
			golden.Equal(t, name+".out.json", out.Bytes())
		})
	}
}

// An entry keeps its configuration if the next one has no higher version.
func TestVersionMustBeHigher(t *testing.T) {
	is := is.New(t)
	r := configcheck.Check([]byte(sound))
	is.True(r.Compare([]byte(sound)))
	is.True(!r.Clean())
	is.Equal(r.Findings()[0].Path, "version")
	is.True(!r.Compare([]byte("{")))
}

// A malformed file must not end the command with a panic.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(`{"tenants":null,"routes":[null,{"traffic_split":[{}]}]} `))
	f.Fuzz(func(_ *testing.T, b []byte) {
		r := configcheck.Check(b)
		r.Compare([]byte(sound))
		_ = r.Text(&bytes.Buffer{})
	})
}
