package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

// maxConsulted bounds how many peers one VM asks about its freshness. In a
// larger fleet it asks some, and agreement is never reached.
const maxConsulted = 64

// poll is the answer of one peer to a consultation.
type poll struct {
	answer answer
	err    error
}

// startConsult asks all peers for what they know, beside the loop.
func (f *Feed) startConsult(ctx context.Context) {
	view := f.cfg.Members.View()
	start := f.cfg.Clock.Now()
	f.consulting = true
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		polls := f.askAll(ctx, view)
		f.cfg.Loop.Post(func() {
			f.consulting = false
			f.consulted(view, polls, start)
		})
	})
}

// askAll pulls from the peers at once, also from those that count as gone: a
// new process may run there.
func (f *Feed) askAll(ctx context.Context, view *member.View) []poll {
	peers := view.Peers
	if len(peers) > maxConsulted {
		peers = sample(peers, maxConsulted)
	}
	polls := make([]poll, len(peers))
	var wg sync.WaitGroup
	for i := range peers {
		wg.Go(func() {
			if peers[i].PeerAddress == "" {
				polls[i].err = errNotReady
				return
			}
			polls[i].answer, polls[i].err = f.pull(ctx, peers[i].PeerAddress, 0)
		})
	}
	wg.Wait()
	return polls
}

func sample(peers []member.Peer, n int) []member.Peer {
	out := make([]member.Peer, 0, n)
	for _, i := range rand.Perm(len(peers))[:n] {
		out = append(out, peers[i])
	}
	return out
}

// consulted takes the answers of a consultation begun at start, on the loop.
func (f *Feed) consulted(view *member.View, polls []poll, start clock.Time) {
	for _, p := range polls {
		if p.err == nil && p.answer.ready {
			f.take(p.answer.update)
		}
	}
	all := view.Complete && len(polls) == len(view.Peers)
	self := f.contact.unreachable(f.cfg.Clock.Now(), f.cfg.Freshness)
	s := f.state.Load()
	if all && self && agreement(s.version(), polls) {
		f.take(update{version: s.version(), read: never, agreed: start})
	}
}

// agreement reports whether the answers prove that no accepted change is
// missing from version: every VM answered or has no process, none has a newer
// version, and none reaches the store, without which nothing is accepted.
//
// The proof is only as good as the list of VMs. A VM that the list lacks
// because it lags, whether new or removed too early, can reach the store and
// accept a change that nobody here hears of; so can one that accepted a change
// just before the outage and died before its push arrived anywhere.
func agreement(version int64, polls []poll) bool {
	if version == noVersion {
		return false
	}
	for _, p := range polls {
		switch {
		case errors.Is(p.err, syscall.ECONNREFUSED):
		case p.err != nil || !p.answer.unreachable || p.answer.update.version > version:
			return false
		}
	}
	return true
}
