package target

import (
	"testing"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// published returns an entry that target a publishes.
func published(startedAt, sequence int64, draining bool) Entry {
	return Entry{Target: Target{ID: "a", Address: "x", FailureDomain: "fd-a", Slots: 1}, Pool: "s", StartedAt: startedAt, Sequence: sequence, Draining: draining}
}

// uses reports whether target a gets requests.
func uses(r *Registry) bool {
	list := r.Publish(storage.Version{}).Pools["s"]["east"]
	return len(list) == 1 && list[0].AcceptsRequests(t0)
}

// TestLateWriteOfEntry guards against a write that the list's store applies after later ones: it undid the report
// that a target drains, or listed a target anew that had left (DRAIN).
func TestLateWriteOfEntry(t *testing.T) {
	ready := func(startedAt, sequence int64) Entry { return published(startedAt, sequence, false) }
	draining := func(startedAt, sequence int64) Entry { return published(startedAt, sequence, true) }
	for _, tt := range []struct {
		name    string
		listed  []Entry // in the order in which the list shows them
		removed bool    // before the last one
		change  Change  // of the last one
		used    bool
	}{
		{"heartbeat after the report of draining", []Entry{ready(5, 1), draining(5, 9), ready(5, 8)}, false, Outdated, false},
		{"two heartbeats in the wrong order", []Entry{draining(5, 9), ready(5, 8), ready(5, 7)}, false, Outdated, false},
		{"report of draining after the target is ready again", []Entry{draining(5, 9), ready(5, 10), draining(5, 9)}, false, Outdated, true},
		{"heartbeat after draining and removal", []Entry{ready(5, 1), draining(5, 9), ready(5, 8)}, true, Outdated, false},
		{"heartbeat after removal, its number unknown", []Entry{ready(5, 1), ready(5, 8)}, true, Returned, false},
		{"earlier incarnation", []Entry{ready(5, 30), draining(6, 2), ready(5, 31)}, false, Outdated, false},
		{"earlier incarnation, the later one ready", []Entry{ready(5, 30), ready(6, 1), draining(5, 31)}, false, Outdated, true},
		{"earlier incarnation after removal of the later one", []Entry{ready(6, 2), ready(5, 31)}, true, Outdated, false},
		{"restart", []Entry{draining(5, 30), ready(6, 1)}, false, Added, true},
		{"restart after removal", []Entry{draining(5, 30), ready(6, 1)}, true, Added, true},
		{"next heartbeat", []Entry{ready(5, 8), ready(5, 9)}, false, Updated, true},
		{"the same entry again", []Entry{ready(5, 8), ready(5, 8)}, false, Updated, true},
		{"without numbers", []Entry{draining(0, 0), ready(0, 0)}, false, Updated, true},
		{"without a sequence number", []Entry{draining(5, 9), ready(5, 0)}, false, Updated, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(regions, t0)
			last := len(tt.listed) - 1
			for i, e := range tt.listed[:last] {
				r.Upsert(e, i == 0, t0)
			}
			if tt.removed {
				r.Remove([]string{"a"}, false, drainTime, t0)
			}
			if _, change := r.Upsert(tt.listed[last], false, t0); change != tt.change {
				t.Errorf("%v, want %v", change, tt.change)
			}
			if used := uses(r); used != tt.used {
				t.Errorf("used %v, want %v", used, tt.used)
			}
		})
	}
}

// TestReturnedEntryIsChecked guards against requests to a target whose entry returns after its removal, which may
// be a write that was applied late, unless the entry may have expired (DRAIN).
func TestReturnedEntryIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name       string
		known      Entry
		outage     bool
		wantsCheck bool
	}{
		{"removed", published(5, 1, false), false, true},
		{"expired during an outage", published(5, 1, false), true, false},
		{"drained during an outage", published(5, 1, true), true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(regions, t0)
			r.Upsert(tt.known, true, t0)
			r.Remove([]string{"a"}, tt.outage, drainTime, t0)
			later := t0.Add(removalHold)
			r.Expire(later)
			l, change := r.Upsert(published(5, 6, false), false, later)
			if change != Returned || l.Suspect() != tt.wantsCheck {
				t.Errorf("%v, suspect %v; want a returned target, suspect %v", change, l.Suspect(), tt.wantsCheck)
			}
			l.ClearSuspicion(0, later)
			if !uses(r) {
				t.Error("the target is not used although it has passed a health check")
			}
		})
	}
}

