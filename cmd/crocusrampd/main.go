// Command crocusrampd is the daemon that runs on every VM.
package main

import (
	"os"

	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/dev"
	"crocusramp.dev/crocusramp/pkg/edge"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, daemon.Commands{Dev: dev.Run, Edge: edge.Run}))
}
