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
	// retryHistorySize is how many requests that may be retried a pool remembers.
	retryHistorySize = 4096
	// lowReserveDivisor sets the fraction of the permits that requests of the low
	// class leave free: 1/lowReserveDivisor.
	lowReserveDivisor = 5
	// lowReserveTime is how long after the last request of a higher class they do so.
	lowReserveTime = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay in refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// inputs is what a decision depends on besides the pool's own state.
type inputs struct {
	now     clock.Time
	config  *config.Config
	members *member.View
	holding *lease.Holding
}

// assignment is where a granted request runs, until its release: on a target under a
// permit of a lease slot, or at a peer. shift is set if a traffic shift moved it.
type assignment struct {
	target  *localTarget
	slot    int
	peer    *member.Peer
	shift   *shift
	request *request
	started clock.Time
}

// request is a Request with its queue class, its deadline on the pool's clock and the
// peers that refused it.
type request struct {
	*Request
	class    queue.Class
	deadline clock.Time
	// refusedBy holds the incarnations of the peers that refused it.
	refusedBy []string
}

// waiter is a queued request. Once it is decided, either assignment or refusal is set.
type waiter struct {
	request    *request
	entry      *entry
	assignment *assignment
	refusal    *outcome.Refusal
	// decided is closed when the pool has decided on the request, but not by abandon.
	decided chan struct{}
}

type entry = queue.Entry[*waiter]

// pool is the state machine that dispatches the requests of one pool on one VM. It reads
// no clock, does no I/O and starts no goroutines. The caller must serialize the calls.
type pool struct {
	name         string
	settings     Config
	targets      []target.Target
	localTargets []*localTarget
	peers        peers
	links        *links
	queue        *queue.Queue[*waiter]
	shifts       []*shift
	latency      movingAverage
	routeLatency map[string]*movingAverage
	// retried maps the ID of a request that may be retried to the incarnations of the
	// peers that refused it.
	retried *simplelru.LRU[string, []string]

	config   *config.Config
	holdDown time.Duration
	// undrainedRegions holds the regions with at least one target that is not drained.
	undrainedRegions map[string]bool
	drainedVMs       map[string]bool
	slotRegions      []string
	usableSlots      []int
	usableScratch    []int
	// retired is when this VM gave up lease slots. A slot that it has taken again since
	// then may be used.
	retired map[int]clock.Time
	// trustDownReports is whether targets that report to be down are treated as down.
	trustDownReports bool
	// seenUrgent is set once a request above the low class has arrived; lastUrgent is
	// when the last one did.
	seenUrgent bool
	lastUrgent clock.Time
	counts     counts
}

// counts are the totals of a pool since the start of the process.
type counts struct {
	granted, handedOver, queued, refused, expired int64
}

