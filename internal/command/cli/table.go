package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// column is a table column: its heading and the function that formats its cells.
type column struct {
	header string
	cell   func(spec resource.Spec) string
}

// columnOf returns a column for specs of type S. Its cells are "?" for other specs.
func columnOf[S resource.Spec](header string, cell func(S) string) column {
	return column{header, func(spec resource.Spec) string {
		s, ok := spec.(S)
		if !ok {
			return "?"
		}
		return orDash(cell(s))
	}}
}

// orDash returns s, or "-" for an empty or zero value.
func orDash(s string) string {
	if s == "" || s == "0" || s == "0s" || s == "false" {
		return "-"
	}
	return s
}

func formatNumber[N int | int64 | float64](n N) string { return fmt.Sprint(n) }

// columns lists the columns of each kind between the name and the version.
var columns = map[resource.Type][]column{
	resource.TypeWorkspace: {
		columnOf("WEIGHT", func(s *resource.WorkspaceSpec) string { return formatNumber(s.Weight) }),
		columnOf("PATIENCE", func(s *resource.WorkspaceSpec) string { return s.Patience.Duration().String() }),
		columnOf("KEYS", func(s *resource.WorkspaceSpec) string { return formatNumber(len(s.Keys)) }),
		columnOf("REQUESTS/S", func(s *resource.WorkspaceSpec) string { return formatNumber(s.Limits.RequestsPerSecond) }),
		columnOf("TOKENS/S", func(s *resource.WorkspaceSpec) string { return formatNumber(s.Limits.TokensPerSecond) }),
		columnOf("DEPLOYMENTS", func(s *resource.WorkspaceSpec) string { return namesOrAll(s.Deployments) }),
	},
	resource.TypeDeployment: {
		columnOf("MODEL", func(s *resource.DeploymentSpec) string { return s.Model }),
		columnOf("WANTED", func(s *resource.DeploymentSpec) string { return s.Version }),
		columnOf("CONTEXT", func(s *resource.DeploymentSpec) string { return formatNumber(s.ContextTokens) }),
		columnOf("MAX OUTPUT", func(s *resource.DeploymentSpec) string { return formatNumber(s.MaxOutputTokens) }),
	},
	resource.TypeVersion: {
		columnOf("DEPLOYMENT", func(s *resource.VersionSpec) string { return s.Deployment }),
		columnOf("WEIGHTS", func(s *resource.VersionSpec) string { return s.Weights }),
		columnOf("BYTES", func(s *resource.VersionSpec) string { return formatNumber(s.Bytes) }),
		columnOf("ADAPTERS", func(s *resource.VersionSpec) string { return strings.Join(s.Adapters, ",") }),
	},
	resource.TypeRule: {
		columnOf("WORKSPACE", func(s *resource.RuleSpec) string { return s.Workspace }),
		columnOf("DEPLOYMENT", func(s *resource.RuleSpec) string { return s.Deployment }),
		columnOf("PROMPT TOKENS", func(s *resource.RuleSpec) string { return formatRange(s.MinPromptTokens, s.MaxPromptTokens) }),
		columnOf("PRIORITY", func(s *resource.RuleSpec) string { return formatNumber(s.Priority) }),
		columnOf("REFUSE", func(s *resource.RuleSpec) string { return fmt.Sprint(s.Refuse) }),
		columnOf("MAX RUNNING", func(s *resource.RuleSpec) string { return formatNumber(s.MaxConcurrent) }),
		columnOf("MIN CAPACITY", func(s *resource.RuleSpec) string { return formatNumber(s.MinCapacity) }),
	},
	resource.TypeService: {
		columnOf("TIMEOUT", func(s *resource.ServiceSpec) string { return s.Timeout.Duration().String() }),
		columnOf("ROUTES", func(s *resource.ServiceSpec) string { return formatNumber(len(s.Routes)) }),
	},
	resource.TypeUpstream: {
		columnOf("ADDRESS", func(s *resource.UpstreamSpec) string { return s.Address }),
		columnOf("DOMAIN", func(s *resource.UpstreamSpec) string { return s.FailureDomain }),
		columnOf("SERVES", func(s *resource.UpstreamSpec) string { return strings.Join(append(s.Deployments, s.Service), ",") }),
		columnOf("MEMORY", func(s *resource.UpstreamSpec) string { return formatNumber(s.MemoryTokens) }),
		columnOf("FENCING", func(s *resource.UpstreamSpec) string { return fmt.Sprint(s.ChecksFencing) }),
	},
}

// namesOrAll joins names; an empty list means no restriction.
func namesOrAll(names []string) string {
	if len(names) == 0 {
		return "(all)"
	}
	return strings.Join(names, ",")
}

// formatRange formats a range of prompt lengths, in which 0 means no bound.
func formatRange(lower, upper int) string {
	switch {
	case upper > 0:
		return fmt.Sprintf("%d-%d", lower, upper)
	case lower > 0:
		return fmt.Sprintf("%d-", lower)
	default:
		return ""
	}
}

// printTable prints objects of a kind as a table.
func printTable(w io.Writer, kind resource.Type, items []resource.Object) error {
	tw := tabwriter.NewWriter(w, 0, 0, 3, ' ', 0)
	header := []string{"NAME"}
	for _, c := range columns[kind] {
		header = append(header, c.header)
	}
	_, _ = fmt.Fprintln(tw, strings.Join(append(header, "VERSION", "IN FORCE"), "\t")) // Flush returns the error
	for _, o := range items {
		row := []string{o.Metadata.Name}
		spec, err := resource.DecodeSpec(kind, o.Spec)
		for _, c := range columns[kind] {
			if err != nil {
				row = append(row, "?")
				continue
			}
			row = append(row, strings.TrimSuffix(c.cell(spec), ","))
		}
		force := "?"
		if o.Status != nil {
			force = fmt.Sprintf("%d/%d", o.Status.InForce.Seen, o.Status.InForce.Of)
		}
		_, _ = fmt.Fprintln(tw, strings.Join(append(row, fmt.Sprint(o.Metadata.Version), force), "\t"))
	}
	return tw.Flush()
}

// diffSpecs returns a line diff of two specs in YAML with all unchanged lines, or nil if the
// specs are equal. Removed lines start with "-" and added ones with "+".
func diffSpecs(old, wanted json.RawMessage) []string {
	a, b := specLines(old), specLines(wanted)
	if strings.Join(a, "\n") == strings.Join(b, "\n") {
		return nil
	}
	return diffLines(a, b)
}

// specLines returns a spec as lines of YAML with its fields sorted by name.
func specLines(raw json.RawMessage) []string {
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return []string{string(raw)}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return []string{string(raw)}
	}
	text, err := yaml.JSONToYAML(b)
	if err != nil {
		return []string{string(b)}
	}
	return strings.Split(strings.TrimRight(string(text), "\n"), "\n")
}

// diffLines marks the lines that are not in a longest common subsequence of a and b.
func diffLines(a, b []string) []string {
	n, m := len(a), len(b)
	common := make([][]int, n+1)
	for i := range common {
		common[i] = make([]int, m+1)
	}
	for i := n - 1; i >= 0; i-- {
		for j := m - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out []string
	for i, j := 0, 0; i < n || j < m; {
		switch {
		case i < n && j < m && a[i] == b[j]:
			out = append(out, "  "+a[i])
			i, j = i+1, j+1
		case j == m || i < n && common[i+1][j] >= common[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}
