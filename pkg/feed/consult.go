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

// maxConsultedPeers bounds how many peers one VM asks in a consultation. In a
// larger fleet it asks a random sample, which never suffices for agreement.
const maxConsultedPeers = 64

// consultResult is the result of asking one peer in a consultation.
type consultResult struct {
	pulled pullResult
	err    error
}

// startConsultation pulls from all peers on another goroutine and posts the
// results to the loop.
func (f *Feed) startConsultation(ctx context.Context) {
	view := f.cfg.Members.View()
	start := f.cfg.Clock.Now()
	f.consulting = true
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		results := f.pullFromAll(ctx, view)
		f.cfg.Loop.Post(func() {
			f.consulting = false
			f.finishConsultation(view, results, start)
		})
	})
}

// pullFromAll pulls from the peers concurrently. It includes peers that are
// considered gone, because a new process may run there.
func (f *Feed) pullFromAll(ctx context.Context, view *member.View) []consultResult {
	peers := view.Peers
	if len(peers) > maxConsultedPeers {
		peers = sample(peers, maxConsultedPeers)
	}
	results := make([]consultResult, len(peers))
	var wg sync.WaitGroup
	for i := range peers {
		wg.Go(func() {
			if peers[i].PeerAddress == "" {
				results[i].err = errNotReady
				return
			}
			results[i].pulled, results[i].err = f.pull(ctx, peers[i].PeerAddress, 0)
		})
	}
	wg.Wait()
	return results
}

func sample(peers []member.Peer, n int) []member.Peer {
	out := make([]member.Peer, 0, n)
	for _, i := range rand.Perm(len(peers))[:n] {
		out = append(out, peers[i])
	}
	return out
}

// finishConsultation applies the results of a consultation that began at start.
// It runs on the loop.
func (f *Feed) finishConsultation(view *member.View, results []consultResult, start clock.Time) {
	for _, r := range results {
		if r.err == nil && r.pulled.ready {
			f.applyUpdate(r.pulled.update)
		}
	}
	askedAll := view.Complete && len(results) == len(view.Peers)
	storeUnreachable := f.logReachability.unreachable(f.cfg.Clock.Now(), f.cfg.MaxAge)
	s := f.state.Load()
	if askedAll && storeUnreachable && provesNewest(s.version(), results) {
		f.applyUpdate(update{version: s.version(), readAt: never, agreedAt: start})
	}
}

// provesNewest reports whether the results prove that version includes every
// accepted change: every peer responded or refused the connection (no process
// runs there), no peer has a newer version, and no peer can reach the store,
// without which no change is accepted.
//
// The proof depends on a correct list of VMs. The list may lag and omit a VM
// that is new or was removed too early; such a VM can reach the store and
// accept a change unnoticed. A change is also missed if the VM that accepted it
// just before the outage died before its push reached any other VM.
func provesNewest(version int64, results []consultResult) bool {
	if version == noVersion {
		return false
	}
	for _, r := range results {
		switch {
		case errors.Is(r.err, syscall.ECONNREFUSED):
		case r.err != nil || !r.pulled.storeUnreachable || r.pulled.update.version > version:
			return false
		}
	}
	return true
}
