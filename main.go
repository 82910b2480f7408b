// Command dogwoodmill serves language-model prompts of very unlike lengths.
package main

import (
	"os"

	"github.com/dogwoodmill/dogwoodmill/internal/command/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
