package reach

import (
	"slices"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

// leavingPeer returns a peer that is stopping and carries connections for d.
func leavingPeer(id string, d time.Duration) member.Peer {
	return member.Peer{ID: id, PeerAddress: id, Region: id[:4], State: member.Leaving, CarriesTunnels: true, CarriesUntil: time.Now().Add(d)}
}

// TestStoppingPeersAreTheLastPath guards against a VM without a path while the only peers with links are
// stopping, and against requests that a stopping peer breaks off although another peer could carry them.
func TestStoppingPeersAreTheLastPath(t *testing.T) {
	w := newWorld(t, "e1", "w1")
	ids := func() []string {
		var out []string
		for _, p := range w.client.peersFor(w.target("i-0"), nil) {
			out = append(out, p.ID)
		}
		return out
	}
	w.peers = []member.Peer{leavingPeer("east-1", time.Second), leavingPeer("west-1", 3*time.Second), leavingPeer("east-2", -time.Second), leavingPeer("west-2", 2*time.Second)}
	if got, want := ids(), []string{"west-1", "west-2", "east-1"}; !slices.Equal(got, want) {
		t.Errorf("all peers are stopping: %v, want %v", got, want)
	}
	w.peers = append(w.peers, member.Peer{ID: "west-3", PeerAddress: "west-3", Region: "west", CarriesTunnels: true})
	if got, want := ids(), []string{"west-3", "west-1", "west-2"}; !slices.Equal(got, want) {
		t.Errorf("a peer keeps running: %v, want %v", got, want)
	}
}

// TestIdleTunnelsThroughStoppingPeers guards against stops that last longer because VMs with another path
// keep idle tunnels open.
func TestIdleTunnelsThroughStoppingPeers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cutOff bool
		peers  []member.Peer
		left   time.Duration // for which the peer of the tunnel carries
		kept   bool
	}{
		{"it is the only path", true, nil, time.Second, true},
		{"another peer is stopping too", true, []member.Peer{leavingPeer("west-1", 2*time.Second)}, time.Second, true},
		{"another peer keeps running", true, []member.Peer{{ID: "west-1", Region: "west", CarriesTunnels: true}}, time.Second, false},
		{"this VM reaches targets", false, nil, time.Second, false},
		{"it carries no more", true, nil, -time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, "e1", "w1")
			w.client.cutOff.Store(true)
			w.peers = []member.Peer{leavingPeer("east-1", time.Second)}
			if body, via, failure := w.get("i-0", "/", Options{}); body != "i-0" || via != "east-1" {
				t.Fatalf("%q via %q, %v; want a tunnel through the stopping peer", body, via, failure)
			}
			w.client.cutOff.Store(tt.cutOff)
			w.peers = append(tt.peers, leavingPeer("east-1", tt.left))
			closed := 0
			w.client.CloseUnusable()
			w.client.cfg.Client.CloseIdleIn(func(string) bool { closed++; return true })
			if kept := closed > 0; kept != tt.kept {
				t.Errorf("kept %v", kept)
			}
		})
	}
}
