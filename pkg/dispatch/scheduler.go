package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/queue"
)

// Scheduler implements Dispatcher with a pool state machine for each pool.
type Scheduler struct {
	config Config
	pools  map[string]*lockedPool
	meters meters
}

var _ Dispatcher = (*Scheduler)(nil)

// lockedPool is a pool with the lock that serializes the calls to it.
type lockedPool struct {
	mu   sync.Mutex
	pool *pool
}

// waitSamples is the size of the reservoir of sampled queue waits.
const waitSamples = 1024

// meters are the metrics of the scheduler's decisions.
type meters struct {
	granted, handedOver, queued, refused metrics.Counter
	// wait is the time in the queue, in microseconds.
	wait metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return meters{
		granted:    metrics.GetOrRegisterCounter("dispatch.granted", r),
		handedOver: metrics.GetOrRegisterCounter("dispatch.handed_over", r),
		queued:     metrics.GetOrRegisterCounter("dispatch.queued", r),
		refused:    metrics.GetOrRegisterCounter("dispatch.refused", r),
		wait:       metrics.GetOrRegisterHistogram("dispatch.wait_us", r, metrics.NewUniformSample(waitSamples)),
	}
}

// NewScheduler returns a Scheduler. The caller must call Start to run its background work.
func NewScheduler(c Config) *Scheduler {
	c = c.withDefaults()
	if c.Seed == 0 {
		c.Seed = xxhash.Sum64String(c.Self.ID + "/" + c.Self.Incarnation)
	}
	s := &Scheduler{config: c, pools: map[string]*lockedPool{}, meters: newMeters(c.Metrics)}
	shared := newLinks(c.MaxLinkRequests, c.Regions)
	for i, p := range c.Pools {
		s.pools[p.Name] = &lockedPool{pool: newPool(c, p, shared, c.Seed+uint64(i))}
	}
	return s
}

// Acquire implements Dispatcher.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, *outcome.Refusal) {
	p := s.pools[r.Route.Pool]
	if p == nil {
		return nil, s.countRefusal(outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoCapacity, maxRetryAfter,
			"This VM has no pool of the route's name."))
	}
	in := s.inputs()
	remaining := time.Until(r.Deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return nil, s.countRefusal(refuseDeadline())
	}
	req := &request{Request: r, class: queue.ClassOf(r.Route.Priority), deadline: in.now.Add(remaining)}
	p.mu.Lock()
	a, w, refusal := p.pool.acquire(in, req)
	p.mu.Unlock()
	switch {
	case refusal != nil:
		return nil, s.countRefusal(refusal)
	case a != nil:
		return s.newGrant(p, a), nil
	}
	return s.awaitDecision(ctx, p, w, in.now)
}

// awaitDecision waits for the decision on a queued request. It removes the request from
// the queue when its entry expires or ctx ends.
func (s *Scheduler) awaitDecision(ctx context.Context, p *lockedPool, w *waiter, since clock.Time) (*Grant, *outcome.Refusal) {
	s.meters.queued.Inc(1)
	timer := time.NewTimer(w.entry.Expires.Sub(since))
	defer timer.Stop()
	select {
	case <-w.decided:
	case <-timer.C:
		s.abandon(p, w)
	case <-ctx.Done():
		s.abandon(p, w)
	}
	s.meters.wait.Update(s.config.Clock.Now().Sub(since).Microseconds())
	if w.refusal != nil {
		return nil, s.countRefusal(w.refusal)
	}
	return s.newGrant(p, w.assignment), nil
}

func (s *Scheduler) abandon(p *lockedPool, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.abandon(s.config.Clock.Now(), w)
}

func (s *Scheduler) countRefusal(r *outcome.Refusal) *outcome.Refusal {
	s.meters.refused.Inc(1)
	return r
}

// newGrant returns the Grant of an assignment. A second call of its Release does nothing.
func (s *Scheduler) newGrant(p *lockedPool, a *assignment) *Grant {
	g := &Grant{Peer: a.peer}
	if a.target != nil {
		g.Target = &a.target.Target
		s.meters.granted.Inc(1)
	} else {
		s.meters.handedOver.Inc(1)
	}
	var released atomic.Bool
	g.Release = func(res Result) {
		if !released.CompareAndSwap(false, true) {
			return
		}
		in := s.inputs()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool.release(in, a, res)
		p.pool.serveQueue(in)
	}
	return g
}

func (s *Scheduler) inputs() inputs {
	return inputs{
		config:  s.config.Config.Snapshot().Config,
		members: s.config.Members.View(),
		holding: s.config.LeaseSlots.Holding(),
		now:     s.config.Clock.Now(),
	}
}

// FreePermits returns how many more requests could now be granted a target of this VM's
// region, over all pools.
func (s *Scheduler) FreePermits() int {
	in := s.inputs()
	n := 0
	for _, p := range s.pools {
		p.mu.Lock()
		p.pool.update(in)
		n += p.pool.freePermits(in.now)
		p.mu.Unlock()
	}
	return n
}

// Retire stops the granting of permits of a lease slot that this VM gives up, even by a
// call of Acquire that has already read the old holding. It reports whether none of the
// slot's permits is in use.
func (s *Scheduler) Retire(slot int) bool {
	in := s.inputs()
	idle := true
	for _, p := range s.pools {
		p.mu.Lock()
		idle = p.pool.retire(in, slot) && idle
		p.mu.Unlock()
	}
	return idle
}

// PoolLoads returns this VM's load in each pool, sorted by name, for its heartbeats.
func (s *Scheduler) PoolLoads() []member.PoolLoad {
	in := s.inputs()
	loads := make([]member.PoolLoad, 0, len(s.pools))
	for _, name := range sortedKeys(s.pools) {
		p := s.pools[name]
		p.mu.Lock()
		p.pool.update(in)
		loads = append(loads, member.PoolLoad{
			Pool: name, Permits: p.pool.capacity(in.now), Running: p.pool.running(), Queued: p.pool.queue.Len(),
		})
		p.mu.Unlock()
	}
	return loads
}

// Start starts the background work, which runs until ctx ends: checking the queues and
// polling the targets. It returns immediately.
func (s *Scheduler) Start(ctx context.Context) {
	go s.runTicks(ctx)
	if s.config.PollInterval > 0 {
		s.startPolling(ctx)
	}
}

func (s *Scheduler) runTicks(ctx context.Context) {
	ticker := time.NewTicker(s.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Scheduler) tick() {
	in := s.inputs()
	for _, p := range s.pools {
		p.mu.Lock()
		p.pool.tick(in)
		p.mu.Unlock()
	}
}
