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

// mutation takes one mechanism away, to show that the property needs it.
type mutation uint8

const (
	intact mutation = iota
	// lenderKeeps lets the lender go on using what it lent.
	lenderKeeps
	// countFromAnswer lets the borrower count a loan from its arrival.
	countFromAnswer
	// fullOnTakeover starts the buckets of a slot that was taken over full.
	fullOnTakeover
	// noSettle lets the taker of a slot use it before the former holder's
	// loans have ended.
	noSettle
	// lendsKept lets a VM lend the slots that it is to keep.
	lendsKept
	// fastClocks lets clocks differ by more than the margin covers.
	fastClocks
)

const (
	maxWorldVMs = 4
	worldSlots  = 5
	worldSteps  = 300
	// maxDrift is the deviation of a clock that the margins cover.
	maxDrift = 0.019
)

// worldVM is one incarnation of a VM.
type worldVM struct {
	name string
	book *book
	// config is the newest version here; applied is in force in book.
	config  *config.Account
	applied *config.Account
	slots   map[int]lease.Slot
	offset  clock.Time
	speed   float64
}

type worldSlot struct {
	holder *worldVM
	// vacantAt is the true time from which it may be taken, if renewal ended.
	vacantAt time.Duration
	expiring bool
	used     bool
	// orphaned says that the last holder's process has ended.
	orphaned bool
}

type message struct {
	kind     loanKind
	from, to *worldVM
	q        *peerpb.AccountRequest
	r        *peerpb.AccountResponse
	sent     clock.Time // on the clock of from
}

// world runs the books of several VMs with hostile timing. now is true time.
type world struct {
	*rapid.T
	mutation mutation
	now      time.Duration
	vms      []*worldVM
	slots    [worldSlots]worldSlot
	flight   []*message
	former   []formerLimit
	audit    bucket
	ids      uint64
	born     int
	broken   string
}

// formerLimit is a version that was in force somewhere until a time.
type formerLimit struct {
	share
	until time.Duration
}

func newWorld(t *rapid.T, m mutation) *world {
	w := &world{T: t, mutation: m, now: time.Hour}
	a := &config.Account{Name: "a", Rate: 50, Burst: 20}
	for range rapid.IntRange(2, maxWorldVMs).Draw(t, "VMs") {
		w.vms = append(w.vms, w.boot(a))
	}
	w.audit = bucket{share: share{a.Rate, a.Burst}, tokens: a.Burst, last: clock.Time(w.now)}
	for k := range worldSlots {
		w.take(k, w.vms[k%len(w.vms)])
	}
	// Slots have been held for a while, or not, when the account is made. All
	// books start under the same version: one that starts under a raised limit
	// takes it for one that was always in force.
	for range rapid.IntRange(0, 4).Draw(t, "slots taken before") {
		w.advance()
		w.takeover()
	}
	for _, v := range w.vms {
		w.sync(v)
	}
	return w
}

func (w *world) boot(a *config.Account) *worldVM {
	w.born++
	drift := maxDrift
	if w.mutation == fastClocks {
		drift = 0.3
	}
	return &worldVM{
		name:   fmt.Sprint("vm-", w.born),
		config: a, applied: a,
		slots:  map[int]lease.Slot{},
		offset: clock.Time(w.born) * clock.Time(time.Hour),
		speed:  1 + drift*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(w.T, "speed"),
		book:   newBook("a", func() uint64 { w.ids++; return w.ids }),
	}
}

func (w *world) clock(v *worldVM) clock.Time {
	return v.offset + clock.Time(float64(w.now)*v.speed)
}

// sync does before each step of a VM what Service.sync does.
func (w *world) sync(v *worldVM) clock.Time {
	now := w.clock(v)
	h := &lease.Holding{Total: worldSlots}
	for k := range worldSlots {
		if s, ok := v.slots[k]; ok {
			h.Slots = append(h.Slots, s)
		}
	}
	if v.applied != v.config {
		w.retire(v)
		v.applied = v.config
	}
	v.book.setShares(v.config, h, now)
	return now
}

