package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	testDuration = 15 * time.Minute
	testMargin   = 18 * time.Second
	testPoll     = time.Second
)

// vm runs one state machine against the table, with its own clock.
type vm struct {
	*state
	clock *clock.Fake
	peer  member.Peer
	view  *member.View
}

// cluster is a set of VMs that share a table.
type cluster struct {
	t     *testing.T
	table *memoryTable
	vms   []*vm
}

func newCluster(t *testing.T, slots, n int, regions ...string) *cluster {
	c := &cluster{t: t, table: newMemoryTable()}
	for i := range n {
		c.add(fmt.Sprintf("vm-%02d", i), regions[i%len(regions)], slots, regions)
	}
	return c
}

func (c *cluster) add(id, region string, slots int, regions []string) *vm {
	p := member.Peer{ID: id, Incarnation: id + "/1", Region: region}
	v := &vm{
		clock: clock.NewFake(clock.Time(len(c.vms)) * 1e12),
		peer:  p,
		state: newState(params{
			self: p, slots: slots, regions: regions,
			duration: testDuration, margin: testMargin, takeoverDelay: takeoverDelayPolls * testPoll,
		}),
	}
	c.vms = append(c.vms, v)
	c.setViews()
	return v
}

// setViews gives every VM a view in which all others are live.
func (c *cluster) setViews() {
	for _, v := range c.vms {
		v.view = &member.View{Self: v.peer, Complete: true}
		for _, o := range c.vms {
			if o != v {
				v.view.Peers = append(v.view.Peers, o.peer)
			}
		}
	}
}

// setState sets the state of one peer in the views of all VMs.
func (c *cluster) setState(id string, state member.State) {
	for _, v := range c.vms {
		for i := range v.view.Peers {
			if v.view.Peers[i].ID == id {
				v.view.Peers[i].State = state
				v.view.Peers[i].StateProbedAt = v.clock.Now() + 1
			}
		}
	}
}

// poll runs one poll of a VM.
func (v *vm) poll(table *memoryTable) {
	ctx := context.Background()
	start := v.clock.Now()
	items, err := table.List(ctx, partition, "", v.slots)
	if err != nil {
		return
	}
	v.observe(items, v.clock.Now())
	writes := v.plan(v.view, start, v.clock.Now())
	if len(writes) > 0 {
		v.recordResult(writes, table.Transact(ctx, writes), v.clock.Now())
	}
}

// run polls n times on all VMs except the frozen ones, at intervals of testPoll, and checks
// after each poll that no slot has two users.
func (c *cluster) run(n int, frozen ...*vm) {
	c.t.Helper()
	for range n {
		for _, v := range c.vms {
			v.clock.Advance(testPoll)
		}
		for _, v := range c.vms {
			if !isIn(v, frozen) {
				v.poll(c.table)
				c.checkExclusive()
			}
		}
	}
}

func isIn(v *vm, list []*vm) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// validSlots returns the slots that the VM may use according to its own clock.
func (v *vm) validSlots() []int {
	var list []int
	for _, s := range v.holding() {
		if s.Valid(v.clock.Now()) {
			list = append(list, s.Index)
		}
	}
	return list
}

func (c *cluster) checkExclusive() {
	c.t.Helper()
	users := map[int]string{}
	for _, v := range c.vms {
		for _, index := range v.validSlots() {
			if other := users[index]; other != "" {
				c.t.Fatalf("slot %d is used by %s and %s", index, other, v.peer.ID)
			}
			users[index] = v.peer.ID
		}
	}
}

func (c *cluster) counts() []int {
	n := make([]int, len(c.vms))
	for i, v := range c.vms {
		n[i] = len(v.validSlots())
	}
	return n
}

func (c *cluster) total() int {
	n := 0
	for _, x := range c.counts() {
		n += x
	}
	return n
}

