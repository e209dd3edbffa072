// Command crocusramp is the operators' client.
package main

import (
	"os"

	"crocusramp.dev/crocusramp/pkg/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}
