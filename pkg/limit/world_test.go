package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
)

// mutation disables one mechanism, to show that the property depends on it.
type mutation uint8

const (
	noMutation mutation = iota
	// lenderKeeps lets the lender keep using what it lent.
	lenderKeeps
	// countFromResponse makes the borrower count a loan's duration from the arrival of the response.
	countFromResponse
	// fullOnTakeover fills the bucket of a slot that is taken over.
	fullOnTakeover
	// noDrainWait lets the new holder of a slot use it before the previous holder's loans have
	// ended.
	noDrainWait
	// lendsKept lets a VM lend its kept slots.
	lendsKept
	// fastClocks makes clocks differ by more than the margins cover.
	fastClocks
)

const (
	maxWorldVMs = 4
	worldSlots  = 5
	worldSteps  = 300
	// maxDrift is the relative clock drift that the margins cover.
	maxDrift = 0.019
)

// worldVM is one incarnation of a VM.
type worldVM struct {
	name   string
	budget *budget
	// config is the newest version known here; applied is the one in force in budget.
	config  *config.Account
	applied *config.Account
	slots   map[int]lease.Slot
	offset  clock.Time
	speed   float64
}

type worldSlot struct {
	holder *worldVM
	// vacantAt is the true time from which the slot may be taken if its lease is not renewed.
	vacantAt time.Duration
	// expiring reports that the holder does not renew the lease.
	expiring bool
	// used reports that the slot has had a holder.
	used bool
	// orphaned reports that the process of the last holder has ended.
	orphaned bool
}

type message struct {
	kind     loanKind
	from, to *worldVM
	q        *peerpb.AccountRequest
	r        *peerpb.AccountResponse
	sent     clock.Time // on the clock of from
}

// world simulates several VMs with adversarial timing. now is the true time.
type world struct {
	*rapid.T
	mutation     mutation
	now          time.Duration
	vms          []*worldVM
	slots        [worldSlots]worldSlot
	inFlight     []*message
	formerLimits []formerLimit
	audit        bucket
	ids          uint64
	processes    int
	violation    string
}

// formerLimit is a limit that still bounds loans until a time.
type formerLimit struct {
	share
	until time.Duration
}

func newWorld(t *rapid.T, m mutation) *world {
	w := &world{T: t, mutation: m, now: time.Hour}
	a := &config.Account{Name: "a", Rate: 50, Burst: 20}
	for range rapid.IntRange(2, maxWorldVMs).Draw(t, "VMs") {
		w.vms = append(w.vms, w.startProcess(a))
	}
	w.audit = bucket{share: share{a.Rate, a.Burst}, tokens: a.Burst, last: clock.Time(w.now)}
	for k := range worldSlots {
		w.take(k, w.vms[k%len(w.vms)])
	}
	// Some slots have been held for a while when the account is created. All budgets start under
	// the same version: a budget that starts under a raised limit assumes that it was always in
	// force.
	for range rapid.IntRange(0, 4).Draw(t, "slots taken before") {
		w.advance()
		w.takeover()
	}
	for _, v := range w.vms {
		w.sync(v)
	}
	return w
}

func (w *world) startProcess(a *config.Account) *worldVM {
	w.processes++
	drift := maxDrift
	if w.mutation == fastClocks {
		drift = 0.3
	}
	return &worldVM{
		name:   fmt.Sprint("vm-", w.processes),
		config: a, applied: a,
		slots:  map[int]lease.Slot{},
		offset: clock.Time(w.processes) * clock.Time(time.Hour),
		speed:  1 + drift*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(w.T, "speed"),
		budget: newBudget("a", func() uint64 { w.ids++; return w.ids }),
	}
}

func (w *world) clock(v *worldVM) clock.Time {
	return v.offset + clock.Time(float64(w.now)*v.speed)
}

// sync repeats what Service.sync does before each step of a VM.
func (w *world) sync(v *worldVM) clock.Time {
	now := w.clock(v)
	h := &lease.Holding{Total: worldSlots}
	for k := range worldSlots {
		if s, ok := v.slots[k]; ok {
			h.Slots = append(h.Slots, s)
		}
	}
	if v.applied != v.config {
		w.retireLimit(v)
		v.applied = v.config
	}
	v.budget.setShares(v.config, h, now)
	return now
}

// retireLimit records that the version in force on v still bounds what was lent.
func (w *world) retireLimit(v *worldVM) {
	s := share{v.applied.Rate, v.applied.Burst}
	w.formerLimits = append(w.formerLimits, formerLimit{s, w.now + loanDrainTime + time.Second})
}

func (w *world) take(k int, v *worldVM) {
	s := &w.slots[k]
	now := w.clock(v)
	// A kept slot is usable at once by the VM's next process, but not if a live VM releases it:
	// that VM still counts the slot's rate until its next step.
	kept := k%2 == 0
	fresh := !s.used || (kept && s.orphaned) || w.mutation == noDrainWait
	v.slots[k] = lease.Slot{Index: k, Since: now, Until: never, Settled: fresh, Kept: kept && w.mutation != lendsKept}
	if s.used && w.mutation == fullOnTakeover {
		v.slots[k] = lease.Slot{Index: k, Since: now.Add(-loanDrainTime), Until: never}
		w.sync(v)
		v.budget.tokens = v.budget.net.capacity
	}
	*s = worldSlot{holder: v, used: true}
}

