package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Text writes the report as two tables: by policy, and by policy and kind of request.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush returns the error
	row("%s, days: %d\t\t\t\t\t\t\t\t\n", r.Name, r.Days)
	row("policy\tworth\tworst kind\treading\twriting\tidle\trejected\tpreempted\t\n")
	for _, p := range r.Policies {
		row("%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n", p.Policy, p.Worth, p.WorstKind, p.Reading, p.Writing, p.Idle, p.Rejected, p.Preempted)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	row("\n")
	row("policy\tkind\tasked\ton time\tlargest\tlate first\tpaused\trefused\tfailed\tfirst ms p50\tp95\tp99\tpause ms p95\tworth\t\n")
	for _, p := range r.Policies {
		for _, k := range p.Kinds {
			row("%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.3f\t\n", p.Policy, k.Kind, k.Asked, k.OnTime, k.Largest,
				k.LateFirst, k.Paused, k.Refused, k.Failed, k.FirstMS.P50, k.FirstMS.P95, k.FirstMS.P99, k.PauseMS.P95, k.Worth)
		}
	}
	return t.Flush()
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
