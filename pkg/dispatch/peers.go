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

	// A window bounds the requests that a VM without targets has at a peer,
	// whatever room the peer reports. It grows by one for each window of
	// answers and shrinks with refusals.
	windowStart    = 4
	windowLeast    = 1
	windowDecrease = 0.8
	// windowInterval is the least time between two decreases, so that one
	// burst of refusals counts once.
	windowInterval = 50 * time.Millisecond
)

// peers chooses the VM that a request is handed over to.
type peers struct {
	pool string
	self member.Peer
	cost func(region string) time.Duration
	rand *rand.Rand

	view *member.View
	// zoneVMs is how many VMs of this region may run, with this one.
	zoneVMs int
	tiers   []tier
	state   map[string]*peerState
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
	running int
	// shown is how many of the running ones its heartbeat can show.
	shown       int
	refusals    int
	pausedUntil clock.Time
	window      float64
	decreased   clock.Time
}

// update sorts the live peers by cost when the view has changed.
func (p *peers) update(view *member.View) {
	if p.view == view {
		return
	}
	p.view = view
	byCost := map[time.Duration][]*member.Peer{}
	known := map[string]*peerState{}
	p.zoneVMs = 1
	for i := range view.Peers {
		peer := &view.Peers[i]
		if old := p.state[peer.Incarnation]; old != nil {
			old.shown = old.running
			known[peer.Incarnation] = old
		}
		if peer.State != member.Gone && peer.Region == p.self.Region {
			p.zoneVMs++
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
		s = &peerState{window: windowStart}
		p.state[peer.Incarnation] = s
	}
	return s
}

// choose returns the better of two random peers with room at the least cost,
// or nil. allowed excludes peers.
func (p *peers) choose(mostCost time.Duration, room func(*member.Peer) float64, allowed func(*member.Peer) bool) *member.Peer {
	for _, t := range p.tiers {
		if t.cost > mostCost {
			return nil
		}
		if peer := p.chooseFrom(t.peers, room, allowed); peer != nil {
			return peer
		}
	}
	return nil
}

func (p *peers) chooseFrom(from []*member.Peer, room func(*member.Peer) float64, allowed func(*member.Peer) bool) *member.Peer {
	var best *member.Peer
	var bestRoom float64
	candidates := 0
	start := p.rand.IntN(len(from))
	for i := range from {
		peer := from[(start+i)%len(from)]
		r := room(peer)
		if r <= 0 || !allowed(peer) {
			continue
		}
		if best == nil || r > bestRoom {
			best, bestRoom = peer, r
		}
		if candidates++; candidates == 2 {
			break
		}
	}
	return best
}

// reported is the room of a peer for what is too much here: what was free at
// its last heartbeat less the requests that this VM has handed to it since.
func (p *peers) reported(now clock.Time) func(*member.Peer) float64 {
	return func(peer *member.Peer) float64 {
		free := peer.FreePermits
		if len(peer.Pools) > 0 {
			l := loadOf(peer, p.pool)
			free = l.Permits - l.Running - l.Queued
		}
		if s := p.state[peer.Incarnation]; s != nil {
			if now.Before(s.pausedUntil) {
				return 0
			}
			free -= max(0, s.running-s.shown)
		}
		return float64(free)
	}
}

// permits is how many requests the peer may run at once, by its last heartbeat;
// 1 where that does not say.
func (p *peers) permits(peer *member.Peer) float64 {
	if len(peer.Pools) == 0 {
		return 1
	}
	return float64(loadOf(peer, p.pool).Permits)
}

// windowed is the room of a peer for what cannot run here at all: the free part
// of this VM's window there. A peer that says it can run nothing has none.
func (p *peers) windowed(peer *member.Peer) float64 {
	if p.permits(peer) == 0 {
		return 0
	}
	s := p.of(peer)
	return (s.window - float64(s.running)) / s.window
}

// loadOf returns the peer's part of the pool at its last heartbeat.
func loadOf(peer *member.Peer, pool string) member.PoolLoad {
	for _, l := range peer.Pools {
		if l.Pool == pool {
			return l
		}
	}
	return member.PoolLoad{Pool: pool}
}

// refused notes that the peer had no permit after all.
func (s *peerState) refused(now clock.Time) {
	pause := refusedPauseBase << min(s.refusals, 10)
	s.pausedUntil = now.Add(min(pause, refusedPauseMax))
	s.refusals++
	if now.Sub(s.decreased) >= windowInterval {
		s.decreased = now
		s.window = max(windowLeast, s.window*windowDecrease)
	}
}

// ran notes that the peer ran a request, which was one of running.
func (s *peerState) ran(running int) {
	s.refusals = 0
	if float64(running) >= s.window/2 {
		s.window += 1 / s.window
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