// takeover changes the holder of a slot: the holder releases it or lets its lease end, or the slot
// is vacant already.
func (w *world) takeover() {
	k := rapid.IntRange(0, worldSlots-1).Draw(w.T, "slot")
	s := &w.slots[k]
	switch {
	case s.holder != nil && !s.expiring && rapid.Bool().Draw(w.T, "release"):
		delete(s.holder.slots, k)
		s.holder = nil
		if rapid.Bool().Draw(w.T, "taken at once") {
			w.take(k, w.pick("taker"))
		}
	case s.holder != nil && !s.expiring:
		left := time.Duration(rapid.IntRange(0, 3000).Draw(w.T, "left")) * time.Millisecond
		x := s.holder.slots[k]
		x.Until = w.clock(s.holder).Add(left)
		s.holder.slots[k] = x
		s.expiring = true
		s.vacantAt = w.now + time.Duration(float64(left)/s.holder.speed) + time.Millisecond
	case s.holder == nil || w.now >= s.vacantAt:
		w.take(k, w.pick("taker"))
	}
}

// replace kills a VM's process and starts another one. The slots are free at once, as the death is
// proven.
func (w *world) replace() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.T, "killed")
	old := w.vms[i]
	var inherited []int
	for k := range w.slots {
		if w.slots[k].holder == old {
			w.slots[k] = worldSlot{used: true, orphaned: true}
			inherited = append(inherited, k)
		}
	}
	w.retireLimit(old)
	w.vms[i] = w.startProcess(rapid.SampledFrom(w.vms).Draw(w.T, "config of").config)
	// The VM's next process holds the kept slots.
	for _, k := range inherited {
		if k%2 == 0 {
			w.take(k, w.vms[i])
		}
	}
	w.sync(w.vms[i])
	kept := w.inFlight[:0]
	for _, m := range w.inFlight {
		if m.from != old && m.to != old {
			kept = append(kept, m)
		}
	}
	w.inFlight = kept
}

func (w *world) pick(label string) *worldVM { return rapid.SampledFrom(w.vms).Draw(w.T, label) }

// configure changes the limit on one VM, and sometimes on all of them.
func (w *world) configure() {
	v := w.pick("configured")
	if rapid.Bool().Draw(w.T, "same as another") {
		v.config = w.pick("same").config
		return
	}
	next := &config.Account{
		Name:  "a",
		Rate:  float64(rapid.SampledFrom([]int{1, 5, 50, 500}).Draw(w.T, "rate")),
		Burst: float64(rapid.SampledFrom([]int{1, 5, 20, 100}).Draw(w.T, "burst")),
	}
	v.config = next
	if rapid.Bool().Draw(w.T, "everywhere") {
		for _, o := range w.vms {
			o.config = next
		}
	}
}

// bound returns the largest limit that is in force on any VM, or that was in force and still has
// loans running. Rates count on the VMs' clocks, so the fastest clock determines the rate.
func (w *world) bound() share {
	var s share
	for _, v := range w.vms {
		s.rate, s.capacity = max(s.rate, v.applied.Rate), max(s.capacity, v.applied.Burst)
	}
	for _, f := range w.formerLimits {
		if w.now < f.until {
			s.rate, s.capacity = max(s.rate, f.rate), max(s.capacity, f.capacity)
		}
	}
	s.rate *= 1 + maxDrift
	return s
}

func (w *world) advance() {
	d := time.Duration(rapid.SampledFrom([]int{1, 5, 20, 100, 500, 1500, 4000}).Draw(w.T, "ms")) * time.Millisecond
	w.audit.share = w.bound()
	w.now += d
	w.refill()
}

// refill brings the audit to now. A limit that ends during an advance counts until its end.
func (w *world) refill() {
	w.audit.fill(clock.Time(w.now))
	w.audit.share = w.bound()
	w.audit.fill(clock.Time(w.now))
}

// admit sends a VM a random number of requests, until it refuses one.
func (w *world) admit() {
	v := w.pick("admits")
	now := w.sync(v)
	w.refill()
	for range rapid.IntRange(1, 30).Draw(w.T, "requests") {
		if !v.budget.take(now) {
			return
		}
		w.audit.tokens--
	}
	w.check()
}

// drain makes every VM admit all that it can at one instant.
func (w *world) drain() {
	for _, v := range w.vms {
		w.sync(v)
	}
	w.refill()
	for _, v := range w.vms {
		for now := w.sync(v); v.budget.take(now); {
			w.audit.tokens--
		}
	}
	w.check()
}

func (w *world) check() {
	if w.audit.tokens < -1e-6 && w.violation == "" {
		w.violation = fmt.Sprintf("at %v: %g more admitted than burst + rate*t", w.now, -w.audit.tokens)
	}
}

// exchange sends a request and delivers its response at once.
func (w *world) exchange() {
	if m := w.send(); m != nil {
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
		m.r = w.serve(m)
		w.handleResponse(m)
	}
}