// TestLaterEntryAtFirstSightIsChecked guards against a late write that lists a target anew after this VM has started,
// which was removed before: the VM knows nothing of it (DRAIN).
func TestLaterEntryAtFirstSightIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sequence   int64
		firstRead  bool
		wantsCheck bool
	}{
		{"first entry", 1, false, false},
		{"later entry", 8, false, true},
		{"later entry, listed when the VM starts", 8, true, false},
		{"number unknown", 0, false, false},
	} {
		r := NewRegistry(regions, t0)
		if l, change := r.Upsert(published(5, tt.sequence, false), tt.firstRead, t0); change != Added || l.Suspect() != tt.wantsCheck {
			t.Errorf("%s: %v, suspect %v", tt.name, change, l.Suspect())
		}
	}
	r := NewRegistry(regions, t0)
	r.Upsert(published(5, 7, false), true, t0)
	moved := published(5, 8, false)
	moved.Slots++
	if l, _ := r.Upsert(moved, false, t0); l.Suspect() {
		t.Error("a target that describes itself differently awaits a health check")
	}
}

// TestReturnOfHeldEntryIsChecked guards against a late write that lists one of several targets anew which have left
// together, while their removal is held: only most of all targets at once are taken for entries that have expired (DRAIN).
func TestReturnOfHeldEntryIsChecked(t *testing.T) {
	for _, tt := range []struct {
		removed    []string
		wantsCheck bool
	}{
		{[]string{"t0", "t1", "t2"}, true},
		{[]string{"t0", "t1", "t2", "t3", "t4", "t5"}, false},
	} {
		for _, expire := range []bool{false, true} {
			r := newTestRegistry(8)
			if got := r.Remove(tt.removed, false, drainTime, t0); len(got.Held) != len(tt.removed) {
				t.Fatalf("%d of %d removals are held", len(got.Held), len(tt.removed))
			}
			if expire {
				r.Expire(t0.Add(removalHold))
			}
			late := entry(0, "fd-a")
			late.Sequence = 2
			if l, change := r.Upsert(late, false, t0.Add(removalHold)); change != Returned || l.Suspect() != tt.wantsCheck {
				t.Errorf("%d removed, expired %v: %v, suspect %v", len(tt.removed), expire, change, l.Suspect())
			}
		}
	}
}

// TestOutdatedEntryStaysListed guards against a target that is never used again, because it has published nothing
// but a new sequence number since an outdated entry, which the list does not tell.
func TestOutdatedEntryStaysListed(t *testing.T) {
	r := NewRegistry(regions, t0)
	r.Upsert(published(5, 9, false), true, t0)
	r.Remove([]string{"a"}, false, drainTime, t0)
	r.Upsert(published(5, 8, false), false, t0)
	if got := r.AcceptOutdated(t0.Add(OutdatedHold - 1)); len(got) != 0 {
		t.Errorf("accepted %d entries before the hold has ended", len(got))
	}
	got := r.AcceptOutdated(t0.Add(OutdatedHold))
	if len(got) != 1 || uses(r) {
		t.Fatalf("accepted %d entries, used %v; want one that awaits a health check", len(got), uses(r))
	}
	got[0].ClearSuspicion(0, t0)
	if !uses(r) {
		t.Error("the target is not used although it has passed a health check")
	}
}