func TestSlotsSpreadEvenly(t *testing.T) {
	for _, n := range []int{1, 3, 11} {
		c := newCluster(t, 16, n, "a", "b", "c")
		c.run(20)
		if c.total() != 16 {
			t.Fatalf("%d VMs: slots by VM: %v, %d in total, want 16", n, c.counts(), c.total())
		}
		for i, got := range c.counts() {
			if n > 1 && (got < 1 || got > 6) {
				t.Errorf("%d VMs: VM %d holds %d slots, want 1 to 6", n, i, got)
			}
		}
	}
}

// TestStartingFleetSharesNewSlots checks that a VM that has found the others only in the
// platform's list acquires no more than its share, so that no slot is handed over later.
func TestStartingFleetSharesNewSlots(t *testing.T) {
	c := newCluster(t, 16, 4, "a")
	for _, v := range c.vms {
		for i := range v.view.Peers {
			v.view.Peers[i] = member.Peer{ID: v.view.Peers[i].ID, State: member.Silent}
		}
	}
	c.run(1)
	for i, v := range c.vms {
		if got := v.holding(); len(got) != 4 || !got[0].Settled {
			t.Errorf("VM %d starts with %v, want 4 slots without a former holder", i, got)
		}
	}
	c.setViews()
	c.run(10)
	for _, v := range c.vms {
		for _, s := range v.holding() {
			if !s.Settled {
				t.Errorf("slot %d was handed over", s.Index)
			}
		}
	}
}

// TestListedVMThatNeverAnswers checks that the vacant slots assigned to a listed VM that
// never answers are reserved for it only until the takeover delay has passed.
func TestListedVMThatNeverAnswers(t *testing.T) {
	c := newCluster(t, 4, 1, "a")
	c.vms[0].view.Peers = []member.Peer{{ID: "vm-dead", State: member.Silent}}
	c.run(1)
	if got := c.total(); got != 2 {
		t.Errorf("%d slots acquired immediately, want 2", got)
	}
	c.run(takeoverDelayPolls)
	if got := c.total(); got != 4 {
		t.Errorf("%d slots held after the takeover delay, want 4", got)
	}
}

func TestNewVMGetsSlots(t *testing.T) {
	c := newCluster(t, 16, 2, "a")
	c.run(10)
	c.add("vm-new", "a", 16, []string{"a"})
	c.run(10)
	if got := c.counts(); got[2] < 5 || c.total() != 16 {
		t.Fatalf("slots by VM: %v, want 16 in total and at least 5 on the new VM", got)
	}
}

// TestIdleSlotsAreMarkedIdle checks that the next holder of a released slot learns whether
// requests may still run under it, and that a slot of a VM that died never counts as idle.
func TestIdleSlotsAreMarkedIdle(t *testing.T) {
	c := newCluster(t, 4, 1, "a")
	c.run(10)
	leaving := c.vms[0]
	leaving.retire = func(index int) bool { return index%2 == 0 }
	next := c.add("vm-next", "a", 4, []string{"a"})
	c.setState(leaving.peer.ID, member.Leaving)
	leaving.stop()
	c.run(10)
	if len(next.holding()) != 4 {
		t.Fatalf("next holder has %+v, want 4 slots", next.holding())
	}
	for _, s := range next.holding() {
		if s.Settled || s.Idle != (s.Index%2 == 0) {
			t.Errorf("slot %d: settled %v, idle %v; want not settled, and idle if its index is even", s.Index, s.Settled, s.Idle)
		}
	}
	third := c.add("vm-third", "a", 4, []string{"a"})
	c.setState(leaving.peer.ID, member.Leaving)
	c.run(1, next)
	c.setState(next.peer.ID, member.Gone) // proof of death that is newer than the rows
	c.vms = []*vm{leaving, third}
	c.run(10)
	for _, s := range third.holding() {
		if s.Idle {
			t.Errorf("slot %d of a dead VM counts as idle", s.Index)
		}
	}
	if len(third.holding()) == 0 {
		t.Error("no slot of the dead VM was taken over")
	}
}

