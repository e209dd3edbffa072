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

// size is one of the two fixed settings of the brief.
type size struct {
	name     string
	regions  []string
	vms      int
	pool     string
	targets  int
	slots    int
	zone     time.Duration
	region   time.Duration
	deadline time.Duration
}

var (
	agencySize = size{"agency", []string{"muntenia", "transilvania", "moldova"}, 11, "registru", 20, 9,
		time.Millisecond, 12 * time.Millisecond, 5 * time.Second}
	studioSize = size{"studio", []string{"sic-east", "sic-west", "cal-south"}, 10, "lettere", 20, 9,
		500 * time.Microsecond, 55 * time.Millisecond, 10 * time.Second}
)

// policy is how a simulated VM dispatches.
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
	// coldFactor is how many times longer a cold target takes.
	coldFactor  = 4
	simAttempts = 4
	// mostPermits is no less than what one VM holds.
	mostPermits = 64
	// simSample is the time between two samples of the headroom.
	simSample = 100 * time.Millisecond
)

// simAccount is a simulated client account; its requests come to home more often.
type simAccount struct {
	name string
	rate float64
	home int
	// priority is normal where empty; slower is how many times the usual
	// service its requests take, 1 where 0.
	priority config.Priority
	slower   float64
}

// sim is a discrete-event run of one pool on all VMs of a fleet.
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
	// report, where set, is what a target says of itself at each heartbeat.
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
	waiting map[*ticket]func(*lent, *outcome.Refusal)
}

// simTarget runs as many requests as it has slots; more of them wait inside.
type simTarget struct {
	target.Target
	dead     bool
	running  int
	backlog  []func()
	most     int
	reported int
	served   int
	coldFor  int
}

