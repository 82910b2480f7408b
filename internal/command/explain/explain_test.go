package explain_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/golden"
	"github.com/dogwoodmill/dogwoodmill/internal/command/explain"
)

// The lines of testdata/day.log were logged by entries on two high-load days of the
// users' bench.
var traces = map[string]struct {
	id   string
	want explain.Outcome
}{
	"refused_long_prompt": {"059c301d45a64a69", explain.Refused},
	"cut_stream":          {"0755c9ae45e494b9", explain.Failed},
	"unknown_order":       {"f451e5e24687c591", explain.Failed},
	"lost_entry":          {"01266aae0ef32cce", explain.Lost},
	"waited":              {"07347f802dc20d92", explain.Late},
	"server_failed":       {"091db563a94caa6a", explain.Failed},
	"silent_engine":       {"21a87b68bc0c0610", explain.Abandoned},
	"caller_left":         {"408fb284c6046f11", explain.Abandoned},
}

func readDay(t *testing.T) *explain.Logs {
	t.Helper()
	f, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	logs, err := explain.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return logs
}

func TestTraces(t *testing.T) {
	logs := readDay(t)
	is.New(t).Equal(logs.Skipped(), 1)
	for name, tt := range traces {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trace := logs.Trace(tt.id)
			outcome, cause := trace.Outcome()
			is.Equal(outcome, tt.want)
			is.True(cause != "")
			var b bytes.Buffer
			is.NoErr(trace.Write(&b))
			golden.Equal(t, name+".txt", b.Bytes())
		})
	}
}

func TestSummary(t *testing.T) {
	is := is.New(t)
	logs := readDay(t)
	s := logs.Summarize(append(logs.IDs(), "not-there"))
	is.True(s.Explained() > 0.88 && s.Explained() < 0.9) // 8 of 9
	var b bytes.Buffer
	is.NoErr(s.Write(&b))
	golden.Equal(t, "summary.txt", b.Bytes())
}

// A request without a logged end is in progress while its entry goes on logging, and lost
// if the entry restarted or went silent.
func TestWithoutAnEnd(t *testing.T) {
	line := func(at, vm, msg, id string) string {
		return fmt.Sprintf(`{"time":"2026-12-04T05:00:%sZ","level":"info","msg":%q,"vm":%q,"id":%q}`+"\n", at, msg, vm, id)
	}
	for name, tt := range map[string]struct {
		lines string
		want  explain.Outcome
	}{
		"in progress":   {line("01.000", "a", "Sent.", "x") + line("02.000", "a", "Sent.", "y"), explain.InProgress},
		"no more lines": {line("01.000", "a", "Sent.", "x") + line("02.000", "b", "Sent.", "y"), explain.Lost},
		"gone for good": {line("01.000", "a", "Sent.", "x") + line("02.000", "a", "Sent.", "y") + line("30.000", "b", "Sent.", "z"), explain.Lost},
		"restarted":     {line("01.000", "a", "Sent.", "x") + line("02.000", "a", "Started.", ""), explain.Lost},
		"out of order":  {line("02.000", "a", "Answered.", "x") + line("01.000", "a", "Sent.", "x"), explain.OnTime},
		"none":          {line("01.000", "a", "Sent.", "y"), explain.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			logs, err := explain.Read(strings.NewReader(tt.lines))
			is.NoErr(err)
			outcome, _ := logs.Trace("x").Outcome()
			is.Equal(outcome, tt.want)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`  1.2 vm {"time":"2026-12-04T05:00:01Z","msg":"Stream over.","id":"x","whole":true,"late":true}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		logs, err := explain.Read(bytes.NewReader(b))
		if err != nil {
			return // a line exceeds the length limit
		}
		for _, id := range logs.IDs() {
			if logs.Trace(id).Verdict() == "" {
				t.Error("no verdict")
			}
		}
	})
}
