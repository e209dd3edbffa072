package directory

import (
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

func TestReadersSeeListAfterLag(t *testing.T) {
	s := New()
	s.SetLag(time.Minute)
	s.Set([]storage.VM{{ID: "a"}})
	s.Set([]storage.VM{{ID: "a"}, {ID: "b"}})
	now := time.Now()
	if got := len(s.visibleList(now)); got != 1 {
		t.Errorf("before the lag: %d VMs, want 1", got)
	}
	if got := len(s.visibleList(now.Add(2 * time.Minute))); got != 2 {
		t.Errorf("after the lag: %d VMs, want 2", got)
	}
}
