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

// column is a column of a table and its cell for a spec.
type column struct {
	head string
	cell func(spec resource.Spec) string
}

// of makes a column for the specs of one kind.
func of[S resource.Spec](head string, cell func(S) string) column {
	return column{head, func(spec resource.Spec) string {
		s, ok := spec.(S)
		if !ok {
			return "?"
		}
		return orDash(cell(s))
	}}
}

func orDash(s string) string {
	if s == "" || s == "0" || s == "0s" || s == "false" {
		return "-"
	}
	return s
}

func number[N int | int64 | float64](n N) string { return fmt.Sprint(n) }

var columns = map[resource.Type][]column{
	resource.TypeWorkspace: {
		of("WEIGHT", func(s *resource.WorkspaceSpec) string { return number(s.Weight) }),
		of("PATIENCE", func(s *resource.WorkspaceSpec) string { return s.Patience.Duration().String() }),
		of("KEYS", func(s *resource.WorkspaceSpec) string { return number(len(s.Keys)) }),
		of("REQUESTS/S", func(s *resource.WorkspaceSpec) string { return number(s.Limits.RequestsPerSecond) }),
		of("TOKENS/S", func(s *resource.WorkspaceSpec) string { return number(s.Limits.TokensPerSecond) }),
		of("DEPLOYMENTS", func(s *resource.WorkspaceSpec) string { return all(s.Deployments) }),
	},
	resource.TypeDeployment: {
		of("MODEL", func(s *resource.DeploymentSpec) string { return s.Model }),
		of("WANTED", func(s *resource.DeploymentSpec) string { return s.Version }),
		of("CONTEXT", func(s *resource.DeploymentSpec) string { return number(s.ContextTokens) }),
		of("MAX OUTPUT", func(s *resource.DeploymentSpec) string { return number(s.MaxOutputTokens) }),
	},
	resource.TypeVersion: {
		of("DEPLOYMENT", func(s *resource.VersionSpec) string { return s.Deployment }),
		of("WEIGHTS", func(s *resource.VersionSpec) string { return s.Weights }),
		of("BYTES", func(s *resource.VersionSpec) string { return number(s.Bytes) }),
		of("ADAPTERS", func(s *resource.VersionSpec) string { return strings.Join(s.Adapters, ",") }),
	},
	resource.TypeRule: {
		of("WORKSPACE", func(s *resource.RuleSpec) string { return s.Workspace }),
		of("DEPLOYMENT", func(s *resource.RuleSpec) string { return s.Deployment }),
		of("PROMPT TOKENS", func(s *resource.RuleSpec) string { return span(s.MinPromptTokens, s.MaxPromptTokens) }),
		of("PRIORITY", func(s *resource.RuleSpec) string { return number(s.Priority) }),
		of("REFUSE", func(s *resource.RuleSpec) string { return fmt.Sprint(s.Refuse) }),
		of("MAX RUNNING", func(s *resource.RuleSpec) string { return number(s.MaxConcurrent) }),
		of("MIN CAPACITY", func(s *resource.RuleSpec) string { return number(s.MinCapacity) }),
	},
	resource.TypeService: {
		of("TIMEOUT", func(s *resource.ServiceSpec) string { return s.Timeout.Duration().String() }),
		of("ROUTES", func(s *resource.ServiceSpec) string { return number(len(s.Routes)) }),
	},
	resource.TypeUpstream: {
		of("ADDRESS", func(s *resource.UpstreamSpec) string { return s.Address }),
		of("DOMAIN", func(s *resource.UpstreamSpec) string { return s.FailureDomain }),
		of("SERVES", func(s *resource.UpstreamSpec) string { return strings.Join(append(s.Deployments, s.Service), ",") }),
		of("MEMORY", func(s *resource.UpstreamSpec) string { return number(s.MemoryTokens) }),
		of("FENCING", func(s *resource.UpstreamSpec) string { return fmt.Sprint(s.ChecksFencing) }),
	},
}

func all(names []string) string {
	if len(names) == 0 {
		return "(all)"
	}
	return strings.Join(names, ",")
}

func span(least, most int) string {
	switch {
	case most > 0:
		return fmt.Sprintf("%d-%d", least, most)
	case least > 0:
		return fmt.Sprintf("%d-", least)
	default:
		return ""
	}
}

// printTable prints objects of a kind.
func printTable(w io.Writer, kind resource.Type, items []resource.Object) error {
	tw := tabwriter.NewWriter(w, 0, 0, 3, ' ', 0)
	head := []string{"NAME"}
	for _, c := range columns[kind] {
		head = append(head, c.head)
	}
	_, _ = fmt.Fprintln(tw, strings.Join(append(head, "VERSION", "IN FORCE"), "\t")) // Flush returns the error
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

// diffSpecs returns the lines of two specs in YAML that differ, old ones with "-"
// and new ones with "+", and the lines around them. It returns none where the
// specs mean the same.
func diffSpecs(old, wanted json.RawMessage) []string {
	a, b := specLines(old), specLines(wanted)
	if strings.Join(a, "\n") == strings.Join(b, "\n") {
		return nil
	}
	return diffLines(a, b)
}

// specLines returns a spec as lines of YAML with its fields by name.
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

// diffLines marks the lines outside a longest common subsequence.
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
