package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// refusedPauseBase is how long a peer gets nothing of a pool after it
	// refused; it doubles with each refusal in a row.
	refusedPauseBase = 50 * time.Millisecond
	refusedPauseMax  = time.Second
	// maxHandOvers is how many peers one request may be handed to in turn.
	maxHandOvers = 2
)

// peers chooses the VM that a request is handed over to.
type peers struct {
	pool string
	self member.Peer
	cost func(region string) time.Duration
	rand *rand.Rand

	view  *member.View
	tiers []tier
	state map[string]*peerState
}

func newPeers(c Config, pool string, seed uint64) peers {
	return peers{
		pool: pool, self: c.Self, cost: c.cost, state: map[string]*peerState{},
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// cost returns the one-way time to another VM of the region.
func (c *Config) cost(region string) time.Duration {
	if region == c.Self.Region {
		return zoneCost
	}
	if d, ok := c.RegionCost[region]; ok {
		return d
	}
	return DefaultRegionCost
}

// tier holds the live peers at one cost.
type tier struct {
	cost  time.Duration
	peers []*member.Peer
}

// peerState is what this VM knows of a peer from its own requests, which is
// newer than the peer's heartbeat.
type peerState struct {
	running     int
	refusals    int
	pausedUntil clock.Time
}

// update sorts the live peers by cost when the view has changed.
func (p *peers) update(view *member.View) {
	if p.view == view {
		return
	}
	p.view = view
	byCost := map[time.Duration][]*member.Peer{}
	known := map[string]*peerState{}
	for i := range view.Peers {
		peer := &view.Peers[i]
		if old := p.state[peer.Incarnation]; old != nil {
			known[peer.Incarnation] = old
		}
		if peer.State == member.Live && peer.Incarnation != p.self.Incarnation {
			c := p.cost(peer.Region)
			byCost[c] = append(byCost[c], peer)
		}
	}
	p.state = known
	p.tiers = p.tiers[:0]
	for _, c := range slices.Sorted(maps.Keys(byCost)) {
		p.tiers = append(p.tiers, tier{c, byCost[c]})
	}
}

// of returns the state of a peer, which it makes where there is none.
func (p *peers) of(peer *member.Peer) *peerState {
	s := p.state[peer.Incarnation]
	if s == nil {
		s = &peerState{}
		p.state[peer.Incarnation] = s
	}
	return s
}

// choose returns the better of two random peers with room at the least cost,
// or nil. allowed excludes peers. With blind, the reported room is ignored.
func (p *peers) choose(now clock.Time, mostCost time.Duration, blind bool, allowed func(*member.Peer) bool) *member.Peer {
	for _, t := range p.tiers {
		if t.cost > mostCost {
			return nil
		}
		if peer := p.chooseFrom(now, t.peers, blind, allowed); peer != nil {
			return peer
		}
	}
	return nil
}

func (p *peers) chooseFrom(now clock.Time, from []*member.Peer, blind bool, allowed func(*member.Peer) bool) *member.Peer {
	var best *member.Peer
	bestRoom, candidates := 0, 0
	start := p.rand.IntN(len(from))
	for i := range from {
		peer := from[(start+i)%len(from)]
		s := p.state[peer.Incarnation]
		room := p.room(peer, s)
		if room <= 0 && !blind || s != nil && now.Before(s.pausedUntil) || !allowed(peer) {
			continue
		}
		if best == nil || room > bestRoom {
			best, bestRoom = peer, room
		}
		if candidates++; candidates == 2 {
			break
		}
	}
	return best
}

// room is what the peer had free at its last heartbeat less the requests that
// run there for this VM, most of which the heartbeat does not show yet.
func (p *peers) room(peer *member.Peer, s *peerState) int {
	free := peer.FreePermits
	if len(peer.Pools) > 0 {
		free = freeIn(peer, p.pool)
	}
	if s != nil {
		free -= s.running
	}
	return free
}

func freeIn(peer *member.Peer, pool string) int {
	for _, l := range peer.Pools {
		if l.Pool == pool {
			return l.Permits - l.Running - l.Queued
		}
	}
	return 0
}

// refused notes that the peer had no permit after all.
func (s *peerState) refused(now clock.Time) {
	pause := refusedPauseBase << min(s.refusals, 10)
	s.pausedUntil = now.Add(min(pause, refusedPauseMax))
	s.refusals++
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
