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
	// refusedPauseBase is how long this VM hands over no requests of a pool to a peer
	// that refused one, unless this VM has no usable target. The pause doubles with each
	// consecutive refusal.
	refusedPauseBase = 50 * time.Millisecond
	refusedPauseMax  = time.Second

	// A window bounds the requests that a VM without usable targets has in flight at
	// a peer, regardless of the free permits that the peer reports. It grows by one
	// after as many successes as its size and shrinks after refusals.
	windowStart    = 4
	windowMin      = 1
	windowDecrease = 0.8
	// windowInterval is the least time between two decreases, so that a burst of
	// refusals counts once.
	windowInterval = 50 * time.Millisecond
)

// peers chooses the VM that a request is handed over to.
type peers struct {
	pool string
	self member.Peer
	cost func(region string) time.Duration
	rand *rand.Rand

	view *member.View
	// regionVMs is the number of VMs of this region that are not known to be dead,
	// including this one.
	regionVMs int
	tiers     []tier
	state     map[string]*peerState
}

func newPeers(c Config, pool string, seed uint64) peers {
	return peers{
		pool: pool, self: c.Self, cost: c.cost, state: map[string]*peerState{},
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// cost returns the one-way time from this VM to another VM in the region.
func (c *Config) cost(region string) time.Duration {
	if region == c.Self.Region {
		return sameRegionCost
	}
	if d, ok := c.RegionCost[region]; ok {
		return d
	}
	return DefaultRegionCost
}

// tier holds the live peers that have the same cost.
type tier struct {
	cost  time.Duration
	peers []*member.Peer
}

// peerState is a peer's state as observed by this VM's own requests. It is more recent
// than the peer's heartbeat.
type peerState struct {
	running int
	// inHeartbeat is how many of the running requests were in flight when the view last
	// changed; the load in the peer's heartbeat may include them.
	inHeartbeat int
	refusals    int
	pausedUntil clock.Time
	window      float64
	decreased   clock.Time
}

// update groups the live peers by cost if the view has changed, and forgets the state of
// peers that are no longer listed.
func (p *peers) update(view *member.View) {
	if p.view == view {
		return
	}
	p.view = view
	byCost := map[time.Duration][]*member.Peer{}
	known := map[string]*peerState{}
	p.regionVMs = 1
	for i := range view.Peers {
		peer := &view.Peers[i]
		if old := p.state[peer.Incarnation]; old != nil {
			old.inHeartbeat = old.running
			known[peer.Incarnation] = old
		}
		if peer.State != member.Gone && peer.Region == p.self.Region {
			p.regionVMs++
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

// stateOf returns the state of a peer and creates it if there is none.
func (p *peers) stateOf(peer *member.Peer) *peerState {
	s := p.state[peer.Incarnation]
	if s == nil {
		s = &peerState{window: windowStart}
		p.state[peer.Incarnation] = s
	}
	return s
}

// choose picks two random peers of the lowest cost at which an allowed peer has room, and
// returns the one with more room. It returns nil if there is none up to maxCost.
func (p *peers) choose(maxCost time.Duration, room func(*member.Peer) float64, allowed func(*member.Peer) bool) *member.Peer {
	for _, t := range p.tiers {
		if t.cost > maxCost {
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

// reportedRoom returns a function that estimates how many more requests of this VM a peer
// can run: the free permits in the peer's last heartbeat minus the requests that this VM
// has handed over to it since. A peer that is paused after a refusal has no room.
func (p *peers) reportedRoom(now clock.Time) func(*member.Peer) float64 {
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
			free -= max(0, s.running-s.inHeartbeat)
		}
		return float64(free)
	}
}

// permits returns how many requests the peer may run at once according to its last
// heartbeat, or 1 if the heartbeat lists no pools.
func (p *peers) permits(peer *member.Peer) float64 {
	if len(peer.Pools) == 0 {
		return 1
	}
	return float64(loadOf(peer, p.pool).Permits)
}

// windowRoom returns the room of a peer for requests that cannot run in this VM's region
// at all: the free fraction of this VM's window for the peer. A peer that reports no
// permits has no room.
func (p *peers) windowRoom(peer *member.Peer) float64 {
	if p.permits(peer) == 0 {
		return 0
	}
	s := p.stateOf(peer)
	return (s.window - float64(s.running)) / s.window
}

// loadOf returns the peer's load in the pool at its last heartbeat.
func loadOf(peer *member.Peer, pool string) member.PoolLoad {
	for _, l := range peer.Pools {
		if l.Pool == pool {
			return l
		}
	}
	return member.PoolLoad{Pool: pool}
}

// recordRefusal pauses the peer and shrinks the window after the peer refused a request.
func (s *peerState) recordRefusal(now clock.Time) {
	pause := refusedPauseBase << min(s.refusals, 10)
	s.pausedUntil = now.Add(min(pause, refusedPauseMax))
	s.refusals++
	if now.Sub(s.decreased) >= windowInterval {
		s.decreased = now
		s.window = max(windowMin, s.window*windowDecrease)
	}
}

// recordSuccess resets the count of consecutive refusals and grows the window if at least
// half of it was in use. running includes the request that succeeded.
func (s *peerState) recordSuccess(running int) {
	s.refusals = 0
	if float64(running) >= s.window/2 {
		s.window += 1 / s.window
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