// TestOutdatedEntryThatIsSettled checks that an outdated entry is accepted neither after its removal nor in place of
// what the same incarnation has published.
func TestOutdatedEntryThatIsSettled(t *testing.T) {
	for name, settle := range map[string]func(*Registry){
		"removed":   func(r *Registry) { r.Remove([]string{"a"}, false, drainTime, t0) },
		"published": func(r *Registry) { r.Upsert(published(5, 10, true), false, t0) },
		"known":     func(*Registry) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(regions, t0)
			r.Upsert(published(5, 9, true), true, t0)
			r.Upsert(published(5, 8, false), false, t0)
			settle(r)
			if got := r.AcceptOutdated(t0.Add(2 * OutdatedHold)); len(got) != 0 || uses(r) {
				t.Errorf("accepted %d entries, used %v", len(got), uses(r))
			}
		})
	}
}

// TestPeersTellOfOutdatedEntries guards against a VM that starts while the list shows an outdated entry and uses
// the target (DRAIN).
func TestPeersTellOfOutdatedEntries(t *testing.T) {
	for _, removed := range []bool{false, true} {
		follows, starts := NewRegistry(regions, t0), NewRegistry(regions, t0)
		follows.Upsert(published(5, 9, true), true, t0)
		if removed {
			follows.Remove([]string{"a"}, false, drainTime, t0)
		}
		late := published(5, 8, false)
		follows.Upsert(late, false, t0)
		starts.Upsert(late, true, t0)
		if !uses(starts) {
			t.Fatal("the VM that starts does not use the listed target")
		}
		states := follows.Outdated(16)
		starts.ApplyStates(states, t0)
		if uses(starts) {
			t.Errorf("removed %v: the target is used after %+v", removed, states)
		}
		if second := starts.Outdated(16); len(second) != 0 {
			t.Errorf("a VM passes on what it has by another one's word: %+v", second)
		}
		follows.Upsert(published(6, 1, false), false, t0)
		if states := follows.Outdated(16); len(states) != 0 {
			t.Errorf("%+v is reported although the target has published since", states)
		}
	}
}

// TestPeersTellOfReturnedEntries guards against a VM that starts after the entry of a target that has left was listed
// anew, and uses the target while the others check its health (DRAIN).
func TestPeersTellOfReturnedEntries(t *testing.T) {
	follows, starts := NewRegistry(regions, t0), NewRegistry(regions, t0)
	follows.Upsert(published(5, 1, false), true, t0)
	follows.Remove([]string{"a"}, false, drainTime, t0)
	l, _ := follows.Upsert(published(5, 8, false), false, t0)
	starts.Upsert(published(5, 8, false), true, t0)
	for range 2 {
		starts.ApplyStates(follows.Outdated(16), t0)
		if uses(starts) {
			t.Fatal("the target is used before it has passed a health check")
		}
	}
	own := starts.All()[0]
	own.ClearSuspicion(0, t0)
	starts.ApplyStates(follows.Outdated(16), t0)
	if !uses(starts) {
		t.Error("a peer undoes a health check")
	}
	l.ClearSuspicion(0, t0)
	if states := follows.Outdated(16); len(states) != 0 {
		t.Errorf("%+v is reported although the target has passed a health check", states)
	}
}

// TestEntriesInAnyOrder checks that whatever the order in which the store applies the writes of a target, the
// latest one of those that were read stays in force.
func TestEntriesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(regions, t0)
		var latest Entry
		for _, n := range rapid.SliceOfN(rapid.Int64Range(0, 39), 1, 30).Draw(t, "order") {
			const perIncarnation = 10
			// The state follows from the number, as a target publishes each one once.
			e := published(1+n/perIncarnation, 1+n%perIncarnation, n%3 == 0)
			if e.StartedAt > latest.StartedAt || (e.StartedAt == latest.StartedAt && e.Sequence > latest.Sequence) {
				latest = e
			}
			r.Upsert(e, false, t0)
			want := State{ID: "a", StartedAt: latest.StartedAt, Sequence: latest.Sequence, Draining: latest.Draining}
			if got := r.State("a"); got != want || (latest.Draining && uses(r)) {
				t.Fatalf("%+v after entry %+v, want %+v", got, e, want)
			}
		}
	})
}
