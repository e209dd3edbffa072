package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// mutation disables one mechanism, to show that the property depends on it.
type mutation uint8

const (
	intact mutation = iota
	// silentIsGone treats silent VMs as dead and takes their slots over.
	silentIsGone
	// dateRowFromReadStart dates a row from the start of the read instead of its end.
	dateRowFromReadStart
	// startLeaseAtResponse starts a lease when the response to the write arrives.
	startLeaseAtResponse
	// unknownIsSuccess treats a write of unknown outcome as successful.
	unknownIsSuccess
	// noMargin removes the margin for clock drift.
	noMargin
	// useWhileReleasing keeps using a slot until its release is confirmed.
	useWhileReleasing
)

const (
	worldSlots    = 3
	worldSteps    = 400
	worldDuration = 15 * time.Second
	// maxDrift is the largest relative speed error of a simulated clock; the margin covers it.
	maxDrift = 0.019
)

// stage is the progress of a VM's round.
type stage uint8

const (
	idle     stage = iota
	reading        // the read has been sent
	readDone       // the response to the read has arrived
	writing        // the write has been sent
)

// worldVM is one incarnation of a VM. Its round advances by one stage at a time; real time
// may pass between two stages.
type worldVM struct {
	*state
	peer   member.Peer
	view   *member.View
	offset clock.Time
	speed  float64

	stage  stage
	start  clock.Time
	items  []storage.Item
	writes []storage.Write
}

// delayedWrite is a write that the table may apply later.
type delayedWrite struct {
	vm     *worldVM
	writes []storage.Write
}

type leaseWorld struct {
	*rapid.T
	mutation  mutation
	now       time.Duration
	table     *memoryTable
	vms       []*worldVM
	delayed   []delayedWrite
	dead      []member.Peer
	started   int
	violation string
}

func newLeaseWorld(t *rapid.T, m mutation) *leaseWorld {
	w := &leaseWorld{T: t, mutation: m, table: newMemoryTable()}
	for range rapid.IntRange(2, 3).Draw(t, "VMs") {
		w.vms = append(w.vms, w.startVM())
	}
	return w
}

func (w *leaseWorld) startVM() *worldVM {
	w.started++
	id := fmt.Sprint("vm-", w.started)
	margin := worldDuration / marginDivisor
	if w.mutation == noMargin {
		margin = 0
	}
	p := member.Peer{ID: id, Incarnation: id + "/1", Region: "a"}
	return &worldVM{
		peer:   p,
		offset: clock.Time(w.started) * clock.Time(time.Hour),
		speed:  1 + maxDrift*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(w.T, "speed"),
		state: newState(params{
			self: p, slots: worldSlots, regions: []string{"a"},
			duration: worldDuration, margin: margin, takeoverDelay: 3 * time.Second,
		}),
	}
}

func (w *leaseWorld) clock(v *worldVM) clock.Time {
	return v.offset + clock.Time(float64(w.now)*v.speed)
}

// updateView gives v a view in which any peer may be silent and a dead one live, silent or
// gone.
func (w *leaseWorld) updateView(v *worldVM) {
	v.view = &member.View{Self: v.peer, Complete: true}
	for _, o := range w.vms {
		if o == v {
			continue
		}
		p := o.peer
		p.StateProbedAt = w.clock(v) + 1
		if rapid.IntRange(0, 3).Draw(w.T, "silent") == 0 {
			p.State = member.Silent
			if w.mutation == silentIsGone {
				p.State = member.Gone
			}
		}
		v.view.Peers = append(v.view.Peers, p)
	}
	for _, p := range w.dead {
		p.State = rapid.SampledFrom([]member.State{member.Live, member.Silent, member.Gone}).Draw(w.T, "dead")
		p.StateProbedAt = w.clock(v) + 1
		v.view.Peers = append(v.view.Peers, p)
	}
}

func (w *leaseWorld) pick() *worldVM { return rapid.SampledFrom(w.vms).Draw(w.T, "vm") }

// step advances the round of a random VM by one stage. A VM that is not picked for a long
// time behaves like a paused one.
func (w *leaseWorld) step() {
	v := w.pick()
	switch v.stage {
	case idle:
		v.start, v.stage = w.clock(v), reading
	case reading:
		v.items, _ = w.table.List(w.Context(), partition, "", worldSlots)
		v.stage = readDone
	case readDone:
		w.decide(v)
	case writing:
		w.finishWrite(v)
	}
}

