package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestEarlyHangup guards against a SIGHUP that ends a daemon because it arrives before the daemon has
// asked for the signals.
func TestEarlyHangup(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-Signals():
	case <-time.After(5 * time.Second):
		t.Error("the signal was not delivered")
	}
}
