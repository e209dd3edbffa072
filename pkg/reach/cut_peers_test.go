package reach

import (
	"testing"
)

// TestCutIsFoundBesidePeersThatAreCutOffToo guards against a VM that is not found to be cut off because the
// nearest peers have lost their links at the same moment.
func TestCutIsFoundBesidePeersThatAreCutOffToo(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.direct.Store(int32(hang))
	w.peerLinks["east-1:1"], w.peerLinks["east-2:1"] = hang, hang // west-1 reaches the targets
	for range 5 {
		if f := w.client.check(t.Context()); f.cutOff() {
			return
		}
	}
	t.Error("five checks did not ask the peer that reaches the targets")
}
