package reach

import (
	"context"
	"net"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/tunnel"
)

// hangingPeer is a Tunnels of which one peer does not answer.
type hangingPeer struct {
	*world
	address string
}

func (h hangingPeer) Dial(ctx context.Context, peerAddress string, t tunnel.Target) (net.Conn, error) {
	if peerAddress == h.address {
		<-ctx.Done()
		return nil, &tunnel.Error{Reason: tunnel.ContextEnded, Err: ctx.Err()}
	}
	return h.world.Dial(ctx, peerAddress, t)
}

// TestExitIsFoundBesideASilentPeer guards against a crash of a target that goes unreported because one of
// the peers that are asked about it does not answer.
func TestExitIsFoundBesideASilentPeer(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	l := w.target("i-0")
	w.client.cfg.Tunnels = hangingPeer{w, w.client.peersFor(l, nil)[1].PeerAddress}
	w.servers["i-0"].Close()
	ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond) // ingress.exitCheckTimeout
	defer cancel()
	if !w.client.Exited(ctx, l) {
		t.Error("the target refuses this VM's and a peer's connections and others accept, but did not count as exited")
	}
}
