package target

import (
	"testing"
	"time"
)

// TestWordOfALeavingTargetOutlivesTheList guards against a target that gets requests again as a
// late or stale read of the list says that it is ready.
func TestWordOfALeavingTargetOutlivesTheList(t *testing.T) {
	now := time.Now()
	r := NewRegistry(map[string]string{"fd": "east"}, now)
	e := Entry{Target: Target{ID: "i", Address: "127.0.0.1:1", FailureDomain: "fd", Slots: 9}, Pool: "s", Born: 1}
	l, _ := r.Upsert(e, true, now)
	r.Publish(1)
	if !l.SetLeaving() || l.SetLeaving() || r.Publish(1).Admits(l, now) {
		t.Fatal("a leaving target is used")
	}
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("the list's word took it back")
	}
	e.Slots = 8
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("an entry that differs otherwise took it back")
	}
	r.Remove([]string{e.ID}, false, 0, now)
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("an entry that vanished and returned took it back")
	}
	if all, _ := UsableSlots([]*Live{l}, now); all != 0 {
		t.Errorf("it has %v usable slots", all)
	}
	e.Born = 2
	if l, _ = r.Upsert(e, false, now); l.Leaving() {
		t.Error("it holds for the next incarnation")
	}
}

func TestBackOff(t *testing.T) {
	now := time.Now()
	l := &Live{Target: Target{Slots: 9}}
	l.BackOff(0, now)
	l.BackOff(-time.Second, now)
	if !l.TakesWork(now) {
		t.Fatal("it backs off without a word")
	}
	l.BackOff(4*time.Second, now)
	l.BackOff(time.Second, now)
	if left := l.BackoffLeft(now); left < 4*time.Second || left > 4*time.Second+maxBackoffSpread {
		t.Errorf("backs off for %v", left)
	}
	all, wanted := UsableSlots([]*Live{l}, now)
	if l.TakesWork(now.Add(3999*time.Millisecond)) || all != 9 || wanted != 0 || l.Suspect() {
		t.Errorf("takes work, or is suspect: %v, %v usable slots", all, wanted)
	}
	if !l.TakesWork(now.Add(4*time.Second + maxBackoffSpread)) {
		t.Error("backs off for longer")
	}
	l.BackOff(1000*time.Hour, now)
	if l.TakesWork(now.Add(999 * time.Hour)) {
		t.Error("a long time ends early")
	}
}
