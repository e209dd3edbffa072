// Package child starts child processes that the kernel kills when the test binary ends, even if it
// crashes.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// startCalls receives the calls that start processes. They run on one operating-system thread that
// lives as long as the test binary, because the kernel delivers Pdeathsig when the thread that
// started a process ends.
var startCalls = func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
}()

// Start starts cmd. It replaces cmd.SysProcAttr.
func Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	startCalls <- func() { started <- cmd.Start() }
	return <-started
}
