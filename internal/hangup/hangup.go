// Package hangup catches SIGHUP from the start of the process on. Its default action ends the process,
// and the packages that a daemon imports take tens of milliseconds to initialize on a busy machine. This
// package imports nothing but the standard library, so it is initialized before most of them.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = func() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// Signals returns a channel of the SIGHUPs since the start of the process. Those that arrive while one is
// pending are merged into it.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action of SIGHUP, which ends the process, also for one that has arrived.
func Release() {
	signal.Stop(signals)
	if len(signals) > 0 {
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGHUP) // cannot fail for the own process
	}
}