// send starts one of the three kinds of exchange between any two VMs. Any VM may take itself for
// the home.
func (w *world) send() *message {
	from, to := w.pick("from"), w.pick("to")
	if from == to {
		return nil
	}
	now := w.sync(from)
	kind := rapid.SampledFrom([]loanKind{collectLoan, demandLoan, tokenLoan}).Draw(w.T, "kind")
	from.budget.home = kind == collectLoan
	var q *peerpb.AccountRequest
	switch kind {
	case collectLoan:
		from.budget.home = rapid.IntRange(0, 4).Draw(w.T, "still home") > 0
		q = from.budget.collectRequest(to.name, now)
	case demandLoan:
		from.budget.demand.smoothed = float64(rapid.SampledFrom([]int{0, 40, 600}).Draw(w.T, "demand"))
		q = from.budget.shareRequest(to.name, now)
	case tokenLoan:
		from.budget.roundTrip = time.Duration(rapid.SampledFrom([]int{0, 50, 400}).Draw(w.T, "round trip")) * time.Millisecond
		from.budget.waiting = rapid.IntRange(1, 9).Draw(w.T, "waiting")
		q = from.budget.tokenRequest(0, now)
		from.budget.inFlight, from.budget.requested = 0, 0
	}
	if q == nil {
		return nil
	}
	m := &message{kind: kind, from: from, to: to, q: q, sent: now}
	w.inFlight = append(w.inFlight, m)
	return m
}

// deliver delivers a message in flight. Messages may be reordered, delayed or lost, and requests
// duplicated.
func (w *world) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.T, "message")
	m := w.inFlight[i]
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "twice", "lost"}).Draw(w.T, "delivery")
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	if fate == "lost" {
		return
	}
	if m.r != nil {
		w.handleResponse(m)
		return
	}
	if fate == "twice" {
		w.serve(m) // The response to the duplicate is dropped: its caller has returned.
	}
	r := w.serve(m)
	w.inFlight = append(w.inFlight, &message{kind: m.kind, from: m.from, to: m.to, q: m.q, r: r, sent: m.sent})
}

func (w *world) serve(m *message) *peerpb.AccountResponse {
	now := w.sync(m.to)
	b := m.to.budget
	b.home = rapid.Bool().Draw(w.T, "lender is home")
	tokens := b.tokens
	r := b.serve(m.q, m.from.name, now)
	if w.mutation == lenderKeeps {
		b.lent = nil
		b.recompute()
		b.tokens = min(b.net.capacity, tokens)
	}
	return r
}

func (w *world) handleResponse(m *message) {
	now := w.sync(m.from)
	sent := m.sent
	if w.mutation == countFromResponse {
		sent = now
	}
	switch m.kind {
	case tokenLoan:
		m.from.budget.handleTokenResponse(m.q, m.r, m.to.name, sent, now)
		m.from.budget.inFlight, m.from.budget.requested = 0, 0
	case collectLoan:
		m.from.budget.handleCollectResponse(m.q, m.r, m.to.name, sent, now)
	default:
		m.from.budget.applyResponse(m.kind, m.r, m.to.name, sent, now)
	}
}

// run takes random steps until the property is violated.
func (w *world) run() {
	steps := []func(){
		w.admit, w.drain, w.advance, w.advance, w.exchange, w.exchange, w.exchange, w.exchange, w.exchange,
		func() { w.send() }, w.deliver, w.deliver, w.deliver, w.takeover, w.replace, w.configure,
	}
	// Slots and limits change in some runs only, so that loans live long in the others.
	kinds := rapid.SampledFrom([]int{len(steps), len(steps) - 1, len(steps) - 2, len(steps) - 3}).Draw(w.T, "kinds")
	for range worldSteps {
		steps[rapid.IntRange(0, kinds-1).Draw(w.T, "step")]()
		if w.violation != "" {
			return
		}
	}
}

// TestMain raises rapid's default number of checks; its flag still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLimitHolds checks that in every window the fleet admits at most burst + rate*t, through lost,
// late and duplicated messages, drifting clocks, pauses, changes of slots and VMs, and limits that
// change at a different time on each VM.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, noMutation)
		w.run()
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// TestLimitNeedsEachMechanism checks that TestLimitHolds fails if any one of these mechanisms is
// disabled.
func TestLimitNeedsEachMechanism(t *testing.T) {
	names := map[mutation]string{
		lenderKeeps: "lender keeps using its loans", countFromResponse: "borrower counts from the response",
		fullOnTakeover: "full buckets after a takeover", noDrainWait: "no wait for loans after a takeover",
		lendsKept: "kept slots are lent", fastClocks: "clocks drift beyond the margin",
	}
	for m, name := range names {
		t.Run(name, func(t *testing.T) {
			for seed := range 20000 {
				if violation := runMutated(m, seed); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("the limit held without the mechanism")
		})
	}
}

// runMutated runs one world with a fixed seed.
func runMutated(m mutation, seed int) string {
	return rapid.Custom(func(t *rapid.T) string {
		w := newWorld(t, m)
		w.run()
		return w.violation
	}).Example(seed)
}
