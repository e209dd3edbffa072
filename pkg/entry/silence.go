package entry

import (
	"context"
	"errors"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

// silenceInterval is how often the state of a peer is looked at while it has
// a request.
const silenceInterval = 250 * time.Millisecond

// errPeerSilent reports that a peer stopped answering heartbeats while it had
// a request.
var errPeerSilent = errors.New("peer is silent")

// watchPeer returns a context that ends when the peer is silent or gone, so
// that requests do not wait for a frozen VM until their deadline. stop ends the
// watch and leaves the context as it is.
func (s *Server) watchPeer(ctx context.Context, incarnation string) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silenceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !answers(s.config.Members.View(), incarnation) {
				cancel(errPeerSilent)
				return
			}
		}
	}()
	return watched, func() { close(stopped) }
}

// answers reports whether the peer may answer. One that is not in the view was
// removed from it, or has not come into it yet.
func answers(view *member.View, incarnation string) bool {
	for i := range view.Peers {
		if p := &view.Peers[i]; p.Incarnation == incarnation {
			return p.State == member.Live || p.State == member.Leaving
		}
	}
	return true
}
