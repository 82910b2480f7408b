// Package seed makes rapid tests reproducible: test binaries that import it use a fixed
// seed and number of checks, unless the command line sets -rapid.seed or -rapid.checks.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "100",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
