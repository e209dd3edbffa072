package target

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

var (
	regions  = map[string]string{"fd-a": "east", "fd-b": "east", "fd-c": "west"}
	services = map[string]*config.Service{"s": {Name: "s", ColdStart: 3 * time.Second, ColdRate: 15}}
	t0       = time.Unix(1_000_000, 0)
)

const drainTime = 2 * time.Second

func entry(n int, domain string) Entry {
	return Entry{Target: Target{ID: fmt.Sprint("t", n), Address: fmt.Sprintf("10.0.0.%d:80", n), FailureDomain: domain, Slots: 9}, Pool: "s", StartedAt: 1}
}

// newTestRegistry returns a registry with n targets in fd-a.
func newTestRegistry(n int) *Registry {
	r := NewRegistry(regions, t0)
	r.SetServices(services)
	for i := range n {
		r.Upsert(entry(i, "fd-a"), true, t0)
	}
	r.Publish(storage.Version{Number: 1})
	return r
}

func usableIDs(r *Registry) []string {
	var out []string
	for _, byRegion := range r.Publish(storage.Version{}).Pools {
		for _, list := range byRegion {
			for _, l := range list {
				out = append(out, l.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

func expectIDs(t *testing.T, r *Registry, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, usableIDs(r)); diff != "" {
		t.Errorf("usable targets: %s", diff)
	}
}

func TestDrainingAndEvacuatedTargetsAreNotUsable(t *testing.T) {
	r := newTestRegistry(2)
	e := entry(0, "fd-a")
	e.Draining = true
	r.Upsert(e, false, t0)
	expectIDs(t, r, "t1")
	r.Evacuate("fd-a", true, t0)
	expectIDs(t, r)
	r.Evacuate("fd-a", false, t0)
	expectIDs(t, r, "t1")
	if l := r.Snapshot().Pools["s"]["east"][0]; !l.Cold(t0.Add(time.Second)) || l.Cold(t0.Add(4*time.Second)) {
		t.Error("the targets of a domain that returns to use must count as cold for the service's cold start")
	}
}

// TestTargetRemovedDuringListOutage guards against a target that left while this VM could
// not read the list and got requests for 2 s after the VM's return, when the VM had to
// follow the list again (DRAIN violation, hunt seed 29774260088 of the day scale-2).
func TestTargetRemovedDuringListOutage(t *testing.T) {
	r := newTestRegistry(10)
	removed := r.Remove([]string{"t0", "t1"}, true, drainTime, t0)
	if len(removed.Held) != 2 || removed.HeldUntil.After(t0.Add(2*time.Second)) {
		t.Errorf("removal %+v, want 2 targets held for at most 2 s", removed)
	}
	expectIDs(t, r, "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9")
}

// TestEntriesExpireDuringStoreOutage guards against losing all targets when their entries expire
// during an outage of the store.
func TestEntriesExpireDuringStoreOutage(t *testing.T) {
	r := newTestRegistry(4)
	r.Remove([]string{"t0", "t1", "t2", "t3"}, true, drainTime, t0)
	expectIDs(t, r, "t0", "t1", "t2", "t3")
	r.Upsert(entry(1, "fd-a"), false, t0.Add(time.Second))
	if l := r.Publish(storage.Version{}).Pools["s"]["east"][1]; l.Cold(t0.Add(time.Second)) {
		t.Error("a target whose entry returned is the same incarnation and must not count as cold")
	}
	r.Expire(t0.Add(removalHold))
	expectIDs(t, r, "t1")
}

// TestExpiredEntryReturnsAfterHold guards against entries that return after their hold has
// ended and count as new and cold: the whole fleet was limited to the cold rate for 3 s
// (deploy/days/store-lapse.toml, seconds 10 to 13).
func TestExpiredEntryReturnsAfterHold(t *testing.T) {
	r := newTestRegistry(4)
	before := r.Snapshot().Pools["s"]["east"][0]
	r.Remove([]string{"t0", "t1", "t2", "t3"}, true, drainTime, t0)
	r.Expire(t0.Add(removalHold))
	expectIDs(t, r)
	later := t0.Add(removalHold + time.Second)
	l, change := r.Upsert(entry(0, "fd-a"), false, later)
	if change != Returned || l != before || l.Cold(later) || l.Suspect() {
		t.Errorf("%v, cold %v, suspect %v; want the same incarnation as before", change, l.Cold(later), l.Suspect())
	}
	muchLater := t0.Add(tombstoneTTL + 2*removalHold)
	r.Expire(muchLater)
	if _, change := r.Upsert(entry(1, "fd-a"), false, muchLater); change != Added {
		t.Error("an entry that returns after tombstoneTTL must be a new incarnation")
	}
}

func TestRemovalWithoutOutage(t *testing.T) {
	r := newTestRegistry(10)
	if got := r.Remove([]string{"t0"}, false, drainTime, t0); len(got.Removed) != 1 {
		t.Errorf("removal of one target: %+v, want it gone at once", got)
	}
	if got := r.Remove([]string{"t1", "t2", "t3", "t4"}, false, drainTime, t0); len(got.Held) != 4 || got.HeldUntil.Sub(t0) > drainTime {
		t.Errorf("removal of 4 of 9 targets: %+v, want them held for at most the drain time", got)
	}
	r = newTestRegistry(10)
	if got := r.Remove([]string{"t0", "t1", "t2", "t3", "t4", "t5", "t6"}, false, drainTime, t0); len(got.Held) != 7 || got.HeldUntil.Sub(t0) != removalHold {
		t.Errorf("removal of 7 of 10 targets: %+v, want them held for removalHold", got)
	}
}

func TestRestartIsNewIncarnation(t *testing.T) {
	r := newTestRegistry(1)
	old := r.Snapshot().Pools["s"]["east"][0]
	old.RecordFailure(true)
	restarted := entry(0, "fd-a")
	restarted.StartedAt = 2
	l, change := r.Upsert(restarted, false, t0)
	if change != Added || l == old || l.Suspect() || !l.Cold(t0.Add(2*time.Second)) {
		t.Error("a restarted target must be a new, cold incarnation that is not suspect")
	}
	if same, change := r.Upsert(restarted, false, t0); change != Updated || same != l {
		t.Error("an unchanged entry must keep its incarnation")
	}
}

func TestSuspectAfterLostResponses(t *testing.T) {
	l := &Live{}
	lose := func(n int) (suspect bool) {
		for range n {
			suspect = l.RecordFailure(false)
		}
		return suspect
	}
	if lose(2) {
		t.Error("suspect after two lost responses")
	}
	l.RecordResponse(true, time.Now())
	if lose(2) {
		t.Error("suspect after two lost responses since the last response")
	}
	if !lose(1) || !l.Suspect() {
		t.Error("not suspect after three lost responses in a row")
	}
	l.ClearSuspicion(time.Second, t0)
	if l.Suspect() || !l.Cold(t0) || !l.RecordFailure(true) {
		t.Error("want no longer suspect, cold, and suspect again at the first failure to connect")
	}
}

func TestColdRequestRate(t *testing.T) {
	l := &Live{processStart: instant(t0.Add(-time.Minute))}
	n := 0
	for ms := range 1000 {
		if l.AllowCold(250*time.Millisecond, t0.Add(time.Duration(ms)*time.Millisecond)) {
			n++
		}
	}
	if n != 4 {
		t.Errorf("%d cold requests in a second, want 4", n)
	}
}

// TestInstantsFollowMonotonicClock guards against instants that follow the wall clock:
// it jumped ahead by 4 s, and cold targets got their usual rate too early.
func TestInstantsFollowMonotonicClock(t *testing.T) {
	for range 100 {
		a := time.Now()
		time.Sleep(time.Microsecond)
		b := time.Now()
		if got := instant(b) - instant(a); got != int64(b.Sub(a)) {
			t.Fatalf("%d ns between two instants, %d on the monotonic clock", got, b.Sub(a))
		}
	}
}
