package reach

import (
	"context"
	"testing"
)

// TestReturnAfterRepeatedCutsIsToldAtOnce guards against SHIFT: callers of a region whose VMs had lost their
// links repeatedly were sent to other regions for many seconds after the links were back.
func TestReturnAfterRepeatedCutsIsToldAtOnce(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	w.direct.Store(int32(refuse))
	w.client.cutOff.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); w.client.awaitReturn(ctx, maxReturnChecks) }()
	if !w.client.LinksLost() {
		t.Error("the links are not lost although no target is reached")
	}
	w.direct.Store(int32(up))
	w.await("the links are back", func() bool { return !w.client.LinksLost() })
	if !w.client.CutOff() {
		t.Error("the VM trusts its links after fewer checks than usual after repeated cuts")
	}
	w.direct.Store(int32(refuse))
	w.await("the links are lost again", w.client.LinksLost)
	cancel()
	<-ended
}
