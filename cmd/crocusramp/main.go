// Command crocusramp is the command-line client of the operators' API.
package main

import (
	"os"

	"crocusramp.dev/crocusramp/pkg/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}
