package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/internal/freeport"
	"crocusramp.dev/crocusramp/pkg/settings"
)

// TestFailedListenerStopsGracefully guards against a process that exits at once when one
// listener fails, and so cuts off the requests that run on the other listeners.
func TestFailedListenerStopsGracefully(t *testing.T) {
	free := func() string { return freeport.Address(t) }
	s := &settings.Edge{
		VM:             settings.VM{ID: "vm-0", Region: "east", FailureDomain: "fd-a"},
		Listen:         settings.EdgeListen{Callers: free(), Locate: free(), Ready: free(), Peers: free()},
		FailureDomains: map[string]string{"fd-a": "east"}, Store: settings.Store{Address: free()},
		Bounds: settings.Bounds{Grace: settings.Duration{Duration: time.Second}},
	}
	d, err := New(context.Background(), "", s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	broken := errors.New("broken")
	d.listenerErrors <- broken
	if err := d.Run(t.Context(), nil); !errors.Is(err, broken) {
		t.Errorf("Run returned %v, want the listener's error", err)
	}
	if !d.leaving.Load() {
		t.Error("Run returned without a graceful stop")
	}
}
