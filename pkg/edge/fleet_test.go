package edge

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/target"
)

func registrations(n int) []Registration {
	out := make([]Registration, n)
	for i := range out {
		out[i] = Registration{ID: fmt.Sprintf("vm-%02d", i), PeerAddress: fmt.Sprint("10.0.0.", i, ":1")}
	}
	return out
}

func newTestRegistry(id string, firstStart bool) *registry {
	var s atomic.Pointer[settings.Edge]
	s.Store(&settings.Edge{Bounds: settings.Bounds{ColdFactor: 1.5, ColdSlack: 5, RepeatRatio: 0.2, RepeatFloor: 60}})
	return newRegistry(Registration{ID: id, PeerAddress: "10.0.0.0:1"}, 0, firstStart, &s)
}

// second is a second on the clock of leases.
const second = clock.Time(time.Second)

func TestPartsOfTheBounds(t *testing.T) {
	r := newTestRegistry("vm-00", true)
	if got := r.Holding(); len(got.Slots) != 0 {
		t.Errorf("a VM that is not registered holds %+v", got)
	}
	expect := func(when string, total int) {
		t.Helper()
		if got := r.Holding(); got.Total != slotsPerVM*total || len(got.Slots) != slotsPerVM {
			t.Errorf("%s: %d slots of %d, want a VM's part of %d", when, len(got.Slots), got.Total, total)
		}
	}
	r.set(registrations(10), 0)
	expect("ten VMs", 10)
	r.set(registrations(11), second)
	expect("one comes", 11)
	// VMs that leave for good: their parts rested for ever
	// (deploy/days/fleet-losses.toml: a third of all limits).
	r.set(registrations(6), 2*second)
	expect("five leave: what they lent may still be used", 11)
	r.refresh(2*second + clock.Time(shrinkDelay))
	expect("later", 6)
	r.set(registrations(5), 20*second)
	r.set(registrations(6), 21*second)
	r.refresh(30 * second)
	expect("one restarts", 6)
}

// TestRestartedVMHoldsWhatItKeepsUntilItIsSettled: a VM that starts anew may use at once
// what no process of it has ever lent, and nothing else.
func TestRestartedVMHoldsWhatItKeepsUntilItIsSettled(t *testing.T) {
	r := newTestRegistry("vm-00", false)
	r.set(registrations(3), 0)
	if got := r.Holding(); len(got.Slots) != 1 || !got.Slots[0].Kept || !got.Slots[0].New {
		t.Errorf("holds %+v while others may use what it lent", got.Slots)
	}
	r.endWait(true, second)
	if got := r.Holding(); len(got.Slots) != slotsPerVM || !got.Slots[1].New || got.Slots[1].Kept {
		t.Errorf("settled: %+v", got.Slots)
	}
}

// TestLargeFleetKeepsNothing: in a large fleet the part of a small account that each VM
// would keep is less than a token, which admits nothing anywhere (62 VMs: 24,157 refusals of
// one day). There both slots are lent, and both wait for the loans of an earlier process.
func TestLargeFleetKeepsNothing(t *testing.T) {
	for _, tt := range []struct {
		vms, unsettled, kept int
	}{{10, 1, 1}, {maxKeepers, 1, 1}, {maxKeepers + 1, 0, 0}, {62, 0, 0}} {
		r := newTestRegistry("vm-00", false)
		r.set(registrations(tt.vms), 0)
		if got := len(r.Holding().Slots); got != tt.unsettled {
			t.Errorf("%d VMs: %d slots before it is settled, want %d", tt.vms, got, tt.unsettled)
		}
		r.endWait(true, second)
		kept := 0
		for _, s := range r.Holding().Slots {
			if s.Kept {
				kept++
			}
			if !s.New {
				t.Errorf("%d VMs: settled, but slot %d waits", tt.vms, s.Index)
			}
		}
		if got := len(r.Holding().Slots); got != slotsPerVM || kept != tt.kept {
			t.Errorf("%d VMs: %d slots, %d kept, want %d and %d", tt.vms, got, kept, slotsPerVM, tt.kept)
		}
	}
}

// TestColdBoundOverTheFleet: whatever VMs there are, and whenever each sends, a
// cold target gets no more than its bound in any second.
func TestColdBoundOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "VMs")
		rate := rapid.Float64Range(0.5, 60).Draw(t, "rate")
		vms := registrations(n)
		l := &target.Live{Hash: rapid.Uint64().Draw(t, "target")}
		sent := 0
		for i := range vms {
			r := newTestRegistry(vms[i].ID, true)
			r.set(vms, 0)
			interval, ok := r.ColdInterval(l, rate)
			if !ok {
				continue
			}
			// The most that fits into a second that begins with a request.
			sent += 1 + int(time.Second/interval)
		}
		if bound := rate*1.5 + 5; float64(sent) > bound {
			t.Fatalf("%d requests in a second, bound %.1f", sent, bound)
		}
	})
}

