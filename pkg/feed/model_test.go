package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
)

// model simulates VMs with different clocks and one log on a single timeline.
// Messages take any time and arrive in any order.
type model struct {
	now clock.Time
	log []entry
	// accepted holds the time at which each version was accepted.
	accepted []clock.Time
	vms      []*modelVM
	reads    []*modelRead
	pulls    []*modelPull
	pushes   []*modelPush
}

type modelVM struct {
	// offset is the difference of the VM's clock from the model's.
	offset time.Duration
	state  *state
}

func (v *modelVM) clock(now clock.Time) clock.Time { return now.Add(v.offset) }

// modelRead is a read of the log that is in flight.
type modelRead struct {
	vm     int
	from   int64
	start  clock.Time
	served bool
	update update
}

// modelPull is a pull that is in flight.
type modelPull struct {
	vm, source int
	have       int64
	start      clock.Time
	arrived    clock.Time
	held       bool
	resp       *peerpb.PullResponse
}

// modelPush is a push that is in flight.
type modelPush struct {
	vm      int
	entries []entry
}

// accept appends a change to the log through the VM, if it has the newest version.
func (m *model) accept(t *rapid.T, vm int) {
	v := m.vms[vm]
	version := int64(len(m.log))
	if v.state.version() != version {
		return
	}
	name := uuid.NewString()
	e := entry{change: config.Change{ID: uuid.New(), Version: version + 1, Action: config.Action{
		Account: config.Create(name, config.Account{Name: name, Rate: 1, Burst: 1, Weight: 1}),
	}}}
	data, err := config.EncodeChange(e.change)
	if err != nil {
		t.Fatal(err)
	}
	e.data = data
	start := v.clock(m.now)
	m.log = append(m.log, e)
	m.accepted = append(m.accepted, m.now)
	m.applyUpdate(t, vm, update{entries: []entry{e}, version: version + 1, readAt: start, agreedAt: never})
	for i := range m.vms {
		m.pushes = append(m.pushes, &modelPush{vm: i, entries: []entry{e}})
	}
}

// applyUpdate applies an update to a VM and checks the invariants: its version
// does not decrease, and it includes all changes accepted before the time at
// which the VM claims to have had the newest version.
func (m *model) applyUpdate(t *rapid.T, vm int, u update) {
	v := m.vms[vm]
	next, _ := v.state.withUpdate(u)
	if next.version() < v.state.version() {
		t.Fatalf("vm %d went back from version %d to %d", vm, v.state.version(), next.version())
	}
	v.state = next
	known := next.knownNewestAt().Add(-v.offset)
	for i, at := range m.accepted {
		if at < known && next.version() < int64(i+1) {
			t.Fatalf("vm %d at version %d claims to include all changes until %d, but version %d was accepted at %d",
				vm, next.version(), known, i+1, at)
		}
	}
}

// step advances the time and executes a random event.
func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, time.Microsecond, time.Millisecond, time.Second}).Draw(t, "pass"))
	vm := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	v := m.vms[vm]
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		m.accept(t, vm)
	case 1:
		m.reads = append(m.reads, &modelRead{vm: vm, from: v.state.version(), start: v.clock(m.now)})
	case 2:
		if r, ok := pick(t, m.reads); ok && !r.served {
			m.serveRead(r)
		}
	case 3:
		if r, ok := pick(t, m.reads); ok && r.served {
			m.applyUpdate(t, r.vm, r.update)
		}
	case 4:
		source := rapid.IntRange(0, len(m.vms)-1).Draw(t, "source")
		m.pulls = append(m.pulls, &modelPull{vm: vm, source: source, have: v.state.version(), start: v.clock(m.now)})
	case 5:
		if p, ok := pick(t, m.pulls); ok && !p.held {
			p.held, p.arrived = true, m.vms[p.source].clock(m.now)
		}
	case 6:
		if p, ok := pick(t, m.pulls); ok && p.held && p.resp == nil {
			s := m.vms[p.source]
			resp, err := encodePullResponse(s.state, p.have, p.arrived, s.clock(m.now))
			if err != nil {
				t.Fatal(err)
			}
			p.resp = resp
		}
	case 7:
		if p, ok := pick(t, m.pulls); ok && p.resp != nil {
			a, err := decodePullResponse(p.resp, p.start)
			if err != nil {
				t.Fatal(err)
			}
			if a.ready {
				m.applyUpdate(t, p.vm, a.update)
			}
		}
	case 8:
		if p, ok := pick(t, m.pushes); ok {
			m.applyUpdate(t, p.vm, update{entries: p.entries, readAt: never, agreedAt: never})
		}
	}
}

