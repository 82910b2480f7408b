// Command dogwoodmill runs the entry servers, gateways and operator tools of a serving
// layer for language-model prompts whose lengths differ widely.
package main

import (
	"os"

	"github.com/dogwoodmill/dogwoodmill/internal/command/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