func TestSilentHolderKeepsItsSlots(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	frozen := c.vms[0]
	c.setState(frozen.peer.ID, member.Silent)
	before := len(frozen.validSlots())
	leaseSeconds := int((testDuration - testMargin) / time.Second)
	c.run(leaseSeconds/2, frozen)
	if got := c.total(); got != 4 || before != 2 {
		t.Fatalf("%d slots valid, want 4; the frozen VM had %d", got, before)
	}
	c.run(leaseSeconds, frozen)
	if got := len(frozen.validSlots()); got != 0 {
		t.Errorf("the frozen VM may still use %d slots after its leases have ended", got)
	}
	if got := len(c.vms[1].validSlots()); got != 4 {
		t.Errorf("the other VM holds %d slots after the leases have ended, want 4", got)
	}
	c.setState(frozen.peer.ID, member.Live)
	c.run(20)
	if got := c.counts(); got[0] != 2 || got[1] != 2 {
		t.Errorf("slots by VM after the frozen VM resumed: %v, want 2 each", got)
	}
}

func TestGoneHolderIsReplacedAtOnce(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	dead := c.vms[0]
	c.vms = c.vms[1:]
	c.setState(dead.peer.ID, member.Gone)
	c.run(3)
	if got := c.total(); got != 4 {
		t.Fatalf("%d slots held after the death, want 4", got)
	}
	for _, s := range c.vms[0].holding() {
		if s.Settled && s.Index%2 == 0 {
			t.Errorf("slot %d is marked settled although it had a holder", s.Index)
		}
	}
}

// restart replaces a VM by a new incarnation and updates the views of all VMs.
func (c *cluster) restart(i int) *vm {
	old := c.vms[i]
	c.vms = append(c.vms[:i], c.vms[i+1:]...)
	fresh := c.add(old.peer.ID, old.peer.Region, old.slots, old.regions)
	fresh.peer.Incarnation = old.peer.ID + "/2"
	fresh.state.self = fresh.peer
	c.setViews()
	c.setState(fresh.peer.ID, member.Live)
	return fresh
}

func TestRestartedVMReplacesItsFormerIncarnationAtOnce(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	c.restart(0)
	c.run(takeoverDelayPolls + 3)
	if got := c.total(); got != 4 {
		t.Fatalf("%d slots held after the restart, want 4", got)
	}
}

// TestOldProofOfDeathIsIgnored checks that a proof of death that is older than the first
// read of the row frees no slot: the incarnation in the row may have started after it.
func TestOldProofOfDeathIsIgnored(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	holder, observer := c.vms[0], c.vms[1]
	c.setState(holder.peer.ID, member.Gone)
	for i := range observer.view.Peers {
		observer.view.Peers[i].StateProbedAt = 0
	}
	c.run(20, holder)
	if got := len(observer.holding()); got != 2 {
		t.Fatalf("the observer holds %d slots after an old proof of death, want its own 2", got)
	}
}

func TestTableOutageKeepsSlots(t *testing.T) {
	c := newCluster(t, 16, 3, "a", "b", "c")
	c.run(20)
	c.table.set(func(m *memoryTable) { m.down = true })
	c.run(9 * 60)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots valid after a table outage of 9 min, want 16", got)
	}
	c.table.set(func(m *memoryTable) { m.down = false })
	c.run(20)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots valid after the table outage, want 16", got)
	}
}

func TestLostWriteResponsesAreReadBack(t *testing.T) {
	c := newCluster(t, 16, 3, "a", "b", "c")
	c.table.set(func(m *memoryTable) { m.loseResponses = true })
	c.run(30)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots held although every write response is lost, want 16", got)
	}
}

func TestRenewalIsOneTransaction(t *testing.T) {
	c := newCluster(t, 16, 1, "a")
	c.run(5)
	c.table.set(func(m *memoryTable) { m.transacts = 0 })
	c.run(int(testDuration / testPoll))
	if got := c.table.transacts; got < 2 || got > 3 {
		t.Fatalf("%d transactions in the duration of one lease, want 2 or 3: one renewal per third of it", got)
	}
}