// retire notes that the version in force on v still bounds what was lent.
func (w *world) retire(v *worldVM) {
	s := share{v.applied.Rate, v.applied.Burst}
	w.former = append(w.former, formerLimit{s, w.now + settleTime + time.Second})
}

func (w *world) take(k int, v *worldVM) {
	s := &w.slots[k]
	now := w.clock(v)
	// A kept slot is used at once by the next process, not where a live VM gives it away:
	// that one goes on counting its rate until its next step.
	kept := k%2 == 0
	fresh := !s.used || (kept && s.orphaned) || w.mutation == noSettle
	v.slots[k] = lease.Slot{Index: k, Since: now, Until: never, New: fresh, Kept: kept && w.mutation != lendsKept}
	if s.used && w.mutation == fullOnTakeover {
		v.slots[k] = lease.Slot{Index: k, Since: now.Add(-settleTime), Until: never}
		w.sync(v)
		v.book.tokens = v.book.net.capacity
	}
	*s = worldSlot{holder: v, used: true}
}

// takeover moves a slot: its holder releases it or lets its lease end, or it
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

// replace kills a VM; its slots are free at once by evidence of its death.
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
	w.retire(old)
	w.vms[i] = w.boot(rapid.SampledFrom(w.vms).Draw(w.T, "config of").config)
	// The next process of the VM has the slots that it keeps.
	for _, k := range inherited {
		if k%2 == 0 {
			w.take(k, w.vms[i])
		}
	}
	w.sync(w.vms[i])
	kept := w.flight[:0]
	for _, m := range w.flight {
		if m.from != old && m.to != old {
			kept = append(kept, m)
		}
	}
	w.flight = kept
}

func (w *world) pick(label string) *worldVM { return rapid.SampledFrom(w.vms).Draw(w.T, label) }

// configure changes the limit on one VM; the others keep theirs.
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

// bound is the largest limit that is in force on any VM, or was until the
// loans that were made under it have ended. A rate counts on the VMs' clocks,
// so the fastest of them sets it.
func (w *world) bound() share {
	var s share
	for _, v := range w.vms {
		s.rate, s.capacity = max(s.rate, v.applied.Rate), max(s.capacity, v.applied.Burst)
	}
	for _, f := range w.former {
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

// refill brings the audit to now. A limit that ends within an advance bounds
// it to its end.
func (w *world) refill() {
	w.audit.fill(clock.Time(w.now))
	w.audit.share = w.bound()
	w.audit.fill(clock.Time(w.now))
}

// admit lets a VM take what it can.
func (w *world) admit() {
	v := w.pick("admits")
	now := w.sync(v)
	w.refill()
	for range rapid.IntRange(1, 30).Draw(w.T, "requests") {
		if !v.book.take(now) {
			return
		}
		w.audit.tokens--
	}
	w.check()
}

// drain lets every VM take all that it can at one instant.
func (w *world) drain() {
	for _, v := range w.vms {
		w.sync(v)
	}
	w.refill()
	for _, v := range w.vms {
		for now := w.sync(v); v.book.take(now); {
			w.audit.tokens--
		}
	}
	w.check()
}

func (w *world) check() {
	if w.audit.tokens < -1e-6 && w.broken == "" {
		w.broken = fmt.Sprintf("at %v: %g more admitted than burst + rate*t", w.now, -w.audit.tokens)
	}
}

// exchange is a request that is answered at once.
func (w *world) exchange() {
	if m := w.send(); m != nil {
		w.flight = w.flight[:len(w.flight)-1]
		m.r = w.serve(m)
		w.answer(m)
	}
}

// send starts one of the three kinds of exchange between any two VMs. Any VM
// may believe that it is the home.
func (w *world) send() *message {
	from, to := w.pick("from"), w.pick("to")
	if from == to {
		return nil
	}
	now := w.sync(from)
	kind := rapid.SampledFrom([]loanKind{collected, relent, tokensOnly}).Draw(w.T, "kind")
	from.book.home = kind == collected
	var q *peerpb.AccountRequest
	switch kind {
	case collected:
		from.book.home = rapid.IntRange(0, 4).Draw(w.T, "still home") > 0
		q = from.book.collect(to.name, now)
	case relent:
		from.book.demand.smoothed = float64(rapid.SampledFrom([]int{0, 40, 600}).Draw(w.T, "demand"))
		q = from.book.relend(to.name, now)
	case tokensOnly:
		from.book.roundTrip = time.Duration(rapid.SampledFrom([]int{0, 50, 400}).Draw(w.T, "round trip")) * time.Millisecond
		from.book.waiting = rapid.IntRange(1, 9).Draw(w.T, "waiting")
		q = from.book.ask(0, now)
		from.book.asks, from.book.coming = 0, 0
	}
	if q == nil {
		return nil
	}
	m := &message{kind: kind, from: from, to: to, q: q, sent: now}
	w.flight = append(w.flight, m)
	return m
}

// deliver handles a message in flight: in any order, possibly late, lost or,
// if it is a request, twice.
func (w *world) deliver() {
	if len(w.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flight)-1).Draw(w.T, "message")
	m := w.flight[i]
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "twice", "lost"}).Draw(w.T, "fate")
	w.flight = append(w.flight[:i], w.flight[i+1:]...)
	if fate == "lost" {
		return
	}
	if m.r != nil {
		w.answer(m)
		return
	}
	if fate == "twice" {
		w.serve(m) // The second answer goes nowhere: its caller has gone on.
	}
	r := w.serve(m)
	w.flight = append(w.flight, &message{kind: m.kind, from: m.from, to: m.to, q: m.q, r: r, sent: m.sent})
}

