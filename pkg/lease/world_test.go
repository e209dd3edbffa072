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

// mutation takes one mechanism away, to show that the property needs it.
type mutation uint8

const (
	intact mutation = iota
	// silenceIsEvidence takes over from VMs that do not answer.
	silenceIsEvidence
	// countFromReadStart dates a row from before the read that showed it.
	countFromReadStart
	// countFromAnswer lets a lease run from the answer to the write.
	countFromAnswer
	// trustLostAnswer takes a write of unknown outcome for a success.
	trustLostAnswer
	// noMargin leaves clocks no room to drift.
	noMargin
	// useWhileGiving goes on using a slot until its release is confirmed.
	useWhileGiving
)

const (
	worldSlots    = 3
	worldSteps    = 400
	worldDuration = 15 * time.Second
	// maxDrift is the deviation of a clock that the margin covers.
	maxDrift = 0.019
)

// stage is how far a round of a VM has come.
type stage uint8

const (
	idle     stage = iota
	reading        // the read has been sent
	readDone       // the table has answered it
	writing        // the write has been sent
)

// worldVM is one incarnation of a VM. Its round advances by one stage at a
// time; true time passes between them.
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

// delayedWrite is a write that the table may still apply.
type delayedWrite struct {
	vm     *worldVM
	writes []storage.Write
}

type leaseWorld struct {
	*rapid.T
	mutation mutation
	now      time.Duration
	table    *memoryTable
	vms      []*worldVM
	delayed  []delayedWrite
	dead     []member.Peer
	born     int
	broken   string
}

func newLeaseWorld(t *rapid.T, m mutation) *leaseWorld {
	w := &leaseWorld{T: t, mutation: m, table: newMemoryTable()}
	for range rapid.IntRange(2, 3).Draw(t, "VMs") {
		w.vms = append(w.vms, w.boot())
	}
	return w
}

func (w *leaseWorld) boot() *worldVM {
	w.born++
	id := fmt.Sprint("vm-", w.born)
	margin := worldDuration / marginDivisor
	if w.mutation == noMargin {
		margin = 0
	}
	p := member.Peer{ID: id, Incarnation: id + "/1", Region: "a"}
	return &worldVM{
		peer:   p,
		offset: clock.Time(w.born) * clock.Time(time.Hour),
		speed:  1 + maxDrift*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(w.T, "speed"),
		state: newState(terms{
			self: p, slots: worldSlots, regions: []string{"a"},
			duration: worldDuration, margin: margin, patience: 3 * time.Second,
		}),
	}
}

func (w *leaseWorld) clock(v *worldVM) clock.Time {
	return v.offset + clock.Time(float64(w.now)*v.speed)
}

// look gives v a view in which any peer may pass for silent, and the dead for
// gone.
func (w *leaseWorld) look(v *worldVM) {
	v.view = &member.View{Self: v.peer, Complete: true}
	for _, o := range w.vms {
		if o == v {
			continue
		}
		p := o.peer
		p.StateProbedAt = w.clock(v) + 1
		if rapid.IntRange(0, 3).Draw(w.T, "silent") == 0 {
			p.State = member.Silent
			if w.mutation == silenceIsEvidence {
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

// step moves one VM's round on by one stage. A VM that is not picked for long
// is paused.
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
		w.settle(v)
	}
}

func (w *leaseWorld) decide(v *worldVM) {
	w.look(v)
	end := w.clock(v)
	if w.mutation == countFromReadStart {
		end = v.start
	}
	v.observe(v.items, end)
	before := copyHeld(v.held)
	v.writes = v.plan(v.view, v.start, w.clock(v))
	if w.mutation == useWhileGiving {
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

// settle ends a write: it takes effect or not, now or later, and its answer
// arrives or not.
func (w *leaseWorld) settle(v *worldVM) {
	v.stage = idle
	var err error
	switch rapid.SampledFrom([]string{"done", "done", "answer lost", "late", "refused"}).Draw(w.T, "write") {
	case "done":
		err = w.table.apply(v.writes)
	case "answer lost":
		_ = w.table.apply(v.writes)
		err = storage.ErrIndeterminate
	case "late":
		w.delayed = append(w.delayed, delayedWrite{v, v.writes})
		err = storage.ErrIndeterminate
	case "refused":
		err = storage.ErrUnavailable
	}
	if w.mutation == trustLostAnswer && errors.Is(err, storage.ErrIndeterminate) {
		err = nil
	}
	v.written(v.writes, err, w.clock(v))
	if w.mutation == countFromAnswer && err == nil {
		for k, h := range v.held {
			h.until = w.clock(v).Add(v.duration - v.margin)
			v.held[k] = h
		}
	}
}

// applyLate lets a write of unknown outcome take effect after all.
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

// replace kills a VM and boots another.
func (w *leaseWorld) replace() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.T, "killed")
	w.dead = append(w.dead, w.vms[i].peer)
	w.vms[i] = w.boot()
}

// check looks for a slot that two VMs may use at the same true time.
func (w *leaseWorld) check() {
	users := map[int]*worldVM{}
	for _, v := range w.vms {
		now := w.clock(v)
		for _, s := range v.holding() {
			if !s.Valid(now) {
				continue
			}
			if o := users[s.Index]; o != nil && w.broken == "" {
				w.broken = fmt.Sprintf("at %v: slot %d is used by %s and %s", w.now, s.Index, o.peer.ID, v.peer.ID)
			}
			users[s.Index] = v
		}
	}
}

// run takes random steps until the property breaks.
func (w *leaseWorld) run() {
	steps := []func(){w.step, w.step, w.step, w.step, w.step, w.step, w.step, w.step, w.advance, w.applyLate, w.replace}
	kinds := rapid.IntRange(len(steps)-1, len(steps)).Draw(w.T, "kinds")
	for range worldSteps {
		steps[rapid.IntRange(0, kinds-1).Draw(w.T, "step")]()
		if w.check(); w.broken != "" {
			return
		}
	}
}

// TestSlotHasOneUser checks that no two VMs may use a slot at the same time,
// through pauses at any point, drifting clocks, writes whose answer is lost or
// which take effect late, deaths and VMs that pass for silent.
func TestSlotHasOneUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t, intact)
		w.run()
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

// TestSlotNeedsEachMechanism shows that TestSlotHasOneUser would fail without
// any one of these mechanisms.
func TestSlotNeedsEachMechanism(t *testing.T) {
	names := map[mutation]string{
		silenceIsEvidence: "silence is evidence", countFromReadStart: "row dated from the start of the read",
		countFromAnswer: "lease from the answer", trustLostAnswer: "unknown outcome taken for success",
		noMargin: "no margin for drift", useWhileGiving: "slot in use while it is given up",
	}
	for m, name := range names {
		t.Run(name, func(t *testing.T) {
			for seed := range 5000 {
				broken := rapid.Custom(func(t *rapid.T) string {
					w := newLeaseWorld(t, m)
					w.run()
					return w.broken
				}).Example(seed)
				if broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Error("slots had one user without the mechanism")
		})
	}
}
