package edge

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/settings"
)

// TestFailedListenerStopsGracefully: where one listener fails, requests that came on another
// one run. They were cut by the exit of the process.
func TestFailedListenerStopsGracefully(t *testing.T) {
	free := func() string {
		// An address of its own: the kernel offers the port again to whoever listens on 127.0.0.1.
		l, err := net.Listen("tcp", "127.0.0.8:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
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
