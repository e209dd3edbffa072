package edge

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/internal/freeport"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/member"
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

// TestStoppingVMCarriesTunnels guards against a VM that stops carrying connections for the others at
// SIGTERM, although it may be the only one that reaches the targets.
func TestStoppingVMCarriesTunnels(t *testing.T) {
	const grace = 400 * time.Millisecond
	s := &settings.Edge{
		VM: settings.VM{ID: "vm-0", Region: "east", FailureDomain: "fd-a"}, FailureDomains: map[string]string{"fd-a": "east"},
		Store: settings.Store{Address: freeport.Address(t)}, Bounds: settings.Bounds{Grace: settings.Duration{Duration: grace}},
	}
	d, err := New(t.Context(), "", s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	d.callers = &http.Server{}
	if d.carriesTunnels() {
		t.Error("carries before it knows the targets")
	}
	d.state.Store(&ingress.State{Config: config.Empty()})
	stopped := make(chan struct{})
	go func() { defer close(stopped); d.stop() }()
	for !d.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	var p member.Peer
	if d.fillStatus(&p); p.State != member.Leaving || !p.CarriesTunnels || !p.Carries(time.Now()) {
		t.Errorf("heartbeat of a VM that has just been told to stop: %+v", p)
	}
	<-stopped
	if d.carriesTunnels() {
		t.Error("carries once it has stopped")
	}
}
