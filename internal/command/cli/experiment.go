package cli

import (
	"fmt"
	"os"

	"github.com/dogwoodmill/dogwoodmill/internal/command/experiment"
)

// Run runs an experiment and prints its report.
func (o *ExperimentOptions) Run(env *environment) error {
	f, err := os.Open(o.File)
	if err != nil {
		return &codedError{code: exitUsage, err: err}
	}
	defer func() { _ = f.Close() }() // opened for reading only
	plan, err := experiment.Read(f)
	if err != nil {
		return &codedError{code: exitUsage, err: fmt.Errorf("%s: %w", o.File, err)}
	}
	if err := plan.Override(o.Policy, o.Days); err != nil {
		return &codedError{code: exitUsage, err: err}
	}
	rep := plan.Run()
	if o.Plots != "" {
		if err := rep.Plot(o.Plots); err != nil {
			return err
		}
	}
	if o.Output == "json" {
		return rep.JSON(env.stdout)
	}
	return rep.Text(env.stdout)
}
