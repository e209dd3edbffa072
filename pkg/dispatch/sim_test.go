package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/queue"
	"crocusramp.dev/crocusramp/pkg/target"
)

// size describes one of the two reference fleets.
type size struct {
	name             string
	regions          []string
	vms              int
	pool             string
	targets          int
	slots            int
	sameRegionDelay  time.Duration
	crossRegionDelay time.Duration
	deadline         time.Duration
}

var (
	agencySize = size{"agency", []string{"muntenia", "transilvania", "moldova"}, 11, "registru", 20, 9,
		time.Millisecond, 12 * time.Millisecond, 5 * time.Second}
	studioSize = size{"studio", []string{"sic-east", "sic-west", "cal-south"}, 10, "lettere", 20, 9,
		500 * time.Microsecond, 55 * time.Millisecond, 10 * time.Second}
)

// policy is the way in which a simulated VM dispatches requests.
type policy string

const (
	policyFull   policy = "permits and fair queue"
	policyFIFO   policy = "permits, FIFO queue"
	policyRandom policy = "random target"
	policyLeast  policy = "least-loaded by report"
)

const (
	simHeartbeat = time.Second
	simService   = 80 * time.Millisecond // mean time of a request on a target
	simTick      = 50 * time.Millisecond
	// coldFactor multiplies the service time on a cold target.
	coldFactor  = 4
	simAttempts = 4
	// maxVMPermits is an upper bound on the permits of one VM.
	maxVMPermits = 64
	// simSample is the time between two samples of the headroom.
	simSample = 100 * time.Millisecond
)

// simAccount is a simulated client account. Most of its requests go to VMs of its home region.
type simAccount struct {
	name string
	rate float64
	home int
	// priority is normal if empty. slower multiplies the service time of its requests;
	// less than 1 counts as 1.
	priority config.Priority
	slower   float64
}

// sim is a discrete-event simulation of one pool on all VMs of a fleet.
type sim struct {
	size    size
	policy  policy
	rand    *rand.Rand
	now     clock.Time
	events  events
	vms     []*simVM
	targets map[string]*simTarget
	ids     []string
	config  *config.Config
	results map[string]*tally
	calls   int
	// report, if set, returns the load report of a target at each heartbeat.
	report func(*simTarget) health.Report
	// headroom holds the samples of sampleHeadroom since the warm-up.
	headroom []float64
	// countedFrom is the end of the warm-up.
	countedFrom clock.Time
}

type simVM struct {
	peer    member.Peer
	pool    *pool
	view    *member.View
	holding *lease.Holding
	// permits is the number of permits of its lease slots.
	permits int
	waiting map[*waiter]func(*assignment, *outcome.Refusal)
}

// simTarget runs as many requests as it has slots and queues the others.
type simTarget struct {
	target.Target
	dead            bool
	running         int
	backlog         []func()
	maxRequests     int
	reported        int
	served          int
	coldUntilServed int
}

// tally counts the results of an account's requests.
type tally struct {
	offered, done, refused int
	latency                []time.Duration
}

