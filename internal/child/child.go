// Package child starts processes that do not outlive the tests, however these end.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// starts are carried out on one operating-system thread that lives as long as the test
// binary: the kernel kills the processes when the thread that started them ends.
var starts = func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
}()

// Start starts cmd.
func Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starts <- func() { started <- cmd.Start() }
	return <-started
}
