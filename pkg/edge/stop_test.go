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

// TestFailedListenerStopsGracefully: where one listener fails, requests that came on another
// one run. They were cut by the exit of the process.
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
	d.failed <- broken
	if err := d.Run(t.Context(), nil); !errors.Is(err, broken) {
		t.Errorf("ended with %v", err)
	}
	if !d.leaving.Load() {
		t.Error("the VM ended without a stop")
	}
}
