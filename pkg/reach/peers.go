package reach

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/tunnel"
)

// peersFor returns the peers through which a request to a target may pass, the preferred one first.
func (r *Client) peersFor(l *target.Live, allowsRegion func(region string) bool) []*member.Peer {
	ranked := r.rankPeers(l, allowsRegion)
	return ranked[:min(len(ranked), maxPeersTried)]
}

// peersForCheck returns the nearest peer and a random other one: the nearest peers of all targets may
// have lost their links too.
func (r *Client) peersForCheck(l *target.Live) []*member.Peer {
	ranked := r.rankPeers(l, nil)
	if len(ranked) <= 2 {
		return ranked
	}
	return []*member.Peer{ranked[0], ranked[1+rand.IntN(len(ranked)-1)]}
}

// rankPeers returns the peers that carry tunnels in the allowed regions. Those near the target come first,
// so that the path is not longer than the direct one. Among peers that are equally near, each VM and
// target has its own order, which spreads the connections of a VM over the peers. Peers that are stopping
// come last, those that carry for longest first, because they break off what lasts longer.
func (r *Client) rankPeers(l *target.Live, allowsRegion func(region string) bool) []*member.Peer {
	type candidate struct {
		peer     *member.Peer
		distance int
		score    uint64
	}
	var candidates []candidate
	now := time.Now()
	seed := xxhash.Sum64String(r.cfg.VM) ^ l.Hash
	peers := r.cfg.Peers()
	r.mu.Lock()
	for i := range peers {
		p := &peers[i]
		if !p.Carries(now) || p.MissedHeartbeats > 0 || now.Before(r.avoided[p.ID]) || (allowsRegion != nil && !allowsRegion(p.Region)) {
			continue
		}
		candidates = append(candidates, candidate{p, r.distance(p, l), placement.Score(p.ID, seed)})
	}
	r.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.peer.State, b.peer.State), b.peer.CarriesUntil.Compare(a.peer.CarriesUntil),
			cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), strings.Compare(a.peer.ID, b.peer.ID))
	})
	out := make([]*member.Peer, len(candidates))
	for i, c := range candidates {
		out[i] = c.peer
	}
	return out
}

// distance orders the places of peers: the target's failure domain, its region, this VM's region, all
// others.
func (r *Client) distance(p *member.Peer, l *target.Live) int {
	switch {
	case p.FailureDomain == l.FailureDomain:
		return 0
	case p.Region == l.Region:
		return 1
	case p.Region == r.cfg.Region:
		return 2
	default:
		return 3
	}
}

// opinion is what peers say about a target.
type opinion int

const (
	unknown opinion = iota
	reached
	refused
)

// askPeers asks peers whether they can connect to a target. A single one that can outweighs the others.
func (r *Client) askPeers(ctx context.Context, l *target.Live, peers []*member.Peer) opinion {
	answers := make(chan opinion, len(peers))
	for _, p := range peers {
		go func() {
			c, err := r.cfg.Tunnels.Dial(ctx, p.PeerAddress, tunnelTarget(l))
			if err == nil {
				_ = c.Close() // only its success matters
				answers <- reached
				return
			}
			var e *tunnel.Error
			if errors.As(err, &e) && e.Reason == tunnel.TargetRefused {
				answers <- refused
				return
			}
			answers <- unknown
		}()
	}
	result := unknown
	for range peers {
		switch o := <-answers; o {
		case reached:
			return reached
		case refused:
			result = refused
		}
	}
	return result
}

// CloseUnusable closes the tunnels through peers that stopped answering heartbeats, and the idle ones
// through peers that carry no more connections. A peer that is stopping waits for its tunnels, so idle
// ones are kept only while this VM has no other path.
func (r *Client) CloseUnusable() {
	if r.cfg.Peers == nil {
		return
	}
	now, peers := time.Now(), r.cfg.Peers()
	needsLeaving := r.CutOff() && !slices.ContainsFunc(peers, func(p member.Peer) bool { return p.State == member.Live && p.Carries(now) })
	idle := map[string]bool{}
	for _, p := range peers {
		if p.State == member.Silent || p.State == member.Gone {
			r.cfg.Tunnels.CloseVia(p.PeerAddress)
		}
		if !p.Carries(now) || p.State == member.Leaving && !needsLeaving {
			idle[p.ID] = true
		}
	}
	r.cfg.Client.CloseIdleIn(func(pool string) bool {
		_, peer, ok := strings.Cut(pool, poolSeparator)
		return ok && idle[peer]
	})
}