func (w *world) serve(m *message) *peerpb.AccountResponse {
	now := w.sync(m.to)
	b := m.to.book
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

func (w *world) answer(m *message) {
	now := w.sync(m.from)
	sent := m.sent
	if w.mutation == countFromAnswer {
		sent = now
	}
	switch m.kind {
	case tokensOnly:
		m.from.book.asked(m.q, m.r, m.to.name, sent, now)
		m.from.book.asks, m.from.book.coming = 0, 0
	case collected:
		m.from.book.collectedFrom(m.q, m.r, m.to.name, sent, now)
	default:
		m.from.book.accept(m.kind, m.r, m.to.name, sent, now)
	}
}

// run takes random steps until the property breaks.
func (w *world) run() {
	steps := []func(){
		w.admit, w.drain, w.advance, w.advance, w.exchange, w.exchange, w.exchange, w.exchange, w.exchange,
		func() { w.send() }, w.deliver, w.deliver, w.deliver, w.takeover, w.replace, w.configure,
	}
	// Slots and limits change in some runs only: loans grow old in the others.
	kinds := rapid.SampledFrom([]int{len(steps), len(steps) - 1, len(steps) - 2, len(steps) - 3}).Draw(w.T, "kinds")
	for range worldSteps {
		steps[rapid.IntRange(0, kinds-1).Draw(w.T, "step")]()
		if w.broken != "" {
			return
		}
	}
}

// TestMain raises rapid's number of checks; its flag still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLimitHolds checks that in every window the fleet admits at most burst +
// rate*t, through lost, late and repeated messages, drifting clocks, pauses,
// slots and VMs that change hands, and limits that change at each VM in its
// own time.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, intact)
		w.run()
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

// TestLimitNeedsEachMechanism shows that TestLimitHolds would fail without
// any one of these mechanisms.
func TestLimitNeedsEachMechanism(t *testing.T) {
	names := map[mutation]string{
		lenderKeeps: "lender keeps using what it lent", countFromAnswer: "borrower counts from the answer",
		fullOnTakeover: "full buckets after a takeover", noSettle: "no wait after a takeover",
		lendsKept: "a slot that may be used at once was lent", fastClocks: "clocks drift beyond the margin",
	}
	for m, name := range names {
		t.Run(name, func(t *testing.T) {
			for seed := range 20000 {
				if broken := runMutated(m, seed); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
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
		return w.broken
	}).Example(seed)
}
