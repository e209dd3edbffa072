package reach

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
)

// TestSilentKeptConnectionsStartACheck guards against a cut that a VM with few requests finds out only when
// its last idle connection has been used up.
func TestSilentKeptConnectionsStartACheck(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	const kept = 6
	results := make(chan *forward.Error)
	for range kept { // opens connections side by side
		go func() { _, _, f := w.get("i-0", "/slow", Options{}); results <- f }()
	}
	w.await("requests wait", func() bool { return w.client.waiting.Load() == kept })
	close(w.release)
	for range kept {
		if f := <-results; f != nil {
			t.Fatal(f)
		}
	}
	time.Sleep(20 * time.Millisecond)
	w.ackTimeout = 100 * time.Millisecond
	w.watch()
	w.direct.Store(int32(hang))
	for i := range kept {
		if _, _, f := w.get("i-0", "/", Options{}); f == nil || !errors.Is(f, syscall.ETIMEDOUT) {
			t.Logf("request %d: %v", i, f)
		}
		time.Sleep(400 * time.Millisecond) // a check of the test's VM takes 300 ms
		if w.client.CutOff() {
			return
		}
	}
	t.Errorf("%d requests in a row timed out on kept connections, and no check was started", kept)
}
