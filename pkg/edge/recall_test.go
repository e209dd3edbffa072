package edge

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
)

// recallFunc is a Recall service.
type recallFunc func(context.Context, *peerpb.RecallRequest) (*peerpb.RecallResponse, error)

func (f recallFunc) Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallResponse, error) {
	return f(ctx, r)
}

// TestConfigurationIsAskedOfOnePeer guards against a VM that asks many peers for a large configuration at once: on a slow
// link none of the responses arrived in time, again and again (HOME on the largest deployments).
func TestConfigurationIsAskedOfOnePeer(t *testing.T) {
	var asked atomic.Int32
	peers := make([]member.Peer, 4)
	for i := range peers {
		server := httptest.NewServer(peerpb.NewRecallServer(recallFunc(func(ctx context.Context, _ *peerpb.RecallRequest) (*peerpb.RecallResponse, error) {
			asked.Add(1)
			if i == 0 {
				<-ctx.Done() // this peer is silent
			}
			return &peerpb.RecallResponse{}, nil
		})))
		t.Cleanup(server.Close)
		peers[i] = member.Peer{ID: server.URL, PeerAddress: server.Listener.Addr().String()}
	}
	d := &Daemon{dialer: peer.NewDialer(nil), log: zerolog.Nop()}
	d.recallConfig(t.Context(), peers)
	if got := asked.Load(); got != 2 {
		t.Errorf("%d of %d peers were asked, want the silent one and the next", got, len(peers))
	}
}
