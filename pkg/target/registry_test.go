package target

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusramp.dev/crocusramp/pkg/config"
)

var (
	regions  = map[string]string{"fd-a": "east", "fd-b": "east", "fd-c": "west"}
	services = map[string]*config.Service{"s": {Name: "s", ColdStart: 3 * time.Second, ColdRate: 15}}
	t0       = time.Unix(1_000_000, 0)
)

const drain = 2 * time.Second

func entry(n int, domain string) Entry {
	return Entry{Target: Target{ID: fmt.Sprint("t", n), Address: fmt.Sprintf("10.0.0.%d:80", n), FailureDomain: domain, Slots: 9}, Pool: "s", Born: 1}
}

// started returns a registry with n targets in fd-a.
func started(n int) *Registry {
	r := NewRegistry(regions, t0)
	r.SetServices(services)
	for i := range n {
		r.Upsert(entry(i, "fd-a"), true, t0)
	}
	r.Publish(1)
	return r
}

func ids(r *Registry) []string {
	var out []string
	for _, byRegion := range r.Publish(0).Pools {
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
	if diff := cmp.Diff(want, ids(r)); diff != "" {
		t.Errorf("usable targets: %s", diff)
	}
}

func TestDrainingAndEvacuatedTargetsAreNotUsable(t *testing.T) {
	r := started(2)
	e := entry(0, "fd-a")
	e.Draining = true
	r.Upsert(e, false, t0)
	expectIDs(t, r, "t1")
	r.Evacuate("fd-a", true, t0)
	expectIDs(t, r)
	r.Evacuate("fd-a", false, t0)
	expectIDs(t, r, "t1")
	if l := r.Snapshot().Pools["s"]["east"][0]; !l.Cold(t0.Add(time.Second)) || l.Cold(t0.Add(4*time.Second)) {
		t.Error("the targets of a domain that is taken back count as cold for the start-up time")
	}
}

// TestLeftWhileTheVMWasCutOff: a target drained and left while this VM could not
// read the list. It was used for 2 s after the VM's return, by which time the VM
// was held to the list again (DRAIN, hunt seed 29774260088 of scale-2).
func TestLeftWhileTheVMWasCutOff(t *testing.T) {
	r := started(10)
	removed := r.Remove([]string{"t0", "t1"}, true, drain, t0)
	if len(removed.Held) != 2 || removed.Until.After(t0.Add(2*time.Second)) {
		t.Errorf("removal %+v", removed)
	}
	expectIDs(t, r, "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9")
}

// TestLapseOfTheList: the store was away, and all targets' entries lapsed.
func TestLapseOfTheList(t *testing.T) {
	r := started(4)
	r.Remove([]string{"t0", "t1", "t2", "t3"}, true, drain, t0)
	expectIDs(t, r, "t0", "t1", "t2", "t3")
	r.Upsert(entry(1, "fd-a"), false, t0.Add(time.Second))
	if l := r.Publish(0).Pools["s"]["east"][1]; l.Cold(t0.Add(time.Second)) {
		t.Error("a target that came back is the same incarnation, not a cold one")
	}
	r.Expire(t0.Add(removalHold))
	expectIDs(t, r, "t1")
}

// TestLapsedEntryComesBackLate: entries came back after they had been given up.
// They counted as new and cold, and the whole fleet was held to the cold rate for
// 3 s (deploy/days/store-lapse.toml: seconds 10 to 13).
func TestLapsedEntryComesBackLate(t *testing.T) {
	r := started(4)
	before := r.Snapshot().Pools["s"]["east"][0]
	r.Remove([]string{"t0", "t1", "t2", "t3"}, true, drain, t0)
	r.Expire(t0.Add(removalHold))
	expectIDs(t, r)
	back := t0.Add(removalHold + time.Second)
	l, fresh := r.Upsert(entry(0, "fd-a"), false, back)
	if fresh || l != before || l.Cold(back) {
		t.Errorf("new %v, cold %v; want the incarnation from before", fresh, l.Cold(back))
	}
	later := t0.Add(gravePeriod + 2*removalHold)
	r.Expire(later)
	if _, fresh := r.Upsert(entry(1, "fd-a"), false, later); !fresh {
		t.Error("an entry that was gone for long is a new target")
	}
}

func TestRemovalWithoutOutage(t *testing.T) {
	r := started(10)
	if got := r.Remove([]string{"t0"}, false, drain, t0); len(got.Gone) != 1 {
		t.Errorf("one target that left: %+v", got)
	}
	if got := r.Remove([]string{"t1", "t2", "t3", "t4"}, false, drain, t0); len(got.Held) != 4 || got.Until.Sub(t0) > drain {
		t.Errorf("a part of the targets vanished together: %+v", got)
	}
	r = started(10)
	if got := r.Remove([]string{"t0", "t1", "t2", "t3", "t4", "t5", "t6"}, false, drain, t0); len(got.Held) != 7 || got.Until.Sub(t0) != removalHold {
		t.Errorf("a lapse that nobody noticed: %+v", got)
	}
}

func TestIncarnations(t *testing.T) {
	r := started(1)
	old := r.Snapshot().Pools["s"]["east"][0]
	old.Failed(true)
	again := entry(0, "fd-a")
	again.Born = 2
	l, fresh := r.Upsert(again, false, t0)
	if !fresh || l == old || l.Suspect() || !l.Cold(t0.Add(2*time.Second)) {
		t.Error("a target that was born again is another, cold one")
	}
	if same, fresh := r.Upsert(again, false, t0); fresh || same != l {
		t.Error("the same entry is the same target")
	}
}

func TestSuspicion(t *testing.T) {
	l := &Live{}
	lose := func(answers int) (suspect bool) {
		for range answers {
			suspect = l.Failed(false)
		}
		return suspect
	}
	if lose(2) {
		t.Error("two lost answers are no suspicion")
	}
	l.Answered(true, time.Now())
	if lose(2) {
		t.Error("nor are two after an answer")
	}
	if !lose(1) || !l.Suspect() {
		t.Error("three lost answers in a row are")
	}
	l.Cleared(time.Second, t0)
	if l.Suspect() || !l.Cold(t0) || !l.Failed(true) {
		t.Error("cleared, cold, and suspect at once where it cannot be reached")
	}
}

func TestColdShare(t *testing.T) {
	l := &Live{since: instant(t0.Add(-time.Minute))}
	n := 0
	for ms := range 1000 {
		if l.TakeCold(250*time.Millisecond, t0.Add(time.Duration(ms)*time.Millisecond)) {
			n++
		}
	}
	if n != 4 {
		t.Errorf("%d requests in a second, want 4", n)
	}
}

// TestInstantsAreOfTheSteadyClock: the time of day jumped ahead by 4 s, and cold
// targets got their usual rate too early.
func TestInstantsAreOfTheSteadyClock(t *testing.T) {
	for range 100 {
		a := time.Now()
		time.Sleep(time.Microsecond)
		b := time.Now()
		if got := instant(b) - instant(a); got != int64(b.Sub(a)) {
			t.Fatalf("%d ns between two instants, %d on the steady clock", got, b.Sub(a))
		}
	}
}
