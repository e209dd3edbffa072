package entry

import (
	"context"
	"errors"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

// peerCheckInterval is how often the state of a peer is checked while it runs a request.
const peerCheckInterval = 250 * time.Millisecond

// errPeerSilent reports that a peer stopped answering heartbeats while it ran a request.
var errPeerSilent = errors.New("peer does not answer heartbeats")

// watchPeer returns a context that is cancelled when the peer becomes silent or gone, so
// that requests do not wait for a frozen VM until their deadline. stop ends the watch
// without cancelling the context.
func (s *Server) watchPeer(ctx context.Context, incarnation string) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(peerCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !mayAnswer(s.config.Members.View(), incarnation) {
				cancel(errPeerSilent)
				return
			}
		}
	}()
	return watched, func() { close(stopped) }
}

// mayAnswer reports whether the peer may still answer. It returns true for a peer that is
// not in the view: the peer was removed from the view or is not in it yet.
func mayAnswer(view *member.View, incarnation string) bool {
	for i := range view.Peers {
		if p := &view.Peers[i]; p.Incarnation == incarnation {
			return p.State == member.Live || p.State == member.Leaving
		}
	}
	return true
}