type event struct {
	at  clock.Time
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int      { return len(e.list) }
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newSim(z size, p policy, seed uint64) *sim {
	s := &sim{size: z, policy: p, rand: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*simTarget{},
		config: config.Empty(), results: map[string]*tally{}}
	for _, p := range []config.Priority{"", config.PriorityHigh, config.PriorityLow} {
		s.config.Routes[string(p)] = &config.Route{Name: string(p), PathPrefix: "/" + string(p), Pool: z.pool,
			Mode: config.ModeIdempotent, Priority: p, Timeout: z.deadline}
	}
	pool := target.Pool{Name: z.pool}
	for i := range z.targets {
		t := target.Target{ID: fmt.Sprintf("%s-%02d", z.pool, i), Region: z.regions[i%3],
			FailureDomain: fmt.Sprintf("%s-%d", z.regions[i%3], i/3%2), Slots: z.slots, Connections: 40 * z.slots}
		pool.Targets = append(pool.Targets, t)
		s.targets[t.ID] = &simTarget{Target: t}
		s.ids = append(s.ids, t.ID)
	}
	s.addVMs(pool)
	s.every(simHeartbeat, s.heartbeat)
	s.every(simSample, s.sampleHeadroom)
	s.every(simTick, s.tick)
	return s
}

func (s *sim) addVMs(p target.Pool) {
	const slots = 16
	cost := map[string]time.Duration{}
	for _, r := range s.size.regions {
		cost[r] = s.size.crossRegionDelay
	}
	for i := range s.size.vms {
		self := peerVM(i, s.size.regions[i%3], 0)
		c := Config{Pools: []target.Pool{p}, Self: self, Regions: s.size.regions, RegionCost: cost}.withDefaults()
		vm := &simVM{peer: self, view: &member.View{Self: self}, holding: &lease.Holding{Total: slots},
			waiting: map[*waiter]func(*assignment, *outcome.Refusal){}}
		vm.pool = newPool(c, p, newLinks(c.MaxLinkRequests, c.Regions), uint64(i))
		s.vms = append(s.vms, vm)
	}
	taken := map[string]int{}
	slotRegions := permit.SlotRegions(s.size.regions, slots)
	for slot, region := range slotRegions {
		var local []*simVM
		for _, vm := range s.vms {
			if vm.peer.Region == region {
				local = append(local, vm)
			}
		}
		vm := local[taken[region]%len(local)]
		taken[region]++
		vm.holding.Slots = append(vm.holding.Slots, lease.Slot{Index: slot, Region: region, Until: forever, Settled: true})
		for _, t := range p.Targets {
			vm.permits += permit.Assign(t, slotRegions)[slot]
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.events.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.events.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	do()
	s.after(d, func() { s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events.list) > 0 && s.events.list[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) inputs(vm *simVM) inputs {
	return inputs{now: s.now, config: s.config, members: vm.view, holding: vm.holding}
}

// sampleHeadroom records the smallest free fraction of the slots of any region. It leaves
// out dead targets.
func (s *sim) sampleHeadroom() {
	slots, running := map[string]int{}, map[string]int{}
	for _, t := range s.targets {
		if !t.dead {
			slots[t.Region] += t.Slots
			running[t.Region] += min(t.running, t.Slots)
		}
	}
	least := 1.0
	for region, n := range slots {
		least = min(least, 1-float64(running[region])/float64(n))
	}
	s.headroom = append(s.headroom, least)
}

// heartbeat exchanges the load of all VMs and applies the reports of all targets.
func (s *sim) heartbeat() {
	for _, t := range s.targets {
		t.reported = t.running + len(t.backlog)
	}
	for _, vm := range s.vms {
		s.poll(vm)
		view := &member.View{Self: vm.peer, Complete: true}
		for _, other := range s.vms {
			if other != vm {
				p := other.peer
				p.Pools = []member.PoolLoad{{Pool: s.size.pool, Permits: other.pool.capacity(s.now),
					Running: other.pool.running(), Queued: other.pool.queue.Len()}}
				view.Peers = append(view.Peers, p)
			}
		}
		vm.view = view
	}
}

func (s *sim) poll(vm *simVM) {
	if s.report == nil {
		return
	}
	for _, local := range vm.pool.localTargets {
		if t := s.targets[local.ID]; !t.dead {
			local.health.ApplyReport(s.now, s.report(t))
		}
	}
}

func (s *sim) tick() {
	for _, vm := range s.vms {
		vm.pool.tick(s.inputs(vm))
		s.deliverDecisions(vm)
	}
}

// deliverDecisions calls back the waiters that have been decided, in order of request ID so
// that runs are reproducible.
func (s *sim) deliverDecisions(vm *simVM) {
	var ready []*waiter
	for w := range vm.waiting {
		if w.assignment != nil || w.refusal != nil {
			ready = append(ready, w)
		}
	}
	slices.SortFunc(ready, func(a, b *waiter) int { return slices.Compare([]byte(a.request.ID), []byte(b.request.ID)) })
	for _, w := range ready {
		decided := vm.waiting[w]
		delete(vm.waiting, w)
		decided(w.assignment, w.refusal)
	}
}

// offer starts a Poisson stream of the account's requests.
func (s *sim) offer(a simAccount) {
	if s.results[a.name] == nil {
		s.results[a.name] = &tally{}
	}
	s.after(time.Duration(s.rand.ExpFloat64()/a.rate*float64(time.Second)), func() {
		s.arrive(a)
		s.offer(a)
	})
}

func (s *sim) arrive(a simAccount) {
	vm := s.entryVM(a)
	s.calls++
	s.results[a.name].offered++
	c := &simCall{sim: s, account: a.name, started: s.now, request: &request{
		Request: &Request{ID: fmt.Sprintf("%09d", s.calls), Account: a.name, Weight: 1, Route: s.config.Routes[string(a.priority)]},
		class:   queue.ClassOf(a.priority), deadline: s.now.Add(s.size.deadline),
	}, slower: max(1, a.slower)}
	if s.policy == policyFIFO {
		c.request.Account, c.request.class = "", queue.Normal
	}
	c.dispatch(vm)
}

// entryVM picks the VM to which a caller sends its request. At least 7 of 10 requests go to
// the account's home region, the others to any region. Within these VMs the choice is
// weighted by the number of permits, as in the answers of locate.
func (s *sim) entryVM(a simAccount) *simVM {
	home := s.rand.Float64() < 0.7
	for {
		vm := s.vms[s.rand.IntN(len(s.vms))]
		if home && vm.peer.Region != s.size.regions[a.home%3] {
			continue
		}
		if s.rand.IntN(maxVMPermits) < vm.permits {
			return vm
		}
	}
}

// simCall is one request of a caller with its attempts.
type simCall struct {
	sim      *sim
	account  string
	started  clock.Time
	request  *request
	slower   float64
	attempts int
}

func (c *simCall) dispatch(vm *simVM) {
	s := c.sim
	c.attempts++
	switch s.policy {
	case policyRandom, policyLeast:
		c.send(s.pickBaseline(vm, c.request.TriedTargets), func(res Result) { c.end(vm, res) })
		return
	}
	// A request may be granted more than once; each grant needs its own copy.
	r := *c.request
	s.acquire(vm, &r, func(a *assignment, refusal *outcome.Refusal) { c.granted(vm, a, refusal) })
}

func (c *simCall) granted(vm *simVM, a *assignment, refusal *outcome.Refusal) {
	s := c.sim
	if refusal != nil {
		s.results[c.account].refused++
		return
	}
	release := func(res Result) {
		s.release(vm, a, res)
		c.end(vm, res)
	}
	if a.peer == nil {
		c.send(s.targets[a.target.ID], release)
		return
	}
	cost := vm.pool.peers.cost(a.peer.Region)
	handedOver := s.now
	peer := slices.IndexFunc(s.vms, func(o *simVM) bool { return o.peer.ID == a.peer.ID })
	s.after(cost, func() {
		c.runAt(s.vms[peer], cost, func(res Result) {
			res.Latency = s.now.Sub(handedOver)
			release(res)
		})
	})
}

// runAt runs a handed-over request on the peer.
func (c *simCall) runAt(vm *simVM, cost time.Duration, release func(Result)) {
	s := c.sim
	r := *c.request
	handedOver := *r.Request
	handedOver.HandedOver = true
	r.Request = &handedOver
	s.acquire(vm, &r, func(a *assignment, refusal *outcome.Refusal) {
		if refusal != nil {
			s.after(cost, func() { release(Result{Outcome: outcome.NotRun, Status: refusal.Status}) })
			return
		}
		c.send(s.targets[a.target.ID], func(res Result) {
			s.release(vm, a, res)
			s.after(cost, func() { release(res) })
		})
	})
}

// acquire asks the VM's pool for a decision and calls decided with it, now or later.
func (s *sim) acquire(vm *simVM, r *request, decided func(*assignment, *outcome.Refusal)) {
	a, w, refusal := vm.pool.acquire(s.inputs(vm), r)
	if w == nil {
		decided(a, refusal)
	} else {
		vm.waiting[w] = decided
		s.after(w.entry.Expires.Sub(s.now), func() {
			vm.pool.abandon(s.now, w)
			s.deliverDecisions(vm)
		})
	}
	s.deliverDecisions(vm)
}

func (s *sim) release(vm *simVM, a *assignment, res Result) {
	vm.pool.release(s.inputs(vm), a, res)
	vm.pool.serveQueue(s.inputs(vm))
	s.deliverDecisions(vm)
}

// send runs the request on a target and calls done with the result.
func (c *simCall) send(t *simTarget, done func(Result)) {
	s := c.sim
	granted := s.now
	s.after(s.size.sameRegionDelay, func() {
		if t.dead {
			c.request.TriedTargets = append(slices.Clone(c.request.TriedTargets), t.ID)
			s.after(s.size.sameRegionDelay, func() { done(Result{Outcome: outcome.NotRun}) })
			return
		}
		t.run(s, c.slower, func() {
			s.after(s.size.sameRegionDelay, func() {
				res := Result{Outcome: outcome.Done, Status: 200, Latency: s.now.Sub(granted)}
				if t.dead {
					res = Result{Outcome: outcome.Unknown}
				}
				done(res)
			})
		})
	})
}

func (t *simTarget) run(s *sim, slower float64, done func()) {
	start := func() {
		t.running++
		service := simService * time.Duration(1000*slower*math.Exp(0.7*s.rand.NormFloat64()-0.245)) / 1000
		if t.served++; t.served <= t.coldUntilServed {
			service *= coldFactor
		}
		s.after(service, func() {
			t.running--
			if len(t.backlog) > 0 {
				next := t.backlog[0]
				t.backlog = t.backlog[1:]
				next()
			}
			done()
		})
	}
	t.maxRequests = max(t.maxRequests, t.running+len(t.backlog)+1)
	if t.running < t.Slots {
		start()
		return
	}
	t.backlog = append(t.backlog, start)
}

func (c *simCall) end(vm *simVM, res Result) {
	s := c.sim
	late := !s.now.Before(c.request.deadline)
	tally := s.results[c.account]
	switch {
	case res.Outcome == outcome.Done && !late:
		tally.done++
		tally.latency = append(tally.latency, s.now.Sub(c.started))
	case res.Outcome != outcome.NotRun || late || c.attempts >= simAttempts:
		tally.refused++
	default:
		c.dispatch(vm)
	}
}

// pickBaseline picks a target for the policies without permits: of the VM's region, or of
// any region if the request failed on a target before.
func (s *sim) pickBaseline(vm *simVM, tried []string) *simTarget {
	var best *simTarget
	start := s.rand.IntN(len(s.ids))
	for i := range s.ids {
		t := s.targets[s.ids[(start+i)%len(s.ids)]]
		if slices.Contains(tried, t.ID) || len(tried) == 0 && t.Region != vm.peer.Region {
			continue
		}
		if best == nil || s.policy == policyLeast && t.reported < best.reported {
			best = t
		}
	}
	return best
}
