package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/tunnel"
)

// cutOffPeers implements reach.Tunnels. All peers but one find out that they are cut off themselves.
type cutOffPeers struct {
	address   string
	connected string
	dial      time.Duration // after which a peer gives up dialing a target
}

func (p cutOffPeers) Dial(ctx context.Context, peerAddress string, _ tunnel.Target) (net.Conn, error) {
	if peerAddress != p.connected {
		time.Sleep(p.dial)
		return nil, &tunnel.Error{Reason: tunnel.PeerDeclined, Err: errors.New("cut off")}
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", p.address)
}

func (cutOffPeers) CloseVia(string) {}

// TestTargetIsToldTheTimeThatIsLeft guards against targets that are handed more time than is left, because
// the time was computed before a path to the target was found.
func TestTargetIsToldTheTimeThatIsLeft(t *testing.T) {
	const dialTimeout = 350 * time.Millisecond // that of edge.targetDialTimeout
	const slack = 500 * time.Millisecond       // the platform's
	w := newFixture(t)
	left := make(chan time.Duration, 1)
	var sent time.Time
	f := w.add("i-0", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(hTimeout))
		told := time.Duration(ms) * time.Millisecond
		left <- told - (5*time.Second - time.Since(sent))
		respondOK(rw, r)
	})
	client := forward.NewClient(forward.Config{EchoHeader: hID, DialTimeout: dialTimeout, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	t.Cleanup(client.Close)
	peers := []member.Peer{
		{ID: "p-1", PeerAddress: "p-1", FailureDomain: "fd-e", CarriesTunnels: true}, {ID: "p-2", PeerAddress: "p-2", Region: "east", CarriesTunnels: true},
		{ID: "p-3", PeerAddress: "p-3", CarriesTunnels: true},
	}
	w.server.cfg.Client = reach.NewClient(reach.Config{
		VM: "vm", Region: "east", Client: client, DialTimeout: dialTimeout, Targets: w.targets.Snapshot, Log: zerolog.Nop(),
		Peers: func() []member.Peer { return peers }, Tunnels: cutOffPeers{f.address, "p-3", dialTimeout},
	})
	sent = time.Now()
	w.expect(http.StatusOK, "GET", "/safe/x")
	if extra := <-left; extra > slack {
		t.Errorf("the target was told %v more than was left", extra)
	}
}
