package experiment_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/golden"
	"github.com/dogwoodmill/dogwoodmill/internal/command/experiment"
)

const plans = "../../../deploy/experiments"

func read(t *testing.T, text string) *experiment.Plan {
	t.Helper()
	p, err := experiment.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func small(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// The same description gives the same report.
func TestReport(t *testing.T) {
	is := is.New(t)
	rep := read(t, small(t)).Run()
	var text, js bytes.Buffer
	is.NoErr(rep.Text(&text))
	golden.Equal(t, "small.txt", text.Bytes())
	is.NoErr(rep.JSON(&js))
	var back experiment.Report
	is.NoErr(json.Unmarshal(js.Bytes(), &back))
	is.Equal(len(back.Policies), 4)
	is.Equal(back.Policies[0].Kinds[0].Kind, "short")
}

func TestPlots(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(read(t, small(t)).Run().Plot(dir))
	for _, name := range []string{"on-time.svg", "first-short.svg", "first-long.svg"} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(bytes.Contains(b, []byte("<svg")))
	}
	err := read(t, small(t)).Run().Plot(filepath.Join(dir, "missing"))
	is.True(fault.Is(err, experiment.KindPlot))
}

// A description that can't be played is refused, and the error names the field.
func TestBadDescriptions(t *testing.T) {
	for _, c := range []struct{ old, with, field string }{
		{"days: 1", "days: 0", "days"},
		{"days: 1", "dais: 1", "dais"},
		{"slots: 8", "slots: 0", "engines.slots"},
		{"stride: 40", "stride: -1", "engines.stride"},
		{"memoryTokens: 100000", "memoryTokens: 0", "engines.memoryTokens"},
		{"name: long", "name: short", "kinds[1].name"},
		{"target: 2s", "target: 0s", "kinds[1]"},
		{"late: 2", "late: 20", "kinds[1]"},
		{"for: 2s", "for: 0s", "load[0].for"},
		{"short: 20", "shirt: 20", "shirt"},
		{"kind: crash", "kind: flood", "flood"},
		{"count: 2, kind: crash", "count: 7, kind: crash", "faults[0]"},
		{"policies: []", "policies: [best]", "best"},
	} {
		text := strings.Replace(small(t), c.old, c.with, 1)
		if text == small(t) {
			t.Fatalf("%q is not in the description", c.old)
		}
		_, err := experiment.Read(strings.NewReader(text))
		if !fault.Is(err, experiment.KindFile) || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: %v", c.with, err)
		}
	}
}

// On the users' days the planner earns more than each other policy, in all and of the
// kind that is served worst, also beside faults.
func TestPlannerLeadsOnTheUsersDays(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(plans, "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no descriptions: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, err := os.Open(file)
			is.NoErr(err)
			defer func() { is.NoErr(f.Close()) }()
			p, err := experiment.Read(f)
			is.NoErr(err)
			is.NoErr(p.Override(nil, 1))
			rep := p.Run()
			is.Equal(rep.Policies[0].Policy, "planned")
			for _, other := range rep.Policies[1:] {
				if ours := rep.Policies[0]; ours.Worth <= other.Worth || ours.WorstKind <= other.WorstKind {
					t.Errorf("worth %.3f, of the worst kind %.3f; %s has %.3f and %.3f", ours.Worth, ours.WorstKind, other.Policy, other.Worth, other.WorstKind)
				}
			}
		})
	}
}
