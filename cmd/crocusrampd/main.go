// Command crocusrampd is the daemon that runs on every VM.
package main

import (
	"os"

	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/dev"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, dev.Run))
}
