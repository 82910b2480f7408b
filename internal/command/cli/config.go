package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/dogwoodmill/dogwoodmill/internal/command/configcheck"
)

var errFindings = errors.New("the configuration has findings")

// Run checks a configuration file and prints the findings.
func (o *ConfigCheckOptions) Run(env *environment) error {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return &codedError{code: exitUsage, err: err}
	}
	rep := configcheck.Check(b)
	if o.Against != "" {
		inForce, err := os.ReadFile(o.Against)
		if err != nil {
			return &codedError{code: exitUsage, err: fmt.Errorf("--against: %w", err)}
		}
		if !rep.Compare(inForce) {
			return &codedError{code: exitUsage, err: fmt.Errorf("--against: %s is no configuration", o.Against)}
		}
	}
	write := rep.Text
	if o.Output == "json" {
		write = rep.JSON
	}
	if err := write(env.stdout); err != nil {
		return err
	}
	if !rep.Clean() {
		return errFindings
	}
	return nil
}