// tally is what became of an account's requests.
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
		cost[r] = s.size.region
	}
	for i := range s.size.vms {
		self := peerVM(i, s.size.regions[i%3], 0)
		c := Config{Pools: []target.Pool{p}, Self: self, Regions: s.size.regions, RegionCost: cost}.withDefaults()
		vm := &simVM{peer: self, view: &member.View{Self: self}, holding: &lease.Holding{Total: slots},
			waiting: map[*ticket]func(*lent, *outcome.Refusal){}}
		vm.pool = newPool(c, p, newLinks(c.LinkRequests, c.Regions), uint64(i))
		s.vms = append(s.vms, vm)
	}
	taken := map[string]int{}
	layout := permit.SlotRegions(s.size.regions, slots)
	for slot, region := range layout {
		var local []*simVM
		for _, vm := range s.vms {
			if vm.peer.Region == region {
				local = append(local, vm)
			}
		}
		vm := local[taken[region]%len(local)]
		taken[region]++
		vm.holding.Slots = append(vm.holding.Slots, lease.Slot{Index: slot, Region: region, Until: forever, New: true})
		for _, t := range p.Targets {
			vm.permits += permit.Assign(t, layout)[slot]
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

// sampleHeadroom records the free part of the slots of the region that has the
// least of it, dead targets left out.
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

// heartbeat tells all VMs of all others, and takes the targets' reports.
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
	for _, b := range vm.pool.local {
		if t := s.targets[b.ID]; !t.dead {
			b.health.ApplyReport(s.now, s.report(t))
		}
	}
}

func (s *sim) tick() {
	for _, vm := range s.vms {
		vm.pool.tick(s.inputs(vm))
		s.settle(vm)
	}
}

// settle hands decided tickets on, in a fixed order.
func (s *sim) settle(vm *simVM) {
	var ready []*ticket
	for t := range vm.waiting {
		if t.lent != nil || t.refusal != nil {
			ready = append(ready, t)
		}
	}
	slices.SortFunc(ready, func(a, b *ticket) int { return slices.Compare([]byte(a.request.ID), []byte(b.request.ID)) })
	for _, t := range ready {
		answer := vm.waiting[t]
		delete(vm.waiting, t)
		answer(t.lent, t.refusal)
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

// entryVM is where a caller sends its request: 7 of 10 to the account's home
// region and the others anywhere, to VMs by their number of permits, as
// locate tells them.
func (s *sim) entryVM(a simAccount) *simVM {
	home := s.rand.Float64() < 0.7
	for {
		vm := s.vms[s.rand.IntN(len(s.vms))]
		if home && vm.peer.Region != s.size.regions[a.home%3] {
			continue
		}
		if s.rand.IntN(mostPermits) < vm.permits {
			return vm
		}
	}
}

// simCall is one request on its way.
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
		c.send(s.baseline(vm, c.request.Tried), func(res Result) { c.end(vm, res) })
		return
	}
	// A request may be granted more than once: each has a copy.
	r := *c.request
	s.acquire(vm, &r, func(l *lent, refusal *outcome.Refusal) { c.granted(vm, l, refusal) })
}

func (c *simCall) granted(vm *simVM, l *lent, refusal *outcome.Refusal) {
	s := c.sim
	if refusal != nil {
		s.results[c.account].refused++
		return
	}
	release := func(res Result) {
		s.release(vm, l, res)
		c.end(vm, res)
	}
	if l.peer == nil {
		c.send(s.targets[l.backend.ID], release)
		return
	}
	cost := vm.pool.peers.cost(l.peer.Region)
	handedOver := s.now
	peer := slices.IndexFunc(s.vms, func(o *simVM) bool { return o.peer.ID == l.peer.ID })
	s.after(cost, func() {
		c.runAt(s.vms[peer], cost, func(res Result) {
			res.Latency = s.now.Sub(handedOver)
			release(res)
		})
	})
}

// runAt is the part of a handed-over request on the peer.
func (c *simCall) runAt(vm *simVM, cost time.Duration, release func(Result)) {
	s := c.sim
	r := *c.request
	handedOver := *r.Request
	handedOver.HandedOver = true
	r.Request = &handedOver
	s.acquire(vm, &r, func(l *lent, refusal *outcome.Refusal) {
		if refusal != nil {
			s.after(cost, func() { release(Result{Outcome: outcome.NotRun, Status: refusal.Status}) })
			return
		}
		c.send(s.targets[l.backend.ID], func(res Result) {
			s.release(vm, l, res)
			s.after(cost, func() { release(res) })
		})
	})
}

// acquire asks the VM's pool and calls back with its decision.
func (s *sim) acquire(vm *simVM, r *request, decided func(*lent, *outcome.Refusal)) {
	l, t, refusal := vm.pool.acquire(s.inputs(vm), r)
	if t == nil {
		decided(l, refusal)
	} else {
		vm.waiting[t] = decided
		s.after(t.entry.Expires.Sub(s.now), func() {
			vm.pool.abandon(s.now, t)
			s.settle(vm)
		})
	}
	s.settle(vm)
}

func (s *sim) release(vm *simVM, l *lent, res Result) {
	vm.pool.release(s.inputs(vm), l, res)
	vm.pool.serve(s.inputs(vm))
	s.settle(vm)
}

// send runs the request on a target and calls back with its end.
func (c *simCall) send(t *simTarget, done func(Result)) {
	s := c.sim
	granted := s.now
	s.after(s.size.zone, func() {
		if t.dead {
			c.request.Tried = append(slices.Clone(c.request.Tried), t.ID)
			s.after(s.size.zone, func() { done(Result{Outcome: outcome.NotRun}) })
			return
		}
		t.run(s, c.slower, func() {
			s.after(s.size.zone, func() {
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
		if t.served++; t.served <= t.coldFor {
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
	t.most = max(t.most, t.running+len(t.backlog)+1)
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

// baseline picks a target of the VM's region, or of any where all its own
// failed.
func (s *sim) baseline(vm *simVM, tried []string) *simTarget {
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
