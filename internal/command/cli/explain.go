package cli

import (
	"fmt"
	"os"
	"strings"

	"github.com/dogwoodmill/dogwoodmill/internal/command/explain"
)

// Run reads log lines from a file or standard input and prints the outcomes of requests.
func (o *ExplainOptions) Run(env *environment) error {
	in := os.Stdin
	if o.Logs != "-" {
		f, err := os.Open(o.Logs)
		if err != nil {
			return &codedError{code: exitUsage, err: fmt.Errorf("--logs: %w", err)}
		}
		defer func() { _ = f.Close() }() // opened for reading only
		in = f
	}
	logs, err := explain.Read(in)
	if err != nil {
		return err
	}
	ids := o.ID
	if o.IDs != "" {
		if ids, err = readIDs(o.IDs); err != nil {
			return &codedError{code: exitUsage, err: fmt.Errorf("--ids: %w", err)}
		}
	}
	switch {
	case len(ids) == 0:
		return logs.Summarize(logs.IDs()).Write(env.stdout)
	case len(ids) == 1:
		return logs.Trace(ids[0]).Write(env.stdout)
	}
	for _, id := range ids {
		if _, err := fmt.Fprintln(env.stdout, id, logs.Trace(id).Verdict()); err != nil {
			return err
		}
	}
	return logs.Summarize(ids).Write(env.stdout)
}

// readIDs returns the white-space separated ids in a file.
func readIDs(name string) ([]string, error) {
	b, err := os.ReadFile(name)
	return strings.Fields(string(b)), err
}