func (w *leaseWorld) decide(v *worldVM) {
	w.updateView(v)
	end := w.clock(v)
	if w.mutation == dateRowFromReadStart {
		end = v.start
	}
	v.observe(v.items, end)
	before := copyHeld(v.held)
	v.writes = v.plan(v.view, v.start, w.clock(v))
	if w.mutation == useWhileReleasing {
		v.held = before
	}
	v.stage = idle
	if len(v.writes) > 0 {
		v.stage = writing
	}
}

func copyHeld(held map[int]heldSlot) map[int]heldSlot {
	c := map[int]heldSlot{}
	for k, h := range held {
		c[k] = h
	}
	return c
}

// finishWrite ends a write: it takes effect now, later or not at all, and the response
// arrives or is lost.
func (w *leaseWorld) finishWrite(v *worldVM) {
	v.stage = idle
	var err error
	switch rapid.SampledFrom([]string{"done", "done", "response lost", "late", "refused"}).Draw(w.T, "write") {
	case "done":
		err = w.table.apply(v.writes)
	case "response lost":
		_ = w.table.apply(v.writes)
		err = storage.ErrIndeterminate
	case "late":
		w.delayed = append(w.delayed, delayedWrite{v, v.writes})
		err = storage.ErrIndeterminate
	case "refused":
		err = storage.ErrUnavailable
	}
	if w.mutation == unknownIsSuccess && errors.Is(err, storage.ErrIndeterminate) {
		err = nil
	}
	v.recordResult(v.writes, err, w.clock(v))
	if w.mutation == startLeaseAtResponse && err == nil {
		for k, h := range v.held {
			h.until = w.clock(v).Add(v.duration - v.margin)
			v.held[k] = h
		}
	}
}

// applyLate applies one of the delayed writes.
func (w *leaseWorld) applyLate() {
	if len(w.delayed) > 0 {
		i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.T, "late write")
		_ = w.table.apply(w.delayed[i].writes)
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	}
}

func (w *leaseWorld) advance() {
	ms := rapid.SampledFrom([]int{1, 100, 1000, 1000, 5000, 15000}).Draw(w.T, "ms")
	w.now += time.Duration(ms) * time.Millisecond
}

// replace kills a VM and starts another one.
func (w *leaseWorld) replace() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.T, "killed")
	w.dead = append(w.dead, w.vms[i].peer)
	w.vms[i] = w.startVM()
}

// check sets violation if two VMs may use a slot at the same real time.
func (w *leaseWorld) check() {
	users := map[int]*worldVM{}
	for _, v := range w.vms {
		now := w.clock(v)
		for _, s := range v.holding() {
			if !s.Valid(now) {
				continue
			}
			if o := users[s.Index]; o != nil && w.violation == "" {
				w.violation = fmt.Sprintf("at %v: slot %d is used by %s and %s", w.now, s.Index, o.peer.ID, v.peer.ID)
			}
			users[s.Index] = v
		}
	}
}

// run takes random steps until the property is violated.
func (w *leaseWorld) run() {
	steps := []func(){w.step, w.step, w.step, w.step, w.step, w.step, w.step, w.step, w.advance, w.applyLate, w.replace}
	kinds := rapid.IntRange(len(steps)-1, len(steps)).Draw(w.T, "kinds")
	for range worldSteps {
		steps[rapid.IntRange(0, kinds-1).Draw(w.T, "step")]()
		if w.check(); w.violation != "" {
			return
		}
	}
}

// TestSlotHasOneUser checks that no two VMs may use a slot at the same time, despite pauses
// at any point, clock drift, writes whose response is lost or that take effect late, deaths
// and VMs that appear to be silent.
func TestSlotHasOneUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t, intact)
		w.run()
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// TestSlotNeedsEachMechanism checks that the property of TestSlotHasOneUser can be violated
// if any one mechanism is disabled.
func TestSlotNeedsEachMechanism(t *testing.T) {
	names := map[mutation]string{
		silentIsGone: "silent VMs treated as dead", dateRowFromReadStart: "row dated from the start of the read",
		startLeaseAtResponse: "lease started at the response", unknownIsSuccess: "unknown outcome treated as success",
		noMargin: "no margin for drift", useWhileReleasing: "slot used while it is released",
	}
	for m, name := range names {
		t.Run(name, func(t *testing.T) {
			for seed := range 5000 {
				violation := rapid.Custom(func(t *rapid.T) string {
					w := newLeaseWorld(t, m)
					w.run()
					return w.violation
				}).Example(seed)
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no seed violates the property without the mechanism")
		})
	}
}
