package feed

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// maxConsulted bounds how many peers one VM asks about its freshness.
	// In a larger fleet it asks some, and agreement is never reached.
	maxConsulted = 64
	// followPause is the pause after a pull that failed, or found no peer.
	followPause = 100 * time.Millisecond
)

var errNotReady = errors.New("the peer has no configuration")

// answer is what a peer answered to a pull.
type answer struct {
	update update
	// unreachable reports that the peer tried the store and did not reach it.
	unreachable bool
	// relay is the relay of the peer's failure domain, as it knows it.
	relay         relayRow
	failureDomain string
	ready         bool
}

// follow pulls from the relay, or from other peers while the relay does not
// answer, until ctx ends. A VM that relays itself does not pull.
func (f *Feed) follow(ctx context.Context) {
	failed := ""
	for ctx.Err() == nil {
		address, ok := f.source(failed)
		if !ok {
			sleep(ctx, followPause)
			continue
		}
		a, err := f.pull(ctx, address, f.cfg.PullWait)
		if err != nil || !a.ready {
			failed = address
			sleep(ctx, followPause)
			continue
		}
		failed = ""
		f.cfg.Loop.Post(func() {
			f.take(a.update)
			f.hearOfRelay(a)
		})
		f.settle(ctx)
	}
}

// settle waits until the loop has taken what was posted before, so that the
// next pull asks from the new version.
func (f *Feed) settle(ctx context.Context) { f.cfg.Loop.Call(ctx, func() {}) }

// hearOfRelay takes over a peer's knowledge of a relay, on the loop. The row
// in the table is read only where the relay fails.
func (f *Feed) hearOfRelay(a answer) {
	o := f.relay.Load()
	if f.isRelay() || a.relay.Address == "" || a.failureDomain != f.cfg.Self.FailureDomain || a.relay == o.row {
		return
	}
	if a.relay.Incarnation == f.cfg.Self.Incarnation {
		return
	}
	f.setRelay(observation{row: a.relay, revision: max(o.revision, 1), since: f.cfg.Clock.Now(), known: true})
}

// source returns the peer to pull from: the relay, or where it failed another
// VM of the failure domain, or any VM.
func (f *Feed) source(failed string) (string, bool) {
	if f.isRelay() {
		return "", false
	}
	o := f.relay.Load()
	if address := o.row.Address; address != "" && address != failed {
		return address, true
	}
	peers := f.cfg.Members.View().Peers
	for _, near := range []bool{true, false} {
		var choice []string
		for i := range peers {
			p := &peers[i]
			if usable(p) && p.PeerAddress != failed && (!near || p.FailureDomain == f.cfg.Self.FailureDomain) {
				choice = append(choice, p.PeerAddress)
			}
		}
		if len(choice) > 0 {
			return choice[rand.IntN(len(choice))], true
		}
	}
	return "", false
}

func usable(p *member.Peer) bool {
	return p.PeerAddress != "" && (p.State == member.Live || p.State == member.Leaving)
}

// pull asks one peer for what is newer than the version at hand.
func (f *Feed) pull(ctx context.Context, address string, wait time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.PeerTimeout)
	defer cancel()
	client := peerpb.NewConfigProtobufClient(f.cfg.Peers.URL(address), f.cfg.Peers.HTTP())
	start := f.cfg.Clock.Now()
	resp, err := client.Pull(ctx, &peerpb.PullRequest{
		Have:   f.state.Load().version(),
		WaitMs: int32(wait.Milliseconds()),
	})
	f.meters.pulls.Inc(1)
	if err != nil {
		f.meters.pullErrors.Inc(1)
		return answer{}, fmt.Errorf("pull from %s: %w", address, err)
	}
	return decodeAnswer(resp, start)
}

// decodeAnswer reads an answer to a call that was made at start, by the
// caller's clock. The callee answered held after the call arrived, which was
// not before start; so what it knew age before its answer, it knew no earlier
// than start + held - age.
func decodeAnswer(resp *peerpb.PullResponse, start clock.Time) (answer, error) {
	a := answer{
		ready:         resp.Ready,
		unreachable:   resp.StoreUnreachable,
		failureDomain: resp.FailureDomain,
		relay:         relayRow{ID: resp.RelayId, Incarnation: resp.RelayIncarnation, Address: resp.RelayAddress},
		update:        update{version: resp.Version, read: never, agreed: never},
	}
	if !resp.Ready {
		return a, nil
	}
	if len(resp.Snapshot) > 0 {
		c, err := config.Decode(resp.Snapshot)
		if err != nil {
			return answer{}, err
		}
		a.update.snapshot = c
	}
	entries, err := decodeEntries(resp.Changes)
	if err != nil {
		return answer{}, err
	}
	a.update.entries = entries
	at := start.Add(microseconds(max(0, resp.HeldUs)))
	if resp.ReadAgeUs >= 0 {
		a.update.read = at.Add(-microseconds(resp.ReadAgeUs))
	}
	if resp.AgreedAgeUs >= 0 {
		a.update.agreed = at.Add(-microseconds(resp.AgreedAgeUs))
	}
	return a, nil
}

// microseconds converts without overflow, whatever a peer sent.
func microseconds(n int64) time.Duration {
	return time.Duration(min(n, math.MaxInt64/4/int64(time.Microsecond))) * time.Microsecond
}

func decodeEntries(changes [][]byte) ([]entry, error) {
	entries := make([]entry, 0, len(changes))
	for _, data := range changes {
		ch, err := config.DecodeChange(data)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry{change: ch, data: data})
	}
	return entries, nil
}

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
