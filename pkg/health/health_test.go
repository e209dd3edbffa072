package health

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const held = 3

func recordGoodResponses(t *Tracker, now clock.Time, n int) {
	for range n {
		t.RecordOutcome(now, Sample{Kind: Good, Latency: 10 * time.Millisecond, Running: held, PoolLatency: 10 * time.Millisecond})
	}
}

func TestColdTargetStartsSlowly(t *testing.T) {
	var tr Tracker
	if n := tr.Allowed(0, held, 0); n != 1 {
		t.Fatalf("a cold target may run %d requests, want 1", n)
	}
	recordGoodResponses(&tr, 0, 1)
	if n := tr.Allowed(0, held, 0); n != 2 {
		t.Errorf("after one response the target may run %d requests, want 2", n)
	}
	recordGoodResponses(&tr, 0, 2)
	if n := tr.Allowed(0, held, 0); n != held {
		t.Errorf("a warm target may run %d requests, want all held permits", n)
	}
}

func TestEjectionBacksOffAndAllowsOneTrial(t *testing.T) {
	var tr Tracker
	recordGoodResponses(&tr, 0, 20)
	now := clock.Time(0)
	for _, wait := range []time.Duration{ejectionBase, 2 * ejectionBase, 4 * ejectionBase} {
		for range failuresToEject {
			tr.RecordOutcome(now, Sample{Kind: Broken})
		}
		if n := tr.Allowed(now.Add(wait-1), held, 0); n != 0 {
			t.Fatalf("an ejected target may run %d requests before %v", n, wait)
		}
		now = now.Add(wait)
		if tr.Allowed(now, held, 0) != 1 || tr.Allowed(now, held, 1) != 0 {
			t.Fatalf("after %v the target does not get exactly one trial request", wait)
		}
	}
	recordGoodResponses(&tr, now, 1)
	if n := tr.Allowed(now, held, 0); n != 1 || tr.Ejected() {
		t.Errorf("after a good trial the target may run %d requests, want 1 and no ejection", n)
	}
}

func TestOverloadLowersTheLimit(t *testing.T) {
	for _, kind := range []Kind{Shed, Overloaded} {
		var tr Tracker
		recordGoodResponses(&tr, 0, 20)
		now := clock.Time(time.Second)
		for range 10 {
			now = now.Add(decreaseInterval)
			tr.RecordOutcome(now, Sample{Kind: kind})
		}
		if n := tr.Allowed(now.Add(shedPauseMax), held, 0); n != 1 {
			t.Errorf("kind %d: limit %d after repeated overload, want 1", kind, n)
		}
		if paused := tr.Allowed(now, held, 0) == 0; paused != (kind == Shed) {
			t.Errorf("kind %d: paused = %v, want a pause for Shed only", kind, paused)
		}
	}
	var slow Tracker
	recordGoodResponses(&slow, 0, 20)
	for i := range 20 {
		now := clock.Time(0).Add(time.Duration(i) * decreaseInterval)
		slow.RecordOutcome(now, Sample{Kind: Good, Latency: time.Second, Running: held, PoolLatency: 10 * time.Millisecond})
	}
	if n := slow.Allowed(0, held, 0); n != 1 {
		t.Errorf("a slow target may run %d requests, want 1", n)
	}
}

// TestReportsOnlyLowerTheLimit checks that no report raises the number of requests for a target, that
// only a report of draining or being down may lower it to 0, and that old reports are ignored.
func TestReportsOnlyLowerTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		held := rapid.IntRange(1, slots).Draw(t, "held")
		tr.ApplyReport(0, Report{
			Running: rapid.IntRange(0, 1000).Draw(t, "running"), Slots: rapid.IntRange(0, 1000).Draw(t, "reported"),
			State: rapid.SampledFrom([]State{StateOK, StateDraining, StateCold}).Draw(t, "state"),
		})
		now := clock.Time(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "age"))
		if n := tr.ReportedLimit(now, held, slots); n < 1 || n > held {
			t.Fatalf("the report allows %d of %d held permits", n, held)
		}
		if now.Sub(0) >= reportLifetime && (tr.ReportedDraining(now) || tr.ReportedDown(now) || tr.ReportedLimit(now, held, slots) != held) {
			t.Fatal("an expired report still has an effect")
		}
	})
}

func TestTrustDownReports(t *testing.T) {
	for _, tc := range []struct {
		down, targets int
		want          bool
	}{{0, 7, true}, {3, 7, true}, {4, 7, false}, {7, 7, false}, {1, 2, true}, {1, 1, false}} {
		if got := TrustDownReports(tc.down, tc.targets); got != tc.want {
			t.Errorf("%d of %d targets down: reports trusted = %v", tc.down, tc.targets, got)
		}
	}
}

func FuzzParseReport(f *testing.F) {
	for _, s := range []string{`{"running":3,"slots":9,"state":"ok"}`, `{}`, `{"state":"cold"}`, `{"slots":-1}`, `[]`, `{"state":"x"}`, ``} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseReport(data, 9)
		if err != nil {
			if !errors.Is(err, ErrReport) {
				t.Errorf("error %v is not ErrReport", err)
			}
			return
		}
		if r.Running < 0 || r.Slots < 0 || r.State == "" {
			t.Errorf("invalid report %+v was accepted", r)
		}
	})
}