// serveRead makes the read return what the log holds now.
func (m *model) serveRead(r *modelRead) {
	r.served = true
	r.update = update{readAt: r.start, agreedAt: never, version: int64(len(m.log))}
	from := r.from
	if from == noVersion {
		r.update.snapshot, from = config.Empty(), 0
	}
	r.update.entries = m.log[from:]
}

// pick returns a random item, or false if there is none.
func pick[T any](t *rapid.T, items []T) (T, bool) {
	var zero T
	if len(items) == 0 {
		return zero, false
	}
	return items[rapid.IntRange(0, len(items)-1).Draw(t, "item")], true
}

// TestAgeIsNeverUnderstated guards against a VM that considers a configuration
// newer than it is. No interleaving of reads, pulls, pushes and changes, with any
// delays and clock offsets, may decrease a version, or make a VM claim an age at
// which a change that it lacks had already been accepted.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		for range 3 {
			offset := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")
			m.vms = append(m.vms, &modelVM{offset: time.Duration(offset), state: newState()})
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step(t)
		}
	})
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(true, int64(1), []byte(`{"format":1}`), []byte(`{}`), int64(5), int64(-1), int64(1<<62))
	f.Fuzz(func(t *testing.T, ready bool, version int64, snapshot, change []byte, held, read, agreed int64) {
		resp := &peerpb.PullResponse{
			Ready: ready, Version: version, Snapshot: snapshot, Changes: [][]byte{change},
			HeldUs: held, ReadAgeUs: read, AgreedAgeUs: agreed,
		}
		a, err := decodePullResponse(resp, 0)
		if err != nil {
			return
		}
		s := newState()
		next, _ := s.withUpdate(a.update)
		if next.version() < s.version() {
			t.Fatal("the version decreased")
		}
	})
}

// A state adopts the age of an update only if it could apply all its changes.
func TestGapDoesNotRefreshAge(t *testing.T) {
	s, err := newState().withUpdate(update{snapshot: config.Empty(), readAt: 1, agreedAt: never})
	if err != nil || s.readAt != 1 {
		t.Fatalf("read %d, %v", s.readAt, err)
	}
	gap := entry{change: config.Change{ID: uuid.New(), Version: 5}}
	next, err := s.withUpdate(update{entries: []entry{gap}, version: 5, readAt: 2, agreedAt: 2})
	if err == nil || next.version() != 0 || next.knownNewestAt() != 1 {
		t.Errorf("gap: version %d, known %d, %v", next.version(), next.knownNewestAt(), err)
	}
}

// Every VM reaches the relay through its parents in at most two steps, and no VM
// has more than fanOut children.
func TestParentTree(t *testing.T) {
	for _, n := range []int{1, 2, 12, 13, 125, 132} {
		peers := make([]member.Peer, n)
		for i := range peers {
			id := fmt.Sprintf("vm%03d", i)
			peers[i] = member.Peer{ID: id, FailureDomain: "a", PeerAddress: id}
		}
		other := member.Peer{ID: "vm000x", FailureDomain: "b", PeerAddress: "vm000x"}
		relay := relayRow{ID: peers[n/2].ID, Address: peers[n/2].PeerAddress}
		up := map[string]string{}
		children := map[string]int{}
		for i, self := range peers {
			if self.ID != relay.ID {
				rest := slices.Concat(peers[:i], []member.Peer{other}, peers[i+1:])
				up[self.ID] = parent(self, relay, rest)
				children[up[self.ID]]++
			}
		}
		for id := range up {
			depth := 0
			for at := id; at != relay.ID; at = up[at] {
				if depth++; depth > 2 {
					t.Fatalf("%d VMs: %s is deeper than 2", n, id)
				}
			}
		}
		for id, c := range children {
			if c > fanOut {
				t.Errorf("%d VMs: %s has %d children", n, id, c)
			}
		}
	}
}
