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

const experimentsDir = "../../../deploy/experiments"

func parsePlan(t *testing.T, text string) *experiment.Plan {
	t.Helper()
	p, err := experiment.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func readSmall(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// The simulation is deterministic: the same file gives the same report.
func TestReport(t *testing.T) {
	is := is.New(t)
	rep := parsePlan(t, readSmall(t)).Run()
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
	is.NoErr(parsePlan(t, readSmall(t)).Run().Plot(dir))
	for _, name := range []string{"on-time.svg", "first-short.svg", "first-long.svg"} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(bytes.Contains(b, []byte("<svg")))
	}
	err := parsePlan(t, readSmall(t)).Run().Plot(filepath.Join(dir, "missing"))
	is.True(fault.Is(err, experiment.KindPlot))
}

// Read rejects invalid files, and the error names the field.
func TestInvalidFiles(t *testing.T) {
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
		text := strings.Replace(readSmall(t), c.old, c.with, 1)
		if text == readSmall(t) {
			t.Fatalf("%q is not in the description", c.old)
		}
		_, err := experiment.Read(strings.NewReader(text))
		if !fault.Is(err, experiment.KindFile) || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: %v", c.with, err)
		}
	}
}

// The planned policy achieves more worth than each other policy on the experiments in
// deploy, which model days of the users with and without faults: in total and for the
// worst kind.
func TestPlannedPolicyAchievesMostWorth(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(experimentsDir, "*.yaml"))
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
				if planned := rep.Policies[0]; planned.Worth <= other.Worth || planned.WorstKind <= other.WorstKind {
					t.Errorf("worth %.3f, of the worst kind %.3f; %s has %.3f and %.3f", planned.Worth, planned.WorstKind, other.Policy, other.Worth, other.WorstKind)
				}
			}
		})
	}
}
