package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/queue"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// historyLength is how many requests that may come again are remembered.
	historyLength = 4096
	// lowReserve is the part of the permits, as a divisor, that requests of the
	// low class leave free.
	lowReserve = 5
	// lowReserveTime is how long they do so after the last more urgent request.
	lowReserveTime = 10 * time.Second
	// leastRetryAfter and mostRetryAfter bound what refusals say.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
)

// inputs is what a decision reads besides the pool's own state.
type inputs struct {
	now     clock.Time
	config  *config.Config
	members *member.View
	holding *lease.Holding
}

// lent is the right that a grant stands for, until its release.
type lent struct {
	backend *backend
	slot    int
	peer    *member.Peer
	shift   *shift
	request *request
	started clock.Time
}

// request is a Request with its deadline on the pool's clock.
type request struct {
	*Request
	class    queue.Class
	deadline clock.Time
	// refusedBy holds the incarnations of the peers that refused it.
	refusedBy []string
}

// ticket is a waiting request. Once decided, lent or refusal is set.
type ticket struct {
	request *request
	entry   *entry
	lent    *lent
	refusal *outcome.Refusal
	// decided is for the owner of the pool, which closes it.
	decided chan struct{}
}

type entry = queue.Entry[*ticket]

// pool is the state machine that dispatches the requests of one pool on one
// VM. It has no clock, I/O or goroutine; its owner serializes the calls.
type pool struct {
	name     string
	settings Config
	targets  []target.Target
	local    []*backend
	peers    peers
	links    *links
	queue    *queue.Queue[*ticket]
	shifts   []*shift
	latency  average
	routes   map[string]*average
	// retried maps the ID of a request that may come again to the peers
	// that refused it.
	retried *simplelru.LRU[string, []string]

	config   *config.Config
	holdDown time.Duration
	// openIn holds the regions with targets that are not drained.
	openIn     map[string]bool
	drainedVMs map[string]bool
	layout     []string
	usable     []int
	scratch    []int
	// retired is when lease slots were given up; a slot that was taken again
	// since may be used.
	retired map[int]clock.Time
	// believing is whether targets that claim to be down are believed.
	believing bool
	// urgent is whether a request above the low class has come yet.
	urgent     bool
	lastUrgent clock.Time
	counts     counts
}

// counts are the totals of a pool since its start.
type counts struct {
	granted, handedOver, queued, refused, expired int64
}

