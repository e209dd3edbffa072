package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestDevEndsOnHangup guards against a quick start that goes on after its terminal was closed.
func TestDevEndsOnHangup(t *testing.T) {
	const env = "DAEMON_HANGUP_CHILD"
	if os.Getenv(env) != "" {
		os.Exit(Main([]string{"dev"}, io.Discard, io.Discard, Commands{Dev: func(context.Context, *DevCommand, io.Writer, io.Writer) error {
			defer time.Sleep(10 * time.Second)
			return syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		}}))
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestDevEndsOnHangup$")
	cmd.Env = append(os.Environ(), env+"=1")
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGHUP {
		t.Errorf("the command ended with %v, want SIGHUP", err)
	}
}
