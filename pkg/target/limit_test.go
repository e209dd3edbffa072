package target

import (
	"testing"
	"time"
)

// TestLimitFollowsNewestResponse guards against a limit that is ended by an older response, or that
// stays in force after the target's responses no longer set it.
func TestLimitFollowsNewestResponse(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	set := func(l *Live, rate float64, ms int) { l.RecordLimit(rate, at(ms)) }
	report := func(l *Live, limit Limit, earliest, latest int) {
		l.RecordPeerLimit(PeerLimit{Limit: limit, Earliest: at(earliest), Latest: at(latest)})
	}
	five := Limit{Rate: 5, Limited: true}
	for _, tt := range []struct {
		name string
		do   func(l *Live)
		want Limit
	}{
		{"never set", func(*Live) {}, Limit{}},
		{"set", func(l *Live) { set(l, 5, 0) }, five},
		{"changed", func(l *Live) { set(l, 9, 0); set(l, 5, 50) }, five},
		{"ended", func(l *Live) { set(l, 5, 0); l.RecordNoLimit(at(10), at(50)) }, Limit{}},
		{"a response without a limit to an earlier request", func(l *Live) { set(l, 5, 20); l.RecordNoLimit(at(10), at(50)) }, five},
		{"set again", func(l *Live) { set(l, 9, 0); l.RecordNoLimit(at(10), at(50)); set(l, 5, 60) }, five},
		{"reported", func(l *Live) { report(l, five, 0, 20) }, five},
		{"reported end", func(l *Live) { set(l, 5, 0); report(l, Limit{}, 10, 60) }, Limit{}},
		{"reported end that may be older", func(l *Live) { set(l, 5, 30); report(l, Limit{}, 10, 60) }, five},
		{"reported limit that may be newer", func(l *Live) {
			set(l, 9, 0)
			l.RecordNoLimit(at(10), at(20))
			report(l, five, 5, 30)
		}, five},
		{"reported limit that is older", func(l *Live) {
			set(l, 9, 0)
			l.RecordNoLimit(at(40), at(50))
			report(l, five, 5, 30)
		}, Limit{}},
	} {
		l := &Live{}
		tt.do(l)
		if got := l.Limit(); got != tt.want {
			t.Errorf("%s: limit %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestOnlyOwnObservationsAreReported guards against VMs that pass each other's reports on, so that a
// report circulates forever and never ages.
func TestOnlyOwnObservationsAreReported(t *testing.T) {
	start := time.Now()
	l := &Live{}
	l.RecordPeerLimit(PeerLimit{Limit: Limit{Rate: 5, Limited: true}, Earliest: start, Latest: start})
	if _, _, _, ok := l.ObservedLimit(start); ok {
		t.Error("a report of another VM is reported as this VM's own")
	}
	l.RecordLimit(5, start.Add(time.Second))
	limit, unchangedFor, age, ok := l.ObservedLimit(start.Add(3 * time.Second))
	if !ok || !limit.Limited || limit.Rate != 5 || unchangedFor != 2*time.Second || age != 2*time.Second {
		t.Errorf("observed limit %+v unchanged for %v, %v old, ok %v", limit, unchangedFor, age, ok)
	}
}

// TestLimitReducesUsableSlots guards against a region's capacity that includes slots which
// its targets' limits leave empty.
func TestLimitReducesUsableSlots(t *testing.T) {
	now := time.Now()
	l := &Live{Target: Target{Slots: 9}}
	l.RecordLimit(10, now)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 9 {
		t.Errorf("%v slots before the service time is known, want 9", got)
	}
	l.RecordServiceTime(200*time.Millisecond, 0)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 2 {
		t.Errorf("%v slots, want 2: 10 requests per second of 0.2 s each", got)
	}
	l.RecordLimit(0, now)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got <= 0 {
		t.Errorf("%v slots with a limit of 0, want more than none", got)
	}
	l.RecordLimit(1000, now.Add(time.Second))
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 9 {
		t.Errorf("%v slots with a limit above the slots, want 9", got)
	}
}