func newPool(c Config, p target.Pool, l *links, seed uint64) *pool {
	retried, err := simplelru.NewLRU[string, []string](retryHistorySize, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	s := &pool{
		name: p.Name, settings: c, targets: p.Targets, links: l, retried: retried, retired: map[int]clock.Time{}, routeLatency: map[string]*movingAverage{}, trustDownReports: true,
		peers: newPeers(c, p.Name, seed),
		queue: queue.New[*waiter](queue.Config{Capacity: c.QueueCapacity, MinShares: queue.DefaultMinShares}),
	}
	for _, t := range p.Targets {
		if t.Region == c.Self.Region {
			s.localTargets = append(s.localTargets, &localTarget{Target: t})
		}
	}
	return s
}

// update applies changes of the configuration, the members and the lease slots.
func (p *pool) update(in inputs) {
	p.peers.update(in.members)
	if p.config != in.config {
		p.configure(in)
	}
	if len(p.slotRegions) != in.holding.Total {
		p.slotRegions = permit.SlotRegions(p.settings.Regions, in.holding.Total)
	}
	p.usableScratch = usableSlots(p.usableScratch[:0], in.holding, p.slotRegions, p.settings.Self.Region, in.now, p.holdDown, p.retired)
	if !slices.Equal(p.usableScratch, p.usableSlots) {
		p.usableSlots = append(p.usableSlots[:0], p.usableScratch...)
		for _, t := range p.localTargets {
			t.setUsableSlots(p.usableSlots, p.slotRegions)
		}
	}
}

func (p *pool) configure(in inputs) {
	p.config = in.config
	p.holdDown = min(p.settings.MaxHoldDown, longestTimeout(in.config, p.name))
	p.shifts = updateShifts(in.config, p.name, p.settings.Self.Region, p.shifts, in.now)
	p.drainedVMs = drainedVMs(in.config)
	p.undrainedRegions = map[string]bool{}
	for _, t := range p.targets {
		if !drained(in.config, t) {
			p.undrainedRegions[t.Region] = true
		}
	}
	for _, t := range p.localTargets {
		t.drained = drained(in.config, t.Target)
	}
}

// acquire assigns, queues or refuses a request: exactly one of its results is set.
func (p *pool) acquire(in inputs, r *request) (*assignment, *waiter, *outcome.Refusal) {
	p.update(in)
	if !r.HandedOver && !p.restoreRefusals(r) {
		if a := p.tryShift(in, r); a != nil {
			return a, nil, nil
		}
	}
	if r.class != queue.Low {
		p.seenUrgent, p.lastUrgent = true, in.now
	}
	if p.queue.Len() == 0 && (r.class != queue.Low || p.hasRoomForLow(in.now)) {
		if t := p.pick(in.now, r.TriedTargets); t != nil {
			return p.grantTarget(in.now, t, r), nil, nil
		}
	}
	a, w, refusal := p.enqueue(in, r)
	if w == nil {
		return a, nil, refusal
	}
	p.serveQueue(in) // requests of the low class may wait although permits are free
	return nil, w, nil
}

// restoreRefusals sets the peers that refused earlier attempts of the request, and
// reports whether the request is a retry.
func (p *pool) restoreRefusals(r *request) bool {
	if p.retried.Len() == 0 || r.ID == "" {
		return len(r.TriedTargets) > 0
	}
	refusedBy, ok := p.retried.Get(r.ID)
	r.refusedBy = refusedBy
	return ok || len(r.TriedTargets) > 0
}

// tryShift counts the request in all shifts out of this region and hands it over if one of
// them may move a request now. It returns nil if the request stays.
func (p *pool) tryShift(in inputs, r *request) *assignment {
	var moved *assignment
	for _, s := range p.shifts {
		s.countSeen()
		if moved != nil || !s.hasCredit() {
			continue
		}
		peer := p.peers.choose(math.MaxInt64, p.peers.reportedRoom(in.now), func(peer *member.Peer) bool {
			return peer.Region == s.To && p.reachable(in, r, peer)
		})
		if peer == nil {
			continue
		}
		s.spendCredit()
		moved = p.handOver(in.now, peer, r)
		moved.shift = s
	}
	return moved
}

// tryHandOver hands the request over to a peer, or returns nil. If this VM is busy, it
// chooses a peer that reports free permits and that is reached and back before the
// estimated wait here ends. If this VM has no usable target, it chooses any peer
// within the window.
func (p *pool) tryHandOver(in inputs, r *request, wait time.Duration) *assignment {
	if r.HandedOver {
		return nil
	}
	noUsableTarget := p.hasNoUsableTarget(in.now)
	maxCost, room := wait/2, p.peers.reportedRoom(in.now) // the wait must cover the way there and back
	if noUsableTarget {
		maxCost, room = math.MaxInt64, p.peers.windowRoom
	}
	peer := p.peers.choose(maxCost, room, func(peer *member.Peer) bool {
		return p.reachable(in, r, peer) && (noUsableTarget || !p.atShiftCap(peer.Region))
	})
	if peer == nil {
		return nil
	}
	for _, s := range p.shifts {
		if s.To != peer.Region {
			continue
		}
		if noUsableTarget {
			s.evacuated++
		} else {
			s.spendCredit()
		}
	}
	return p.handOver(in.now, peer, r)
}

// reachable reports whether the request may go to the peer: the peer is not drained and
// did not refuse the request, its region has targets that are not drained, and the link
// to the region has capacity.
func (p *pool) reachable(in inputs, r *request, peer *member.Peer) bool {
	if !p.undrainedRegions[peer.Region] || p.drainedVMs[peer.ID] || slices.Contains(r.refusedBy, peer.Incarnation) {
		return false
	}
	return peer.Region == p.settings.Self.Region || p.links.hasCapacity(peer.Region, p.peers.regionVMs)
}

// atShiftCap reports whether the cap of a shift keeps further requests from the region.
// Requests that go there only because this VM is busy count as shifted, because they
// load the destination in the same way. The cap does not apply to requests that cannot
// run in this region at all.
func (p *pool) atShiftCap(region string) bool {
	for _, s := range p.shifts {
		if s.To == region && !s.hasCredit() {
			return true
		}
	}
	return false
}

// pick returns the target with a free permit and the lowest estimated latency, or nil. It
// skips the targets in tried, on which the request failed.
func (p *pool) pick(now clock.Time, tried []string) *localTarget {
	if len(p.localTargets) == 0 {
		return nil
	}
	var best *localTarget
	var bestLoad float64
	start := p.peers.rand.IntN(len(p.localTargets))
	for i := range p.localTargets {
		t := p.localTargets[(start+i)%len(p.localTargets)]
		if t.freePermits() == 0 || t.running >= t.allowed(now, p.trustDownReports) || slices.Contains(tried, t.ID) {
			continue
		}
		if load := p.load(t); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// load estimates the relative latency of one more request on the target.
func (p *pool) load(t *localTarget) float64 {
	latency := t.health.Latency()
	if latency == 0 {
		latency = p.meanLatency()
	}
	return float64(latency) * float64(t.running+1) / float64(t.held)
}

// capacity returns how many requests may now run at once under this VM's permits.
func (p *pool) capacity(now clock.Time) int {
	n := 0
	for _, t := range p.localTargets {
		n += t.allowed(now, p.trustDownReports)
	}
	return n
}

// running returns how many requests run under this VM's permits.
func (p *pool) running() int {
	n := 0
	for _, t := range p.localTargets {
		n += t.running
	}
	return n
}

// retire stops the use of a lease slot that this VM gives up, and reports whether no
// request runs under it.
func (p *pool) retire(in inputs, slot int) bool {
	p.retired[slot] = in.now
	p.update(in)
	for _, t := range p.localTargets {
		for _, s := range t.slots {
			if s.slot == slot && s.running > 0 {
				return false
			}
		}
	}
	return true
}

// freePermits returns how many more requests may now run under this VM's permits, after
// those that wait.
func (p *pool) freePermits(now clock.Time) int {
	n := 0
	for _, t := range p.localTargets {
		n += max(0, min(t.freePermits(), t.allowed(now, p.trustDownReports)-t.running))
	}
	return max(0, n-p.queue.Len())
}

func (p *pool) grantTarget(now clock.Time, t *localTarget, r *request) *assignment {
	p.counts.granted++
	return &assignment{target: t, slot: t.takePermit(), request: r, started: now}
}

func (p *pool) handOver(now clock.Time, peer *member.Peer, r *request) *assignment {
	p.counts.handedOver++
	p.peers.stateOf(peer).running++
	p.links.add(peer.Region, 1)
	return &assignment{peer: peer, request: r, started: now}
}
