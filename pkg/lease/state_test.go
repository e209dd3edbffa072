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

// vm drives one state machine against the table, with a clock of its own.
type vm struct {
	*state
	clock *clock.Fake
	peer  member.Peer
	view  *member.View
}

// cluster is a number of VMs on one table.
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
		state: newState(terms{
			self: p, slots: slots, regions: regions,
			duration: testDuration, margin: testMargin, patience: patiencePolls * testPoll,
		}),
	}
	c.vms = append(c.vms, v)
	c.setViews()
	return v
}

// setViews shows every VM all the others as live.
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

// setState changes what all VMs think of one peer.
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

// round is one poll of a VM.
func (v *vm) round(table *memoryTable) {
	ctx := context.Background()
	start := v.clock.Now()
	items, err := table.List(ctx, partition, "", v.slots)
	if err != nil {
		return
	}
	v.observe(items, v.clock.Now())
	writes := v.plan(v.view, start, v.clock.Now())
	if len(writes) > 0 {
		v.written(writes, table.Transact(ctx, writes), v.clock.Now())
	}
}

// run lets all VMs but the frozen ones poll n times, a second apart, and
// checks after each step that no slot has two users.
func (c *cluster) run(n int, frozen ...*vm) {
	c.t.Helper()
	for range n {
		for _, v := range c.vms {
			v.clock.Advance(testPoll)
		}
		for _, v := range c.vms {
			if !isIn(v, frozen) {
				v.round(c.table)
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

// valid lists the slots that the VM may use by its own clock.
func (v *vm) valid() []int {
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
		for _, index := range v.valid() {
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
		n[i] = len(v.valid())
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
			t.Fatalf("%d VMs: %v holds %d of 16 slots", n, c.counts(), c.total())
		}
		for i, got := range c.counts() {
			if n > 1 && (got < 1 || got > 6) {
				t.Errorf("%d VMs: VM %d holds %d slots", n, i, got)
			}
		}
	}
}

// TestFleetThatStartsSharesNewSlots: each VM knows the others from the platform's
// list only, and takes no more than its part, so that none is handed over.
func TestFleetThatStartsSharesNewSlots(t *testing.T) {
	c := newCluster(t, 16, 4, "a")
	for _, v := range c.vms {
		for i := range v.view.Peers {
			v.view.Peers[i] = member.Peer{ID: v.view.Peers[i].ID, State: member.Silent}
		}
	}
	c.run(1)
	for i, v := range c.vms {
		if got := v.holding(); len(got) != 4 || !got[0].New {
			t.Errorf("VM %d starts with %v", i, got)
		}
	}
	c.setViews()
	c.run(10)
	for _, v := range c.vms {
		for _, s := range v.holding() {
			if !s.New {
				t.Errorf("slot %d was handed over", s.Index)
			}
		}
	}
}

// TestListedVMThatNeverAnswers: its slots are left to it for a short time only.
func TestListedVMThatNeverAnswers(t *testing.T) {
	c := newCluster(t, 4, 1, "a")
	c.vms[0].view.Peers = []member.Peer{{ID: "vm-dead", State: member.Silent}}
	c.run(1)
	if got := c.total(); got != 2 {
		t.Errorf("%d slots taken at once, want 2", got)
	}
	c.run(patiencePolls)
	if got := c.total(); got != 4 {
		t.Errorf("%d slots held after the patience, want 4", got)
	}
}

func TestNewcomerIsHandedSlots(t *testing.T) {
	c := newCluster(t, 16, 2, "a")
	c.run(10)
	c.add("vm-new", "a", 16, []string{"a"})
	c.run(10)
	if got := c.counts(); got[2] < 5 || c.total() != 16 {
		t.Fatalf("slots by VM: %v", got)
	}
}

// TestIdleSlotsAreHandedOverAsSuch checks that the next holder learns whether
// requests could still run under a slot, and that a slot of a VM that died is
// never taken for idle.
func TestIdleSlotsAreHandedOverAsSuch(t *testing.T) {
	c := newCluster(t, 4, 1, "a")
	c.run(10)
	leaving := c.vms[0]
	leaving.retire = func(index int) bool { return index%2 == 0 }
	next := c.add("vm-next", "a", 4, []string{"a"})
	c.setState(leaving.peer.ID, member.Leaving)
	leaving.stop()
	c.run(10)
	if len(next.holding()) != 4 {
		t.Fatalf("holding %+v", next.holding())
	}
	for _, s := range next.holding() {
		if s.New || s.Idle != (s.Index%2 == 0) {
			t.Errorf("slot %d: new %v, idle %v", s.Index, s.New, s.Idle)
		}
	}
	third := c.add("vm-third", "a", 4, []string{"a"})
	c.setState(leaving.peer.ID, member.Leaving)
	c.run(1, next)
	c.setState(next.peer.ID, member.Gone) // proof that is newer than the rows
	c.vms = []*vm{leaving, third}
	c.run(10)
	for _, s := range third.holding() {
		if s.Idle {
			t.Errorf("slot %d of a dead VM counts as idle", s.Index)
		}
	}
	if len(third.holding()) == 0 {
		t.Error("the slots of the dead VM were not taken over")
	}
}

func TestSilenceIsNoEvidence(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	frozen := c.vms[0]
	c.setState(frozen.peer.ID, member.Silent)
	before := len(frozen.valid())
	leaseSeconds := int((testDuration - testMargin) / time.Second)
	c.run(leaseSeconds/2, frozen)
	if got := c.total(); got != 4 || before != 2 {
		t.Fatalf("%d slots valid, want 4; the frozen VM had %d", got, before)
	}
	c.run(leaseSeconds, frozen)
	if got := len(frozen.valid()); got != 0 {
		t.Errorf("the frozen VM still uses %d slots after its lease", got)
	}
	if got := len(c.vms[1].valid()); got != 4 {
		t.Errorf("the other VM holds %d slots after the lease, want 4", got)
	}
	c.setState(frozen.peer.ID, member.Live)
	c.run(20)
	if got := c.counts(); got[0] != 2 || got[1] != 2 {
		t.Errorf("slots by VM after the thaw: %v", got)
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
		if s.New && s.Index%2 == 0 {
			t.Errorf("slot %d passes for one without a former holder", s.Index)
		}
	}
}

// restart replaces a VM by a new incarnation of itself and shows it to all.
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
	c.run(patiencePolls + 3)
	if got := c.total(); got != 4 {
		t.Fatalf("%d slots held after the restart, want 4", got)
	}
}

// TestOldProofOfDeathIsNoProof: proof gathered before the row was seen says
// nothing, since the incarnation in the row may have started after it.
func TestOldProofOfDeathIsNoProof(t *testing.T) {
	c := newCluster(t, 4, 2, "a")
	c.run(10)
	holder, observer := c.vms[0], c.vms[1]
	c.setState(holder.peer.ID, member.Gone)
	for i := range observer.view.Peers {
		observer.view.Peers[i].StateProbedAt = 0
	}
	c.run(20, holder)
	if got := len(observer.holding()); got != 2 {
		t.Fatalf("the observer holds %d slots by an old proof, want its own 2", got)
	}
}

func TestOutageOfTheTableChangesNothing(t *testing.T) {
	c := newCluster(t, 16, 3, "a", "b", "c")
	c.run(20)
	c.table.set(func(m *memoryTable) { m.down = true })
	c.run(9 * 60)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots valid after 9 min of outage, want 16", got)
	}
	c.table.set(func(m *memoryTable) { m.down = false })
	c.run(20)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots valid after the outage, want 16", got)
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	c := newCluster(t, 16, 3, "a", "b", "c")
	c.table.set(func(m *memoryTable) { m.loseAnswers = true })
	c.run(30)
	if got := c.total(); got != 16 {
		t.Fatalf("%d slots held though every answer is lost, want 16", got)
	}
}

func TestRenewalIsOneTransaction(t *testing.T) {
	c := newCluster(t, 16, 1, "a")
	c.run(5)
	c.table.set(func(m *memoryTable) { m.transacts = 0 })
	c.run(int(testDuration / testPoll))
	if got := c.table.transacts; got < 2 || got > 3 {
		t.Fatalf("%d transactions in one lease, want a renewal each third", got)
	}
}