func newPool(c Config, p target.Pool, l *links, seed uint64) *pool {
	retried, err := simplelru.NewLRU[string, []string](historyLength, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	s := &pool{
		name: p.Name, settings: c, targets: p.Targets, links: l, retried: retried, retired: map[int]clock.Time{}, routes: map[string]*average{}, believing: true,
		peers: newPeers(c, p.Name, seed),
		queue: queue.New[*ticket](queue.Config{Capacity: c.QueueCapacity, MinShares: queue.DefaultMinShares}),
	}
	for _, t := range p.Targets {
		if t.Region == c.Self.Region {
			s.local = append(s.local, &backend{Target: t})
		}
	}
	return s
}

// update takes in what has changed: configuration, members and lease slots.
func (p *pool) update(in inputs) {
	p.peers.update(in.members)
	if p.config != in.config {
		p.configure(in)
	}
	if len(p.layout) != in.holding.Total {
		p.layout = permit.SlotRegions(p.settings.Regions, in.holding.Total)
	}
	p.scratch = usableSlots(p.scratch[:0], in.holding, p.layout, p.settings.Self.Region, in.now, p.holdDown, p.retired)
	if !slices.Equal(p.scratch, p.usable) {
		p.usable = append(p.usable[:0], p.scratch...)
		for _, b := range p.local {
			b.hold(p.usable, p.layout)
		}
	}
}

func (p *pool) configure(in inputs) {
	p.config = in.config
	p.holdDown = min(p.settings.MaxHoldDown, longestTimeout(in.config, p.name))
	p.shifts = shiftsOf(in.config, p.name, p.settings.Self.Region, p.shifts, in.now)
	p.drainedVMs = drainedVMs(in.config)
	p.openIn = map[string]bool{}
	for _, t := range p.targets {
		if !drained(in.config, t) {
			p.openIn[t.Region] = true
		}
	}
	for _, b := range p.local {
		b.drained = drained(in.config, b.Target)
	}
}

// acquire decides on a request: exactly one of its results is set.
func (p *pool) acquire(in inputs, r *request) (*lent, *ticket, *outcome.Refusal) {
	p.update(in)
	if !r.HandedOver && !p.recall(r) {
		if l := p.tryShift(in, r); l != nil {
			return l, nil, nil
		}
	}
	if r.class != queue.Low {
		p.urgent, p.lastUrgent = true, in.now
	}
	if p.queue.Len() == 0 && (r.class != queue.Low || p.roomForLow(in.now)) {
		if b := p.pick(in.now, r.Tried); b != nil {
			return p.lend(in.now, b, r), nil, nil
		}
	}
	l, t, refusal := p.wait(in, r)
	if t == nil {
		return l, nil, refusal
	}
	p.serve(in) // requests of the low class may wait although permits are free
	return nil, t, nil
}

// recall completes a request that was here before.
func (p *pool) recall(r *request) bool {
	if p.retried.Len() == 0 || r.ID == "" {
		return len(r.Tried) > 0
	}
	refusedBy, ok := p.retried.Get(r.ID)
	r.refusedBy = refusedBy
	return ok || len(r.Tried) > 0
}

// tryShift counts the request with the shifts out of this region and moves it
// where one is due.
func (p *pool) tryShift(in inputs, r *request) *lent {
	var moved *lent
	for _, s := range p.shifts {
		s.see()
		if moved != nil || !s.due() {
			continue
		}
		peer := p.peers.choose(math.MaxInt64, p.peers.reported(in.now), func(peer *member.Peer) bool {
			return peer.Region == s.To && p.reachable(in, r, peer)
		})
		if peer == nil {
			continue
		}
		s.spend()
		moved = p.handOver(in.now, peer, r)
		moved.shift = s
	}
	return moved
}

// overflow hands the request to a peer, or returns nil: from a busy VM to one
// that reports room and is nearer than the end of the wait here, from a VM
// where nothing can run to any.
func (p *pool) overflow(in inputs, r *request, wait time.Duration) *lent {
	if r.HandedOver {
		return nil
	}
	evacuating := p.unreachable(in.now)
	mostCost, room := wait/2, p.peers.reported(in.now) // there and back
	if evacuating {
		mostCost, room = math.MaxInt64, p.peers.windowed
	}
	peer := p.peers.choose(mostCost, room, func(peer *member.Peer) bool {
		return p.reachable(in, r, peer) && (evacuating || !p.capped(peer.Region))
	})
	if peer == nil {
		return nil
	}
	for _, s := range p.shifts {
		if s.To != peer.Region {
			continue
		}
		if evacuating {
			s.evacuated++
		} else {
			s.spend()
		}
	}
	return p.handOver(in.now, peer, r)
}

// reachable reports whether the request may go to the peer: neither it nor all
// targets of its region are drained, and bandwidth to it is left.
func (p *pool) reachable(in inputs, r *request, peer *member.Peer) bool {
	if !p.openIn[peer.Region] || p.drainedVMs[peer.ID] || slices.Contains(r.refusedBy, peer.Incarnation) {
		return false
	}
	return peer.Region == p.settings.Self.Region || p.links.open(peer.Region, p.peers.zoneVMs)
}

// capped reports whether a shift keeps more requests from the region. Requests
// that go there only because this VM is busy count as shifted: they load the
// destination alike. Requests that can run nowhere here are not kept back.
func (p *pool) capped(region string) bool {
	for _, s := range p.shifts {
		if s.To == region && !s.due() {
			return true
		}
	}
	return false
}

// pick returns the backend with a free permit that is the least loaded for its
// latency, or nil. Targets that failed the request are left out.
func (p *pool) pick(now clock.Time, tried []string) *backend {
	if len(p.local) == 0 {
		return nil
	}
	var best *backend
	var bestLoad float64
	start := p.peers.rand.IntN(len(p.local))
	for i := range p.local {
		b := p.local[(start+i)%len(p.local)]
		if b.free() == 0 || b.running >= b.allowed(now, p.believing) || slices.Contains(tried, b.ID) {
			continue
		}
		if load := p.load(b); best == nil || load < bestLoad {
			best, bestLoad = b, load
		}
	}
	return best
}

// load estimates the relative time to an answer from the backend.
func (p *pool) load(b *backend) float64 {
	latency := b.health.Latency()
	if latency == 0 {
		latency = p.usualLatency()
	}
	return float64(latency) * float64(b.running+1) / float64(b.held)
}

// capacity returns how many requests may run here at once now.
func (p *pool) capacity(now clock.Time) int {
	n := 0
	for _, b := range p.local {
		n += b.allowed(now, p.believing)
	}
	return n
}

// running returns how many requests run here.
func (p *pool) running() int {
	n := 0
	for _, b := range p.local {
		n += b.running
	}
	return n
}

// retire ends the use of a lease slot that is being given up, and reports
// whether no request runs under it.
func (p *pool) retire(in inputs, slot int) bool {
	p.retired[slot] = in.now
	p.update(in)
	for _, b := range p.local {
		for _, s := range b.slots {
			if s.slot == slot && s.running > 0 {
				return false
			}
		}
	}
	return true
}

// freePermits returns how many more requests may run here now.
func (p *pool) freePermits(now clock.Time) int {
	n := 0
	for _, b := range p.local {
		n += max(0, min(b.free(), b.allowed(now, p.believing)-b.running))
	}
	return max(0, n-p.queue.Len())
}

func (p *pool) lend(now clock.Time, b *backend, r *request) *lent {
	p.counts.granted++
	return &lent{backend: b, slot: b.take(), request: r, started: now}
}

func (p *pool) handOver(now clock.Time, peer *member.Peer, r *request) *lent {
	p.counts.handedOver++
	p.peers.of(peer).running++
	p.links.add(peer.Region, 1)
	return &lent{peer: peer, request: r, started: now}
}
