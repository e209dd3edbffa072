package feed

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// fanOut is how many VMs pull from one. An idle follower costs its source
	// 650 B/s and 0.3 ms/s; two levels reach 132 VMs.
	fanOut = 11
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

// follow pulls from this VM's source until ctx ends. A VM that relays itself
// does not pull.
func (f *Feed) follow(ctx context.Context) {
	avoid := map[string]clock.Time{}
	for ctx.Err() == nil {
		address, ok := f.source(avoid)
		if !ok {
			sleep(ctx, followPause)
			continue
		}
		a, err := f.pull(ctx, address, f.cfg.PullWait)
		now := f.cfg.Clock.Now()
		if err != nil || !a.ready || now.Sub(max(a.update.read, a.update.agreed)) > f.patience {
			avoid[address] = now.Add(f.cfg.RelayLease)
		}
		if err != nil || !a.ready {
			sleep(ctx, followPause)
			continue
		}
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

// source returns the peer to pull from: the parent in the tree below the
// relay, or else the relay, another VM of the failure domain, or any VM.
func (f *Feed) source(avoid map[string]clock.Time) (string, bool) {
	if f.isRelay() {
		return "", false
	}
	now := f.cfg.Clock.Now()
	avoided := func(address string) bool { return now.Before(avoid[address]) }
	relay := f.relay.Load().row
	peers := f.cfg.Members.View().Peers
	for _, address := range []string{parent(f.cfg.Self, relay, peers), relay.Address} {
		if address != "" && !avoided(address) {
			return address, true
		}
	}
	for _, near := range []bool{true, false} {
		var choice []string
		for i := range peers {
			p := &peers[i]
			if usable(p) && !avoided(p.PeerAddress) && (!near || p.FailureDomain == f.cfg.Self.FailureDomain) {
				choice = append(choice, p.PeerAddress)
			}
		}
		if len(choice) > 0 {
			return choice[rand.IntN(len(choice))], true
		}
	}
	return "", false
}

// parent returns the address of a VM's parent in the tree of its failure
// domain: the relay is the root, and the other VMs follow in order of ID, each
// with at most fanOut children. It is empty where the relay is unknown.
func parent(self member.Peer, relay relayRow, peers []member.Peer) string {
	if relay.Address == "" {
		return ""
	}
	// The root has place 0. The others count from 1.
	place := 1
	var others []*member.Peer
	for i := range peers {
		p := &peers[i]
		if !usable(p) || p.FailureDomain != self.FailureDomain || p.ID == relay.ID {
			continue
		}
		others = append(others, p)
		if p.ID < self.ID {
			place++
		}
	}
	above := (place - 1) / fanOut
	if above == 0 {
		return relay.Address
	}
	return others[above-1].PeerAddress
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
