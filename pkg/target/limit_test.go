package target

import (
	"testing"
	"time"
)

// TestLimitFollowsTheNewestAnswer guards against a limit that an older answer ends, or that
// goes on after the target has stopped naming it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	named := func(l *Live, rate float64, ms int) { l.LimitNamed(rate, at(ms)) }
	report := func(l *Live, limit Limit, earliest, latest int) {
		l.LimitReported(Report{Limit: limit, Earliest: at(earliest), Latest: at(latest)})
	}
	five := Limit{Rate: 5, Named: true}
	for _, tt := range []struct {
		name string
		do   func(l *Live)
		want Limit
	}{
		{"never named", func(*Live) {}, Limit{}},
		{"named", func(l *Live) { named(l, 5, 0) }, five},
		{"changed", func(l *Live) { named(l, 9, 0); named(l, 5, 50) }, five},
		{"ended", func(l *Live) { named(l, 5, 0); l.LimitUnnamed(at(10), at(50)) }, Limit{}},
		{"an answer to an earlier request", func(l *Live) { named(l, 5, 20); l.LimitUnnamed(at(10), at(50)) }, five},
		{"named again", func(l *Live) { named(l, 9, 0); l.LimitUnnamed(at(10), at(50)); named(l, 5, 60) }, five},
		{"reported", func(l *Live) { report(l, five, 0, 20) }, five},
		{"reported end", func(l *Live) { named(l, 5, 0); report(l, Limit{}, 10, 60) }, Limit{}},
		{"reported end that may be older", func(l *Live) { named(l, 5, 30); report(l, Limit{}, 10, 60) }, five},
		{"reported limit that may be newer", func(l *Live) {
			named(l, 9, 0)
			l.LimitUnnamed(at(10), at(20))
			report(l, five, 5, 30)
		}, five},
		{"reported limit that is older", func(l *Live) {
			named(l, 9, 0)
			l.LimitUnnamed(at(40), at(50))
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

// TestOnlyOwnObservationsAreReported guards against reports that go round among VMs and never age.
func TestOnlyOwnObservationsAreReported(t *testing.T) {
	start := time.Now()
	l := &Live{}
	l.LimitReported(Report{Limit: Limit{Rate: 5, Named: true}, Earliest: start, Latest: start})
	if _, _, _, ok := l.LimitObserved(start); ok {
		t.Error("a report of another VM is reported as this VM's own")
	}
	l.LimitNamed(5, start.Add(time.Second))
	limit, lasts, age, ok := l.LimitObserved(start.Add(3 * time.Second))
	if !ok || !limit.Named || limit.Rate != 5 || lasts != 2*time.Second || age != 2*time.Second {
		t.Errorf("told %+v for %v, %v old, %v", limit, lasts, age, ok)
	}
}

// TestLimitedTargetCountsWithWhatItTakes guards against a region that is weighed with slots
// which the limits of its targets leave empty.
func TestLimitedTargetCountsWithWhatItTakes(t *testing.T) {
	now := time.Now()
	l := &Live{Target: Target{Slots: 9}}
	l.LimitNamed(10, now)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 9 {
		t.Errorf("%v slots before the service time is known, want 9", got)
	}
	l.Served(200*time.Millisecond, 0)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 2 {
		t.Errorf("%v slots, want 2: 10 requests a second of 0.2 s", got)
	}
	l.LimitNamed(0, now)
	if _, got := UsableSlots([]*Live{l}, time.Now()); got <= 0 {
		t.Errorf("%v slots with a limit of 0, want more than none", got)
	}
	l.LimitNamed(1000, now.Add(time.Second))
	if _, got := UsableSlots([]*Live{l}, time.Now()); got != 9 {
		t.Errorf("%v slots with a limit beyond them, want 9", got)
	}
}