// TestRestartsKeepTheColdRate guards against processes that send a cold target a request at
// once, although the ones before them have just done so.
func TestRestartsKeepTheColdRate(t *testing.T) {
	const (
		rate  = 10.0
		lives = 900 * time.Millisecond // of each process
	)
	vms := registrations(11)
	start := time.Now()
	entry := target.Entry{Target: target.Target{ID: "t", FailureDomain: "fd"}, Pool: "s", ColdFor: time.Minute}
	var sent []time.Time
	for restart := range 10 {
		began := start.Add(time.Duration(restart) * lives)
		for i := range vms {
			r := newTestRegistry(vms[i].ID, false)
			r.set(vms, 0)
			l, _ := target.NewRegistry(nil, began).Upsert(entry, true, began)
			interval, ok := r.ColdInterval(l, rate)
			for at := began; ok && at.Before(began.Add(lives)); at = at.Add(10 * time.Millisecond) {
				if l.TakeCold(interval, at) {
					sent = append(sent, at)
				}
			}
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		if bound := rate*1.5 + 5; float64(n) > bound {
			t.Fatalf("%d requests in a second, bound %.1f", n, bound)
		}
	}
}

// TestFleetThatRestartsTogetherSharesTheBounds guards against VMs that start after all were
// stopped and count only those that are back already.
func TestFleetThatRestartsTogetherSharesTheBounds(t *testing.T) {
	const n = 11
	rows := registrations(n)
	for i := range rows {
		rows[i].Left = true
	}
	var fleet []*registry
	now := clock.Time(0)
	check := func(when string) {
		t.Helper()
		sum := 0.0
		for _, r := range fleet {
			sum += 1 / float64(r.count())
		}
		if sum > 1.000001 {
			t.Errorf("%s: the parts sum to %.2f", when, sum)
		}
	}
	update := func() {
		for _, r := range fleet {
			r.set(rows, now)
		}
	}
	for i := range n {
		// The ones before have not heard of it.
		rows[i].Left = false
		fleet = append(fleet, newTestRegistry(rows[i].ID, false))
		fleet[i].set(slices.Clone(rows), now)
		now += second / 10
		check(fmt.Sprint(rows[i].ID, " starts"))
	}
	update()
	now += 20 * second
	update()
	check("later")
	// Those that do not come back leave their parts to the others.
	fleet = fleet[:6]
	for i := 6; i < n; i++ {
		rows[i].Left = true
	}
	update()
	check("five leave")
	now += clock.Time(shrinkDelay)
	update()
	check("their loans have ended")
	if got := fleet[0].count(); got != 6 {
		t.Errorf("%d VMs share the bounds, want 6", got)
	}
}

// TestRowsOfVMsThatLeftAreSwept: one VM removes the rows of those that do not come back, after
// they had time to.
func TestRowsOfVMsThatLeftAreSwept(t *testing.T) {
	rows := registrations(4)
	rows[0].Left, rows[2].Left = true, true
	for i, want := range map[int][]string{1: {"vm-00", "vm-02"}, 3: nil} {
		r := newTestRegistry(rows[i].ID, true)
		r.set(rows, 0)
		if got := r.stale(clock.Time(leftPeriod) - 1); len(got) != 0 {
			t.Errorf("%s sweeps %v too early", rows[i].ID, got)
		}
		var got []string
		for _, v := range r.stale(clock.Time(leftPeriod)) {
			got = append(got, v.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s sweeps: %s", rows[i].ID, diff)
		}
	}
	// One that came back meanwhile starts anew.
	r := newTestRegistry("vm-01", true)
	r.set(rows, 0)
	r.set(registrations(4), second)
	r.set(rows, 2*second)
	if got := r.stale(clock.Time(leftPeriod)); len(got) != 0 {
		t.Errorf("%v are swept that left again", got)
	}
}

// TestUnknownFleetSharesNothing guards against VMs that start, have not read how many they are,
// and each use a bound of the whole fleet.
func TestUnknownFleetSharesNothing(t *testing.T) {
	r := newTestRegistry("vm-00", false)
	if got := r.RepeatLimit(); got.VMs != 0 {
		t.Errorf("the floor of the repeats is divided by %d VMs", got.VMs)
	}
	if _, ok := r.ColdInterval(&target.Live{}, 50); ok {
		t.Error("a cold target gets requests")
	}
	r.set(registrations(3)[1:], 0) // it has not registered yet; the others do not count it
	if got := r.RepeatLimit(); got.VMs != 0 {
		t.Errorf("not registered: the floor is divided by %d VMs", got.VMs)
	}
	r.set(registrations(3), 0)
	if got := r.RepeatLimit(); got.VMs != 3 {
		t.Errorf("three VMs: the floor is divided by %d", got.VMs)
	}
	if _, ok := r.ColdInterval(&target.Live{}, 50); !ok {
		t.Error("three VMs: a cold target gets no requests")
	}
}

// TestStartTokensFitTheBound: two starts of the whole fleet in one window, with
// nothing lost between, stay within what the platform allows an account.
func TestStartTokensFitTheBound(t *testing.T) {
	r := newTestRegistry("vm-00", false)
	b := settings.Bounds{QuotaOverage: 0.1, QuotaSlack: 20, QuotaWindow: settings.Duration{Duration: 5 * time.Second}}
	r.settings.Store(&settings.Edge{Bounds: b})
	for _, a := range []config.Account{{Rate: 1, Burst: 1}, {Rate: 50, Burst: 500}, {Rate: 900, Burst: 900}} {
		limit := a.Rate*5 + a.Burst
		if got, allowed := limit+2*r.startTokens(&a), limit*1.1+20; got > allowed {
			t.Errorf("rate %v, burst %v: %v of %v allowed", a.Rate, a.Burst, got, allowed)
		}
	}
	r.settings.Store(&settings.Edge{})
	if got := r.startTokens(&config.Account{Rate: 100, Burst: 100}); got != 0 {
		t.Errorf("%v tokens where the platform allows nothing beyond the limit", got)
	}
}

func TestLocate(t *testing.T) {
	peer := func(n int, region string, state member.State, missed int) member.Peer {
		return member.Peer{ID: fmt.Sprint(n), Region: region, State: state, Missed: missed, CallerAddress: fmt.Sprint("vm-", n)}
	}
	self := peer(0, "east", member.Live, 0)
	leaving := peer(0, "east", member.Leaving, 0)
	for _, tt := range []struct {
		name   string
		view   member.View
		region string
		want   []string
	}{
		{"own region", member.View{Self: self, Peers: []member.Peer{peer(1, "east", member.Live, 0), peer(2, "west", member.Live, 0)}}, "east", []string{"vm-0", "vm-1"}},
		{"another region", member.View{Self: self, Peers: []member.Peer{peer(1, "west", member.Live, 0)}}, "west", []string{"vm-1"}},
		{"nobody there", member.View{Self: self, Peers: []member.Peer{peer(1, "east", member.Live, 0)}}, "south", []string{"vm-0", "vm-1"}},
		{"one missed a heartbeat", member.View{Self: self, Peers: []member.Peer{peer(1, "east", member.Live, 1)}}, "east", []string{"vm-0"}},
		{"one is leaving, one is gone", member.View{Self: self, Peers: []member.Peer{peer(1, "east", member.Leaving, 0), peer(2, "east", member.Gone, 2)}}, "east", []string{"vm-0"}},
		{"this one is leaving", member.View{Self: leaving, Peers: []member.Peer{peer(1, "east", member.Live, 0)}}, "east", []string{"vm-1"}},
		{"all others are silent", member.View{Self: leaving, Peers: []member.Peer{peer(1, "east", member.Silent, 3)}}, "east", []string{"vm-0"}},
	} {
		if diff := cmp.Diff(tt.want, locate(&tt.view, tt.region)); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
}

func TestBehind(t *testing.T) {
	var b behind
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct {
		ms          int
		own, newest int64
		want        bool
	}{
		{0, 5, 5, false},
		{500, 5, 6, false},
		{1000, 5, 6, false},
		{1500, 6, 6, false}, // caught up
		{2000, 6, 7, false},
		{3500, 6, 7, false},
		{3600, 6, 7, true},
		{4000, 6, 7, false}, // begins anew
		{5600, 6, 8, true},
	} {
		if got := b.kick(tt.own, tt.newest, at(tt.ms)); got != tt.want {
			t.Errorf("at %d ms, own %d, newest %d: %v", tt.ms, tt.own, tt.newest, got)
		}
	}
}

func TestNewestIsOfLivePeers(t *testing.T) {
	v := &member.View{Peers: []member.Peer{
		{State: member.Live, ConfigVersion: 3, ListVersion: 9},
		{State: member.Live, ConfigVersion: 4, ListVersion: 8},
		{State: member.Silent, ConfigVersion: 99, ListVersion: 99},
	}}
	if config, list := newest(v); config != 4 || list != 9 {
		t.Errorf("config %d, list %d", config, list)
	}
}
