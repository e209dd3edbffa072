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
	// fanOut is how many VMs pull from one VM. An idle follower costs its source
	// 650 B/s of traffic and 0.3 ms/s of processor time; two levels of followers
	// reach 132 VMs.
	fanOut = 11
	// followRetryDelay is the delay after a pull that failed or found no peer.
	followRetryDelay = 100 * time.Millisecond
)

var errNotReady = errors.New("the peer has no configuration")

// pullResult is a peer's decoded response to a pull.
type pullResult struct {
	update update
	// storeUnreachable reports that the peer tried to reach the store and failed.
	storeUnreachable bool
	// relay is the relay of the peer's failure domain as known to the peer.
	relay         relayRow
	failureDomain string
	ready         bool
}

// follow pulls from this VM's source until ctx ends. A relay does not pull.
func (f *Feed) follow(ctx context.Context) {
	avoid := map[string]clock.Time{}
	for ctx.Err() == nil {
		address, ok := f.pullSource(avoid)
		if !ok {
			sleep(ctx, followRetryDelay)
			continue
		}
		result, err := f.pull(ctx, address, f.cfg.PullWait)
		now := f.cfg.Clock.Now()
		if err != nil || !result.ready || now.Sub(max(result.update.readAt, result.update.agreedAt)) > f.fallbackAge {
			avoid[address] = now.Add(f.cfg.RelayLease)
		}
		if err != nil || !result.ready {
			sleep(ctx, followRetryDelay)
			continue
		}
		f.cfg.Loop.Post(func() {
			f.applyUpdate(result.update)
			f.learnRelay(result)
		})
		f.waitForLoop(ctx)
	}
}

// waitForLoop waits until the loop has run the functions posted before, so that
// the next pull starts at the new version.
func (f *Feed) waitForLoop(ctx context.Context) { f.cfg.Loop.Call(ctx, func() {}) }

// learnRelay adopts the relay that a peer of the same failure domain reports.
// The lease in the table is read only when the relay fails. It runs on the loop.
func (f *Feed) learnRelay(result pullResult) {
	o := f.relay.Load()
	if f.isRelay() || result.relay.Address == "" || result.failureDomain != f.cfg.Self.FailureDomain || result.relay == o.row {
		return
	}
	if result.relay.Incarnation == f.cfg.Self.Incarnation {
		return
	}
	f.setRelay(observation{row: result.relay, revision: max(o.revision, 1), since: f.cfg.Clock.Now(), observed: true})
}

// pullSource returns the address of the peer to pull from: the parent in the
// tree below the relay, or else the relay, another VM of the failure domain, or
// any VM. It skips the addresses to avoid.
func (f *Feed) pullSource(avoid map[string]clock.Time) (string, bool) {
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
	for _, sameDomain := range []bool{true, false} {
		var candidates []string
		for i := range peers {
			p := &peers[i]
			if usable(p) && !avoided(p.PeerAddress) && (!sameDomain || p.FailureDomain == f.cfg.Self.FailureDomain) {
				candidates = append(candidates, p.PeerAddress)
			}
		}
		if len(candidates) > 0 {
			return candidates[rand.IntN(len(candidates))], true
		}
	}
	return "", false
}

// parent returns the address of a VM's parent in the tree of its failure
// domain: the relay is the root, and the other VMs follow in order of ID, each
// with at most fanOut children. It is empty if the relay is unknown.
func parent(self member.Peer, relay relayRow, peers []member.Peer) string {
	if relay.Address == "" {
		return ""
	}
	// The root has position 0; the other VMs count from 1.
	position := 1
	var others []*member.Peer
	for i := range peers {
		p := &peers[i]
		if !usable(p) || p.FailureDomain != self.FailureDomain || p.ID == relay.ID {
			continue
		}
		others = append(others, p)
		if p.ID < self.ID {
			position++
		}
	}
	parentPosition := (position - 1) / fanOut
	if parentPosition == 0 {
		return relay.Address
	}
	return others[parentPosition-1].PeerAddress
}

// usable reports whether the peer can be pulled from and pushed to.
func usable(p *member.Peer) bool {
	return p.PeerAddress != "" && (p.State == member.Live || p.State == member.Leaving)
}

// pull asks one peer for the changes after the current version. The peer may
// wait up to wait for one.
func (f *Feed) pull(ctx context.Context, address string, wait time.Duration) (pullResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.PeerTimeout)
	defer cancel()
	client := peerpb.NewConfigProtobufClient(f.cfg.PeerDialer.BaseURL(address), f.cfg.PeerDialer.HTTPClient())
	start := f.cfg.Clock.Now()
	resp, err := client.Pull(ctx, &peerpb.PullRequest{
		Have:   f.state.Load().version(),
		WaitMs: int32(wait.Milliseconds()),
	})
	f.meters.pulls.Inc(1)
	if err != nil {
		f.meters.pullErrors.Inc(1)
		return pullResult{}, fmt.Errorf("pull from %s: %w", address, err)
	}
	return decodePullResponse(resp, start)
}

// decodePullResponse decodes the response to a pull that was sent at start, by
// the caller's clock. The callee received the call at start or later and
// responded HeldUs after that. So what it knew at a given age before its
// response, it knew at start + held - age or later.
func decodePullResponse(resp *peerpb.PullResponse, start clock.Time) (pullResult, error) {
	result := pullResult{
		ready:            resp.Ready,
		storeUnreachable: resp.StoreUnreachable,
		failureDomain:    resp.FailureDomain,
		relay:            relayRow{ID: resp.RelayId, Incarnation: resp.RelayIncarnation, Address: resp.RelayAddress},
		update:           update{version: resp.Version, readAt: never, agreedAt: never},
	}
	if !resp.Ready {
		return result, nil
	}
	if len(resp.Snapshot) > 0 {
		c, err := config.Decode(resp.Snapshot)
		if err != nil {
			return pullResult{}, err
		}
		result.update.snapshot = c
	}
	entries, err := decodeEntries(resp.Changes)
	if err != nil {
		return pullResult{}, err
	}
	result.update.entries = entries
	at := start.Add(microseconds(max(0, resp.HeldUs)))
	if resp.ReadAgeUs >= 0 {
		result.update.readAt = at.Add(-microseconds(resp.ReadAgeUs))
	}
	if resp.AgreedAgeUs >= 0 {
		result.update.agreedAt = at.Add(-microseconds(resp.AgreedAgeUs))
	}
	return result, nil
}

// microseconds converts n to a duration and limits it, so that no value that a
// peer sends overflows.
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
