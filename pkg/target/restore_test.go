package target

import (
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// TestRestoredListDoesNotGoBack checks that entries of a list that went back to an earlier state
// change nothing of the targets whose later state is known.
func TestRestoredListDoesNotGoBack(t *testing.T) {
	now := time.Now()
	entry := func(startedAt, sequence int64, draining bool) Entry {
		return Entry{Target: Target{ID: "a", Address: "x", FailureDomain: "fd", Slots: 1}, Pool: "s", StartedAt: startedAt, Sequence: sequence, Draining: draining}
	}
	for _, tt := range []struct {
		name     string
		known    Entry
		removed  bool
		restored Entry
		used     bool
	}{
		{"draining, listed as ready before", entry(5, 9, true), false, entry(5, 7, false), false},
		{"draining, ready again since", entry(5, 9, true), false, entry(5, 10, false), true},
		{"removed, listed before", entry(5, 9, false), true, entry(5, 8, false), false},
		{"removed with the last entry", entry(5, 9, false), true, entry(5, 9, false), false},
		{"removed, has published since", entry(5, 9, false), true, entry(5, 10, false), true},
		{"removed, another incarnation", entry(5, 9, false), true, entry(6, 1, false), true},
		{"a later incarnation is known", entry(6, 1, true), false, entry(5, 50, false), false},
		{"ready, unchanged", entry(5, 9, false), false, entry(5, 9, false), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(map[string]string{"fd": "east"}, now)
			r.Upsert(tt.known, true, now)
			if tt.removed {
				r.Remove([]string{"a"}, false, time.Second, now)
			}
			r.UpsertRestored(tt.restored, now)
			if used := len(r.Publish(storage.Version{}).Pools["s"]["east"]) == 1; used != tt.used {
				t.Errorf("used %v, want %v", used, tt.used)
			}
			// What the target publishes afterwards is in force.
			r.Upsert(entry(7, 1, false), false, now)
			if len(r.Publish(storage.Version{}).Pools["s"]["east"]) != 1 {
				t.Error("the next incarnation is not used")
			}
		})
	}
}

// TestStatesOfPeersBringNothingBack checks that a VM that starts after the list went back uses no
// target that a peer knows to be draining, removed or replaced.
func TestStatesOfPeersBringNothingBack(t *testing.T) {
	now := time.Now()
	listed := Entry{Target: Target{ID: "a", Address: "x", FailureDomain: "fd", Slots: 1}, Pool: "s", StartedAt: 5, Sequence: 7}
	for _, tt := range []struct {
		name  string
		state State
		used  bool
	}{
		{"draining", State{ID: "a", StartedAt: 5, Sequence: 9, Draining: true}, false},
		{"removed", State{ID: "a", StartedAt: 5, Sequence: 7, Removed: true}, false},
		{"replaced", State{ID: "a", StartedAt: 6, Sequence: 1}, false},
		{"older", State{ID: "a", StartedAt: 5, Sequence: 6, Draining: true}, true},
		{"older incarnation", State{ID: "a", StartedAt: 4, Sequence: 60, Removed: true}, true},
		{"the same", State{ID: "a", StartedAt: 5, Sequence: 7}, true},
		{"unknown target", State{ID: "b", StartedAt: 5, Sequence: 7, Removed: true}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(map[string]string{"fd": "east"}, now)
			r.Upsert(listed, true, now)
			r.ApplyStates([]State{tt.state}, now)
			if used := len(r.Publish(storage.Version{}).Pools["s"]["east"]) == 1; used != tt.used {
				t.Errorf("used %v, want %v", used, tt.used)
			}
		})
	}
}
