package target

import (
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// TestLeavingStateOutlivesListUpdates guards against sending to a leaving target again because a
// late or stale read of the list says that it is ready.
func TestLeavingStateOutlivesListUpdates(t *testing.T) {
	now := time.Now()
	r := NewRegistry(map[string]string{"fd": "east"}, now)
	e := Entry{Target: Target{ID: "i", Address: "127.0.0.1:1", FailureDomain: "fd", Slots: 9}, Pool: "s", StartedAt: 1}
	l, _ := r.Upsert(e, true, now)
	r.Publish(storage.Version{Number: 1})
	if !l.SetLeaving() || l.SetLeaving() || r.Publish(storage.Version{Number: 1}).Admits(l, now) {
		t.Fatal("a leaving target is still admitted")
	}
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("an update from the list cleared the leaving state")
	}
	e.Slots = 8
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("an entry with other slots cleared the leaving state")
	}
	r.Remove([]string{e.ID}, false, 0, now)
	l, _ = r.Upsert(e, false, now)
	if !l.Leaving() {
		t.Error("an entry that was removed and added again cleared the leaving state")
	}
	if total, _ := UsableSlots([]*Live{l}, now); total != 0 {
		t.Errorf("the leaving target has %v usable slots, want 0", total)
	}
	e.StartedAt = 2
	if l, _ = r.Upsert(e, false, now); l.Leaving() {
		t.Error("the leaving state carries over to the next incarnation")
	}
}

func TestBackOff(t *testing.T) {
	now := time.Now()
	l := &Live{Target: Target{Slots: 9}}
	l.BackOff(0, now)
	l.BackOff(-time.Second, now)
	if !l.AcceptsRequests(now) {
		t.Fatal("backs off for a duration that is not positive")
	}
	l.BackOff(4*time.Second, now)
	l.BackOff(time.Second, now)
	if left := l.BackoffRemaining(now); left < 4*time.Second || left > 4*time.Second+maxBackoffJitter {
		t.Errorf("backs off for %v, want 4 s to 4 s plus the jitter", left)
	}
	total, available := UsableSlots([]*Live{l}, now)
	if l.AcceptsRequests(now.Add(3999*time.Millisecond)) || total != 9 || available != 0 || l.Suspect() {
		t.Errorf("accepts requests during the backoff, is suspect, or has the wrong slots: %v, %v usable slots", total, available)
	}
	if !l.AcceptsRequests(now.Add(4*time.Second + maxBackoffJitter)) {
		t.Error("the backoff lasts longer than 4 s plus the jitter")
	}
	l.BackOff(1000*time.Hour, now)
	if l.AcceptsRequests(now.Add(999 * time.Hour)) {
		t.Error("a backoff of 1000 h ends early")
	}
}
