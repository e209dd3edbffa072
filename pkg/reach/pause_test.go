package reach

import (
	"testing"
	"time"
)

// TestPauseInTrafficDoesNotDelaySilence guards against a VM that does not notice silent connections for
// minutes after a time without requests.
func TestPauseInTrafficDoesNotDelaySilence(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	now := time.Now()
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		w.client.recordResponse(now)
	}
	now = now.Add(10 * time.Minute)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		w.client.recordResponse(now)
	}
	w.client.waiting.Store(minWaiting)
	if !w.client.silentTooLong(now.Add(3 * time.Second)) {
		t.Errorf("not silent after 3 s; the usual interval is taken for %v", time.Duration(w.client.responseInterval.Load()))
	}
}
